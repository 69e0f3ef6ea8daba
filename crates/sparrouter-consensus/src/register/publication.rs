//! Publication of chosen votes, and what this node's disk has of them.
use super::{Action, Register};
use crate::machine::Machine;
use crate::message::Message;
use crate::time::Nanos;
use crate::vote::{Member, SharedVote, VoteId};

impl<M: Machine> Register<M> {
    /// A vote is known to be chosen. Returns it without the previous group, which has no more say.
    pub(super) fn publish(&mut self, vote: &SharedVote, now: Nanos) -> SharedVote {
        let vote = vote.without_previous_members();
        self.proposer.observe_term(vote.number);
        self.acceptor.learn(&vote);
        self.quorum.observe_group(&vote.state.members);
        if self.learner.learn(&vote) {
            self.actions.push(Action::Chosen(vote.state.clone()));
            // The slot after the prepared number's vote is decided. Whoever just won it sets the number anew.
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

    /// Sends a member whose disk has an older vote the id of the newest chosen one.
    pub(super) fn notify_if_behind(&mut self, member: Member, accepted: Option<VoteId>) {
        if let Some(vote_id) = self.learner.chosen().map(|vote| vote.id())
            && accepted < Some(vote_id)
        {
            self.send(member, Message::Chosen { vote_id });
        }
    }

    /// Whether the newest vote here may be chosen without this node's knowledge: its proposer may be gone.
    pub(super) fn is_newest_uncommitted(&self) -> bool {
        self.accepted().is_some_and(|vote| {
            self.learner.chosen_slot() < Some(vote.state.slot) && vote.is_elector(self.me.disk_id)
        })
    }

    /// The newest chosen slot, if it is on disk without a previous group.
    pub(super) fn stored_chosen_slot(&self) -> Option<u64> {
        let chosen_slot = self.learner.chosen_slot()?;
        let stored = self.acceptor.stored_vote()?;
        let is_stored = match stored.previous_members {
            // A later slot on disk shows that this one was chosen.
            Some(_) => stored.state.slot > chosen_slot,
            None => stored.state.slot >= chosen_slot,
        };
        is_stored.then_some(chosen_slot)
    }
}
