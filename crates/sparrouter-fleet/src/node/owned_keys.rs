//! What this node counts for the keys that fall to it by rendezvous hashing: backlogs and failures of servers, cached
//! prefixes.
use sparrouter_prefix_index::{IndexSettings, PrefixIndex};
use sparrouter_routing::{Backlog, Nanos, Outliers};
use std::cell::RefCell;
use std::collections::HashMap;

/// Most prefix blocks that a node records.
const MAX_BLOCKS: usize = 40_000;
/// How long a server is assumed to cache a prefix, and a backlog without requests is remembered.
pub(crate) const PREFIX_RETENTION: Nanos = 30_000_000_000;
/// Time after which a store is asked again to save a prefix.
const SAVE_RETRY_INTERVAL: Nanos = 120_000_000_000;
/// Longest time until a followed server or store reports what it cached.
const MAX_REPORT_DELAY: Nanos = 4_000_000_000;

/// The tables of the keys that this node owns. Other nodes ask it by calls; entries of keys that it no longer owns run out.
pub(crate) struct OwnedKeys {
    /// Prompts that wait at servers, by the hash of the server's id.
    pub(crate) backlogs: RefCell<HashMap<u64, Backlog>>,
    /// Failures at servers.
    pub(crate) outliers: RefCell<Outliers>,
    /// Which server or store has which prefix block.
    pub(crate) prefix_index: RefCell<PrefixIndex>,
    /// The epoch that was last reported of each store, by the hash of its address: 0 while it does not answer; another
    /// number once it came back empty. All nodes have them, not the owner alone.
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
