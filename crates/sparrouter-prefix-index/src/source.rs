//! One server or store at its follower: which blocks its events say it has cached, and which owners know of that.
use sparrouter_rendezvous::SlotTable;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Largest number of blocks that are stored of one source, some 50 bytes each; further ones are not indexed.
const MAX_BLOCKS: usize = 200_000;

/// How much of a block a source has cached now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// Hash of the salt and the block's id.
    pub key: u64,
    /// Tokens that are cached; 0: the block is not cached any more.
    pub tokens: u32,
}

/// One answer of a source to a call for its events.
#[derive(Clone, Debug, Default)]
pub struct EventPage {
    /// Differs after each start of the source.
    pub epoch: u64,
    /// Token with which the next call continues.
    pub next: u64,
    /// Events between the last answer and this one are missing.
    pub gap: bool,
    /// The changes since the last answer, in their order.
    pub events: Vec<BlockChange>,
}

/// What one source has cached.
#[derive(Debug, Default)]
pub struct Source {
    /// The epoch of the last answer; `None` before the first.
    epoch: Option<u64>,
    /// The next call for events continues with it.
    next: u64,
    /// Tokens of each cached block, by its key; at most [`MAX_BLOCKS`].
    cached: BTreeMap<u64, u32>,
    /// Keys of blocks whose owner was not notified of the last change.
    pending: BTreeSet<u64>,
    /// The owners that changes were last taken for; `None` before the first time.
    owners: Option<Rc<SlotTable>>,
}

impl Source {
    /// Token with which the next call for events continues; 0 before the first answer.
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

    /// Applies an answer. Returns whether it invalidates what was known before: the source has restarted, or events are
    /// missing, so that a block that it evicted meanwhile would never be removed.
    pub fn apply_page(&mut self, page: EventPage) -> bool {
        let has_restarted = self.epoch.is_some_and(|epoch| epoch != page.epoch);
        // Before the first answer nothing was known that a gap could invalidate.
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
    /// and cached blocks whose owner, or the owner's process, is another one than then. Changes are lost while there are no
    /// owners; the first ones get all cached blocks.
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
