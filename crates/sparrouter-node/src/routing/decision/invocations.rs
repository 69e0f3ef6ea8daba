//! Invocations in flight, from their arrival to their only answer and the end of their last forward.
use super::DecisionActor;
use crate::invariant;
use crate::protocol::messages::{Answer, Invocation};
use crate::transport::budget::Reservation;
use crate::transport::client::ReservedAnswer;
use sparrouter_balancer::types::{Arrival, CacheIndex, Event, InvocationIndex};
use sparrouter_settings::hash;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An invocation, until it is answered and all its forwards have ended.
pub struct PendingInvocation {
    pub invocation: Rc<Invocation>,
    /// Receiver of the answer; `None` once the answer is sent.
    answer: Option<oneshot::Sender<ReservedAnswer>>,
    /// Set once the answer is sent; the peers' actors check it before they send.
    pub is_answered: Rc<Cell<bool>>,
    /// Servers of the invocation's forwards, indexed by the number of the forward.
    pub forwards: Vec<CacheIndex>,
    /// Forwards that have not ended; at most `forwards.len()`.
    pub forwards_out: usize,
    pub operation: usize,
    pub received_at: Instant,
}

impl PendingInvocation {
    /// Sends the final answer. A second call violates an invariant.
    pub fn conclude(&mut self, answer: Answer, memory: Vec<Reservation>) {
        invariant!(!self.is_answered.get(), "an invocation is answered once");
        self.is_answered.set(true);
        if let Some(receiver) = self.answer.take() {
            // The client may have just disconnected; its connection reports that.
            let _ = receiver.send(ReservedAnswer { answer, memory });
        }
    }
}

impl DecisionActor {
    /// Accepts an invocation, or rejects an invalid request.
    pub(super) fn on_invocation(
        &mut self,
        inv: InvocationIndex,
        invocation: Rc<Invocation>,
        received_at: Instant,
        answer: oneshot::Sender<ReservedAnswer>,
    ) {
        let Some(operation) = self.names.operation(&invocation.operation) else {
            let _ = answer.send(Answer::Bad("unknown X-Class").into());
            return;
        };
        // Guards against a second forward under a request id that still has a forward in flight.
        if !self.pending_ids.insert(invocation.id.clone()) {
            let _ = answer.send(Answer::Bad("X-Request-Id is open").into());
            return;
        }
        self.counts.taken += 1;
        let arrival = self.arrival(inv, operation, &invocation, received_at);
        if let Some(reporter) = &mut self.reporter {
            reporter.count_arrival(operation);
        }
        let pending = PendingInvocation {
            invocation,
            answer: Some(answer),
            is_answered: Rc::default(),
            forwards: Vec::new(),
            forwards_out: 0,
            operation,
            received_at,
        };
        self.pending.insert(inv, pending);
        self.handle_event(Event::Arrived(arrival));
        self.remove_if_complete(inv);
    }

    /// Converts the invocation to the policy's representation.
    fn arrival(
        &mut self,
        inv: InvocationIndex,
        operation: usize,
        invocation: &Invocation,
        received_at: Instant,
    ) -> Arrival {
        // The client's own timeout is limited by the timeout in the settings.
        let longest = self.timeouts[operation];
        let client_timeout = invocation
            .client_timeout_ms
            .map_or(longest, |ms| ms.saturating_mul(1_000_000).min(longest));
        let tenant = invocation
            .tenant
            .as_ref()
            .and_then(|name| self.names.tenant(name));
        let now = self.clock.now();
        let quotas = self.quotas.as_mut();
        let is_within_quota = tenant
            .zip(quotas)
            .and_then(|(tenant, quotas)| quotas.try_acquire(tenant, now));
        Arrival {
            inv,
            operation,
            tenant,
            is_within_quota,
            key: invocation.key().map(hash),
            write: invocation.is_write(),
            repeat: invocation.is_retry,
            work: None,
            deadline: self.clock.nanos(received_at) + client_timeout,
        }
    }

    /// Ends an invocation whose client closed its connection or its side of it.
    pub(super) fn on_client_left(&mut self, inv: InvocationIndex) {
        let Some(pending) = self.pending.get_mut(&inv).filter(|p| !p.is_answered.get()) else {
            return;
        };
        // The client may have closed only its sending side. An invocation that was never forwarded may be retried.
        let answer = if pending.forwards.is_empty() {
            Answer::Throttled { retry_after: 0 }
        } else {
            Answer::Errored
        };
        pending.conclude(answer, Vec::new());
        self.counts.gone += 1;
        self.handle_event(Event::ClientLeft { inv });
        self.remove_if_complete(inv);
    }

    /// Answers an invocation without a value.
    pub(super) fn conclude(&mut self, inv: InvocationIndex, answer: Answer) {
        let pending = self.pending.get_mut(&inv);
        invariant!(
            pending.is_some(),
            "an answer belongs to an invocation in hand"
        );
        if let Some(pending) = pending {
            if let Some(reporter) = &mut self.reporter {
                let is_throttled = matches!(answer, Answer::Throttled { .. });
                reporter.count_failure(pending.operation, is_throttled);
            }
            pending.conclude(answer, Vec::new());
        }
        // Guards against a leak of invocations without forwards in flight, which are answered by a timer or because
        // another invocation's fetch failed.
        self.remove_if_complete(inv);
    }

    /// Removes the invocation if it is answered and has no forward in flight.
    pub(super) fn remove_if_complete(&mut self, inv: InvocationIndex) {
        let pending = self.pending.get(&inv);
        let is_complete = pending.is_some_and(|p| p.is_answered.get() && p.forwards_out == 0);
        if is_complete && let Some(pending) = self.pending.remove(&inv) {
            self.pending_ids.remove(&pending.invocation.id);
        }
    }
}
