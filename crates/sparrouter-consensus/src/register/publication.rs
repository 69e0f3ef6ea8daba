//! Publication of chosen votes, and the newest chosen slot on this node's disk.
use super::{Action, Register};
use crate::machine::Machine;
use crate::message::Message;
use crate::time::Nanos;
use crate::vote::{Member, SharedVote, VoteId};

impl<M: Machine> Register<M> {
    /// Publishes a vote that is known to be chosen. Returns the vote without its previous group, which no longer votes.
    pub(super) fn publish(&mut self, vote: &SharedVote, now: Nanos) -> SharedVote {
        let vote = vote.without_previous_members();
        self.proposer.observe_term(vote.number);
        self.acceptor.learn(&vote);
        self.quorum.observe_group(&vote.state.members);
        if self.learner.learn(&vote) {
            self.actions.push(Action::Chosen(vote.state.clone()));
            // The slot that the prepared number was for is decided. If this node proposed the chosen vote, the caller
            // sets the prepared number again.
            self.proposer.drop_prepared();
        }
        self.on_vote_chosen(&vote, now);
        vote
    }

    pub(super) fn on_chosen(&mut self, from: Member, vote_id: VoteId, now: Nanos) {
        match self.accepted().filter(|vote| vote.id() == vote_id).cloned() {
            Some(vote) => {
                self.publish(&vote, now);
            }
            None if self.learner.chosen_slot() < Some(vote_id.slot) => {
                self.send(from, self.progress());
            }
            None => {}
        }
    }

    /// Sends the id of the newest chosen vote to a member whose newest vote is older.
    pub(super) fn notify_if_behind(&mut self, member: Member, accepted: Option<VoteId>) {
        if let Some(vote_id) = self.learner.chosen().map(|vote| vote.id())
            && accepted < Some(vote_id)
        {
            self.send(member, Message::Chosen { vote_id });
        }
    }

    /// Whether this node's newest vote may be chosen without this node's knowledge, for example because its proposer
    /// failed.
    pub(super) fn needs_confirmation(&self) -> bool {
        self.accepted().is_some_and(|vote| {
            self.learner.chosen_slot() < Some(vote.state.slot)
                && vote.is_elector(self.own_member.disk_id)
        })
    }

    /// The newest chosen slot, if this node's disk has its state in a vote without `previous_members`, or a vote for a
    /// later slot.
    pub(super) fn stored_chosen_slot(&self) -> Option<u64> {
        let chosen_slot = self.learner.chosen_slot()?;
        let stored = self.acceptor.stored_vote()?;
        let is_stored = match stored.previous_members {
            // A vote for a later slot was only proposed once this slot was chosen.
            Some(_) => stored.state.slot > chosen_slot,
            None => stored.state.slot >= chosen_slot,
        };
        is_stored.then_some(chosen_slot)
    }
}
