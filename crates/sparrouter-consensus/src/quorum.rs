//! Majorities, and those of two groups at once where a state changes the group.
use crate::settings::Defects;
use crate::types::{Member, Vote};

pub fn majority(members: &[Member], has: impl Fn(u64) -> bool) -> bool {
    !members.is_empty() && members.iter().filter(|m| has(m.disk_id)).count() > members.len() / 2
}

/// Whether those that `has` names choose this vote, or may go on from it: a majority of the group that governs its
/// slot and of the group that it makes.
pub fn reached(
    vote: &Vote,
    has: impl Fn(u64) -> bool + Copy,
    at_start: &[Member],
    defects: &Defects,
) -> bool {
    let enough = |members: &[Member]| match defects.half_is_majority {
        true => members.iter().filter(|m| has(m.disk_id)).count() * 2 >= members.len(),
        false => majority(members, has),
    };
    if defects.old_group_only && !at_start.is_empty() {
        return enough(at_start);
    }
    (defects.skip_joint || enough(vote.governing())) && enough(&vote.state.members)
}
