//! The change log: maps each revision to the record whose latest change has that revision.
use std::collections::BTreeMap;
use std::ops::Bound;

/// The kind and key of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    Server(String),
    Node(String),
    Directive(String),
}

/// Identifies a record that changed.
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

/// How soon a change is published to polling nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// The change is published in a batch, after a delay that collects other changes.
    Batched,
    /// The change is published as soon as the minimum interval between publications allows.
    Immediate,
}

/// The latest change of each record, in the order of the changes.
///
/// Each record of the table has exactly one entry, at the revision of its latest change. A poll that asks for the few newest
/// of thousands of records thus finds them without visiting the others.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Revision of the latest change; the first change has revision 1.
    revision: u64,
    /// Revision of the latest change with [`Urgency::Immediate`]; 0 if there is none.
    urgent_revision: u64,
    key_by_revision: BTreeMap<u64, RecordKey>,
}

impl ChangeLog {
    /// Revision of the latest change; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the latest change with [`Urgency::Immediate`]; 0 if there is none.
    pub fn urgent_revision(&self) -> u64 {
        self.urgent_revision
    }

    /// Appends a change of a record and returns its revision. Removes the record's old entry at the revision `previous`.
    pub fn append(&mut self, key: RecordKey, previous: Option<u64>, urgency: Urgency) -> u64 {
        self.revision += 1;
        if let Some(previous) = previous {
            self.key_by_revision.remove(&previous);
        }
        self.key_by_revision.insert(self.revision, key);
        if urgency == Urgency::Immediate {
            self.urgent_revision = self.revision;
        }
        self.revision
    }

    /// Removes the entry of a record that was dropped. Dropping a record gets no revision, so pollers do not learn of it.
    pub fn remove(&mut self, revision: u64) {
        self.key_by_revision.remove(&revision);
    }

    /// The records that changed after `revision`, oldest change first.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = &RecordKey> {
        self.key_by_revision
            .range((Bound::Excluded(revision), Bound::Unbounded))
            .map(|(_, key)| key)
    }

    /// The changes after the revision `after` up to and including `up_to`, oldest first. `after` is at most `up_to`.
    pub fn between(&self, after: u64, up_to: u64) -> impl Iterator<Item = (u64, &RecordKey)> {
        self.key_by_revision
            .range((Bound::Excluded(after), Bound::Included(up_to)))
            .map(|(revision, key)| (*revision, key))
    }
}
