//! The parts that a node owns: which sources keep each, as their followers report, and which servers are about to.
use crate::Nanos;
use std::collections::{HashMap, HashSet};

/// Most holders that are remembered for a part, the newest last.
const MAX_HOLDERS: usize = 6;
/// Most servers that are remembered as about to read a part, the newest last.
const MAX_READERS: usize = 3;
/// Fewest parts that an index may be limited to: room for the halving of `evict_least_used`.
const MIN_CAPACITY: usize = 16;

/// The capacity and time limits of an [`Index`].
#[derive(Clone, Copy, Debug)]
pub struct IndexSettings {
    /// Most parts that are kept, about 150 bytes each; at least 16.
    pub max_blocks: usize,
    /// How long a part that was sent to a server without a follower counts as cached there.
    pub assumed_retention: Nanos,
    /// How long until a store without a follower is asked again to save a part.
    pub save_retry_interval: Nanos,
    /// How long until the follower of a source has reported what the source read or was given.
    pub max_report_delay: Nanos,
}

/// A server that a part was sent to.
#[derive(Clone, Copy, Debug)]
struct Reader {
    server: u64,
    sent_at: Nanos,
}

/// A store that was asked to save a part.
#[derive(Clone, Copy, Debug)]
struct SaveRequest {
    store: u64,
    sent_at: Nanos,
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Hashes of the sources that keep it, the newest last.
    holders: Vec<u64>,
    /// Servers that it was sent to, the newest last.
    readers: Vec<Reader>,
    /// The last request to save it.
    saved: Option<SaveRequest>,
    last_used: Nanos,
}

impl Entry {
    fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.readers.is_empty() && self.saved.is_none()
    }

    /// The source does not keep the part, as far as is known.
    fn remove_source(&mut self, source: u64) {
        self.holders.retain(|holder| *holder != source);
        self.readers.retain(|reader| reader.server != source);
    }

    fn add_holder(&mut self, source: u64) {
        if self.holders.len() == MAX_HOLDERS {
            self.holders.remove(0);
        }
        self.holders.push(source);
    }

    fn add_reader(&mut self, server: u64, sent_at: Nanos) {
        self.readers.retain(|reader| reader.server != server);
        if self.readers.len() == MAX_READERS {
            self.readers.remove(0);
        }
        self.readers.push(Reader { server, sent_at });
    }

    fn is_held_by(&self, source: u64) -> bool {
        self.holders.contains(&source)
    }

    /// Sources other than `server` that keep the part, the newest first.
    fn holders_except(&self, server: u64) -> Vec<u64> {
        let newest_first = self.holders.iter().rev().copied();
        newest_first.filter(|source| *source != server).collect()
    }
}

/// A question to the owner of a part: this part, the last one of a prefix, is about to be sent to this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixQuery {
    /// Hash of the salt and the part's id.
    pub key: u64,
    /// Hash of the server that it is sent to.
    pub server: u64,
    /// Hash of the store that could save it; 0 if there is none.
    pub store: u64,
}

/// The answer to a [`Question`]: where the part can be fetched, and whether to save it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixLocation {
    /// The store should be asked to save it.
    pub save: bool,
    /// The server keeps it itself.
    pub is_cached: bool,
    /// Hashes of other servers and stores that keep it, the newest first.
    pub cached_at: Vec<u64>,
    /// Hash of a server that was sent it lately and whose follower has not reported it yet; 0 if there is none.
    pub prefilling_server: u64,
}

/// The parts that one node owns, bounded by [`Terms::most`].
pub struct PrefixIndex {
    entries: HashMap<u64, Entry>,
    terms: IndexSettings,
    /// Sources whose follower has reported to this node.
    followed: HashSet<u64>,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new(terms: IndexSettings) -> PrefixIndex {
        let terms = IndexSettings {
            max_blocks: terms.max_blocks.max(MIN_CAPACITY),
            ..terms
        };
        PrefixIndex {
            entries: HashMap::new(),
            terms,
            followed: HashSet::new(),
        }
    }

    /// How many parts are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Makes room for one more part if `key` is new.
    fn make_room(&mut self, key: u64) {
        if self.entries.len() >= self.terms.max_blocks && !self.entries.contains_key(&key) {
            self.evict_least_used();
        }
    }

    /// A follower reports that a source keeps so many tokens of a part now; 0: none.
    pub fn record_cached(&mut self, source: u64, key: u64, tokens: u32, now: Nanos) {
        if self.followed.len() < self.terms.max_blocks {
            self.followed.insert(source);
        }
        if tokens == 0 {
            return self.remove_holder(source, key);
        }
        self.make_room(key);
        let entry = self.entries.entry(key).or_default();
        entry.last_used = entry.last_used.max(now);
        entry.remove_source(source);
        entry.add_holder(source);
    }

    fn remove_holder(&mut self, source: u64, key: u64) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.remove_source(source);
        if entry.is_empty() {
            self.entries.remove(&key);
        }
    }

    /// Answers a question, and remembers that the server is about to read the part.
    pub fn query(&mut self, question: PrefixQuery, now: Nanos) -> PrefixLocation {
        let PrefixQuery { key, server, store } = question;
        self.make_room(key);
        let (terms, followed) = (self.terms, &self.followed);
        let entry = self.entries.entry(key).or_default();
        entry.last_used = now;
        let reader = recent_reader(entry, server, &terms, followed, now);
        let held = entry.is_held_by(server);
        let mut holders = entry.holders_except(server);
        let (save, is_being_saved) = save_state(entry, store, &terms, followed, now);
        if is_being_saved {
            holders.push(store);
        }
        if save {
            entry.saved = Some(SaveRequest {
                store,
                sent_at: now,
            });
        }
        if !held {
            entry.add_reader(server, now);
        }
        PrefixLocation {
            save,
            is_cached: held,
            cached_at: holders,
            prefilling_server: reader,
        }
    }

    /// A source restarted empty, has left, or what it keeps is not known any more.
    pub fn remove_source(&mut self, source: u64) {
        self.entries.retain(|_, entry| {
            entry.remove_source(source);
            entry.saved = entry.saved.filter(|saved| saved.store != source);
            !entry.is_empty()
        });
        self.followed.remove(&source);
    }

    /// Drops the half that was unused for the longest time. Sorting once for many keeps each question cheap.
    fn evict_least_used(&mut self) {
        let mut last_used: Vec<Nanos> = self.entries.values().map(|e| e.last_used).collect();
        last_used.sort_unstable();
        let median = last_used.get(last_used.len() / 2).copied().unwrap_or(0);
        self.entries.retain(|_, entry| entry.last_used > median);
    }
}

/// The newest server other than `server` that was sent the part and probably keeps it; 0 if there is none. A followed
/// one would have been reported by now if it was sent the part longer ago.
fn recent_reader(
    entry: &Entry,
    server: u64,
    terms: &IndexSettings,
    followed: &HashSet<u64>,
    now: Nanos,
) -> u64 {
    let probably_keeps = |reader: &&Reader| {
        let span = if followed.contains(&reader.server) {
            terms.max_report_delay
        } else {
            terms.assumed_retention
        };
        reader.server != server && now.saturating_sub(reader.sent_at) < span
    };
    let newest = entry.readers.iter().rev().find(probably_keeps);
    newest.map_or(0, |reader| reader.server)
}

/// Whether the store should be asked to save the part, and whether it counts as a holder because it was asked lately. A
/// followed store counts as a holder only once its follower has reported the part.
fn save_state(
    entry: &Entry,
    store: u64,
    terms: &IndexSettings,
    followed: &HashSet<u64>,
    now: Nanos,
) -> (bool, bool) {
    let request = entry
        .saved
        .filter(|saved| saved.store == store && store != 0);
    let age = request.map(|saved| now.saturating_sub(saved.sent_at));
    let is_followed = followed.contains(&store);
    let patience = if is_followed {
        terms.max_report_delay
    } else {
        terms.save_retry_interval
    };
    let is_being_saved = age.is_some_and(|age| age < terms.save_retry_interval) && !is_followed;
    let save = store != 0 && !entry.is_held_by(store) && age.is_none_or(|age| age > patience);
    (save, is_being_saved)
}
