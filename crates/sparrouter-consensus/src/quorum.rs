//! Majorities, and joint majorities where a state changes the group.
//!
//! Invariant: any two quorums for one slot share a member, and so do a quorum for a slot and one for the next, because
//! the group that governs a slot is the one that the chosen state before it names.
use crate::defects::Defects;
use crate::vote::{Member, Vote};

/// Whether more than half of the members have a disk that `has` accepts. An empty group has no majority.
pub fn is_majority(members: &[Member], has: impl Fn(u64) -> bool) -> bool {
    2 * count(members, has) > members.len()
}

/// Whether the disks that `has` accepts choose this vote, or may go on from it: a majority of the group that governs its
/// slot, and one of the group that its state names.
fn is_joint_majority(vote: &Vote, has: impl Fn(u64) -> bool + Copy) -> bool {
    is_majority(vote.governing(), has) && is_majority(&vote.state.members, has)
}

fn count(members: &[Member], has: impl Fn(u64) -> bool) -> usize {
    members.iter().filter(|member| has(member.disk_id)).count()
}

/// Decides what is a quorum: a joint majority, unless a test injects a defect.
#[derive(Clone, Debug)]
pub(crate) struct QuorumRule {
    defects: Defects,
    /// The first group that this node knew; only the defect `old_group_only` looks at it.
    first_group: Vec<Member>,
}

impl QuorumRule {
    /// `first_group`: the group of the record on disk; empty if there is none.
    pub fn new(first_group: Vec<Member>, defects: Defects) -> QuorumRule {
        QuorumRule {
            defects,
            first_group,
        }
    }

    /// A group became known.
    pub fn observe_group(&mut self, members: &[Member]) {
        if self.first_group.is_empty() {
            self.first_group = members.to_vec();
        }
    }

    /// Whether the disks that `has` accepts are a quorum for this vote.
    pub fn is_quorum(&self, vote: &Vote, has: impl Fn(u64) -> bool + Copy) -> bool {
        self.defective_quorum(vote, has)
            .unwrap_or_else(|| is_joint_majority(vote, has))
    }

    /// What an injected defect says; `None` without one.
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
            .then(|| is_enough(vote.governing()) && is_enough(&vote.state.members))
    }
}
