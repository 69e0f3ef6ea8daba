//! Whom a node asks for what is new, and who thereby watches it.
use sparrouter_rendezvous::{hash, order};

/// How many sources a node asks at a time: one may freeze or be cut off without a word.
pub const SOURCES: usize = 2;

/// The first few candidates in this node's own order; those that know themselves in touch with a quorum first.
/// `candidates`: name and whether it is in touch.
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
