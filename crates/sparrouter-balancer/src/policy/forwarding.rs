//! Forwarding: the step after arrival, and the only place that puts a forward out.
//!
//! Invariant: every forward passes the gate at the moment at which it is put out.
use super::Policy;
use super::gate;
use super::invocation::{Continuation, Forward, ForwardState};
use super::timer::Timer;
use crate::types::{Action, CacheIndex, InvocationIndex, Nanos, ShedReason};

impl Policy {
    /// Forwards to the first in the key's order against which nothing speaks.
    pub(super) fn forward_to_cache(&mut self, index: InvocationIndex) {
        let invocation = &self.invocations[&index];
        let is_read = !invocation.arrival.write;
        let is_first = invocation.forwards.is_empty();
        if is_read
            && is_first
            && let Some(waiting) = self.origin.fetches.get_mut(&invocation.key)
        {
            waiting.push(index);
            return;
        }
        // The last forward is the origin's, if there is one.
        let limits = &self.operations[invocation.arrival.operation].limits;
        let left = limits
            .max_forwards
            .saturating_sub(invocation.forwards.len());
        let can_fetch = is_read && self.caches.origin.is_some();
        if left <= 1 && can_fetch && !is_first {
            return self.fetch(index);
        }
        match self.select(index) {
            Some(cache) => self.forward(index, cache, Continuation::Cache),
            // Not where all are crowded: the origin would be overloaded next.
            None if can_fetch && self.caches.are_all_idle() => self.fetch(index),
            None => self.shed(index, ShedReason::NoCapacity),
        }
    }

    /// Puts a forward out, or sheds the invocation if the rules forbid it.
    pub(super) fn forward(
        &mut self,
        index: InvocationIndex,
        cache: CacheIndex,
        continuation: Continuation,
    ) {
        let Some(invocation) = self.invocations.get(&index) else {
            return;
        };
        if !self.may_forward(invocation, cache) {
            return self.shed(index, ShedReason::ForbiddenByRules);
        }
        let operation = &self.operations[invocation.arrival.operation].settings;
        let must_leave_before = gate::must_leave_before(invocation, operation);
        let wait = invocation.arrival.deadline - self.now;
        let copy = self.add_forward(index, cache, continuation);
        self.actions.push(Action::Forward {
            inv: index,
            cache,
            wait,
            must_leave_before,
        });
        self.watch_forward(index, copy, wait);
    }

    /// Records a forward of an open invocation and at its target; gives its index among those of the invocation.
    fn add_forward(
        &mut self,
        index: InvocationIndex,
        cache: CacheIndex,
        continuation: Continuation,
    ) -> usize {
        let invocation = self.invocations.get_mut(&index).expect("open invocation");
        let is_warm_up_fetch = invocation.missed_while_warming_up;
        invocation.forwards.push(Forward {
            cache,
            sent_at: self.now,
            state: ForwardState::InFlight,
            connection_broke: false,
            failed: false,
            is_warm_up_fetch,
            continuation,
        });
        let copy = invocation.forwards.len() - 1;
        if self.caches.is_origin(cache) {
            self.origin.in_flight += 1;
            self.origin.warm_up_in_flight += usize::from(is_warm_up_fetch);
            self.caches.get_mut(cache).in_flight += 1;
        } else {
            self.caches.record_forward(cache, self.now);
        }
        copy
    }

    /// Sets a timer for the moment at which a new forward is overdue, if that is before its client stops to wait.
    fn watch_forward(&mut self, index: InvocationIndex, copy: usize, wait: Nanos) {
        let invocation = &self.invocations[&index];
        let is_origin = self.caches.is_origin(invocation.forwards[copy].cache);
        let latency = if is_origin {
            self.origin.latency
        } else {
            self.operations[invocation.arrival.operation].latency
        };
        let usual = latency.upper_bound(self.environment.tick);
        if latency.mean > 0.0 && usual < wait {
            let timer = Timer::Overdue {
                invocation: index,
                copy,
            };
            self.set_timer(self.now + usual, timer);
        }
    }
}
