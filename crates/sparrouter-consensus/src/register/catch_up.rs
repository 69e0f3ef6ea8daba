//! Catch-up: members compare their progress, and a member that is behind receives the newest chosen state.
use super::Register;
use crate::machine::Machine;
use crate::message::{Message, Outline};
use crate::operation::OperationKind;
use crate::time::Nanos;
use crate::transfer::TransferStep;
use crate::vote::{Member, VoteId};

/// Time limit of the internal read that confirms the newest vote, in anti-entropy intervals.
const CONFIRMATION_INTERVALS: Nanos = 8;

impl<M: Machine> Register<M> {
    /// Sends this node's progress to a node that may know the shard's group, which answers with its newest chosen
    /// state.
    pub fn request_state(&mut self, peer: Member, now: Nanos) {
        self.send(peer, self.progress());
        self.make_progress(now);
    }

    pub(super) fn progress(&self) -> Message {
        Message::Progress {
            accepted: self.accepted_vote(),
            chosen_slot: self.learner.chosen_slot(),
        }
    }

    /// Answers a peer's progress: sends the newest chosen state if the peer is behind, sends this node's progress if
    /// this node is behind, and otherwise reports the newest chosen slot on disk.
    pub(super) fn on_progress(
        &mut self,
        from: Member,
        accepted: Option<VoteId>,
        chosen_slot: Option<u64>,
    ) {
        let answer = match self.learner.catch_up_message(accepted, chosen_slot) {
            Some(message) => Some(message),
            None if chosen_slot > self.learner.chosen_slot() => Some(self.progress()),
            None => self.stored_report(&from),
        };
        if let Some(message) = answer {
            self.send(from, message);
        }
    }

    /// The report of the newest chosen slot on disk; `None` if both or neither of the two nodes are members. A node
    /// that leaves the group needs the members' reports to shut down, and a member needs a candidate's report to add
    /// it.
    fn stored_report(&self, from: &Member) -> Option<Message> {
        let is_member = self.learner.is_member(self.own_member.disk_id);
        if is_member == self.learner.is_member(from.disk_id) {
            return None;
        }
        let chosen_slot = self.stored_chosen_slot()?;
        Some(Message::Stored { chosen_slot })
    }

    /// If this node is outside the group, announces the newest chosen slot on its disk to the members.
    pub(super) fn announce_stored_slot(&mut self) {
        if self.learner.is_member(self.own_member.disk_id) {
            return;
        }
        let Some(chosen_slot) = self.stored_chosen_slot() else {
            return;
        };
        let Some(chosen) = self.learner.chosen().cloned() else {
            return;
        };
        if self.anti_entropy.should_announce(chosen_slot) {
            for member in &chosen.state.members {
                self.send(member.clone(), Message::Stored { chosen_slot });
            }
        }
    }

    /// Sends this node's progress to a peer if a comparison is due.
    pub(super) fn run_anti_entropy(&mut self, now: Nanos) {
        if !self
            .anti_entropy
            .start_comparison(&mut self.rng, &self.settings, now)
            || self.settings.defects.anti_entropy_disabled
        {
            return;
        }
        let members = self
            .acceptor
            .accepted()
            .map_or(&[][..], |vote| &vote.state.members);
        let other_members: Vec<&Member> = members
            .iter()
            .filter(|member| member.disk_id != self.own_member.disk_id)
            .collect();
        let peer = self
            .anti_entropy
            .choose_peer(&other_members, &mut self.rng)
            .cloned();
        if let Some(peer) = peer {
            self.send(peer, self.progress());
        }
    }

    /// Starts an internal read that finds out whether the newest vote is chosen, if a confirmation is due and the vote
    /// is still not known to be chosen.
    pub(super) fn run_confirmation(&mut self, now: Nanos) {
        if self.anti_entropy.start_confirmation(now)
            && self.needs_confirmation()
            && !self.operations.has_confirmation()
        {
            let deadline = now + CONFIRMATION_INTERVALS * self.settings.anti_entropy_interval;
            self.operations
                .push(None, OperationKind::ConfirmNewest, deadline);
        }
    }

    pub(super) fn on_outline(&mut self, from: Member, outline: Outline, now: Nanos) {
        let accepted = self.accepted().cloned();
        let step = self
            .transfers
            .on_outline(from, outline, accepted.as_ref(), &self.settings, now);
        self.continue_transfer(step);
    }

    pub(super) fn continue_transfer(&mut self, step: TransferStep) {
        self.inbox.extend(step.ready);
        self.send_all(step.sends);
    }
}
