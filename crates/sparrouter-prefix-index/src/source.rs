//! One server or store at its follower: what its events say that it keeps, and which owners have heard of that.
use sparrouter_rendezvous::SlotTable;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Parts that are remembered of one source.
const MOST: usize = 200_000;

/// What a part of a prompt is kept with now; 0 tokens: no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Hash of the salt and the part's id.
    pub key: u64,
    pub tokens: u32,
}

/// One answer to the question for events.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Changes with every start of the source.
    pub epoch: u64,
    /// Where the next question goes on.
    pub next: u64,
    /// Events between the last answer and this one are gone.
    pub gap: bool,
    pub events: Vec<Change>,
}

#[derive(Debug, Default)]
pub struct Source {
    epoch: Option<u64>,
    since: u64,
    /// Tokens of each part that is kept.
    kept: BTreeMap<u64, u32>,
    /// Parts whose owner has not heard of the last change.
    untold: BTreeSet<u64>,
    /// The owners that were told; None before the first time.
    owners: Option<Rc<SlotTable>>,
}

impl Source {
    /// Where the next question goes on.
    pub fn since(&self) -> u64 {
        self.since
    }
    pub fn len(&self) -> usize {
        self.kept.len()
    }
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Takes an answer. True where all that was known before is void: the source started anew, or events are missing,
    /// and a part that it let go meanwhile would stand for ever.
    pub fn take(&mut self, page: Page) -> bool {
        let anew = self.epoch.is_some_and(|e| e != page.epoch);
        // Before the first answer nothing was known that a gap could spoil.
        let void = anew || (page.gap && self.epoch.is_some());
        if void {
            self.kept.clear();
            self.untold.clear();
        }
        (self.epoch, self.since) = (Some(page.epoch), page.next);
        for Change { key, tokens } in page.events {
            if tokens == 0 {
                self.kept.remove(&key);
            } else if self.kept.len() < MOST || self.kept.contains_key(&key) {
                self.kept.insert(key, tokens);
            }
            self.untold.insert(key);
        }
        void
    }

    /// What each owner has to be told, by the owner's place in the table: what changed since the last time, and what is
    /// kept and had another owner, or another process of it, then.
    pub fn tell(&mut self, owners: &Rc<SlotTable>) -> BTreeMap<usize, Vec<Change>> {
        let mut keys = std::mem::take(&mut self.untold);
        let before = self.owners.replace(owners.clone());
        if before.as_ref().is_none_or(|b| !Rc::ptr_eq(b, owners)) {
            let moved = |key: &&u64| {
                before
                    .as_ref()
                    .is_none_or(|before| before.owner(**key) != owners.owner(**key))
            };
            keys.extend(self.kept.keys().filter(moved));
        }
        let mut out: BTreeMap<usize, Vec<Change>> = BTreeMap::new();
        for key in keys {
            let tokens = self.kept.get(&key).copied().unwrap_or(0);
            if let Some(place) = owners.owner_place(key) {
                out.entry(place).or_default().push(Change { key, tokens });
            }
        }
        out
    }
}
