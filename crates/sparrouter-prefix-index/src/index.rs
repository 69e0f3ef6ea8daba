//! The parts that a node owns: who keeps each, as followers tell, and who is about to.
use crate::Nanos;
use std::collections::{HashMap, HashSet};

/// Holders that are remembered for a part, and servers that are about to read it; the newest last.
const HOLDERS: usize = 6;
const READERS: usize = 3;

/// How long things hold.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Most parts, about 150 bytes each.
    pub most: usize,
    /// What a server that nobody follows read so long ago is not counted on.
    pub keeps: Nanos,
    /// A store that nobody follows is told again after so long.
    pub again: Nanos,
    /// By then a followed source has told of what it read or was given.
    pub heard: Nanos,
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Source, tokens.
    holders: Vec<(u64, u32)>,
    /// Servers that were sent it, and when.
    readers: Vec<(u64, Nanos)>,
    /// When a store was last told to keep it, and which.
    saved: Option<(u64, Nanos)>,
    used: Nanos,
}

/// One question: this part, the last of a prefix, is about to go to this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// Hash of the salt and the part's id.
    pub key: u64,
    /// Hashes of the server that takes it, and of the store that could keep it (0: none).
    pub server: u64,
    pub store: u64,
}

/// What to do about its memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Tell the store to keep it.
    pub save: bool,
    /// The server has it itself.
    pub held: bool,
    /// Others that have it, the newest first: hashes of servers and stores.
    pub holders: Vec<u64>,
    /// A server that was sent it lately and has not told yet (0: none).
    pub reader: u64,
}

pub struct Index {
    entries: HashMap<u64, Entry>,
    terms: Terms,
    /// Sources whose follower was heard of here.
    followed: HashSet<u64>,
}

impl Index {
    pub fn new(terms: Terms) -> Index {
        let terms = Terms {
            most: terms.most.max(16),
            ..terms
        };
        Index {
            entries: HashMap::new(),
            terms,
            followed: HashSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn room(&mut self, key: u64) {
        if self.entries.len() >= self.terms.most && !self.entries.contains_key(&key) {
            self.forget();
        }
    }

    /// A follower tells what a source keeps of a part now; 0 tokens: nothing.
    pub fn told(&mut self, source: u64, key: u64, tokens: u32, now: Nanos) {
        if self.followed.len() < self.terms.most {
            self.followed.insert(source);
        }
        if tokens == 0 {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.holders.retain(|h| h.0 != source);
                entry.readers.retain(|r| r.0 != source);
                if entry.holders.is_empty() && entry.readers.is_empty() && entry.saved.is_none() {
                    self.entries.remove(&key);
                }
            }
            return;
        }
        self.room(key);
        let entry = self.entries.entry(key).or_default();
        entry.used = entry.used.max(now);
        entry.holders.retain(|h| h.0 != source);
        entry.readers.retain(|r| r.0 != source);
        if entry.holders.len() == HOLDERS {
            entry.holders.remove(0);
        }
        entry.holders.push((source, tokens));
    }

    /// Answers, and remembers that the server is about to read it.
    pub fn ask(&mut self, question: Question, now: Nanos) -> Advice {
        let Question { key, server, store } = question;
        self.room(key);
        let Terms {
            keeps,
            again,
            heard,
            ..
        } = self.terms;
        let followed = &self.followed;
        let entry = self.entries.entry(key).or_default();
        entry.used = now;
        let believed = |r: &(u64, Nanos)| {
            let span = if followed.contains(&r.0) {
                heard
            } else {
                keeps
            };
            r.0 != server && now.saturating_sub(r.1) < span
        };
        let reader = entry
            .readers
            .iter()
            .rev()
            .find(|r| believed(r))
            .map_or(0, |r| r.0);
        let held = entry.holders.iter().any(|h| h.0 == server);
        let mut holders: Vec<u64> = entry
            .holders
            .iter()
            .rev()
            .map(|h| h.0)
            .filter(|h| *h != server)
            .collect();
        let told = entry
            .saved
            .filter(|s| s.0 == store && store != 0)
            .map(|s| now.saturating_sub(s.1));
        let stored = entry.holders.iter().any(|h| h.0 == store);
        // One that is followed says itself when it has it.
        let patience = if followed.contains(&store) {
            heard
        } else {
            again
        };
        if told.is_some_and(|age| age < again) && !followed.contains(&store) {
            holders.push(store);
        }
        let save = store != 0 && !stored && told.is_none_or(|age| age > patience);
        if save {
            entry.saved = Some((store, now));
        }
        if !held {
            entry.readers.retain(|r| r.0 != server);
            if entry.readers.len() == READERS {
                entry.readers.remove(0);
            }
            entry.readers.push((server, now));
        }
        Advice {
            save,
            held,
            holders,
            reader,
        }
    }

    /// A source came back empty, is gone, or what it keeps is not known any more.
    pub fn lost(&mut self, source: u64) {
        self.entries.retain(|_, entry| {
            entry.holders.retain(|h| h.0 != source);
            entry.readers.retain(|r| r.0 != source);
            entry.saved = entry.saved.filter(|s| s.0 != source);
            !(entry.holders.is_empty() && entry.readers.is_empty() && entry.saved.is_none())
        });
        self.followed.remove(&source);
    }

    /// Drops the half that was unused the longest: sorting once for many keeps each question cheap.
    fn forget(&mut self) {
        let mut used: Vec<Nanos> = self.entries.values().map(|e| e.used).collect();
        used.sort_unstable();
        let middle = used.get(used.len() / 2).copied().unwrap_or(0);
        self.entries.retain(|_, e| e.used > middle);
    }
}
