//! Majorities, and joint majorities for states that change the group.
//!
//! Invariant: any two quorums of one slot share a member, and so do a quorum of a slot and a quorum of the next slot,
//! because the group that governs a slot is named by the chosen state of the slot before it.
use crate::defects::Defects;
use crate::vote::{Member, Vote};

/// Whether `has` is true for the disks of more than half of the members. An empty group has no majority.
pub fn is_majority(members: &[Member], has: impl Fn(u64) -> bool) -> bool {
    2 * count(members, has) > members.len()
}

/// Whether the disks for which `has` is true include a majority of the group that governs the vote's slot and a
/// majority of the group that the vote's state names.
fn is_joint_majority(vote: &Vote, has: impl Fn(u64) -> bool + Copy) -> bool {
    is_majority(vote.governing_members(), has) && is_majority(&vote.state.members, has)
}

fn count(members: &[Member], has: impl Fn(u64) -> bool) -> usize {
    members.iter().filter(|member| has(member.disk_id)).count()
}

/// Decides whether a set of disks is a quorum: it has to be a joint majority, unless a test injects a defect.
#[derive(Clone, Debug)]
pub(crate) struct QuorumRule {
    defects: Defects,
    /// The first group that this node knew; used only by the defect `old_group_only`.
    first_group: Vec<Member>,
}

impl QuorumRule {
    /// Creates the rule. `first_group` is the group of the record on disk; it is empty if there is no record.
    pub fn new(first_group: Vec<Member>, defects: Defects) -> QuorumRule {
        QuorumRule {
            defects,
            first_group,
        }
    }

    /// Records a group that became known.
    pub fn observe_group(&mut self, members: &[Member]) {
        if self.first_group.is_empty() {
            self.first_group = members.to_vec();
        }
    }

    /// Whether the disks for which `has` is true are a quorum for this vote.
    pub fn is_quorum(&self, vote: &Vote, has: impl Fn(u64) -> bool + Copy) -> bool {
        self.defective_quorum(vote, has)
            .unwrap_or_else(|| is_joint_majority(vote, has))
    }

    /// The decision of an injected defect; `None` if no defect of quorums is injected.
    fn defective_quorum(&self, vote: &Vote, has: impl Fn(u64) -> bool + Copy) -> Option<bool> {
        let is_enough = |members: &[Member]| match self.defects.half_is_majority {
            true => 2 * count(members, has) >= members.len(),
            false => is_majority(members, has),
        };
        if self.defects.old_group_only && !self.first_group.is_empty() {
            return Some(is_enough(&self.first_group));
        }
        if self.defects.skip_joint {
            return Some(is_enough(&vote.state.members));
        }
        self.defects
            .half_is_majority
            .then(|| is_enough(vote.governing_members()) && is_enough(&vote.state.members))
    }
}
