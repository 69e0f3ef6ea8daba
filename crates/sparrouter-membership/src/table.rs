//! The membership table of one node: all records that it knows, merged and looked up.
use crate::changes::{ChangeLog, Urgency};
use crate::record_table::{Record, RecordTable};
use crate::{
    ChangedRecord, LifecycleState, MembershipDelta, Nanos, NodeRecord, ServerDirective,
    ServerRecord,
};
use std::cell::Cell;
use std::collections::HashMap;

/// All records that one node knows; bounded.
pub struct MembershipTable {
    epoch: u64,
    /// How long a tombstone is kept, so that no late message brings its record back.
    tombstone_retention: Nanos,
    servers: RecordTable<ServerRecord>,
    nodes: RecordTable<NodeRecord>,
    directives: RecordTable<ServerDirective>,
    /// Id of the server that was last live at each address. Each of these ids has a record.
    live_at_address: HashMap<String, String>,
    changes: ChangeLog,
    /// Number of changes of node records, dropped records included.
    node_changes: u64,
    /// Number of server records that were dropped, which get no revision.
    servers_dropped: u64,
    /// Number of records that iterators over all or some of them have yielded.
    records_visited: Cell<u64>,
}

impl MembershipTable {
    /// An empty table. `epoch`: a random number; `tombstone_retention`: how long tombstones are kept, in nanoseconds;
    /// `max_records`: the largest number of records of each kind.
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

    /// Identifies this instance; see [`MembershipDelta::epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the last change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.changes.revision()
    }

    /// Revision of the last urgent change: a server drains or leaves, a directive, a node that leaves or is unresponsive.
    pub fn urgent_revision(&self) -> u64 {
        self.changes.urgent_revision()
    }

    /// The record of a server, by its instance id.
    pub fn server(&self, id: &str) -> Option<&ServerRecord> {
        self.servers.get(id)
    }

    /// All servers in the order of their ids. Those that have left are among them until their tombstones are dropped.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.iter().inspect(|_| self.count_visit())
    }

    /// Number of server records, tombstones included.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// The record of a node, by its name.
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

    /// The server directives whose keys begin with `prefix`, in the order of their keys, with the moment of their last
    /// change at this node. Finds them without a walk over the others.
    pub fn directives_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a ServerDirective, Nanos)> {
        self.directives
            .with_prefix(prefix)
            .inspect(|_| self.count_visit())
    }

    /// The records that changed after a revision, each once, the oldest change first.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = ChangedRecord<'_>> {
        self.changes
            .since(revision)
            .inspect(|_| self.count_visit())
            .map(ChangedRecord::from)
    }

    /// Rises with each change of a node's record, and when one is dropped: what was computed from all of them is valid
    /// until then.
    pub fn node_changes(&self) -> u64 {
        self.node_changes
    }

    /// Rises when server records are dropped, which [`MembershipTable::changed_since`] does not report.
    pub fn servers_dropped(&self) -> u64 {
        self.servers_dropped
    }

    /// Number of records that iterators have yielded so far: it shows whether work grows with the size of the fleet.
    pub fn records_visited(&self) -> u64 {
        self.records_visited.get()
    }

    fn count_visit(&self) {
        self.records_visited.set(self.records_visited.get() + 1);
    }

    /// Overwrites a record, whatever is known: the defect that [`MembershipTable::merge_server`] guards against, injected
    /// by tests.
    #[cfg(feature = "injected-defects")]
    pub fn overwrite(&mut self, record: ServerRecord, now: Nanos) {
        self.servers
            .put(record, Urgency::Immediate, now, &mut self.changes);
    }

    /// Merges a record of a server. True if anything changed. A late record with a lower call sequence undoes nothing, and
    /// a server's life cycle state never moves back.
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

    /// Marks the live server at the address of a new one as unresponsive, since an address has one server at a time. It
    /// does not count as left, because messages may be late: its next heartbeat makes it live again.
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

    /// Marks a server as having left. An unknown one is recorded as such, since its heartbeats may arrive later. True if
    /// anything changed.
    pub fn mark_server_left(&mut self, id: &str, now: Nanos) -> bool {
        let mut record = self.server(id).cloned().unwrap_or_default();
        record.id = id.to_owned();
        record.state = LifecycleState::Left;
        self.merge_server(record, now)
    }

    /// Marks a server as unresponsive at its last known call sequence. True if anything changed.
    pub fn mark_server_unresponsive(&mut self, id: &str, now: Nanos) -> bool {
        let live = self.server(id).filter(|record| record.is_live()).cloned();
        let Some(mut record) = live else {
            return false;
        };
        record.unresponsive = true;
        self.merge_server(record, now)
    }

    /// Merges a record of a node. True if anything changed. The higher incarnation wins.
    pub fn merge_node(&mut self, update: NodeRecord, now: Nanos) -> bool {
        let is_changed = self.nodes.merge(update, now, &mut self.changes);
        self.node_changes += u64::from(is_changed);
        is_changed
    }

    /// Marks a node as unresponsive in its last known incarnation. True if anything changed.
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

    /// The incarnation that a process must take for its record to win over what is known of its name.
    pub fn next_incarnation(&self, own: &NodeRecord) -> u64 {
        self.node(&own.name)
            .map_or(own.incarnation, |known| own.incarnation_over(known))
    }

    /// Merges a server directive. True if anything changed.
    pub fn merge_directive(&mut self, update: ServerDirective, now: Nanos) -> bool {
        self.directives.merge(update, now, &mut self.changes)
    }

    /// Merges all records of a delta. True if anything changed.
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

    /// The changes since a revision, oldest first, at most `max_records` of them. A revision of another epoch counts as 0.
    pub fn delta_since(&self, epoch: u64, revision: u64, max_records: usize) -> MembershipDelta {
        self.delta_between(epoch, revision, self.revision(), max_records)
    }

    /// The same up to the revision `up_to`. A record that changed after it is left out, and comes with a later delta.
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
                // The next delta continues with this change.
                delta.revision = revision - 1;
                break;
            }
            delta.push(key, self);
        }
        delta
    }

    /// Drops tombstones after their retention, and servers and nodes that were unresponsive for four times as long.
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
