//! One server or store at its follower: what its events say that it keeps, and which owners have heard of that.
use sparrouter_rendezvous::SlotTable;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Most parts that are remembered of one source, some 50 bytes each.
const MAX_PARTS: usize = 200_000;

/// How much of a part a source keeps now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// Hash of the salt and the part's id.
    pub key: u64,
    /// Tokens that are kept; 0: the part is not kept any more.
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

/// What one source keeps.
#[derive(Debug, Default)]
pub struct Source {
    epoch: Option<u64>,
    next: u64,
    /// Tokens of each part that is kept.
    kept: BTreeMap<u64, u32>,
    /// Parts whose owner has not heard of the last change.
    pending: BTreeSet<u64>,
    /// The owners that changes were last sent to; `None` before the first time.
    owners: Option<Rc<SlotTable>>,
}

impl Source {
    /// Token with which the next call for events continues; 0 before the first answer.
    pub fn next_event(&self) -> u64 {
        self.next
    }

    /// How many parts the source keeps.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether the source keeps no part.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Applies an answer. Returns true if what was known before does not hold any more: the source has restarted, or
    /// events are missing, so that a part it dropped meanwhile would never be removed.
    pub fn apply_page(&mut self, page: EventPage) -> bool {
        let restarted = self.epoch.is_some_and(|e| e != page.epoch);
        // Before the first answer nothing was known that a gap could invalidate.
        let void = restarted || (page.gap && self.epoch.is_some());
        if void {
            self.kept.clear();
            self.pending.clear();
        }
        (self.epoch, self.next) = (Some(page.epoch), page.next);
        for BlockChange { key, tokens } in page.events {
            if tokens == 0 {
                self.kept.remove(&key);
            } else if self.kept.len() < MAX_PARTS || self.kept.contains_key(&key) {
                self.kept.insert(key, tokens);
            }
            self.pending.insert(key);
        }
        void
    }

    /// Takes the changes to send, by the owner's place in the table: parts that changed since the last call, and kept parts
    /// whose owner, or the owner's process, is another one than then.
    pub fn take_changes(&mut self, owners: &Rc<SlotTable>) -> BTreeMap<usize, Vec<BlockChange>> {
        let mut keys = std::mem::take(&mut self.pending);
        let before = self.owners.replace(owners.clone());
        if before.as_ref().is_none_or(|b| !Rc::ptr_eq(b, owners)) {
            let moved = |key: &&u64| {
                before
                    .as_ref()
                    .is_none_or(|before| before.owner(**key) != owners.owner(**key))
            };
            keys.extend(self.kept.keys().filter(moved));
        }
        let mut changes: BTreeMap<usize, Vec<BlockChange>> = BTreeMap::new();
        for key in keys {
            let tokens = self.kept.get(&key).copied().unwrap_or(0);
            if let Some(place) = owners.owner_index(key) {
                changes
                    .entry(place)
                    .or_default()
                    .push(BlockChange { key, tokens });
            }
        }
        changes
    }
}
