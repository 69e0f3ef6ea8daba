//! Changes of the group based on observations of the nodes, and this node's graceful shutdown.
use super::Register;
use crate::handover::ANSWER_VALID_INTERVALS;
use crate::machine::Machine;
use crate::operation::OperationKind;
use crate::reconfiguration::{NodeObservation, Reconfiguration};
use crate::request::Reply;
use crate::time::Nanos;
use crate::vote::{Member, SharedVote, contains_disk};

impl<M: Machine> Register<M> {
    /// Processes the observations of all nodes, and proposes a change of the group by at most one member if one is
    /// needed. The caller calls this whenever an observation changes, and periodically.
    pub fn observe_nodes(&mut self, observations: &[NodeObservation], now: Nanos) {
        self.choose_outside_peer(observations);
        let Some(chosen) = self.learner.chosen().cloned() else {
            return;
        };
        self.ask_candidates(&chosen, observations, now);
        let next_group = self.reconfiguration.decide(
            self.shard,
            &self.own_member,
            &chosen.state,
            observations,
            &self.settings,
            now,
        );
        if let Some(next_group) = next_group
            && !self.operations.has_member_change()
        {
            self.propose_group(&chosen, next_group, now);
        }
    }

    fn choose_outside_peer(&mut self, observations: &[NodeObservation]) {
        let contact_timeout = self.settings.contact_timeout;
        let is_live = |observation: &&NodeObservation| {
            observation
                .since_last_contact
                .is_some_and(|since| since < contact_timeout)
        };
        let live: Vec<&Member> = observations
            .iter()
            .filter(is_live)
            .map(|observation| &observation.member)
            .filter(|member| member.disk_id != self.own_member.disk_id)
            .collect();
        self.anti_entropy.choose_outside_peer(&live, &mut self.rng);
    }

    /// Asks the nodes that may join the group whether their disks have its state.
    fn ask_candidates(
        &mut self,
        chosen: &SharedVote,
        observations: &[NodeObservation],
        now: Nanos,
    ) {
        let candidates = Reconfiguration::candidates(
            self.shard,
            &self.own_member,
            &chosen.state,
            observations,
            &self.settings,
        );
        self.handover.has_successor = !candidates.is_empty();
        let candidates_to_ask = self.reconfiguration.choose_candidates_to_ask(
            &candidates,
            chosen.state.slot,
            &self.settings,
            now,
        );
        for candidate in candidates_to_ask {
            self.send(candidate, self.progress());
        }
    }

    fn propose_group(&mut self, chosen: &SharedVote, next_group: Vec<Member>, now: Nanos) {
        let members = chosen.state.members.iter();
        let change = OperationKind::ChangeMembers {
            old_disk_ids: members.map(|member| member.disk_id).collect(),
            new_members: next_group,
        };
        let deadline = now + self.settings.contact_timeout;
        self.operations.push(None, change, deadline);
        self.make_progress(now);
    }

    /// Whether a node outside the group may shut down: a majority of the group has a state that excludes this node on
    /// disk. Until then this node's vote may be needed to recover that state.
    pub fn may_leave(&self) -> bool {
        self.accepted().is_none_or(|vote| {
            !vote.is_elector(self.own_member.disk_id) && self.learner.is_exclusion_stored()
        })
    }

    /// Asks the other members which state they have on disk. A node that shuts down calls this repeatedly until
    /// `is_handed_over` returns true.
    pub fn continue_handover(&mut self, now: Nanos) {
        let Some(chosen) = self.learner.chosen().cloned() else {
            return;
        };
        let message = if self.learner.is_member(self.own_member.disk_id) {
            self.handover.query(&chosen, || self.rng.u64(..))
        } else {
            self.progress()
        };
        for member in &chosen.state.members {
            if member.disk_id != self.own_member.disk_id {
                self.send(member.clone(), message.clone());
            }
        }
        self.make_progress(now);
    }

    pub(super) fn on_handover_report(&mut self, from: Member, reply: &Reply, now: Nanos) {
        let newer_vote = reply.newer_vote.as_ref();
        self.handover
            .on_report(from.disk_id, reply.accepted, newer_vote, now);
        self.notify_if_behind(from, reply.accepted);
    }

    /// Whether this node may shut down: its state is also on other disks, and its vote is not needed for a quorum.
    pub fn is_handed_over(&self, now: Nanos) -> bool {
        let Some(chosen) = self.learner.chosen() else {
            return self.accepted().is_none();
        };
        if !contains_disk(&chosen.state.members, self.own_member.disk_id) {
            return self.may_leave();
        }
        let is_newest_chosen = self.accepted_vote() == Some(chosen.id());
        if let [_] = chosen.state.members.as_slice() {
            // The group has no other member, so there is no node to hand over to and no quorum to keep.
            return is_newest_chosen && !self.handover.has_successor;
        }
        let valid_for = ANSWER_VALID_INTERVALS * self.settings.anti_entropy_interval;
        is_newest_chosen
            && !self.handover.has_successor
            && self
                .handover
                .is_confirmed(chosen, self.own_member.disk_id, valid_for, now)
    }
}
