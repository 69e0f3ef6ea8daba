//! The order in which a shard's changes are forwarded to the members, so that two proposers rarely compete. No safety
//! property depends on the order.
use crate::vote::Member;
use sparrouter_rendezvous::{hash, order};

/// Members in order of preference for a shard: rendezvous hashing by member name, with the same result at every node. A
/// wiped machine keeps its name and therefore its rank.
pub fn ranked(shard: u16, members: &[Member]) -> Vec<&Member> {
    order(
        members.iter().map(|m| (hash(m.name.as_bytes()), m)),
        hash(&shard.to_le_bytes()),
    )
}
