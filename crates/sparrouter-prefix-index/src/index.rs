//! The index of the blocks that a node owns: where each block is cached, by the reports of the sources' followers.
use crate::Nanos;
use crate::block_entry::BlockEntry;
use std::collections::{HashMap, HashSet};

/// Minimum capacity of an index in blocks, so that some blocks remain after half of them are evicted.
const MIN_CAPACITY: usize = 16;

/// The capacity and time limits of a [`PrefixIndex`].
#[derive(Clone, Copy, Debug)]
pub struct IndexSettings {
    /// Maximum number of blocks in the index, about 150 bytes each; at least 16.
    pub max_blocks: usize,
    /// How long a block that was sent to a server without a follower is assumed to be cached there.
    pub assumed_retention: Nanos,
    /// Delay before a store without a follower is requested again to save a block.
    pub save_retry_interval: Nanos,
    /// Maximum delay until the follower of a source reports a block that was sent or saved there.
    pub max_report_delay: Nanos,
}

/// A query to the owner of a prefix's last block, before a prompt with the prefix is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixQuery {
    /// Hash of the salt and the block's id.
    pub key: u64,
    /// Hash of the server that the prompt will be sent to.
    pub server: u64,
    /// Hash of the store that could save the block; 0 if there is none.
    pub store: u64,
}

/// The answer to a [`PrefixQuery`]: where the block can be fetched, and whether to save it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixLocation {
    /// Whether the store should be requested to save the block.
    pub save: bool,
    /// Whether the server of the query already has the block cached.
    pub is_cached: bool,
    /// Hashes of other servers and stores that have the block cached, the newest first.
    pub cached_at: Vec<u64>,
    /// Hash of another server that the block was sent to recently, and that probably has it cached although no follower
    /// has reported it; 0 if there is none.
    pub prefilling_server: u64,
}

/// The index of the blocks that one node owns, bounded by [`IndexSettings::max_blocks`].
pub struct PrefixIndex {
    /// Entries by block key.
    entries: HashMap<u64, BlockEntry>,
    settings: IndexSettings,
    /// Hashes of the sources whose follower has reported to this node; at most [`IndexSettings::max_blocks`].
    followed: HashSet<u64>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: IndexSettings) -> PrefixIndex {
        let settings = IndexSettings {
            max_blocks: settings.max_blocks.max(MIN_CAPACITY),
            ..settings
        };
        PrefixIndex {
            entries: HashMap::new(),
            settings,
            followed: HashSet::new(),
        }
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index contains no block.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a follower's report that a source has `tokens` tokens of a block cached; 0 if the block was evicted.
    pub fn record_cached(&mut self, source: u64, key: u64, tokens: u32, now: Nanos) {
        if self.followed.len() < self.settings.max_blocks {
            self.followed.insert(source);
        }
        if tokens == 0 {
            return self.remove_cached(source, key);
        }
        self.ensure_capacity(key);
        let entry = self.entries.entry(key).or_default();
        entry.last_used = entry.last_used.max(now);
        entry.add_cached(source);
    }

    fn remove_cached(&mut self, source: u64, key: u64) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.remove_cached(source);
        if entry.is_empty() {
            self.entries.remove(&key);
        }
    }

    /// Answers a query. Also records that the server is about to prefill the block and, if the answer requests a save,
    /// that the store is about to save it.
    pub fn query(&mut self, query: PrefixQuery, now: Nanos) -> PrefixLocation {
        let PrefixQuery { key, server, store } = query;
        self.ensure_capacity(key);
        let (settings, followed) = (&self.settings, &self.followed);
        let entry = self.entries.entry(key).or_default();
        entry.last_used = now;
        let prefilling_server = entry.prefilling_server(server, settings, followed, now);
        let is_cached = entry.is_cached_at(server);
        let mut cached_at = entry.cached_at_others(server);
        let decision = entry.save_decision(store, settings, followed, now);
        if decision.is_being_saved {
            cached_at.push(store);
        }
        if decision.should_save {
            entry.add_save_request(store, now);
        }
        if !is_cached {
            entry.add_prefilling(server, now);
        }
        PrefixLocation {
            save: decision.should_save,
            is_cached,
            cached_at,
            prefilling_server,
        }
    }

    /// Removes a source that restarted with an empty cache, has left, or whose cached blocks are no longer known.
    pub fn remove_source(&mut self, source: u64) {
        self.entries.retain(|_, entry| {
            entry.remove_cached(source);
            entry.remove_save_request(source);
            !entry.is_empty()
        });
        self.followed.remove(&source);
    }

    /// Evicts blocks if `key` is a new block and the index is full.
    fn ensure_capacity(&mut self, key: u64) {
        if self.entries.len() >= self.settings.max_blocks && !self.entries.contains_key(&key) {
            self.evict_least_recently_used();
        }
    }

    /// Evicts the half of the blocks that was used least recently. Sorting once for many evictions keeps the mean cost of
    /// a query low.
    fn evict_least_recently_used(&mut self) {
        let mut last_used: Vec<Nanos> =
            self.entries.values().map(|entry| entry.last_used).collect();
        last_used.sort_unstable();
        let median = last_used.get(last_used.len() / 2).copied().unwrap_or(0);
        self.entries.retain(|_, entry| entry.last_used > median);
    }
}
