//! Forwarding: chooses the destination of an invocation. This is the only module that sends forwards.
//!
//! Invariant: every forward is checked against the rules of `gate` at the moment it is sent.
use super::Policy;
use super::gate;
use super::invocation::{Continuation, Forward, ForwardState};
use super::timer::Timer;
use crate::types::{Action, CacheIndex, InvocationIndex, Nanos, ShedReason};

impl Policy {
    /// Forwards the invocation to the cache server that the selection chooses; a read whose key is being fetched
    /// waits instead.
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
        // The last permitted forward is reserved for the origin, if there is one.
        let limits = &self.operations[invocation.arrival.operation].limits;
        let forwards_left = limits
            .max_forwards
            .saturating_sub(invocation.forwards.len());
        let can_fetch = is_read && self.caches.origin.is_some();
        if forwards_left <= 1 && can_fetch && !is_first {
            return self.fetch(index);
        }
        match self.select(index) {
            Some(cache) => self.forward(index, cache, Continuation::Cache),
            // Not if all cache servers are overloaded: the origin would be overloaded next.
            None if can_fetch && self.caches.are_all_idle() => self.fetch(index),
            None => self.shed(index, ShedReason::NoCapacity),
        }
    }

    /// Sends a forward, or sheds the invocation if the rules forbid it.
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
        let send_deadline = gate::send_deadline(invocation, operation);
        let wait = invocation.arrival.deadline - self.now;
        let forward_index = self.add_forward(index, cache, continuation);
        self.actions.push(Action::Forward {
            inv: index,
            cache,
            wait,
            send_deadline,
        });
        self.schedule_overdue_check(index, forward_index, wait);
    }

    /// Records a forward in the invocation and in the state of its server, and returns its index among the
    /// invocation's forwards.
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
        let forward_index = invocation.forwards.len() - 1;
        if self.caches.is_origin(cache) {
            self.origin.in_flight += 1;
            self.origin.warm_up_in_flight += usize::from(is_warm_up_fetch);
            self.caches.get_mut(cache).in_flight += 1;
        } else {
            self.caches.record_forward(cache, self.now);
        }
        forward_index
    }

    /// Sets a timer for the time at which a new forward is overdue, if that is before its client times out.
    fn schedule_overdue_check(
        &mut self,
        index: InvocationIndex,
        forward_index: usize,
        wait: Nanos,
    ) {
        let invocation = &self.invocations[&index];
        let is_origin = self
            .caches
            .is_origin(invocation.forwards[forward_index].cache);
        let latency = if is_origin {
            self.origin.latency
        } else {
            self.operations[invocation.arrival.operation].latency
        };
        let usual_latency = latency.upper_bound(self.environment.tick);
        if latency.mean > 0.0 && usual_latency < wait {
            let timer = Timer::Overdue {
                invocation: index,
                forward_index,
            };
            self.set_timer(self.now + usual_latency, timer);
        }
    }
}
