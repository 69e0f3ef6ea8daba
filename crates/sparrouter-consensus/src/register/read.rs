//! Quorum reads: a vote that a quorum reports as the newest on its disks is chosen, and in force at that moment.
//!
//! Nothing is promised or stored. A read is answered by a query that began after it came (as in ReadIndex), so that it
//! sees every change that was answered before. Queries that don't agree end in a prepare phase.
use super::Register;
use crate::machine::Machine;
use crate::message::Message;
use crate::request::{Reply, RequestKind};
use crate::time::Nanos;
use crate::vote::{Member, SharedVote};

impl<M: Machine> Register<M> {
    pub(super) fn start_query(&mut self, attempt: u32, vote: SharedVote, now: Nanos) {
        let nonce = self.rng.u64(..);
        self.start_request(RequestKind::Query { nonce, attempt }, vote, now);
    }

    pub(super) fn on_query_reply(&mut self, from: &Member, reply: Reply, now: Nanos) {
        if self.record_reply(from, reply, now) {
            self.continue_query(now);
        }
    }

    /// Looks for a reported vote that a quorum has. Where all have answered without agreement, it soon asks again.
    pub(super) fn continue_query(&mut self, now: Nanos) {
        let round_trip = self.proposer.round_trip();
        let Some(request) = self.proposer.request_mut() else {
            return;
        };
        let chosen = request.reported_votes.iter().find(|vote| {
            self.quorum
                .is_quorum(vote, |disk| request.has_vote(disk, vote.id()))
        });
        if let Some(chosen) = chosen.cloned() {
            self.finish_query(&chosen, now);
        } else if request.has_all_replies() {
            request.repeat_at = request.repeat_at.min(now + round_trip);
        }
    }

    fn finish_query(&mut self, chosen: &SharedVote, now: Nanos) {
        let Some(request) = self.proposer.end_phase() else {
            return;
        };
        let vote_id = chosen.id();
        self.publish(chosen, now);
        for member in request.recipients_without(vote_id) {
            self.send(member, Message::Chosen { vote_id });
        }
        match self.proposer.prepared_mut() {
            // The number is still prepared: its next evaluation answers what came before this query.
            Some(prepared) if prepared.chosen.id() == vote_id => {
                prepared.confirmed = prepared.confirmed.max(request.sequence);
            }
            _ => {
                // Another proposer went on from here, or there was none.
                self.proposer.drop_prepared();
                self.answer_reads_before(request.sequence, chosen);
            }
        }
    }
}
