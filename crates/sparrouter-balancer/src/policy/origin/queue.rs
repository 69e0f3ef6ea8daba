//! Invocations that wait for the origin, or for another invocation's fetch of the same key.
use super::QueuedFetch;
use crate::policy::Policy;
use crate::policy::invocation::Continuation;
use crate::types::{InvocationIndex, ShedReason};

/// Number of consecutive failures above which invocations no longer queue for the origin.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

impl Policy {
    /// Fetches the key's value from the origin, or waits for a fetch that is in flight.
    pub(in crate::policy) fn fetch(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get_mut(&index).expect("open invocation");
        if let Some(waiting) = self.origin.fetches.get_mut(&invocation.key) {
            waiting.push(index);
            return;
        }
        self.origin.fetches.insert(invocation.key, Vec::new());
        invocation.leads_fetch = true;
        self.forward_to_origin(index);
    }

    /// Forwards the invocation to the origin, queues it, or sheds it if an answer in time is unlikely.
    pub(in crate::policy) fn forward_to_origin(&mut self, index: InvocationIndex) {
        let invocation = &self.invocations[&index];
        let Some(origin) = self.caches.origin else {
            return self.shed(index, ShedReason::Origin);
        };
        if self.origin.has_capacity(self.now) && self.origin.queue.is_empty() {
            return self.forward(index, origin, Continuation::Origin);
        }
        // Waiting is useless if the answer would be too late or the origin doesn't answer.
        let time_left = invocation.target_deadline.saturating_sub(self.now) as f64;
        let priority = invocation.priority;
        let expected_latency =
            self.origin.queueing_time(priority) + self.origin.uncongested_latency;
        if expected_latency > time_left
            || self.origin.consecutive_failures > MAX_CONSECUTIVE_FAILURES
        {
            return self.shed(index, ShedReason::Origin);
        }
        self.origin.queue.push(QueuedFetch {
            priority,
            invocation: index,
        });
        self.shed_last_if_too_late(index);
    }

    /// Sheds the last of the queue immediately if `newest` has moved it too far back for an answer in time.
    fn shed_last_if_too_late(&mut self, newest: InvocationIndex) {
        let queue = self.origin.queue.iter().copied();
        let last = queue.min_by(|a, b| {
            let lowest_first = a.priority.total_cmp(&b.priority);
            lowest_first.then(b.invocation.cmp(&a.invocation))
        });
        let Some(last) = last.filter(|l| l.invocation != newest) else {
            return;
        };
        let expected_start = self.now as f64 + self.origin.queueing_time(last.priority);
        if expected_start > self.invocations[&last.invocation].target_deadline as f64 {
            self.shed(last.invocation, ShedReason::Origin);
        }
    }

    /// Forwards invocations from the queue while the origin has capacity. The queue is unchanged while no origin is
    /// listed.
    pub(in crate::policy) fn pump_origin_queue(&mut self) {
        while self.origin.has_capacity(self.now) {
            let Some(origin) = self.caches.origin else {
                return;
            };
            let Some(index) = self.origin.pop() else {
                return;
            };
            if self
                .invocations
                .get(&index)
                .is_some_and(|i| !i.is_completed)
            {
                self.forward(index, origin, Continuation::Origin);
            }
        }
    }

    /// Releases the invocations that wait for the fetch of this one: they are forwarded to the cache server that now
    /// stores the value, or fetch it themselves.
    pub(in crate::policy) fn release_waiting(&mut self, index: InvocationIndex, is_stored: bool) {
        let invocation = self.invocations.get_mut(&index).expect("open invocation");
        invocation.leads_fetch = false;
        let waiting = self.origin.fetches.remove(&invocation.key);
        for index in waiting.unwrap_or_default() {
            let Some(follower) = self.invocations.get(&index).filter(|i| !i.is_completed) else {
                continue;
            };
            let limits = &self.operations[follower.arrival.operation].limits;
            let has_forward_left = follower.forwards.len() < limits.max_forwards;
            if is_stored && has_forward_left {
                self.retry_where_missed(index);
            } else {
                self.fetch(index);
            }
        }
    }
}
