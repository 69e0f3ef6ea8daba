//! Which members a shard's changes are forwarded to first, so that two proposers seldom compete. No safety property
//! depends on it.
use crate::vote::Member;
use sparrouter_rendezvous::{hash, order};

/// Members by preference for a shard, the same at every node. The order is by name, so that a wiped machine keeps its
/// rank.
pub fn ranked(shard: u16, members: &[Member]) -> Vec<&Member> {
    order(
        members.iter().map(|m| (hash(m.name.as_bytes()), m)),
        hash(&shard.to_le_bytes()),
    )
}
