//! The bodies that a register has at hand: for others to fetch, and to complete outlines.
use crate::body::BodyReference;
use crate::vote::SharedVote;
use std::sync::Arc;

/// Bodies in the cache: one that is being fetched stays although a few newer ones came.
const MAX_BODIES: usize = 4;

/// Shared with the vote or the fetch that the body came from: neither is copied.
#[derive(Clone, Debug)]
pub(crate) enum CachedBytes {
    Vote(SharedVote),
    Fetched(Arc<Vec<u8>>),
}

impl CachedBytes {
    /// The bytes of the body.
    pub fn as_slice(&self) -> &[u8] {
        match self {
            CachedBytes::Vote(vote) => &vote.state.body,
            CachedBytes::Fetched(bytes) => bytes,
        }
    }
}

#[derive(Clone, Debug)]
struct CachedBody {
    body: BodyReference,
    bytes: CachedBytes,
}

/// The bodies used last.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyCache {
    /// In order of their last use; at most `MAX_BODIES`, each reference once.
    entries: Vec<CachedBody>,
}

impl BodyCache {
    /// Adds a body, or marks it as used.
    pub fn insert(&mut self, body: BodyReference, bytes: CachedBytes) {
        self.entries.retain(|entry| entry.body != body);
        self.entries.push(CachedBody { body, bytes });
        if self.entries.len() > MAX_BODIES {
            self.entries.remove(0);
        }
    }

    /// Adds a vote's body; its reference. The digest of a vote that is here already is not computed again.
    pub fn insert_vote(&mut self, vote: &SharedVote) -> BodyReference {
        let cached = self.entries.iter().find(|entry| match &entry.bytes {
            CachedBytes::Vote(cached) => Arc::ptr_eq(&cached.0, &vote.0),
            CachedBytes::Fetched(_) => false,
        });
        let body = match cached {
            Some(entry) => entry.body,
            None => BodyReference::of(&vote.state.body),
        };
        self.insert(body, CachedBytes::Vote(vote.clone()));
        body
    }

    /// A body, which counts as used.
    pub fn get(&mut self, body: BodyReference) -> Option<CachedBytes> {
        let bytes = self.peek(body)?.clone();
        self.insert(body, bytes.clone());
        Some(bytes)
    }

    /// A body, without a mark that it was used.
    pub fn peek(&self, body: BodyReference) -> Option<&CachedBytes> {
        self.entries
            .iter()
            .find(|entry| entry.body == body)
            .map(|entry| &entry.bytes)
    }
}
