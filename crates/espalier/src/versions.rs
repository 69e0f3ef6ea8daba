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
}

impl Versions {
    pub fn new(patience: Nanos) -> Versions {
        Versions { wanted: HashMap::new(), patience }
    }

    /// A version was named `age` ago, by the clock of who tells.
    pub fn told(&mut self, model: &str, version: u64, age: Nanos, now: Nanos) {
        let since = now.saturating_sub(age);
        match self.wanted.get_mut(model) {
            Some(known) if known.version > version => {}
            Some(known) if known.version == version => known.since = known.since.min(since),
            _ => {
                self.wanted.insert(model.to_owned(), Wanted { version, since });
            }
        }
    }

    pub fn patience(&self) -> Nanos {
        self.patience
    }

    pub fn wanted(&self, model: &str) -> Option<Wanted> {
        self.wanted.get(model).copied()
    }

    /// Whether a request may begin on this version now.
    pub fn allows(&self, model: &str, version: u64, now: Nanos) -> bool {
        match self.wanted.get(model) {
            Some(wanted) => version >= wanted.version || now.saturating_sub(wanted.since) < self.patience,
            None => true,
        }
    }
}
