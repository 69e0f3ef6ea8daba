//! The index of kept prompts. Each prefix has one owner among the nodes, named by rendezvous hashing; whoever is about
//! to send a prompt asks the owner where its deepest shared part was read last and whether a store has it.
//!
//! Why not tell everybody of everything: the choice of the server needs no index (the election sends a prefix to the
//! same server from every node), only what is fetched and saved does, and that can be asked for while the connection
//! is looked for. Cost: one question a request, none a part kept; state: one entry a prefix, bounded.
//!
//! No I/O, no clock. Source for the split of an index over its keys' owners: Karger et al., "Consistent hashing and
//! random trees", STOC 1997.
use std::collections::HashMap;

pub type Nanos = u64;

/// Servers that are remembered for a prefix, the newest last.
const READERS: usize = 3;

/// What is known of one prefix.
#[derive(Clone, Debug, Default)]
struct Entry {
    readers: Vec<(u64, Nanos)>,
    /// When a store was last told to keep it, and which.
    saved: Option<(u64, Nanos)>,
    used: Nanos,
}

/// One question: this prefix is about to go to this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// Hash of the salt and the deepest shared part.
    pub prefix: u64,
    /// Hashes of the server that takes it, and of the store that could keep it (0: none).
    pub server: u64,
    pub store: u64,
}

/// What to do about its memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Tell the store to keep it.
    pub save: bool,
    /// The store has it.
    pub stored: bool,
    /// The server, other than the asked one, that read it last (0: none).
    pub reader: u64,
}

pub struct Index {
    entries: HashMap<u64, Entry>,
    most: usize,
    /// What a server read so long ago is not counted on.
    keeps: Nanos,
    /// A store is told again after so long.
    again: Nanos,
}

impl Index {
    /// `most` entries, about 120 bytes each; `keeps` and `again` in nanoseconds.
    pub fn new(most: usize, keeps: Nanos, again: Nanos) -> Index {
        Index { entries: HashMap::new(), most: most.max(16), keeps, again }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Answers, and remembers that the server reads it now.
    pub fn ask(&mut self, question: Question, now: Nanos) -> Advice {
        if self.entries.len() >= self.most && !self.entries.contains_key(&question.prefix) {
            self.forget();
        }
        let (keeps, again) = (self.keeps, self.again);
        let entry = self.entries.entry(question.prefix).or_default();
        entry.used = now;
        let fresh = |at: Nanos| now.saturating_sub(at) < keeps;
        let reader =
            entry.readers.iter().rev().find(|r| r.0 != question.server && fresh(r.1)).map_or(0, |r| r.0);
        let saved_at = entry.saved.filter(|s| s.0 == question.store && question.store != 0).map(|s| s.1);
        let stored = saved_at.is_some();
        let save = question.store != 0 && saved_at.is_none_or(|at| now.saturating_sub(at) > again);
        if save {
            entry.saved = Some((question.store, now));
        }
        entry.readers.retain(|r| r.0 != question.server);
        if entry.readers.len() == READERS {
            entry.readers.remove(0);
        }
        entry.readers.push((question.server, now));
        Advice { save, stored, reader }
    }

    /// The send did not come to anything, so what was advised to be saved was not.
    pub fn undo(&mut self, question: Question) {
        if let Some(entry) = self.entries.get_mut(&question.prefix) {
            entry.saved = None;
            entry.readers.retain(|r| r.0 != question.server);
        }
    }

    /// A store came back empty, or is gone.
    pub fn lost(&mut self, store: u64) {
        for entry in self.entries.values_mut() {
            entry.saved = entry.saved.filter(|s| s.0 != store);
        }
    }

    /// Drops the half that was unused the longest: sorting once for many keeps each question cheap.
    fn forget(&mut self) {
        let mut used: Vec<Nanos> = self.entries.values().map(|e| e.used).collect();
        used.sort_unstable();
        let middle = used.get(used.len() / 2).copied().unwrap_or(0);
        self.entries.retain(|_, e| e.used > middle);
    }
}
