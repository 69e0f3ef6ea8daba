//! Which nodes a node polls; a polled node thereby watches the poller.
use sparrouter_rendezvous::{hash, order};

/// How many sources a node polls at a time: one may freeze or be cut off without notice.
pub const SOURCE_COUNT: usize = 2;

/// The first `most` candidates in this node's rendezvous order, those with quorum contact first. `candidates`: name, and
/// whether it has quorum contact.
pub fn sources<'a>(
    own: &str,
    candidates: impl Iterator<Item = (&'a str, bool)>,
    most: usize,
) -> Vec<&'a str> {
    let key = hash(own.as_bytes());
    let mut ranked: Vec<(&str, bool)> = order(candidates.map(|c| (hash(c.0.as_bytes()), c)), key);
    ranked.sort_by_key(|c| !c.1);
    ranked
        .into_iter()
        .map(|c| c.0)
        .filter(|n| *n != own)
        .take(most)
        .collect()
}
