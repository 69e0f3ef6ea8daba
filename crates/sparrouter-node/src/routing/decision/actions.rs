//! Carries out the actions of the policy.
use super::DecisionActor;
use crate::protocol::messages::Answer;
use crate::routing::endpoint_list::ListRequest;
use crate::routing::peer::PeerCommand;
use sparrouter_balancer::types::{Action, CacheIndex, Event, Nanos};
use std::cmp::Reverse;

impl DecisionActor {
    pub(super) fn carry_out(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Forward {
                inv,
                cache,
                wait,
                send_deadline,
            } => {
                let send_before = send_deadline.map(|time| self.clock.instant(time));
                self.forward(inv, cache, wait, send_before);
            }
            Action::Withdraw { inv, forward_index } => self.withdraw(inv, forward_index),
            Action::Throttle { inv, retry_after } => {
                self.counts.throttled += 1;
                self.conclude(inv, Answer::Throttled { retry_after });
            }
            Action::Error { inv } => {
                self.counts.errored += 1;
                self.conclude(inv, Answer::Errored);
            }
            Action::SetTimer { after, token } => self.timers.push(Reverse((now + after, token))),
            Action::CheckHealth { cache } => self.check_health(cache),
            Action::SendGossip { peer, message } => self.send_gossip(peer, &message),
            Action::FollowList => self.request_list(ListRequest::Subscribe),
            Action::RequestList => self.request_list(ListRequest::FetchFull),
        }
    }

    fn check_health(&mut self, cache: CacheIndex) {
        self.counts.probes += 1;
        if !self.command_peer(cache, PeerCommand::CheckHealth) {
            self.queued_events.push_back(Event::HealthChecked {
                cache,
                is_answered: false,
                load: None,
            });
        }
    }

    fn request_list(&mut self, request: ListRequest) {
        // If the mailbox is full, the same request is already queued.
        let _ = self.list.try_send(request);
    }
}
