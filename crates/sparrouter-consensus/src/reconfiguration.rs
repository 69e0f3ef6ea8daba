//! Who belongs to a shard's group: one member added, removed or replaced at a time, by what is observed of the nodes.
//!
//! | observed | change |
//! | --- | --- |
//! | a node at a member's address under another disk | replaced at once: the old disk is gone |
//! | a member unresponsive for `contact_timeout` or leaving, and a candidate | replaced |
//! | a member unresponsive for `contact_timeout` or leaving, group above its initial size | removed |
//! | for `contact_timeout` every member heard from within half of it, a candidate, fewer than nine members | added |
//!
//! A node is added, or put in a member's place, only after its own disk has confirmed the group's state (`candidate`).
//! Until then the old group stays: with a member whose disk is empty or stalled the next loss would leave no majority.
//!
//! The first of the live members in the shard's order proposes; each behind it waits a further tenth of
//! `contact_timeout`. Safety doesn't depend on that: a change carries the group that it was decided for.
use crate::candidate::Candidates;
use crate::owner::ranked;
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::{MAX_MEMBERS, Member, State, contains_disk};

/// A node as discovery has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    /// The node under the disk id that it has now.
    pub member: Member,
    /// Whether it may belong to a group.
    pub counts_toward_quorum: bool,
    /// Time since it was last heard from; `None` if it never was.
    pub since_last_contact: Option<Nanos>,
    /// Whether it announced that it shuts down.
    pub leaving: bool,
}

/// A change of the group that this node would make.
#[derive(Clone, Debug)]
struct IntendedChange {
    members: Vec<Member>,
    /// Since when each decision has come to the same change.
    since: Nanos,
}

/// Decides on changes of one shard's group, from observation to observation.
#[derive(Clone, Debug, Default)]
pub struct Reconfiguration {
    /// What the last decision came to; `None` if the group may stay as it is or this node is not in it.
    intended: Option<IntendedChange>,
    /// Time of the first decision: a member not heard from by then may only not have been heard from yet.
    observing_since: Option<Nanos>,
    /// Only nodes whose disks are confirmed here become members.
    candidates: Candidates,
}

impl Reconfiguration {
    /// The group to propose now, if it is this node's turn.
    pub fn decide(
        &mut self,
        shard: u16,
        me: &Member,
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
            me,
            state,
            observations,
            contact_timeout: settings.contact_timeout,
            observed_for: now - observing_since,
            is_eligible: &is_eligible,
        };
        let is_member = contains_disk(&state.members, me.disk_id);
        let Some(members) = view.next_group(shard).filter(|_| is_member) else {
            self.intended = None;
            return None;
        };
        let delay = view.proposal_delay(shard, &members);
        let intended_since = self.intend(&members, now);
        (now - intended_since >= delay).then_some(members)
    }

    /// Notes the change that a decision came to; since when it has been the same.
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

    /// The nodes that may join the group, if their disks confirm that they have its state.
    pub(crate) fn candidates(
        shard: u16,
        me: &Member,
        state: &State,
        observations: &[NodeObservation],
        settings: &Settings,
    ) -> Vec<Member> {
        let view = View {
            me,
            state,
            observations,
            contact_timeout: settings.contact_timeout,
            observed_for: settings.contact_timeout,
            is_eligible: &|_| true,
        };
        view.joinable_nodes(shard)
    }

    /// The candidates to be asked now whether their disks have slot `chosen_slot`.
    pub(crate) fn choose_questions(
        &mut self,
        candidates: &[Member],
        chosen_slot: u64,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Member> {
        let valid_for = confirmation_valid_for(settings);
        self.candidates
            .choose_questions(candidates, chosen_slot, valid_for, now)
    }

    /// A node reported that its disk has the chosen slots up to `stored_slot`.
    pub(crate) fn on_stored(&mut self, disk_id: u64, stored_slot: u64, now: Nanos) {
        self.candidates.on_stored(disk_id, stored_slot, now);
    }
}

/// How long a candidate's confirmation is valid: a proposal that lets in a node that has gone meanwhile may block the
/// group.
fn confirmation_valid_for(settings: &Settings) -> Nanos {
    settings.contact_timeout / 2
}

/// The group and the nodes as one decision sees them.
struct View<'a> {
    me: &'a Member,
    state: &'a State,
    observations: &'a [NodeObservation],
    contact_timeout: Nanos,
    /// How long this node has been observing.
    observed_for: Nanos,
    /// Whether this disk is confirmed to have the group's state.
    is_eligible: &'a dyn Fn(u64) -> bool,
}

impl View<'_> {
    fn find(&self, member: &Member) -> Option<&NodeObservation> {
        self.observations
            .iter()
            .find(|observation| observation.member.disk_id == member.disk_id)
    }

    /// Time since the member was heard from, or since this node observes.
    fn unresponsive_for(&self, member: &Member) -> Nanos {
        if member.disk_id == self.me.disk_id {
            return 0;
        }
        self.find(member)
            .and_then(|observation| observation.since_last_contact)
            .unwrap_or(self.observed_for)
    }

    /// Whether a member can be counted on by a group that needs one more vote. Half of `contact_timeout`, since a
    /// proposal to a member that has just been cut off blocks the group until it is back.
    fn is_present(&self, member: &Member) -> bool {
        let since_last_contact = self.find(member).and_then(|o| o.since_last_contact);
        member.disk_id == self.me.disk_id
            || since_last_contact.is_some_and(|since| since < self.contact_timeout / 2)
    }

    fn is_lost(&self, member: &Member) -> bool {
        self.unresponsive_for(member) >= self.contact_timeout
    }

    fn may_stay(&self, member: &Member) -> bool {
        !self.is_lost(member) && self.find(member).is_none_or(|o| !o.leaving)
    }

    /// Nodes outside the group that could join it, in the order in which they are taken: first those at a member's
    /// address, which take its place at once, then by the shard's preference.
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
        // An observation of a disk that was wiped may circulate for longer than the disk existed.
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

    /// The group after the next change; `None` if the group may stay as it is.
    fn next_group(&self, shard: u16) -> Option<Vec<Member>> {
        let members = &self.state.members;
        let joinable = self.joinable_nodes(shard);
        if let Some(members) = self.group_with_wiped_member_replaced(&joinable) {
            return Some(members);
        }
        // A leaving member is replaced last: it still votes.
        let lost = members.iter().position(|member| self.is_lost(member));
        let departing = lost.or_else(|| members.iter().position(|member| !self.may_stay(member)));
        match (departing, joinable.first()) {
            (Some(index), Some(node)) => Some(self.group_with(Some(index), Some(node))),
            (Some(index), None) if members.len() > usize::from(self.state.initial_size) => {
                Some(self.group_with(Some(index), None))
            }
            // One more member beside a lost one would leave fewer to spare than before.
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
        // A new node may replace a member whose loss nobody has noticed yet: then it is no addition.
        let addition_delay = if next_group.len() > members.len() {
            self.contact_timeout
        } else {
            0
        };
        let live_members_before_me = ranked(shard, members)
            .into_iter()
            .filter(|member| member.disk_id == self.me.disk_id || self.may_stay(member))
            .take_while(|member| member.disk_id != self.me.disk_id)
            .count() as u64;
        addition_delay + live_members_before_me * self.contact_timeout / 10
    }
}
