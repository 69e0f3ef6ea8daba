//! Whom to relay a part's changes to, so that two proposers seldom meet; what holds never depends on it.
use crate::types::Member;
use sparrouter_rendezvous::{hash, order};

/// Members by preference for a part, the same at every node. By name: a wiped machine keeps its place.
pub fn ranked(part: u16, members: &[Member]) -> Vec<&Member> {
    order(
        members.iter().map(|m| (hash(m.name.as_bytes()), m)),
        hash(&part.to_le_bytes()),
    )
}

/// The best of the live members, if there is one.
pub fn owner(part: u16, live: &[Member]) -> Option<&Member> {
    ranked(part, live).into_iter().next()
}
