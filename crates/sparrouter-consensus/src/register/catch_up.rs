//! Catch-up: members compare their progress, and who is behind is sent the newest chosen state.
use super::Register;
use crate::machine::Machine;
use crate::message::{Message, Outline};
use crate::operation::OperationKind;
use crate::time::Nanos;
use crate::transfer::TransferStep;
use crate::vote::{Member, VoteId};

/// Deadline of the register's own read that confirms the newest vote, in anti-entropy intervals.
const CONFIRMATION_INTERVALS: Nanos = 8;

impl<M: Machine> Register<M> {
    /// Asks a node, which may know the shard's group, for what it knows.
    pub fn request_state(&mut self, of: Member, now: Nanos) {
        self.send(of, self.progress());
        self.make_progress(now);
    }

    pub(super) fn progress(&self) -> Message {
        Message::Progress {
            accepted: self.accepted_vote(),
            chosen_slot: self.learner.chosen_slot(),
        }
    }

    /// Sends a node what it lacks, asks it for what this node lacks, or reports what this node's disk has.
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

    /// What this disk has, where just one of the two nodes is in the group: a node that leaves waits to hear whether it
    /// is missed, a member whether the other node may join.
    fn stored_report(&self, from: &Member) -> Option<Message> {
        let is_member = self.learner.is_member(self.me.disk_id);
        if is_member == self.learner.is_member(from.disk_id) {
            return None;
        }
        let chosen_slot = self.stored_chosen_slot()?;
        Some(Message::Stored { chosen_slot })
    }

    /// Outside the group, reports to its members a chosen slot that is on disk now.
    pub(super) fn announce_stored_slot(&mut self) {
        if self.learner.is_member(self.me.disk_id) {
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

    /// Compares this node's progress with another node's, if it is time.
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
            .filter(|member| member.disk_id != self.me.disk_id)
            .collect();
        let peer = self
            .anti_entropy
            .choose_peer(&other_members, &mut self.rng)
            .cloned();
        if let Some(peer) = peer {
            self.send(peer, self.progress());
        }
    }

    /// Finds out whether the newest vote is chosen, if it is time and nobody has yet.
    pub(super) fn run_confirmation(&mut self, now: Nanos) {
        if self.anti_entropy.start_confirmation(now)
            && self.is_newest_uncommitted()
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
