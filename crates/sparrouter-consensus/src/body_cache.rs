//! LRU cache of bodies: other members fetch bodies from it, and this node completes outlines from it.
use crate::body::BodyReference;
use crate::vote::SharedVote;
use std::sync::Arc;

/// Maximum number of cached bodies. The cache holds more than one body, so that a body that a peer is fetching stays
/// cached while newer bodies are added.
const MAX_BODIES: usize = 4;

/// The bytes of a cached body, shared with the vote or the fetch that they came from, so that they are not copied.
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

/// The most recently used bodies.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyCache {
    /// Cached bodies, least recently used first; at most `MAX_BODIES`, each reference once.
    entries: Vec<CachedBody>,
}

impl BodyCache {
    /// Adds a body, or marks a cached body as most recently used.
    pub fn insert(&mut self, body: BodyReference, bytes: CachedBytes) {
        self.entries.retain(|entry| entry.body != body);
        self.entries.push(CachedBody { body, bytes });
        if self.entries.len() > MAX_BODIES {
            self.entries.remove(0);
        }
    }

    /// Adds a vote's body and returns its reference. The digest of a vote that is already cached is not computed again.
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

    /// Looks up a body and marks it as most recently used.
    pub fn get(&mut self, body: BodyReference) -> Option<CachedBytes> {
        let bytes = self.peek(body)?.clone();
        self.insert(body, bytes.clone());
        Some(bytes)
    }

    /// Looks up a body without marking it as used.
    pub fn peek(&self, body: BodyReference) -> Option<&CachedBytes> {
        self.entries
            .iter()
            .find(|entry| entry.body == body)
            .map(|entry| &entry.bytes)
    }
}
