//! Overdue forwards: sends a hedged request, or withdraws the forward so that the invocation continues elsewhere.
//!
//! The module holds no state. A forward is overdue if it has been in flight for longer than nearly all forwards of
//! its operation, and its server has either answered nothing in that time, or answers other invocations while this
//! forward is far overdue.
use super::Policy;
use super::caches::FailureEvidence;
use super::invocation::{Continuation, ForwardState};
use super::timer::Timer;
use crate::types::{Action, CacheIndex, Effect, InvocationIndex, Nanos};

/// Multiple of the usual upper bound of the latency after which a forward is overdue even if its server answers other
/// invocations.
const FAR_OVERDUE_MULTIPLE: f64 = 1.5;

/// A forward that is checked for being overdue.
struct Candidate {
    invocation: InvocationIndex,
    forward_index: usize,
    cache: CacheIndex,
    sent_at: Nanos,
    operation: usize,
    is_origin: bool,
}

impl Policy {
    /// Handles the timer of a forward that has been in flight for longer than usual.
    pub(super) fn on_overdue(&mut self, index: InvocationIndex, forward_index: usize) {
        let Some(candidate) = self.overdue_candidate(index, forward_index) else {
            return;
        };
        if let Some(check_at) = self.next_overdue_check(&candidate) {
            let timer = Timer::Overdue {
                invocation: index,
                forward_index,
            };
            return self.set_timer(check_at, timer);
        }
        let Candidate { cache, sent_at, .. } = candidate;
        // The elapsed time is a lower bound of the latency. An estimate from answers alone would decrease while all
        // servers slow down.
        let elapsed = (self.now - sent_at) as f64;
        let latency = if candidate.is_origin {
            &mut self.origin.latency
        } else {
            &mut self.operations[candidate.operation].latency
        };
        latency.learn(elapsed);
        let is_completed = self.invocations[&index].is_completed;
        if self.last_answer_at(&candidate) <= sent_at && !is_completed {
            self.record_failure(cache, FailureEvidence::Unresponsive);
        }
        if self.may_replace(&candidate) {
            self.replace(&candidate);
        }
    }

    fn overdue_candidate(&self, index: InvocationIndex, forward_index: usize) -> Option<Candidate> {
        let invocation = self.invocations.get(&index);
        let invocation = invocation.filter(|i| !i.has_response_started)?;
        let forward = invocation.forwards.get(forward_index);
        let forward = forward.filter(|f| f.state == ForwardState::InFlight)?;
        Some(Candidate {
            invocation: index,
            forward_index,
            cache: forward.cache,
            sent_at: forward.sent_at,
            operation: invocation.arrival.operation,
            is_origin: self.caches.is_origin(forward.cache),
        })
    }

    /// When the forward's server last answered any invocation.
    fn last_answer_at(&self, candidate: &Candidate) -> Nanos {
        if candidate.is_origin {
            self.origin.last_answer_at
        } else {
            self.caches.get(candidate.cache).last_answer_at
        }
    }

    /// Time of the next check; `None` if the forward is overdue now. Guards against single connections that time out:
    /// a fetch on such a connection would block the origin's capacity and the invocations that wait for its key until
    /// it ends.
    fn next_overdue_check(&self, candidate: &Candidate) -> Option<Nanos> {
        let latency = if candidate.is_origin {
            self.origin.latency
        } else {
            self.operations[candidate.operation].latency
        };
        let usual_latency = latency.upper_bound(self.environment.tick);
        let far_overdue_at =
            candidate.sent_at + (FAR_OVERDUE_MULTIPLE * usual_latency as f64) as Nanos;
        let answers_others = self.last_answer_at(candidate) > candidate.sent_at;
        if (answers_others || candidate.is_origin) && self.now < far_overdue_at {
            return Some(far_overdue_at);
        }
        // An origin that answers no invocation isn't sent another request.
        (!answers_others && candidate.is_origin).then_some(self.now + usual_latency)
    }

    /// Whether another forward may replace this one. A fetch of a completed invocation continues for the invocations
    /// that wait for it, so it may be replaced too.
    fn may_replace(&self, candidate: &Candidate) -> bool {
        let operation = &self.operations[candidate.operation].settings;
        let invocation = &self.invocations[&candidate.invocation];
        let is_fetch = candidate.is_origin && !invocation.arrival.write;
        operation.effect == Effect::Idempotent && (!invocation.is_completed || is_fetch)
    }

    fn replace(&mut self, candidate: &Candidate) {
        let index = candidate.invocation;
        let invocation = &self.invocations[&index];
        let limits = self.operations[candidate.operation].limits;
        let forwards_left = limits
            .max_forwards
            .saturating_sub(invocation.forwards.len());
        if limits.allows_hedging && !candidate.is_origin {
            self.hedge(index, forwards_left);
        } else if limits.withdraw && (invocation.is_completed || forwards_left > 0) {
            self.actions.push(Action::Withdraw {
                inv: index,
                forward_index: candidate.forward_index,
            });
        }
    }

    /// Sends a hedged request if the budget permits. The budget is small: if all servers are slow, hedging would
    /// double the load.
    fn hedge(&mut self, index: InvocationIndex, forwards_left: usize) {
        if self.hedge_tokens < 1.0 || forwards_left <= 1 {
            return;
        }
        let selected = self.select(index);
        if let Some(cache) = selected.filter(|&c| self.caches.get(c).suspicion.is_none()) {
            self.hedge_tokens -= 1.0;
            self.forward(index, cache, Continuation::Cache);
        }
    }
}
