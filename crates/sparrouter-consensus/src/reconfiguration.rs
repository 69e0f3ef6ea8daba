//! Reconfiguration of a shard's group: adds, removes or replaces one member at a time, based on observations of the
//! nodes.
//!
//! | observation | change of the group |
//! | --- | --- |
//! | a node with another disk id at a member's address | the member is replaced at once: its old disk is lost |
//! | a member is leaving or unresponsive for `contact_timeout`, and there is a candidate | the member is replaced |
//! | a member is leaving or unresponsive for `contact_timeout`, there is no candidate, and the group exceeds its initial size | the member is removed |
//! | no member is leaving, all were heard from within half of `contact_timeout`, there is a candidate, and the group has fewer than nine members; all this lasts for `contact_timeout` | the candidate is added |
//!
//! A node is added, or replaces a member, only after it has confirmed that the group's state is on its own disk
//! (`candidate`). Until then the old group stays, because after adding a member whose disk is empty or stalled the next
//! loss of a member could leave no majority.
//!
//! The first live member in the shard's order of preference proposes the change; each following member waits a further
//! tenth of `contact_timeout`. Safety doesn't depend on this order, because a change names the group that it was
//! decided for.
use crate::candidate::Candidates;
use crate::owner::ranked;
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::{MAX_MEMBERS, Member, State, contains_disk};

/// An observation of a node, as the membership protocol reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    /// The node with its current disk id.
    pub member: Member,
    /// Whether the node may be a member of a group.
    pub counts_toward_quorum: bool,
    /// Time since the node was last heard from; `None` if it never was.
    pub since_last_contact: Option<Nanos>,
    /// Whether the node announced its shutdown.
    pub leaving: bool,
}

/// A change of the group that this node intends to propose.
#[derive(Clone, Debug)]
struct IntendedChange {
    /// The group after the change.
    members: Vec<Member>,
    /// When the change was first decided; every later decision had the same result.
    since: Nanos,
}

/// Decides on changes of one shard's group, and keeps the state between observations.
#[derive(Clone, Debug, Default)]
pub struct Reconfiguration {
    /// The result of the last decision; `None` if the group needs no change or this node is not a member.
    intended: Option<IntendedChange>,
    /// Time of the first decision, from which the silence of a member that was never heard from is counted: the process
    /// may only not have heard from it yet.
    observing_since: Option<Nanos>,
    /// Confirmations of the candidates. Only a node whose disk is confirmed becomes a member.
    candidates: Candidates,
}

impl Reconfiguration {
    /// The group to propose now; `None` if the group needs no change, or this node is not a member or has to wait
    /// longer before it proposes.
    pub fn decide(
        &mut self,
        shard: u16,
        own_member: &Member,
        state: &State,
        observations: &[NodeObservation],
        settings: &Settings,
        now: Nanos,
    ) -> Option<Vec<Member>> {
        let observing_since = *self.observing_since.get_or_insert(now);
        let is_eligible = |disk_id| {
            let valid_for = confirmation_valid_for(settings);
            settings.defects.unconfirmed_candidates
                || self.candidates.is_confirmed(disk_id, valid_for, now)
        };
        let view = View {
            own_member,
            state,
            observations,
            contact_timeout: settings.contact_timeout,
            observed_for: now - observing_since,
            is_eligible: &is_eligible,
        };
        let is_member = contains_disk(&state.members, own_member.disk_id);
        let Some(members) = view.next_group(shard).filter(|_| is_member) else {
            self.intended = None;
            return None;
        };
        let delay = view.proposal_delay(shard, &members);
        let intended_since = self.intend(&members, now);
        (now - intended_since >= delay).then_some(members)
    }

    /// Records the change that a decision resulted in. Returns since when the result has been the same.
    fn intend(&mut self, members: &[Member], now: Nanos) -> Nanos {
        match &self.intended {
            Some(intended) if intended.members == members => intended.since,
            _ => {
                self.intended = Some(IntendedChange {
                    members: members.to_vec(),
                    since: now,
                });
                now
            }
        }
    }

    /// The nodes that may join the group once they confirm that their disks have its state.
    pub(crate) fn candidates(
        shard: u16,
        own_member: &Member,
        state: &State,
        observations: &[NodeObservation],
        settings: &Settings,
    ) -> Vec<Member> {
        let view = View {
            own_member,
            state,
            observations,
            contact_timeout: settings.contact_timeout,
            observed_for: settings.contact_timeout,
            is_eligible: &|_| true,
        };
        view.joinable_nodes(shard)
    }

    /// The candidates to ask now whether their disks have slot `chosen_slot`.
    pub(crate) fn choose_candidates_to_ask(
        &mut self,
        candidates: &[Member],
        chosen_slot: u64,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Member> {
        let valid_for = confirmation_valid_for(settings);
        self.candidates
            .choose_candidates_to_ask(candidates, chosen_slot, valid_for, now)
    }

    /// Records a node's report that `stored_slot` is the newest chosen slot on its disk.
    pub(crate) fn on_stored(&mut self, disk_id: u64, stored_slot: u64, now: Nanos) {
        self.candidates.on_stored(disk_id, stored_slot, now);
    }
}

/// How long a candidate's confirmation is valid. It is short, because adding a node that has failed in the meantime may
/// block the group.
fn confirmation_valid_for(settings: &Settings) -> Nanos {
    settings.contact_timeout / 2
}

/// The group and the observations that one decision is based on.
struct View<'a> {
    own_member: &'a Member,
    state: &'a State,
    observations: &'a [NodeObservation],
    contact_timeout: Nanos,
    /// Time since this node's first decision.
    observed_for: Nanos,
    /// Whether the disk with this id is confirmed to have the group's state.
    is_eligible: &'a dyn Fn(u64) -> bool,
}

impl View<'_> {
    fn find(&self, member: &Member) -> Option<&NodeObservation> {
        self.observations
            .iter()
            .find(|observation| observation.member.disk_id == member.disk_id)
    }

    /// Time since the member was last heard from, or since this node's first decision if it never was.
    fn unresponsive_for(&self, member: &Member) -> Nanos {
        if member.disk_id == self.own_member.disk_id {
            return 0;
        }
        self.find(member)
            .and_then(|observation| observation.since_last_contact)
            .unwrap_or(self.observed_for)
    }

    /// Whether the member was heard from recently enough to add a member to the group, which raises the majority. The
    /// limit is half of `contact_timeout`, because adding a member while another one has just become unreachable blocks
    /// the group until the unreachable member returns.
    fn is_present(&self, member: &Member) -> bool {
        let since_last_contact = self.find(member).and_then(|o| o.since_last_contact);
        member.disk_id == self.own_member.disk_id
            || since_last_contact.is_some_and(|since| since < self.contact_timeout / 2)
    }

    fn is_lost(&self, member: &Member) -> bool {
        self.unresponsive_for(member) >= self.contact_timeout
    }

    fn may_stay(&self, member: &Member) -> bool {
        !self.is_lost(member) && self.find(member).is_none_or(|o| !o.leaving)
    }

    /// Nodes outside the group that may join it, in order of preference: first nodes at a member's address, which
    /// replace that member at once, then all others by the shard's order.
    fn joinable_nodes(&self, shard: u16) -> Vec<Member> {
        let nodes: Vec<Member> = self
            .observations
            .iter()
            .filter(|observation| self.is_joinable(observation))
            .map(|observation| observation.member.clone())
            .collect();
        let mut joinable: Vec<Member> = ranked(shard, &nodes).into_iter().cloned().collect();
        joinable.sort_by_key(|node| self.member_at(&node.address).is_none());
        joinable.retain(|node| (self.is_eligible)(node.disk_id));
        joinable
    }

    fn is_joinable(&self, observation: &NodeObservation) -> bool {
        let node = &observation.member;
        let is_live = observation
            .since_last_contact
            .is_some_and(|since| since < self.contact_timeout);
        // Observations of a disk may still circulate after the disk was wiped.
        let is_newest_at_address = self
            .member_at(&node.address)
            .is_none_or(|member| self.unresponsive_for(member) > self.unresponsive_for(node));
        observation.counts_toward_quorum
            && !observation.leaving
            && is_live
            && !contains_disk(&self.state.members, node.disk_id)
            && is_newest_at_address
    }

    fn member_at(&self, address: &str) -> Option<&Member> {
        self.state
            .members
            .iter()
            .find(|member| member.address == address)
    }

    /// The group after the next change; `None` if the group needs no change.
    fn next_group(&self, shard: u16) -> Option<Vec<Member>> {
        let members = &self.state.members;
        let joinable = self.joinable_nodes(shard);
        if let Some(members) = self.group_with_wiped_member_replaced(&joinable) {
            return Some(members);
        }
        // Lost members are replaced before leaving members, which still vote.
        let lost = members.iter().position(|member| self.is_lost(member));
        let departing = lost.or_else(|| members.iter().position(|member| !self.may_stay(member)));
        match (departing, joinable.first()) {
            (Some(index), Some(node)) => Some(self.group_with(Some(index), Some(node))),
            (Some(index), None) if members.len() > usize::from(self.state.initial_size) => {
                Some(self.group_with(Some(index), None))
            }
            // No member is added while another one is lost: the larger majority would reduce the fault tolerance.
            (None, Some(node))
                if members.len() < MAX_MEMBERS
                    && members.iter().all(|member| self.is_present(member)) =>
            {
                Some(self.group_with(None, Some(node)))
            }
            _ => None,
        }
    }

    fn group_with_wiped_member_replaced(&self, joinable: &[Member]) -> Option<Vec<Member>> {
        joinable.iter().find_map(|node| {
            let mut members = self.state.members.iter();
            let index = members.position(|member| member.address == node.address)?;
            Some(self.group_with(Some(index), Some(node)))
        })
    }

    fn group_with(&self, removed: Option<usize>, added: Option<&Member>) -> Vec<Member> {
        let mut members = self.state.members.clone();
        if let Some(index) = removed {
            members.remove(index);
        }
        members.extend(added.cloned());
        members.sort_unstable();
        members
    }

    /// How long a change has to be intended before this node proposes it.
    fn proposal_delay(&self, shard: u16, next_group: &[Member]) -> Nanos {
        let members = &self.state.members;
        // An addition is delayed, because the new node may be the replacement of a member whose loss is not detected
        // yet.
        let addition_delay = if next_group.len() > members.len() {
            self.contact_timeout
        } else {
            0
        };
        let live_members_before_own = ranked(shard, members)
            .into_iter()
            .filter(|member| member.disk_id == self.own_member.disk_id || self.may_stay(member))
            .take_while(|member| member.disk_id != self.own_member.disk_id)
            .count() as u64;
        addition_delay + live_members_before_own * self.contact_timeout / 10
    }
}
