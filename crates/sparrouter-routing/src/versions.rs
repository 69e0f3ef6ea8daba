//! Which version of a model's weights a request may begin on.
use crate::Nanos;
use std::collections::HashMap;

/// The newest version that was named for a model, and how long that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub version: u64,
    pub since: Nanos,
}

#[derive(Debug, Default)]
pub struct Versions {
    wanted: HashMap<String, Wanted>,
    /// How long after it was named a request may still begin on an older one.
    patience: Nanos,
    /// When the nodes of the core last came, went, or were found silent: the time of a version is counted within one
    /// stretch without that (RULES.md, VERSION).
    unsettled: Nanos,
}

impl Versions {
    pub fn new(patience: Nanos) -> Versions {
        Versions {
            wanted: HashMap::new(),
            patience,
            unsettled: 0,
        }
    }

    /// A version was named `age` ago, by the clock of who tells.
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

    pub fn patience(&self) -> Nanos {
        self.patience
    }

    /// Something befell the core. It is noticed late, but sooner than the rules call the core settled again.
    pub fn core_changed(&mut self, now: Nanos) {
        self.unsettled = now;
    }

    /// Until when a request may begin on an older version than this one.
    pub fn until(&self, wanted: Wanted) -> Nanos {
        wanted
            .since
            .max(self.unsettled)
            .saturating_add(self.patience)
    }

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
