//! Retries: what follows the end of a forward that did not answer the invocation.
//!
//! Invariant: an invocation that failed at two cache servers is not retried, and none that may have brought its cache server
//! down is sent to the next.
use super::Policy;
use super::caches::RARE;
use super::invocation::{Continuation, Forward, ForwardState};
use super::outcome::RETRY_GAIN;
use crate::types::{ForwardOutcome, InvocationIndex, Outcome, ShedReason};

/// Forwards to the origin for one invocation.
const MAX_ORIGIN_FORWARDS: usize = 2;

impl Policy {
    /// A cache server's forward ended without a final answer.
    pub(super) fn after_cache(&mut self, ended: &ForwardOutcome) {
        let index = ended.inv;
        let is_warming_up = self.caches.is_warming_up(ended.cache, self.now);
        let invocation = self.invocations.get_mut(&index).expect("open invocation");
        if ended.outcome == Outcome::Miss && self.caches.origin_kind.is_some() {
            invocation.missed_while_warming_up |= is_warming_up;
            return self.fetch(index);
        }
        if invocation.in_flight() > 0 {
            return;
        }
        if self.is_retry_useful(ended) {
            self.forward_to_cache(index);
        } else {
            self.shed(index, ShedReason::FailsEverywhere);
        }
    }

    /// Whether the next cache server is asked after this end. Of those that failed once the fraction is retried that
    /// succeeded at the next lately.
    fn is_retry_useful(&mut self, ended: &ForwardOutcome) -> bool {
        let invocation = &self.invocations[&ended.inv];
        if invocation.fails_by_itself() {
            if let Some(stats) = self.keys.get_mut(invocation.key) {
                stats.record_failure(self.now);
            }
            self.retry_success -= RETRY_GAIN * self.retry_success;
            return false;
        }
        // Guards against an invocation that brings down what it reaches: it was there when the cache server went down, and
        // the next would go down too. One that was there by chance is throttled, and may come again. Where the connection
        // broke before the request was sent completely, the invocation did not run and is not to blame.
        let was_running = |f: &Forward| {
            f.cache == ended.cache && f.connection_broke && f.state == ForwardState::MayHaveRun
        };
        let is_down = ended.outcome == Outcome::Unavailable;
        if is_down && invocation.forwards.iter().any(was_running) {
            return false;
        }
        ended.outcome != Outcome::Error || self.rng.f64() < self.retry_success.max(RARE)
    }

    /// The origin's forward ended without a final answer. Where it may run again the invocation queues once more; an origin
    /// that answers nobody is left alone.
    pub(super) fn after_origin(&mut self, ended: &ForwardOutcome) {
        let invocation = &self.invocations[&ended.inv];
        let to_origin = invocation
            .forwards
            .iter()
            .filter(|f| f.cache == ended.cache);
        let has_forward_left = to_origin.count() < MAX_ORIGIN_FORWARDS;
        let is_retry_useful = ended.outcome != Outcome::TimedOut && !invocation.fails_by_itself();
        if is_retry_useful && has_forward_left && self.may_forward(invocation, ended.cache) {
            self.forward_to_origin(ended.inv);
        } else if invocation.in_flight() == 0 {
            self.shed(ended.inv, ShedReason::Origin);
        }
    }

    /// The value that the invocation waited for is now stored where the key's order begins: one more forward there is a hit.
    pub(super) fn retry_where_missed(&mut self, index: InvocationIndex) {
        let forwards = self.invocations[&index].forwards.iter();
        let last_miss = forwards.rev().find(|f| f.state == ForwardState::NeverRan);
        let cache = last_miss.map(|f| f.cache);
        let is_good =
            |&c: &usize| self.caches.is_ready(c) && self.caches.get(c).suspicion.is_none();
        match cache.filter(is_good) {
            Some(cache) => self.forward(index, cache, Continuation::Cache),
            None => self.forward_to_cache(index),
        }
    }
}
