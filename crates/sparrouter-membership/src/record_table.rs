//! The records of one kind, including tombstones: bounded in number, each with the revision of its latest change.
use crate::Nanos;
use crate::changes::{ChangeLog, RecordKey, Urgency};
use std::collections::BTreeMap;
use std::ops::Bound;

/// How long the record of an unresponsive server or node is kept, in multiples of the tombstone retention. It exceeds 1
/// because the server or node may recover.
pub(crate) const UNRESPONSIVE_RETENTION_PERIODS: u64 = 4;

/// A kind of record, with its merge rule and its retention.
///
/// For nodes to converge, [`Record::merge`] must give the same result regardless of the order in which records are merged.
pub(crate) trait Record: Clone {
    /// The key of the record, unique among the records of its kind.
    fn key(&self) -> &str;

    /// The kind and key of the record.
    fn record_key(&self) -> RecordKey;

    /// Merges `update`, a record under the same key, into this record, and returns the result; `None` if nothing changes.
    fn merge(&self, update: Self) -> Option<Self>;

    /// How soon this record is published to polling nodes.
    fn urgency(&self) -> Urgency;

    /// How long the record is kept after its latest change, in multiples of the tombstone retention; `None` if it is kept
    /// without a limit.
    fn retention_periods(&self) -> Option<u64>;
}

/// A record, with the revision and time of its latest change at this node.
struct VersionedRecord<R> {
    record: R,
    revision: u64,
    changed_at: Nanos,
}

/// The records of one kind, by key.
///
/// The number of records never exceeds the limit, and each record has an entry in the [`ChangeLog`] at its revision.
pub(crate) struct RecordTable<R> {
    records: BTreeMap<String, VersionedRecord<R>>,
    /// Largest number of records. Bounds the memory that callers can make a node allocate.
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

    /// Whether a record with this key exists.
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

    /// The records whose keys begin with `prefix`, in the order of their keys, each with the time of its latest change at this
    /// node. Visits no other records.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a R, Nanos)> {
        self.records
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, versioned)| (&versioned.record, versioned.changed_at))
    }

    /// The result of merging `update` into the current record, without storing it. `None` if nothing changes, or if the key is
    /// new and the table is full.
    pub fn merged(&self, update: R) -> Option<R> {
        match self.get(update.key()) {
            Some(current) => current.merge(update),
            None => (self.records.len() < self.max_records).then_some(update),
        }
    }

    /// Stores a record without merging: replaces any record with the same key, and appends the change to the log.
    pub fn put(&mut self, record: R, urgency: Urgency, now: Nanos, changes: &mut ChangeLog) {
        let key = record.key().to_owned();
        let previous = self.records.get(&key).map(|versioned| versioned.revision);
        let revision = changes.append(record.record_key(), previous, urgency);
        let versioned = VersionedRecord {
            record,
            revision,
            changed_at: now,
        };
        self.records.insert(key, versioned);
    }

    /// Merges a record, and returns whether the table changed.
    pub fn merge(&mut self, update: R, now: Nanos, changes: &mut ChangeLog) -> bool {
        let Some(record) = self.merged(update) else {
            return false;
        };
        let urgency = record.urgency();
        self.put(record, urgency, now, changes);
        true
    }

    /// Drops expired records and returns their number. `retention` is the retention of a tombstone.
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
