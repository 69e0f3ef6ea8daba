//! One server or store, as seen by its follower: its cached blocks by its events, and the owners to notify of changes.
use sparrouter_rendezvous::SlotTable;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of blocks stored per source, some 50 bytes each; further ones are not indexed.
const MAX_BLOCKS: usize = 200_000;

/// The current number of cached tokens of a block at a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// Hash of the salt and the block's id.
    pub key: u64,
    /// Number of cached tokens; 0 if the block is no longer cached.
    pub tokens: u32,
}

/// One response of a source to a request for its events.
#[derive(Clone, Debug, Default)]
pub struct EventPage {
    /// Identifies one run of the source; differs after each restart.
    pub epoch: u64,
    /// Position from which the next request continues.
    pub next: u64,
    /// Whether events between the previous response and this one are missing.
    pub gap: bool,
    /// The changes since the previous response, in order.
    pub events: Vec<BlockChange>,
}

/// The cached blocks of one source.
#[derive(Debug, Default)]
pub struct Source {
    /// The epoch of the last response; `None` before the first.
    epoch: Option<u64>,
    /// Position from which the next request for events continues.
    next: u64,
    /// Number of cached tokens by block key; at most [`MAX_BLOCKS`] entries.
    cached: BTreeMap<u64, u32>,
    /// Keys of blocks whose last change was not yet sent to their owner.
    pending: BTreeSet<u64>,
    /// The owners at the last call of [`Source::take_changes`]; `None` before the first call.
    owners: Option<Rc<SlotTable>>,
}

impl Source {
    /// Position from which the next request for events continues; 0 before the first response.
    pub fn next_event(&self) -> u64 {
        self.next
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.cached.len()
    }

    /// Whether the source has no block cached.
    pub fn is_empty(&self) -> bool {
        self.cached.is_empty()
    }

    /// Applies a response. Returns whether it invalidates the earlier state: the source has restarted, or events are
    /// missing, so that a block evicted in between would never be removed.
    pub fn apply_page(&mut self, page: EventPage) -> bool {
        let has_restarted = self.epoch.is_some_and(|epoch| epoch != page.epoch);
        // Before the first response there is no state that a gap could invalidate.
        let invalidates = has_restarted || (page.gap && self.epoch.is_some());
        if invalidates {
            self.cached.clear();
            self.pending.clear();
        }
        (self.epoch, self.next) = (Some(page.epoch), page.next);
        for BlockChange { key, tokens } in page.events {
            if tokens == 0 {
                self.cached.remove(&key);
            } else if self.cached.len() < MAX_BLOCKS || self.cached.contains_key(&key) {
                self.cached.insert(key, tokens);
            }
            self.pending.insert(key);
        }
        invalidates
    }

    /// Takes the changes to send, by the owner's index in [`SlotTable::members`]: blocks that changed since the last call,
    /// and cached blocks whose owner, or the owner's process, has changed since then. While there are no owners, changes
    /// are dropped; the first owners get all cached blocks.
    pub fn take_changes(&mut self, owners: &Rc<SlotTable>) -> BTreeMap<usize, Vec<BlockChange>> {
        let mut keys = std::mem::take(&mut self.pending);
        let previous = self.owners.replace(owners.clone());
        let is_same_table = previous
            .as_ref()
            .is_some_and(|previous| Rc::ptr_eq(previous, owners));
        if !is_same_table {
            let has_moved = |key: &&u64| {
                previous
                    .as_ref()
                    .is_none_or(|previous| previous.owner(**key) != owners.owner(**key))
            };
            keys.extend(self.cached.keys().filter(has_moved));
        }
        let mut changes: BTreeMap<usize, Vec<BlockChange>> = BTreeMap::new();
        for key in keys {
            let tokens = self.cached.get(&key).copied().unwrap_or(0);
            if let Some(owner) = owners.owner_index(key) {
                let change = BlockChange { key, tokens };
                changes.entry(owner).or_default().push(change);
            }
        }
        changes
    }
}
