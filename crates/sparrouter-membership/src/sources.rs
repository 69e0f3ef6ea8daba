//! Which nodes a node polls; a polled node thereby watches the poller.
use sparrouter_rendezvous::{hash, order};

/// Number of sources that a node polls at a time: one of them may freeze or be partitioned without notice.
pub const SOURCE_COUNT: usize = 2;

/// The first `max_sources` candidates in this node's rendezvous order, those with quorum contact first.
///
/// `own`: the name of this node, which is never among its own sources. `candidates`: the name of each, and whether it has
/// quorum contact.
pub fn sources<'a>(
    own: &str,
    candidates: impl Iterator<Item = (&'a str, bool)>,
    max_sources: usize,
) -> Vec<&'a str> {
    let key = hash(own.as_bytes());
    let members = candidates.map(|candidate| (hash(candidate.0.as_bytes()), candidate));
    let mut ranked: Vec<(&str, bool)> = order(members, key);
    // The sort is stable: within each group the rendezvous order stays.
    ranked.sort_by_key(|(_, has_quorum_contact)| !has_quorum_contact);
    ranked
        .into_iter()
        .map(|(name, _)| name)
        .filter(|name| *name != own)
        .take(max_sources)
        .collect()
}
