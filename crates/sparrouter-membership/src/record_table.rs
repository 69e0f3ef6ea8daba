//! The records of one kind: bounded, each with the revision of its last change, tombstones among them.
use crate::Nanos;
use crate::changes::{ChangeLog, RecordKey, Urgency};
use std::collections::BTreeMap;
use std::ops::Bound;

/// How many times the retention of a tombstone a record is kept while its server or node is unresponsive, since that may
/// come back.
pub(crate) const UNRESPONSIVE_RETENTION_PERIODS: u64 = 4;

/// A kind of record: how two records under one key merge, and how long a record is kept.
///
/// For nodes to converge, [`Record::merge`] must give the same result in whatever order the same records are merged.
pub(crate) trait Record: Clone {
    /// The key, unique among the records of this kind.
    fn key(&self) -> &str;

    /// The key together with the kind.
    fn record_key(&self) -> RecordKey;

    /// What results when `update`, a record under the same key, is merged into this one; `None` if nothing changes.
    fn merge(&self, update: Self) -> Option<Self>;

    /// How soon pollers should learn of this record.
    fn urgency(&self) -> Urgency;

    /// How many times the retention of a tombstone the record is kept after its last change; `None`: for good.
    fn retention_periods(&self) -> Option<u64>;
}

/// A record, and when it last changed at this node.
struct VersionedRecord<R> {
    record: R,
    revision: u64,
    changed_at: Nanos,
}

/// The records of one kind by their keys.
///
/// The number of records never exceeds the limit, and each of them has its entry in the [`ChangeLog`] at its revision.
pub(crate) struct RecordTable<R> {
    records: BTreeMap<String, VersionedRecord<R>>,
    /// Bounds the memory that callers can make a node take.
    max_records: usize,
}

impl<R: Record> RecordTable<R> {
    /// An empty table for at most `max_records` records.
    pub fn new(max_records: usize) -> RecordTable<R> {
        RecordTable {
            records: BTreeMap::new(),
            max_records,
        }
    }

    /// Number of records, tombstones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is a record under this key.
    pub fn contains(&self, key: &str) -> bool {
        self.records.contains_key(key)
    }

    /// The record under a key.
    pub fn get(&self, key: &str) -> Option<&R> {
        self.records.get(key).map(|versioned| &versioned.record)
    }

    /// All records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &R> {
        self.records.values().map(|versioned| &versioned.record)
    }

    /// The records whose keys begin with `prefix`, in the order of their keys, with the moment of their last change at
    /// this node. Finds them without a walk over the others.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a R, Nanos)> {
        self.records
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, versioned)| (&versioned.record, versioned.changed_at))
    }

    /// The record that results from merging `update`; `None` if it changes nothing, or is new and the table is full.
    pub fn merged(&self, update: R) -> Option<R> {
        match self.get(update.key()) {
            Some(current) => current.merge(update),
            None => (self.records.len() < self.max_records).then_some(update),
        }
    }

    /// Replaces the record of the same key, whatever it holds, and enters the change.
    pub fn put(&mut self, record: R, urgency: Urgency, now: Nanos, changes: &mut ChangeLog) {
        let key = record.key().to_owned();
        let previous = self.records.get(&key).map(|versioned| versioned.revision);
        let revision = changes.enter(record.record_key(), previous, urgency);
        let versioned = VersionedRecord {
            record,
            revision,
            changed_at: now,
        };
        self.records.insert(key, versioned);
    }

    /// Merges a record. True if anything changed.
    pub fn merge(&mut self, update: R, now: Nanos, changes: &mut ChangeLog) -> bool {
        let Some(record) = self.merged(update) else {
            return false;
        };
        let urgency = record.urgency();
        self.put(record, urgency, now, changes);
        true
    }

    /// Drops the records whose retention is over, and gives how many those are. `retention`: that of a tombstone.
    pub fn drop_expired(&mut self, now: Nanos, retention: Nanos, changes: &mut ChangeLog) -> usize {
        let count_before = self.records.len();
        self.records.retain(|_, versioned| {
            let Some(periods) = versioned.record.retention_periods() else {
                return true;
            };
            let age = now.saturating_sub(versioned.changed_at);
            let is_expired = age > retention.saturating_mul(periods);
            if is_expired {
                changes.remove(versioned.revision);
            }
            !is_expired
        });
        count_before - self.records.len()
    }
}
