//! Failure detection: evidence that a cache server is unreachable or unresponsive, and its recovery.
//!
//! Invariant: a cache server is suspected only if the probability that its failures are a coincidence is at most
//! [`SIGNIFICANCE_LEVEL`]; any answer other than a rejection for lack of capacity ends the suspicion.
use super::{CacheSet, Suspicion};
use crate::types::{CacheIndex, LifecycleState, Nanos};

/// A cache server is suspected if the probability that its consecutive failures are a coincidence is at most this.
pub const SIGNIFICANCE_LEVEL: f64 = 0.1;
/// Weight of one forward in the smoothed fraction of failures.
const FAILURE_GAIN: f64 = 0.05;
/// Upper limit of the delay between health checks, as a multiple of the initial delay.
const MAX_BACKOFF_MULTIPLE: Nanos = 8;
/// An unlisted cache server is removed once the delay between checks exceeds this multiple of the initial delay.
const REMOVAL_BACKOFF_MULTIPLE: Nanos = 256;

/// Evidence of a failure of a cache server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FailureEvidence {
    /// The server sent nothing, or its connection broke: the process may be down.
    Unresponsive,
    /// No connection was established: no process accepts connections at the address.
    Unreachable,
}

impl CacheSet {
    /// Records one more piece of evidence of a failure of a cache server.
    pub fn record_failure(&mut self, index: CacheIndex, evidence: FailureEvidence, now: Nanos) {
        let failure_fraction = self.failure_fraction;
        self.failure_fraction += FAILURE_GAIN * (1.0 - self.failure_fraction);
        let cache = self.get_mut(index);
        cache.consecutive_failures += 1;
        // If failures are rare, one is sufficient: in a large deployment a second would follow only after many
        // seconds. The more failures all cache servers show, the less each of them says about this server.
        let chance = failure_fraction.powi(cache.consecutive_failures as i32);
        if chance <= SIGNIFICANCE_LEVEL {
            cache.is_unreachable |= evidence == FailureEvidence::Unreachable;
            self.suspect(index, now);
        }
    }

    /// Lowers the smoothed fraction of failures, because a forward was answered.
    pub(super) fn record_no_failure(&mut self) {
        self.failure_fraction *= 1.0 - FAILURE_GAIN;
    }

    fn suspect(&mut self, index: CacheIndex, now: Nanos) {
        let initial_backoff = self.first_check_delay;
        // If most servers are suspected, the failure detection itself may be wrong: all are checked again soon.
        let are_most_suspected = self.are_most_suspected();
        let max_multiple = if are_most_suspected {
            1
        } else {
            MAX_BACKOFF_MULTIPLE
        };
        let cache = self.get_mut(index);
        // For a server that is neither reachable nor listed, the backoff grows without limit.
        let max_backoff = if cache.is_unlisted && cache.is_unreachable {
            Nanos::MAX
        } else {
            initial_backoff * max_multiple
        };
        let previous = cache.suspicion.as_ref().map(|s| s.backoff);
        let backoff = previous.map_or(initial_backoff, |b| (b * 2).min(max_backoff));
        cache.suspicion = Some(Suspicion {
            next_check_at: now + backoff,
            backoff,
            allows_trial: false,
        });
        // The list and this node's forwards have agreed for long enough: the server gets no forwards until it is
        // listed again.
        let is_removed = cache.is_unlisted && backoff > initial_backoff * REMOVAL_BACKOFF_MULTIPLE;
        if is_removed {
            cache.state = LifecycleState::Left;
            cache.is_unlisted = false;
            self.ready.retain(|&r| r != index);
        }
        self.suspicions += u64::from(previous.is_none());
    }

    /// Ends the suspicion of a server that answered. A server that was unreachable restarts its warm-up regardless of
    /// the list, because a process that crashed may restart before the list shows it.
    pub fn clear_suspicion(&mut self, index: CacheIndex, now: Nanos) {
        let phase = self.rng.f64();
        let Some(cache) = self.find_mut(index) else {
            return;
        };
        if cache.is_unreachable {
            cache.start_warm_up(now, now, phase);
        }
        cache.last_answer_at = now;
        cache.consecutive_failures = 0;
        cache.is_unreachable = false;
        cache.suspicion = None;
    }

    /// Whether more than half of the ready cache servers are suspected.
    pub fn are_most_suspected(&self) -> bool {
        let ready = self.ready.iter();
        let suspected = ready.filter(|&&c| self.get(c).suspicion.is_some()).count();
        suspected * 2 > self.ready.len()
    }
}
