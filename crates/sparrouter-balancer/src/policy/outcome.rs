//! Handles the end of a forward, and updates the state of its cache server, its key and the load.
use super::Policy;
use super::caches::{FailureEvidence, REJECTION_BADNESS};
use super::invocation::{Continuation, Forward, ForwardState};
use super::timer::Timer;
use crate::types::{CacheIndex, ForwardOutcome, Nanos, Outcome};

/// Weight of one outcome in the smoothed success rate of retries.
pub(super) const RETRY_GAIN: f64 = 0.1;

/// Properties of an ended forward that the following steps need.
struct EndedForward {
    sent_at: Nanos,
    is_warm_up_fetch: bool,
    continuation: Continuation,
}

fn end_forward(forward: &mut Forward, outcome: Outcome) -> EndedForward {
    forward.connection_broke = matches!(outcome, Outcome::Reset | Outcome::Broken);
    forward.failed = outcome == Outcome::Error;
    forward.state = if outcome.never_ran() {
        ForwardState::NeverRan
    } else {
        ForwardState::MayHaveRun
    };
    EndedForward {
        sent_at: forward.sent_at,
        is_warm_up_fetch: forward.is_warm_up_fetch,
        continuation: forward.continuation,
    }
}

impl Policy {
    /// Handles the end of a forward; ignored if the forward isn't in flight.
    pub(super) fn on_forward_ended(&mut self, ended: &ForwardOutcome) {
        let Some(invocation) = self.invocations.get_mut(&ended.inv) else {
            return;
        };
        let forward = invocation.forwards.get_mut(ended.forward_index);
        let Some(forward) = forward
            .filter(|f| f.state == ForwardState::InFlight)
            .filter(|f| f.cache == ended.cache)
        else {
            return;
        };
        let forward = end_forward(forward, ended.outcome);
        invocation.is_completed |= ended.is_final;
        let is_completed = invocation.is_completed;
        let cache = self.caches.get_mut(ended.cache);
        cache.in_flight = cache.in_flight.saturating_sub(1);
        let is_origin = self.caches.is_origin(ended.cache);
        if is_origin {
            self.learn_from_origin(ended, forward.is_warm_up_fetch);
        } else {
            self.learn_from_cache(ended, forward.sent_at);
        }
        if is_completed {
            self.complete(ended.inv, ended.outcome == Outcome::Succeeded);
        } else {
            match forward.continuation {
                Continuation::Cache => self.after_cache(ended),
                Continuation::Origin => self.after_origin(ended),
            }
        }
        self.remove_if_completed(ended.inv);
        if is_origin {
            self.pump_origin_queue();
        }
    }

    fn learn_from_origin(&mut self, ended: &ForwardOutcome, is_warm_up_fetch: bool) {
        let origin = &mut self.origin;
        origin.in_flight -= 1;
        origin.warm_up_in_flight -= usize::from(is_warm_up_fetch);
        origin.learn(ended.outcome, ended.latency, self.now);
        if matches!(ended.outcome, Outcome::Full | Outcome::Unavailable) {
            // An immediate retry would only lengthen the origin's queue: all fetches are paused for the usual latency
            // of one fetch.
            let pause = (origin.fast_latency as Nanos).max(self.environment.tick);
            origin.paused_until = origin.paused_until.max(self.now + pause);
        }
        let paused_until = origin.paused_until;
        if paused_until > self.now {
            self.set_timer(paused_until, Timer::Origin);
        }
    }

    /// Updates the state of the cache server, the key and the goodput with the end of a forward to a cache server.
    fn learn_from_cache(&mut self, ended: &ForwardOutcome, sent_at: Nanos) {
        let invocation = &self.invocations[&ended.inv];
        let key = invocation.key;
        let latency_target = self.operations[invocation.arrival.operation]
            .settings
            .latency_target;
        let target_fraction = ended.latency as f64 / latency_target as f64;
        let cache = ended.cache;
        match ended.outcome {
            Outcome::Succeeded if target_fraction <= 1.0 => {
                self.admission.goodput.record_in_time(self.now);
            }
            Outcome::Succeeded | Outcome::TimedOut | Outcome::Withdrawn => {
                let goodput = &mut self.admission.goodput;
                goodput.record_late(sent_at, latency_target);
            }
            _ => {}
        }
        match ended.outcome {
            Outcome::Succeeded | Outcome::Miss | Outcome::Error => {
                self.learn_from_answer(ended, target_fraction);
            }
            Outcome::Unavailable => self.record_failure(cache, FailureEvidence::Unreachable),
            // A single connection can break while the process keeps running: this is no evidence of a failure if the
            // server has answered others since. A process that is down refuses the next connection.
            Outcome::Reset | Outcome::Broken => {
                if self.caches.get(cache).last_answer_at <= sent_at {
                    self.record_failure(cache, FailureEvidence::Unresponsive);
                }
            }
            // A rejection costs little: the next server in the order takes the invocation, and most such invocations
            // succeed.
            Outcome::Full => {
                let full = self.caches.get_mut(cache);
                full.learn(REJECTION_BADNESS, 0.0, self.now);
                self.keys.record_latency(key, 1.0);
            }
            Outcome::TimedOut => {
                self.record_timeout(cache, sent_at);
                self.keys.record_latency(key, 1.0);
            }
            Outcome::Withdrawn => self.keys.record_latency(key, target_fraction),
            Outcome::NotSent => {}
        }
    }

    fn learn_from_answer(&mut self, ended: &ForwardOutcome, target_fraction: f64) {
        self.caches.clear_suspicion(ended.cache, self.now);
        self.caches.record_answer(ended.cache, self.now);
        let bad = f64::from(u8::from(target_fraction > 1.0));
        let slow = target_fraction.min(1.0);
        let cache = self.caches.get_mut(ended.cache);
        cache.learn(bad, slow, self.now);
        let invocation = &self.invocations[&ended.inv];
        self.keys.record_latency(invocation.key, target_fraction);
        if ended.outcome == Outcome::Succeeded {
            let operation = &mut self.operations[invocation.arrival.operation];
            operation.latency.learn(ended.latency as f64);
        }
        if ended.outcome != Outcome::Error {
            if invocation.forwards.iter().any(|f| f.failed) {
                self.retry_success += RETRY_GAIN * (1.0 - self.retry_success);
            }
            if let Some(stats) = self.keys.get_mut(invocation.key) {
                stats.clear_failures();
            }
        }
    }

    /// Records a forward that wasn't answered in time. If the server has answered nothing since the forward was sent,
    /// this is evidence of a failure; a server that answers other invocations is only slow.
    pub(super) fn record_timeout(&mut self, cache: CacheIndex, sent_at: Nanos) {
        self.caches.get_mut(cache).learn(1.0, 1.0, self.now);
        if self.caches.get(cache).last_answer_at <= sent_at {
            self.record_failure(cache, FailureEvidence::Unresponsive);
        }
    }

    pub(super) fn record_failure(&mut self, cache: CacheIndex, evidence: FailureEvidence) {
        self.caches.record_failure(cache, evidence, self.now);
    }
}
