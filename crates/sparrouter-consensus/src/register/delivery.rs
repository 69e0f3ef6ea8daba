//! Dispatch of received messages to the Paxos roles that handle them.
use super::Register;
use crate::machine::Machine;
use crate::message::{Message, Received};
use crate::request::{Reply, ReplyTo};
use crate::time::Nanos;
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId};

impl<M: Machine> Register<M> {
    #[expect(
        clippy::too_many_lines,
        reason = "one arm for each message, which calls the role that handles it"
    )]
    pub(super) fn deliver(&mut self, received: Received, now: Nanos) {
        let Received { from, message } = received;
        match message {
            Message::Prepare { number, known } => self.on_prepare(&from, number, known),
            Message::Accept { vote } => self.on_accept(&from, vote, now),
            Message::Query { nonce, known } => self.acceptor.on_query(&from, nonce, known),
            Message::Promise {
                number,
                accepted,
                newer_vote,
            } => {
                let reply = Reply {
                    to: ReplyTo::Prepare(number),
                    accepted,
                    newer_vote,
                };
                self.on_promise(&from, reply, now);
            }
            Message::Accepted { vote_id } => self.on_accepted(&from, vote_id, now),
            Message::Reject {
                number, promised, ..
            } => {
                self.proposer.observe_term(promised);
                self.on_reject(&from, number, now);
            }
            Message::Report {
                nonce,
                promised,
                accepted,
                newer_vote,
            } => {
                self.proposer.observe_term(promised);
                let reply = Reply {
                    to: ReplyTo::Query(nonce),
                    accepted,
                    newer_vote,
                };
                self.on_report(from, nonce, reply, now);
            }
            Message::Chosen { vote_id } => self.on_chosen(from, vote_id, now),
            Message::Progress {
                accepted,
                chosen_slot,
            } => self.on_progress(from, accepted, chosen_slot),
            Message::Stored { chosen_slot } => {
                self.learner.on_stored(from.disk_id, chosen_slot);
                self.reconfiguration
                    .on_stored(from.disk_id, chosen_slot, now);
            }
            Message::Learn { vote } => {
                self.publish(&vote, now);
            }
            Message::Outline(outline) => self.on_outline(from, outline, now),
            Message::FetchChunk { body, offset } => {
                let answer = self.transfers.on_fetch_chunk(body, offset, &self.settings);
                self.send(from, answer);
            }
            Message::BodyChunk {
                body,
                offset,
                chunk,
            } => {
                let step = self
                    .transfers
                    .on_chunk(&from, body, offset, chunk, &self.settings, now);
                self.continue_transfer(step);
            }
            Message::BodyUnavailable { body } => {
                let sends = self
                    .transfers
                    .on_body_unavailable(&from, body, &self.settings, now);
                self.send_all(sends);
            }
        }
    }

    fn on_prepare(&mut self, from: &Member, number: ProposalNumber, known: Option<VoteId>) {
        self.proposer.observe_term(number);
        self.acceptor
            .on_prepare(from, number, known, &self.settings);
    }

    fn on_accept(&mut self, from: &Member, vote: SharedVote, now: Nanos) {
        self.proposer.observe_term(vote.number);
        self.acceptor.on_accept(from, vote, &self.settings);
        if self.settings.defects.publish_accepted
            && let Some(vote) = self.accepted().cloned()
        {
            self.publish(&vote, now);
        }
    }

    /// Handles a report, which answers either a read or the hand-over check of a leaving member.
    fn on_report(&mut self, from: Member, nonce: u64, reply: Reply, now: Nanos) {
        if self.handover.awaits(nonce) {
            self.on_handover_report(from, &reply, now);
        } else {
            self.on_query_reply(&from, reply, now);
        }
    }
}
