//! Retries: decides the next step after a forward that didn't answer the invocation.
//!
//! Invariant: an invocation that failed at two cache servers isn't retried, and an invocation that may have crashed
//! its cache server isn't sent to the next.
use super::Policy;
use super::caches::SIGNIFICANCE_LEVEL;
use super::invocation::{Continuation, Forward, ForwardState};
use super::outcome::RETRY_GAIN;
use crate::types::{ForwardOutcome, InvocationIndex, Outcome, ShedReason};

/// Maximum number of forwards to the origin for one invocation.
const MAX_ORIGIN_FORWARDS: usize = 2;

impl Policy {
    /// Handles a forward to a cache server that ended without a final answer.
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

    /// Whether to retry at the next cache server. After one failure, the fraction of invocations that is retried
    /// equals the recent success rate of such retries, but is at least [`SIGNIFICANCE_LEVEL`].
    fn is_retry_useful(&mut self, ended: &ForwardOutcome) -> bool {
        let invocation = &self.invocations[&ended.inv];
        if invocation.failed_at_several_servers() {
            if let Some(stats) = self.keys.get_mut(invocation.key) {
                stats.record_failure(self.now);
            }
            self.retry_success -= RETRY_GAIN * self.retry_success;
            return false;
        }
        // Guards against an invocation that crashes cache servers: it was running when the server went down, and a
        // retry could crash the next one too. An invocation that was there by coincidence is throttled, and its
        // client may retry. If the connection broke before the request was sent completely, the invocation didn't run
        // and isn't the cause.
        let was_running = |f: &Forward| {
            f.cache == ended.cache && f.connection_broke && f.state == ForwardState::MayHaveRun
        };
        let is_down = ended.outcome == Outcome::Unavailable;
        if is_down && invocation.forwards.iter().any(was_running) {
            return false;
        }
        ended.outcome != Outcome::Error
            || self.rng.f64() < self.retry_success.max(SIGNIFICANCE_LEVEL)
    }

    /// Handles a forward to the origin that ended without a final answer. If another run does no harm, the invocation
    /// is sent or queued again, but not after a time-out.
    pub(super) fn after_origin(&mut self, ended: &ForwardOutcome) {
        let invocation = &self.invocations[&ended.inv];
        let to_origin = invocation
            .forwards
            .iter()
            .filter(|f| f.cache == ended.cache);
        let has_forward_left = to_origin.count() < MAX_ORIGIN_FORWARDS;
        let is_retry_useful =
            ended.outcome != Outcome::TimedOut && !invocation.failed_at_several_servers();
        if is_retry_useful && has_forward_left && self.may_forward(invocation, ended.cache) {
            self.forward_to_origin(ended.inv);
        } else if invocation.in_flight() == 0 {
            self.shed(ended.inv, ShedReason::Origin);
        }
    }

    /// Forwards the invocation to the cache server where it missed. The value it waited for is stored there now, so
    /// this is a hit.
    pub(super) fn retry_where_missed(&mut self, index: InvocationIndex) {
        let forwards = self.invocations[&index].forwards.iter();
        let last_miss = forwards.rev().find(|f| f.state == ForwardState::NeverRan);
        let cache = last_miss.map(|f| f.cache);
        let is_available =
            |&c: &usize| self.caches.is_ready(c) && self.caches.get(c).suspicion.is_none();
        match cache.filter(is_available) {
            Some(cache) => self.forward(index, cache, Continuation::Cache),
            None => self.forward_to_cache(index),
        }
    }
}
