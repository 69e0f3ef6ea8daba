//! The membership table of one node: merging and lookup of all records that the node knows.
use crate::changes::{ChangeLog, Urgency};
use crate::record_table::{Record, RecordTable};
use crate::{
    ChangedRecord, LifecycleState, MembershipDelta, Nanos, NodeRecord, ServerDirective,
    ServerRecord,
};
use std::cell::Cell;
use std::collections::HashMap;

/// All records that one node knows. The number of records is bounded.
pub struct MembershipTable {
    epoch: u64,
    /// How long a tombstone is kept, so that no delayed message restores the record.
    tombstone_retention: Nanos,
    servers: RecordTable<ServerRecord>,
    nodes: RecordTable<NodeRecord>,
    directives: RecordTable<ServerDirective>,
    /// Maps each address to the id of the server that was last live there. Each of these ids has a record.
    live_at_address: HashMap<String, String>,
    changes: ChangeLog,
    /// Number of changes of node records, dropped records included.
    node_changes: u64,
    /// Number of server records that were dropped. Dropping a record gets no revision.
    servers_dropped: u64,
    /// Number of records that iterators of this table have yielded.
    records_visited: Cell<u64>,
}

impl MembershipTable {
    /// Creates an empty table. `epoch` is a random number, `tombstone_retention` the time in nanoseconds for which tombstones are
    /// kept, and `max_records` the largest number of records of each kind.
    pub fn new(epoch: u64, tombstone_retention: Nanos, max_records: usize) -> MembershipTable {
        MembershipTable {
            epoch,
            tombstone_retention,
            servers: RecordTable::new(max_records),
            nodes: RecordTable::new(max_records),
            directives: RecordTable::new(max_records),
            live_at_address: HashMap::new(),
            changes: ChangeLog::default(),
            node_changes: 0,
            servers_dropped: 0,
            records_visited: Cell::new(0),
        }
    }

    /// Identifies this instance of the table; see [`MembershipDelta::epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Revision of the latest change; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.changes.revision()
    }

    /// Revision of the latest urgent change; 0 if there is none. Urgent changes are a server that drains or leaves, a directive,
    /// and a node that leaves or is unresponsive.
    pub fn urgent_revision(&self) -> u64 {
        self.changes.urgent_revision()
    }

    /// The record of the server with the instance id `id`.
    pub fn server(&self, id: &str) -> Option<&ServerRecord> {
        self.servers.get(id)
    }

    /// All servers in the order of their ids, including servers that have left and whose tombstones have not been dropped.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.iter().inspect(|_| self.count_visit())
    }

    /// Number of server records, tombstones included.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// The record of the node with this name.
    pub fn node(&self, name: &str) -> Option<&NodeRecord> {
        self.nodes.get(name)
    }

    /// All nodes in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes.iter().inspect(|_| self.count_visit())
    }

    /// The newest server directive under a key.
    pub fn directive(&self, key: &str) -> Option<&ServerDirective> {
        self.directives.get(key)
    }

    /// All server directives in the order of their keys.
    pub fn directives(&self) -> impl Iterator<Item = &ServerDirective> {
        self.directives.iter().inspect(|_| self.count_visit())
    }

    /// The server directives whose keys begin with `prefix`, in the order of their keys, each with the time of its latest change
    /// at this node. Visits no other directives.
    pub fn directives_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a ServerDirective, Nanos)> {
        self.directives
            .with_prefix(prefix)
            .inspect(|_| self.count_visit())
    }

    /// The records that changed after `revision`, each once, oldest change first.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = ChangedRecord<'_>> {
        self.changes
            .since(revision)
            .inspect(|_| self.count_visit())
            .map(ChangedRecord::from)
    }

    /// A counter that rises with each change or removal of a node record. A value computed from all node records remains valid
    /// until the counter rises.
    pub fn node_changes(&self) -> u64 {
        self.node_changes
    }

    /// A counter of dropped server records, which [`MembershipTable::changed_since`] does not report.
    pub fn servers_dropped(&self) -> u64 {
        self.servers_dropped
    }

    /// Number of records that iterators have yielded so far. It shows whether the work per call grows with the size of the fleet.
    pub fn records_visited(&self) -> u64 {
        self.records_visited.get()
    }

    fn count_visit(&self) {
        self.records_visited.set(self.records_visited.get() + 1);
    }

    /// Overwrites a record without merging. Tests use this to inject the defect that [`MembershipTable::merge_server`] guards
    /// against.
    #[cfg(feature = "injected-defects")]
    pub fn overwrite(&mut self, record: ServerRecord, now: Nanos) {
        self.servers
            .put(record, Urgency::Immediate, now, &mut self.changes);
    }

    /// Merges a server record, and returns whether the table changed. A delayed record with a lower call sequence never replaces
    /// a newer one, and a server's life cycle state never moves back.
    pub fn merge_server(&mut self, update: ServerRecord, now: Nanos) -> bool {
        let Some(record) = self.servers.merged(update) else {
            return false;
        };
        if record.is_live() {
            if !self.servers.contains(&record.id) {
                self.displace_server(&record.address, now);
            }
            self.live_at_address
                .insert(record.address.clone(), record.id.clone());
        }
        let urgency = record.urgency();
        self.servers.put(record, urgency, now, &mut self.changes);
        true
    }

    /// Marks the live server at a new server's address as unresponsive, since an address has one server at a time. The displaced
    /// server is not marked as left, because messages may be delayed: its next heartbeat makes it live again.
    fn displace_server(&mut self, address: &str, now: Nanos) {
        let displaced = self
            .live_at_address
            .get(address)
            .and_then(|id| self.servers.get(id))
            .filter(|record| record.is_live())
            .cloned();
        let Some(mut record) = displaced else {
            return;
        };
        record.unresponsive = true;
        self.servers
            .put(record, Urgency::Batched, now, &mut self.changes);
    }

    /// Marks a server as having left, and returns whether the table changed. An unknown server is also recorded as having left,
    /// since its heartbeats may arrive later.
    pub fn mark_server_left(&mut self, id: &str, now: Nanos) -> bool {
        let mut record = self.server(id).cloned().unwrap_or_default();
        record.id = id.to_owned();
        record.state = LifecycleState::Left;
        self.merge_server(record, now)
    }

    /// Marks a live server as unresponsive at its latest known call sequence, and returns whether the table changed.
    pub fn mark_server_unresponsive(&mut self, id: &str, now: Nanos) -> bool {
        let live = self.server(id).filter(|record| record.is_live()).cloned();
        let Some(mut record) = live else {
            return false;
        };
        record.unresponsive = true;
        self.merge_server(record, now)
    }

    /// Merges a node record, and returns whether the table changed. The record with the higher incarnation wins.
    pub fn merge_node(&mut self, update: NodeRecord, now: Nanos) -> bool {
        let is_changed = self.nodes.merge(update, now, &mut self.changes);
        self.node_changes += u64::from(is_changed);
        is_changed
    }

    /// Marks a node as unresponsive in its latest known incarnation, and returns whether the table changed.
    pub fn mark_node_unresponsive(&mut self, name: &str, now: Nanos) -> bool {
        let responsive = self
            .node(name)
            .filter(|record| !record.unresponsive)
            .cloned();
        let Some(mut record) = responsive else {
            return false;
        };
        record.unresponsive = true;
        self.merge_node(record, now)
    }

    /// The incarnation that a process needs for its record to win over the known record under its name.
    pub fn next_incarnation(&self, own: &NodeRecord) -> u64 {
        self.node(&own.name)
            .map_or(own.incarnation, |known| own.incarnation_over(known))
    }

    /// Merges a server directive, and returns whether the table changed.
    pub fn merge_directive(&mut self, update: ServerDirective, now: Nanos) -> bool {
        self.directives.merge(update, now, &mut self.changes)
    }

    /// Merges all records of a delta, and returns whether the table changed.
    pub fn merge(&mut self, delta: MembershipDelta, now: Nanos) -> bool {
        let mut is_changed = false;
        for record in delta.nodes {
            is_changed |= self.merge_node(record, now);
        }
        for record in delta.servers {
            is_changed |= self.merge_server(record, now);
        }
        for directive in delta.directives {
            is_changed |= self.merge_directive(directive, now);
        }
        is_changed
    }

    /// The changes after `revision`, oldest first, at most `max_records`. A revision of another epoch, or above the
    /// current revision, counts as 0.
    pub fn delta_since(&self, epoch: u64, revision: u64, max_records: usize) -> MembershipDelta {
        self.delta_between(epoch, revision, self.revision(), max_records)
    }

    /// The changes after `revision` up to and including `up_to`, oldest first, at most `max_records`. A revision of another epoch
    /// or above `up_to` counts as 0. Omits a record that changed again after `up_to`; a later delta contains it.
    pub fn delta_between(
        &self,
        epoch: u64,
        revision: u64,
        up_to: u64,
        max_records: usize,
    ) -> MembershipDelta {
        let is_known = epoch == self.epoch && revision <= up_to;
        let after = if is_known { revision } else { 0 };
        let mut delta = MembershipDelta {
            epoch: self.epoch,
            revision: up_to,
            ..MembershipDelta::default()
        };
        for (index, (revision, key)) in self.changes.between(after, up_to).enumerate() {
            if index == max_records {
                // The next delta begins with this change.
                delta.revision = revision - 1;
                break;
            }
            delta.push(key, self);
        }
        delta
    }

    /// Drops tombstones after their retention, and records of servers and nodes that were unresponsive for four times the
    /// retention.
    pub fn drop_expired(&mut self, now: Nanos) {
        let retention = self.tombstone_retention;
        let changes = &mut self.changes;
        let servers_dropped = self.servers.drop_expired(now, retention, changes);
        let nodes_dropped = self.nodes.drop_expired(now, retention, changes);
        self.directives.drop_expired(now, retention, changes);
        self.servers_dropped += servers_dropped as u64;
        self.node_changes += nodes_dropped as u64;
        self.live_at_address
            .retain(|_, id| self.servers.contains(id));
    }
}
