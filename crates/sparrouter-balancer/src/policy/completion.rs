//! Completion: the final answers that the node itself gives, and what remains to be done once an invocation is over.
//!
//! Invariant: `shed` is the only place that gives a final answer, and it does so for an unanswered invocation alone.
use super::Policy;
use super::gate;
use super::invocation::ForwardState;
use super::timer::Timer;
use crate::types::{Action, CacheIndex, InvocationIndex, Nanos, ShedReason};

impl Policy {
    /// Gives the final answer: throttled where that is allowed, an error elsewhere.
    pub(super) fn shed(&mut self, index: InvocationIndex, reason: ShedReason) {
        let invocation = self.invocations.get_mut(&index);
        let Some(invocation) = invocation.filter(|i| i.is_unanswered()) else {
            return;
        };
        invocation.is_over = true;
        self.shed_counts[reason as usize] += 1;
        let operation = &self.operations[invocation.arrival.operation];
        // Soon enough for the client's next attempt to be of use, or as late as allowed where none can be.
        let longest = operation.limits.max_retry_after.unwrap_or(0);
        let latency_target = operation.settings.latency_target;
        let time_left = invocation.useful_until.saturating_sub(self.now);
        let retry_after = if time_left > latency_target / 2 {
            longest.min(latency_target / 8)
        } else {
            longest
        };
        let may_throttle = gate::may_throttle(invocation, &operation.settings);
        self.actions.push(if may_throttle {
            Action::Throttle {
                inv: index,
                retry_after,
            }
        } else {
            Action::Error { inv: index }
        });
        self.complete(index, false);
        self.forget_if_over(index);
    }

    /// The invocation is over: withdraws what is still out, and those that wait for its fetch go on. `is_stored`: a cache
    /// server or the origin answered with success.
    pub(super) fn complete(&mut self, index: InvocationIndex, is_stored: bool) {
        self.withdraw_forwards(index, None);
        self.origin.queue.retain(|q| q.invocation != index);
        let invocation = &self.invocations[&index];
        let mut forwards = invocation.forwards.iter();
        let is_fetching =
            forwards.any(|f| f.state == ForwardState::InFlight && self.caches.is_origin(f.cache));
        if invocation.leads_fetch && !is_fetching {
            self.release_waiting(index, is_stored);
        }
    }

    /// Withdraws all forwards that are in flight but the one that answers.
    fn withdraw_forwards(&mut self, index: InvocationIndex, answering: Option<usize>) {
        let invocation = &self.invocations[&index];
        let limits = &self.operations[invocation.arrival.operation].limits;
        if !limits.withdraw || invocation.has_response_started && answering.is_none() {
            return;
        }
        for (copy, forward) in invocation.forwards.iter().enumerate() {
            // A fetch goes on: its answer still fills the cache for those that come next.
            let is_fetch = self.caches.is_origin(forward.cache) && !invocation.arrival.write;
            let is_in_flight = forward.state == ForwardState::InFlight;
            if is_in_flight && Some(copy) != answering && !is_fetch {
                self.actions.push(Action::Withdraw { inv: index, copy });
            }
        }
    }

    /// Forgets an invocation that is over and has no forward in flight.
    pub(super) fn forget_if_over(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get(&index);
        if invocation.is_some_and(|i| i.is_over && i.in_flight() == 0) {
            self.invocations.remove(&index);
        }
    }

    /// The first bytes of an answer were relayed: the answer is that forward's.
    pub(super) fn on_response_started(&mut self, index: InvocationIndex, copy: usize) {
        let Some(invocation) = self.invocations.get_mut(&index) else {
            return;
        };
        invocation.has_response_started = true;
        let Some(cache) = invocation.forwards.get(copy).map(|f| f.cache) else {
            return;
        };
        self.withdraw_forwards(index, Some(copy));
        self.caches.clear_suspicion(cache, self.now);
    }

    /// The client closed its connection: nobody needs an answer.
    pub(super) fn on_client_left(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get_mut(&index);
        let Some(invocation) = invocation.filter(|i| !i.is_over) else {
            return;
        };
        invocation.is_over = true;
        self.complete(index, false);
        self.forget_if_over(index);
    }

    /// From now on an answer is of no use: forwards in flight have timed out, and the invocation is shed.
    pub(super) fn on_useless_answer(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get(&index);
        let Some(invocation) = invocation.filter(|i| i.is_unanswered()) else {
            return;
        };
        let forwards = invocation.forwards.iter();
        let in_flight: Vec<(CacheIndex, Nanos)> = forwards
            .filter(|f| f.state == ForwardState::InFlight)
            .map(|f| (f.cache, f.sent_at))
            .collect();
        let deadline = invocation.arrival.deadline;
        let last_moment = deadline.saturating_sub(self.environment.tick);
        let operation = &self.operations[invocation.arrival.operation].settings;
        let may_be_running = !in_flight.is_empty() && !gate::may_throttle(invocation, operation);
        for (cache, sent_at) in in_flight {
            if !self.caches.is_origin(cache) {
                self.record_timeout(cache, sent_at);
            }
        }
        if may_be_running && self.now < last_moment {
            // It cannot be taken back, and its client still learns the outcome.
            let timer = Timer::UselessAnswer { invocation: index };
            return self.set_timer(last_moment, timer);
        }
        self.shed(index, ShedReason::DeadlineExceeded);
    }
}
