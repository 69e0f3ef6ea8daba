//! Which version of a model's weights a request may begin on.
use crate::Nanos;
use std::collections::HashMap;

/// The newest version that was named for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The version.
    pub version: u64,
    /// When it was named.
    pub since: Nanos,
}

/// The versions that were named for all models.
#[derive(Debug, Default)]
pub struct Versions {
    wanted: HashMap<String, Wanted>,
    /// How long after it was named a request may still begin on an older one.
    patience: Nanos,
    /// When a node of the core last joined, left or became silent. The time limit of a version restarts then (RULES.md,
    /// VERSION).
    unsettled: Nanos,
}

impl Versions {
    /// No versions. `patience`: how long after a version was named a request may still begin on an older one.
    pub fn new(patience: Nanos) -> Versions {
        Versions {
            wanted: HashMap::new(),
            patience,
            unsettled: 0,
        }
    }

    /// A version was named `age` ago, by the clock of the node that reports it. Older versions and repeats change nothing,
    /// but the earliest time counts.
    pub fn told(&mut self, model: &str, version: u64, age: Nanos, now: Nanos) {
        let since = now.saturating_sub(age);
        match self.wanted.get_mut(model) {
            Some(known) if known.version > version => {}
            Some(known) if known.version == version => known.since = known.since.min(since),
            _ => {
                self.wanted
                    .insert(model.to_owned(), Wanted { version, since });
            }
        }
    }

    /// How long after a version was named a request may still begin on an older one.
    pub fn patience(&self) -> Nanos {
        self.patience
    }

    /// A node of the core joined, left or became silent. Nodes notice this late, but before the rules consider the core
    /// stable again.
    pub fn core_changed(&mut self, now: Nanos) {
        self.unsettled = now;
    }

    /// When a node of the core last joined, left or became silent; None if that was not seen yet.
    pub fn core_changed_at(&self) -> Option<Nanos> {
        (self.unsettled > 0).then_some(self.unsettled)
    }

    /// The versions that were named, with their models.
    pub fn all(&self) -> impl Iterator<Item = (&str, Wanted)> {
        self.wanted
            .iter()
            .map(|(model, wanted)| (model.as_str(), *wanted))
    }

    /// Until when a request may begin on a version older than this one.
    pub fn until(&self, wanted: Wanted) -> Nanos {
        wanted
            .since
            .max(self.unsettled)
            .saturating_add(self.patience)
    }

    /// The newest version that was named for a model.
    pub fn wanted(&self, model: &str) -> Option<Wanted> {
        self.wanted.get(model).copied()
    }

    /// Whether a request may begin on this version now.
    pub fn allows(&self, model: &str, version: u64, now: Nanos) -> bool {
        match self.wanted.get(model) {
            Some(wanted) => version >= wanted.version || now < self.until(*wanted),
            None => true,
        }
    }
}
