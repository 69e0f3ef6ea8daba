//! Quorum reads: a vote that every member of a quorum reports as the newest vote on its disk is chosen, and no later
//! slot was chosen before the query.
//!
//! Reads promise and store nothing. A read is answered by a query that started after the read was submitted (as in
//! ReadIndex), so that it observes every change that was answered before. If the members of a quorum keep reporting
//! different votes, a prepare phase follows.
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

    /// Finishes the query if a quorum has the same vote. If all recipients have answered without agreement, the query
    /// is repeated after one round trip.
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
            // The number is still prepared: the next evaluation under it answers the operations that were submitted
            // before this query.
            Some(prepared) if prepared.chosen.id() == vote_id => {
                prepared.confirmed = prepared.confirmed.max(request.sequence);
            }
            _ => {
                // Another proposer has proposed a later slot, or there is no prepared number.
                self.proposer.drop_prepared();
                self.answer_reads_before(request.sequence, chosen);
            }
        }
    }
}
