//! Completion: final answers that the node itself gives, and the cleanup after an invocation is completed.
//!
//! Invariant: `shed` is the only place that gives a final answer, and only for an unanswered invocation.
use super::Policy;
use super::gate;
use super::invocation::ForwardState;
use super::timer::Timer;
use crate::types::{Action, CacheIndex, InvocationIndex, Nanos, ShedReason};

impl Policy {
    /// Gives the final answer: a throttling reply if a repeat is harmless, otherwise an error.
    pub(super) fn shed(&mut self, index: InvocationIndex, reason: ShedReason) {
        let invocation = self.invocations.get_mut(&index);
        let Some(invocation) = invocation.filter(|i| i.is_unanswered()) else {
            return;
        };
        invocation.is_completed = true;
        self.shed_counts[reason as usize] += 1;
        let operation = &self.operations[invocation.arrival.operation];
        // Soon enough for the client's next attempt to succeed within its deadline, or as late as allowed if that is
        // impossible.
        let max_retry_after = operation.limits.max_retry_after.unwrap_or(0);
        let latency_target = operation.settings.latency_target;
        let time_left = invocation.answer_deadline.saturating_sub(self.now);
        let retry_after = if time_left > latency_target / 2 {
            max_retry_after.min(latency_target / 8)
        } else {
            max_retry_after
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
        self.remove_if_completed(index);
    }

    /// Completes an invocation: withdraws its forwards in flight and releases the invocations that wait for its
    /// fetch. `is_stored` tells whether a cache server or the origin answered with success.
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

    /// Withdraws all forwards in flight except the `answering` one.
    fn withdraw_forwards(&mut self, index: InvocationIndex, answering: Option<usize>) {
        let invocation = &self.invocations[&index];
        let limits = &self.operations[invocation.arrival.operation].limits;
        if !limits.withdraw || invocation.has_response_started && answering.is_none() {
            return;
        }
        for (forward_index, forward) in invocation.forwards.iter().enumerate() {
            // A fetch continues: its answer still fills the cache for later invocations.
            let is_fetch = self.caches.is_origin(forward.cache) && !invocation.arrival.write;
            let is_in_flight = forward.state == ForwardState::InFlight;
            if is_in_flight && Some(forward_index) != answering && !is_fetch {
                self.actions.push(Action::Withdraw {
                    inv: index,
                    forward_index,
                });
            }
        }
    }

    /// Removes an invocation that is completed and has no forward in flight.
    pub(super) fn remove_if_completed(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get(&index);
        if invocation.is_some_and(|i| i.is_completed && i.in_flight() == 0) {
            self.invocations.remove(&index);
        }
    }

    /// Handles the first bytes of an answer that is relayed to the client: the other forwards are withdrawn.
    pub(super) fn on_response_started(&mut self, index: InvocationIndex, forward_index: usize) {
        let Some(invocation) = self.invocations.get_mut(&index) else {
            return;
        };
        invocation.has_response_started = true;
        let Some(cache) = invocation.forwards.get(forward_index).map(|f| f.cache) else {
            return;
        };
        self.withdraw_forwards(index, Some(forward_index));
        self.caches.clear_suspicion(cache, self.now);
    }

    /// Handles a client that closed its connection: no answer is needed any more.
    pub(super) fn on_client_left(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get_mut(&index);
        let Some(invocation) = invocation.filter(|i| !i.is_completed) else {
            return;
        };
        invocation.is_completed = true;
        self.complete(index, false);
        self.remove_if_completed(index);
    }

    /// Handles an expired answer deadline: counts the forwards in flight as timed out, and sheds the invocation.
    pub(super) fn on_answer_deadline(&mut self, index: InvocationIndex) {
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
            // The invocation can't be cancelled, and the client still learns its outcome if an answer arrives.
            let timer = Timer::AnswerDeadline { invocation: index };
            return self.set_timer(last_moment, timer);
        }
        self.shed(index, ShedReason::DeadlineExceeded);
    }
}
