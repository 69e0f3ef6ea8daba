//! Forwards in flight: passes them to the cache servers' actors, counts them, and handles their results.
use super::DecisionActor;
use crate::invariant;
use crate::protocol::messages::Answer;
use crate::routing::peer::{Forward, ForwardId, ForwardResult, PeerCommand};
use sparrouter_balancer::types::{
    CacheIndex, Event, ForwardOutcome, InvocationIndex, Nanos, Outcome,
};
use std::time::Duration;
use tokio::time::Instant;

impl DecisionActor {
    /// Sends a command to a cache server's actor. Returns false if its mailbox is full or the actor does not exist.
    pub(super) fn command_peer(&mut self, cache: CacheIndex, command: PeerCommand) -> bool {
        let server = self.servers.get_mut(cache).and_then(|s| s.as_mut());
        server.is_some_and(|s| s.peer.command(command))
    }

    /// Forwards an invocation. `timeout` is the timeout of the answer, `send_before` the deadline for writing the
    /// request.
    pub(super) fn forward(
        &mut self,
        inv: InvocationIndex,
        cache: CacheIndex,
        timeout: Nanos,
        send_before: Option<Instant>,
    ) {
        let pending = self.pending.get_mut(&inv);
        invariant!(
            pending.as_ref().is_some_and(|p| !p.is_answered.get()),
            "nothing is sent for a completed invocation"
        );
        let Some(pending) = pending else { return };
        let id = ForwardId {
            inv,
            number: pending.forwards.len(),
            cache,
        };
        pending.forwards.push(cache);
        pending.forwards_out += 1;
        self.counts.forwards += 1;
        if let Some(reporter) = &mut self.reporter {
            reporter.count_forward(self.origins.contains(&cache));
        }
        let forward = Forward {
            id,
            invocation: pending.invocation.clone(),
            is_answered: pending.is_answered.clone(),
            ordered_at: Instant::now(),
            timeout: Duration::from_nanos(timeout),
            send_before,
        };
        if self.command_peer(cache, PeerCommand::Forward(forward)) {
            if let Some(server) = self.servers[cache].as_mut() {
                server.forwards_out += 1;
            }
            return;
        }
        self.queue_not_sent(id);
    }

    /// Queues the result of a forward that was certainly not sent: the mailbox is full or the server has left.
    fn queue_not_sent(&mut self, ForwardId { inv, number, cache }: ForwardId) {
        if let Some(pending) = self.pending.get_mut(&inv) {
            pending.forwards_out -= 1;
        }
        let outcome = ForwardOutcome {
            inv,
            forward_index: number,
            cache,
            outcome: Outcome::NotSent,
            latency: 0,
            is_final: false,
            cache_result: None,
            load: None,
        };
        self.queued_events.push_back(Event::ForwardEnded(outcome));
    }

    /// Withdraws a forward that is in flight.
    pub(super) fn withdraw(&mut self, inv: InvocationIndex, number: usize) {
        let pending = self.pending.get(&inv);
        let cache = pending.and_then(|p| p.forwards.get(number)).copied();
        let is_sent = cache
            .is_some_and(|cache| self.command_peer(cache, PeerCommand::Withdraw { inv, number }));
        invariant!(is_sent, "a forward that is withdrawn was sent");
    }

    /// Handles the end of a forward. A value becomes the invocation's answer if the invocation is not answered yet.
    pub(super) fn on_forward_ended(&mut self, forward: ForwardId, result: ForwardResult) {
        let ForwardId { inv, number, cache } = forward;
        self.counts.outcomes[result.outcome as usize] += 1;
        self.count_out(cache);
        let pending = self.pending.get_mut(&inv);
        invariant!(
            pending.is_some(),
            "a forward ends before its invocation is forgotten"
        );
        let Some(pending) = pending else { return };
        pending.forwards_out -= 1;
        if result.outcome == Outcome::Succeeded && !pending.is_answered.get() {
            self.counts.succeeded += 1;
            let latency = pending.received_at.elapsed();
            if let Some(reporter) = &mut self.reporter {
                reporter.count_success(pending.operation, latency);
            }
            let answer = Answer::Succeeded {
                content_type: result.content_type,
                body: result.body.bytes,
            };
            pending.conclude(answer, result.body.reservations);
        }
        let is_final = pending.is_answered.get();
        self.handle_event(Event::ForwardEnded(ForwardOutcome {
            inv,
            forward_index: number,
            cache,
            outcome: result.outcome,
            latency: result.latency.as_nanos() as Nanos,
            is_final,
            cache_result: result.cache_result,
            load: None,
        }));
        self.remove_if_complete(inv);
    }

    /// Counts the end of a forward at a cache server. A server that has left is removed with its last forward.
    fn count_out(&mut self, cache: CacheIndex) {
        if let Some(server) = self.servers[cache].as_mut() {
            server.forwards_out -= 1;
            if server.has_left && server.forwards_out == 0 {
                self.servers[cache] = None;
            }
        }
    }
}
