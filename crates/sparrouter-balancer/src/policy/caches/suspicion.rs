//! Evidence that a cache server cannot be reached or does not respond, and its way back.
//!
//! Invariant: a cache server is suspected only after evidence that comes by chance no more often than [`RARE`]; any answer
//! but a rejection for want of capacity ends the suspicion.
use super::{CacheSet, Suspicion};
use crate::types::{CacheIndex, LifecycleState, Nanos};

/// Failures in a row that come by chance no more often than this raise suspicion.
pub const RARE: f64 = 0.1;
/// What one forward adds to the fraction of failures.
const FAILURE_GAIN: f64 = 0.05;
/// The wait between checks grows to this multiple of the first.
const MAX_BACKOFF_MULTIPLE: Nanos = 8;
/// An unlisted cache server is removed when the wait between checks has grown beyond this multiple of the first.
const REMOVAL_BACKOFF_MULTIPLE: Nanos = 256;

/// What speaks against a cache server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FailureEvidence {
    /// Nothing came from it, or its connection broke: it may be down.
    Unresponsive,
    /// No connection was established: nobody listens there.
    Unreachable,
}

impl CacheSet {
    /// Takes in one more piece of evidence against a cache server.
    pub fn record_failure(&mut self, index: CacheIndex, evidence: FailureEvidence, now: Nanos) {
        let failure_fraction = self.failure_fraction;
        self.failure_fraction += FAILURE_GAIN * (1.0 - self.failure_fraction);
        let cache = self.get_mut(index);
        cache.consecutive_failures += 1;
        // Where failures are rare one is enough, since in a large deployment a second comes only after many seconds. The
        // more of them all cache servers show, the less they say of this one.
        let chance = failure_fraction.powi(cache.consecutive_failures as i32);
        if chance <= RARE {
            cache.is_unreachable |= evidence == FailureEvidence::Unreachable;
            self.suspect(index, now);
        }
    }

    /// Lowers the fraction of failures: a forward was answered.
    pub(super) fn record_no_failure(&mut self) {
        self.failure_fraction *= 1.0 - FAILURE_GAIN;
    }

    fn suspect(&mut self, index: CacheIndex, now: Nanos) {
        let first = self.first_check_delay;
        // If most are suspected, the judgement itself may be wrong: all are checked again soon.
        let are_most_suspected = self.are_most_suspected();
        let max_multiple = if are_most_suspected {
            1
        } else {
            MAX_BACKOFF_MULTIPLE
        };
        let cache = self.get_mut(index);
        // One that is neither reachable nor listed is checked ever more seldom.
        let longest = if cache.is_unlisted && cache.is_unreachable {
            Nanos::MAX
        } else {
            first * max_multiple
        };
        let previous = cache.suspicion.as_ref().map(|s| s.backoff);
        let backoff = previous.map_or(first, |b| (b * 2).min(longest));
        cache.suspicion = Some(Suspicion {
            next_check_at: now + backoff,
            backoff,
            allows_trial: false,
        });
        // The list and own forwards have agreed for long enough: it takes nothing until it is listed again.
        let is_removed = cache.is_unlisted && backoff > first * REMOVAL_BACKOFF_MULTIPLE;
        if is_removed {
            cache.state = LifecycleState::Left;
            cache.is_unlisted = false;
            self.ready.retain(|&r| r != index);
        }
        self.suspicions += u64::from(previous.is_none());
    }

    /// Ends the suspicion: it answered something. One that could not be reached comes back as warming up, whatever the list
    /// says yet, since a process that crashed restarts before the list shows it.
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
