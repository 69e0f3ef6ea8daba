//! The log of changes: which record changed last at which revision.
use std::collections::BTreeMap;
use std::ops::Bound;

/// The kind of a record, and its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    Server(String),
    Node(String),
    Directive(String),
}

/// Names a record that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangedRecord<'a> {
    /// A server, by its instance id.
    Server(&'a str),
    /// A node, by its name.
    Node(&'a str),
    /// A server directive, by its key.
    Directive(&'a str),
}

impl<'a> From<&'a RecordKey> for ChangedRecord<'a> {
    fn from(key: &'a RecordKey) -> ChangedRecord<'a> {
        match key {
            RecordKey::Server(id) => ChangedRecord::Server(id),
            RecordKey::Node(name) => ChangedRecord::Node(name),
            RecordKey::Directive(key) => ChangedRecord::Directive(key),
        }
    }
}

/// How soon a change is published to the pollers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// Together with other changes, after they were gathered for a while.
    Batched,
    /// As soon as the pollers can take another answer.
    Immediate,
}

/// The last change of each record, in the order in which they happened.
///
/// Every record of the table has exactly one entry, at the revision of its last change: pollers ask for the newest few of
/// thousands of records, and find them without a walk over the others.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Number of the last change; the first is 1.
    revision: u64,
    /// Number of the last change with [`Urgency::Immediate`]; 0 before the first.
    urgent_revision: u64,
    by_revision: BTreeMap<u64, RecordKey>,
}

impl ChangeLog {
    /// Number of the last change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of the last urgent change; 0 before the first.
    pub fn urgent_revision(&self) -> u64 {
        self.urgent_revision
    }

    /// Enters a change of a record, and gives its revision. `previous`: the revision of the record's change before, whose
    /// entry is removed.
    pub fn enter(&mut self, key: RecordKey, previous: Option<u64>, urgency: Urgency) -> u64 {
        self.revision += 1;
        if let Some(previous) = previous {
            self.by_revision.remove(&previous);
        }
        self.by_revision.insert(self.revision, key);
        if urgency == Urgency::Immediate {
            self.urgent_revision = self.revision;
        }
        self.revision
    }

    /// Removes the entry of a record that was dropped. This is no change: no revision leads to it.
    pub fn remove(&mut self, revision: u64) {
        self.by_revision.remove(&revision);
    }

    /// The records that changed after a revision, the oldest change first.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = &RecordKey> {
        self.by_revision
            .range((Bound::Excluded(revision), Bound::Unbounded))
            .map(|(_, key)| key)
    }

    /// The changes after the revision `after`, up to and with `up_to`, the oldest first. `after` is at most `up_to`.
    pub fn between(&self, after: u64, up_to: u64) -> impl Iterator<Item = (u64, &RecordKey)> {
        self.by_revision
            .range((Bound::Excluded(after), Bound::Included(up_to)))
            .map(|(revision, key)| (*revision, key))
    }
}
