//! Tables for the keys that rendezvous hashing assigns to this node: backlogs and failures of servers, and cached
//! prefixes.
use sparrouter_prefix_index::{IndexSettings, PrefixIndex};
use sparrouter_routing::{Backlog, Nanos, Outliers};
use std::cell::RefCell;
use std::collections::HashMap;

/// Maximum number of prefix blocks that a node records.
const MAX_BLOCKS: usize = 40_000;
/// How long a server is assumed to cache a prefix, and how long a backlog without requests is kept.
pub(crate) const PREFIX_RETENTION: Nanos = 30_000_000_000;
/// Time after which a store is requested again to save a prefix.
const SAVE_RETRY_INTERVAL: Nanos = 120_000_000_000;
/// Longest delay until a followed server or store reports the blocks that it caches.
const MAX_REPORT_DELAY: Nanos = 4_000_000_000;

/// The tables of the keys that this node owns. Other nodes query it by calls; entries of keys that it no longer owns
/// expire.
pub(crate) struct OwnedKeys {
    /// Backlogs of pending prompts, by the hash of the server's id.
    pub(crate) backlogs: RefCell<HashMap<u64, Backlog>>,
    /// Failures at servers.
    pub(crate) outliers: RefCell<Outliers>,
    /// For each prefix block, the servers and stores that cache it.
    pub(crate) prefix_index: RefCell<PrefixIndex>,
    /// The last reported epoch of each store, by the hash of its address: 0 while the store does not answer, and a
    /// different number once it has restarted empty. All nodes have the epochs, not only the owner.
    pub(crate) store_epochs: RefCell<HashMap<u64, u64>>,
}

impl Default for OwnedKeys {
    fn default() -> OwnedKeys {
        OwnedKeys {
            backlogs: RefCell::default(),
            outliers: RefCell::default(),
            prefix_index: RefCell::new(PrefixIndex::new(IndexSettings {
                max_blocks: MAX_BLOCKS,
                assumed_retention: PREFIX_RETENTION,
                save_retry_interval: SAVE_RETRY_INTERVAL,
                max_report_delay: MAX_REPORT_DELAY,
            })),
            store_epochs: RefCell::default(),
        }
    }
}
