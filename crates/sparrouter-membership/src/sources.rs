//! Selects the nodes that a node polls. A polled node in turn monitors the nodes that poll it.
use sparrouter_rendezvous::{hash, order};

/// Number of sources that a node polls concurrently: more than one, because a source may freeze or be partitioned
/// undetected.
pub const SOURCE_COUNT: usize = 2;

/// Selects up to `max_sources` candidates in the rendezvous order of this node. Candidates with quorum contact come first.
///
/// `own` is the name of this node, which is never one of its own sources. `candidates` yields the name of each candidate and
/// whether it has quorum contact.
pub fn sources<'a>(
    own: &str,
    candidates: impl Iterator<Item = (&'a str, bool)>,
    max_sources: usize,
) -> Vec<&'a str> {
    let key = hash(own.as_bytes());
    let members = candidates.map(|candidate| (hash(candidate.0.as_bytes()), candidate));
    let mut ranked: Vec<(&str, bool)> = order(members, key);
    // The sort is stable, so it keeps the rendezvous order within each group.
    ranked.sort_by_key(|(_, has_quorum_contact)| !has_quorum_contact);
    ranked
        .into_iter()
        .map(|(name, _)| name)
        .filter(|name| *name != own)
        .take(max_sources)
        .collect()
}
