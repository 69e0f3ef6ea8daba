//! The rows, how two rows of one name merge, and which rows changed since a revision.
use crate::{Nanos, ServerDirective};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// The life cycle of a server. It only ever moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum LifecycleState {
    /// It takes requests.
    #[default]
    Ready,
    /// It takes no new requests, and will leave.
    Draining,
    /// It has left.
    Left,
}

/// A model that a server runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: u64,
}

/// One incarnation of a server, as its heartbeats describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerRecord {
    /// Its instance id, new with each start.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// The zone that it is in.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slot_count: u32,
    /// Whether it takes requests.
    pub state: LifecycleState,
    /// Number of its last call; rises with each.
    pub call_sequence: u64,
    /// The models that it runs.
    pub models: Seq<LoadedModel>,
    /// Name of the node that its heartbeats go to, which marks it silent if they stop.
    pub registrar: String,
    /// No heartbeat came since this call sequence. A hint only: it may still answer requests.
    pub unresponsive: bool,
}

/// One process of the fleet, as it describes itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct NodeRecord {
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Address for other nodes.
    pub internal_address: String,
    /// Address for servers and operators; empty if it serves none.
    pub control_address: String,
    /// The zone that it is in.
    pub zone: String,
    /// The region that it is in.
    pub region: String,
    /// It counts toward the quorum.
    pub counts_toward_quorum: bool,
    /// It serves clients.
    pub serves_clients: bool,
    /// Id of its disk, new after the disk was wiped; 0 without a disk.
    pub disk_id: u64,
    /// Incarnation. The process raises it whenever it learns of a newer row of its name.
    pub incarnation: u64,
    /// Random number of the process, to tell two processes of one name apart.
    pub nonce: u64,
    /// It is shutting down.
    pub leaving: bool,
    /// It stopped polling. It refutes this with a higher incarnation.
    pub unresponsive: bool,
}

/// A row, and when it was last changed here.
struct VersionedRecord<T> {
    row: T,
    revision: u64,
    changed_at: Nanos,
}

/// The key of a row of any kind.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Key {
    Server(String),
    Node(String),
    Directive(String),
}

/// Names a row that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangedRecord<'a> {
    /// A server, by its id.
    Server(&'a str),
    /// A node, by its name.
    Node(&'a str),
    /// A directive or other note, by its key.
    Directive(&'a str),
}

/// What changed since a revision, or everything.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct MembershipDelta {
    /// Identifies the [`Rows`] that the revision belongs to: a restarted process counts from 0 again.
    pub epoch: u64,
    /// The revision that this delta leads to.
    pub revision: u64,
    /// Rows of servers.
    pub servers: Seq<ServerRecord>,
    /// Rows of nodes.
    pub nodes: Seq<NodeRecord>,
    /// Server directives.
    pub directives: Seq<ServerDirective>,
}

impl MembershipDelta {
    /// Whether it holds no row.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.nodes.is_empty() && self.directives.is_empty()
    }
}

/// All rows that one node knows; bounded.
pub struct MembershipTable {
    epoch: u64,
    revision: u64,
    /// How long a tombstone is kept, so that no late message brings its row back.
    tombstone: Nanos,
    /// Most rows of each kind, which bounds the memory that callers can make a node take.
    most: usize,
    servers: BTreeMap<String, VersionedRecord<ServerRecord>>,
    /// The server that was last live at each address.
    at_address: HashMap<String, String>,
    nodes: BTreeMap<String, VersionedRecord<NodeRecord>>,
    notes: BTreeMap<String, VersionedRecord<ServerDirective>>,
    /// Rows by the revision of their last change, since pollers ask for the newest few of thousands.
    by_revision: BTreeMap<u64, Key>,
    /// Revision of the last change that is published at once.
    urgent: u64,
    /// Counts changes of node rows, those that are dropped included.
    node_changes: u64,
    /// Counts server rows that were dropped, which no revision tells of.
    servers_dropped: u64,
    /// Rows that were handed out by walks over all or some of them.
    records_visited: Cell<u64>,
}

impl MembershipTable {
    /// No rows. `epoch`: a random number; `tombstone`: how long tombstones are kept, in nanoseconds; `most`: most rows of
    /// each kind.
    pub fn new(epoch: u64, tombstone: Nanos, most: usize) -> MembershipTable {
        MembershipTable {
            epoch,
            revision: 0,
            tombstone,
            most,
            servers: BTreeMap::new(),
            at_address: HashMap::new(),
            nodes: BTreeMap::new(),
            notes: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            urgent: 0,
            node_changes: 0,
            servers_dropped: 0,
            records_visited: Cell::new(0),
        }
    }

    /// Identifies this instance; see [`Delta::epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }
    /// The row of a server, by its instance id.
    pub fn server(&self, id: &str) -> Option<&ServerRecord> {
        self.servers.get(id).map(|k| &k.row)
    }
    /// All servers in the order of their ids, those that have left until their tombstones are dropped.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers
            .values()
            .inspect(|_| self.count_visit())
            .map(|k| &k.row)
    }
    /// How many rows of servers are held.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }
    /// The row of a node, by its name.
    pub fn node(&self, name: &str) -> Option<&NodeRecord> {
        self.nodes.get(name).map(|k| &k.row)
    }
    /// All nodes in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes
            .values()
            .inspect(|_| self.count_visit())
            .map(|k| &k.row)
    }
    /// The newest server directive under a key.
    pub fn directive(&self, key: &str) -> Option<&ServerDirective> {
        self.notes.get(key).map(|k| &k.row)
    }
    /// All server directives, and when each was last changed here.
    pub fn directives_with_age(&self) -> impl Iterator<Item = (&ServerDirective, Nanos)> {
        self.notes
            .values()
            .inspect(|_| self.count_visit())
            .map(|k| (&k.row, k.changed_at))
    }
    /// All server directives in the order of their keys.
    pub fn directives(&self) -> impl Iterator<Item = &ServerDirective> {
        self.directives_with_age().map(|(note, _)| note)
    }
    /// Notes whose keys begin with `prefix`, with when each was last changed here. Finds them without a walk over others.
    pub fn directives_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a ServerDirective, Nanos)> {
        self.notes
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .inspect(|_| self.count_visit())
            .map(|(_, k)| (&k.row, k.changed_at))
    }

    /// The rows that changed after a revision, each once, the oldest change first.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = ChangedRecord<'_>> {
        self.by_revision
            .range(revision + 1..)
            .inspect(|_| self.count_visit())
            .map(|(_, key)| match key {
                Key::Server(id) => ChangedRecord::Server(id),
                Key::Node(name) => ChangedRecord::Node(name),
                Key::Directive(key) => ChangedRecord::Directive(key),
            })
    }

    /// Rises with each change of a node's row, and when one is dropped: what was worked out from all of them holds
    /// until then.
    pub fn node_changes(&self) -> u64 {
        self.node_changes
    }

    /// Rises when server rows are dropped, which [`Rows::changed_since`] does not tell of.
    pub fn servers_dropped(&self) -> u64 {
        self.servers_dropped
    }

    /// How many rows were handed out by walks so far: what shows that work grows with the size of the fleet.
    pub fn records_visited(&self) -> u64 {
        self.records_visited.get()
    }

    fn count_visit(&self) {
        self.records_visited.set(self.records_visited.get() + 1);
    }

    /// Revision of the last urgent change: a server drains or leaves, a directive, a node that leaves or is silent.
    pub fn urgent_revision(&self) -> u64 {
        self.urgent
    }

    /// Records a change of a row; gives its revision. `before`: the revision of the row's change before.
    fn next(&mut self, key: Key, before: Option<u64>, urgent: bool) -> u64 {
        self.revision += 1;
        if let Some(before) = before {
            self.by_revision.remove(&before);
        }
        self.by_revision.insert(self.revision, key);
        if urgent {
            self.urgent = self.revision;
        }
        self.revision
    }

    /// Overwrites a row, whatever is known: the mistake that `merge_server` guards against, planted for tests.
    #[cfg(feature = "injected-defects")]
    pub fn overwrite(&mut self, row: ServerRecord, now: Nanos) {
        let before = self.servers.get(&row.id).map(|k| k.revision);
        let revision = self.next(Key::Server(row.id.clone()), before, true);
        self.servers.insert(
            row.id.clone(),
            VersionedRecord {
                row,
                revision,
                changed_at: now,
            },
        );
    }

    /// Merges a row of a server. True if anything changed. A late row with a lower call sequence undoes nothing, and a
    /// server's standing never moves back.
    pub fn merge_server(&mut self, mut row: ServerRecord, now: Nanos) -> bool {
        match self.servers.get(&row.id) {
            None if self.servers.len() >= self.most => return false,
            None => {}
            Some(VersionedRecord { row: old, .. }) => {
                let standing = old.state.max(row.state);
                if (row.call_sequence, row.unresponsive) <= (old.call_sequence, old.unresponsive) {
                    if standing == old.state {
                        return false;
                    }
                    row = old.clone();
                }
                row.state = standing;
                if row == *old {
                    return false;
                }
            }
        }
        let displaced = self.displaced(&row);
        if let Some(id) = displaced {
            let before = self.servers.get(&id).map(|k| k.revision);
            let revision = self.next(Key::Server(id.clone()), before, false);
            if let Some(kept) = self.servers.get_mut(&id) {
                kept.row.unresponsive = true;
                (kept.revision, kept.changed_at) = (revision, now);
            }
        }
        if row.state != LifecycleState::Left && !row.unresponsive {
            self.at_address.insert(row.address.clone(), row.id.clone());
        }
        let before = self.servers.get(&row.id).map(|k| k.revision);
        let revision = self.next(
            Key::Server(row.id.clone()),
            before,
            row.state != LifecycleState::Ready,
        );
        self.servers.insert(
            row.id.clone(),
            VersionedRecord {
                row,
                revision,
                changed_at: now,
            },
        );
        true
    }

    /// The server that was live at the address of a new one, since an address has one server at a time. It is marked silent
    /// and not gone, because messages may come late: its next heartbeat makes it live again.
    fn displaced(&self, row: &ServerRecord) -> Option<String> {
        if row.unresponsive
            || row.state == LifecycleState::Left
            || self.servers.contains_key(&row.id)
        {
            return None;
        }
        let other = self
            .at_address
            .get(&row.address)
            .filter(|id| **id != row.id)?;
        self.servers
            .get(other)
            .filter(|k| !k.row.unresponsive && k.row.state != LifecycleState::Left)?;
        Some(other.clone())
    }

    /// Marks a server as gone. An unknown one is remembered as gone, since its heartbeats may come later. True if anything
    /// changed.
    pub fn mark_server_left(&mut self, id: &str, now: Nanos) -> bool {
        let mut row = self.server(id).cloned().unwrap_or_default();
        row.id = id.to_owned();
        row.state = LifecycleState::Left;
        self.merge_server(row, now)
    }

    /// Marks a server as silent at its last known call sequence. True if anything changed.
    pub fn mark_server_unresponsive(&mut self, id: &str, now: Nanos) -> bool {
        match self.server(id).cloned() {
            Some(row) if !row.unresponsive && row.state != LifecycleState::Left => self
                .merge_server(
                    ServerRecord {
                        unresponsive: true,
                        ..row
                    },
                    now,
                ),
            _ => false,
        }
    }

    /// Merges a row of a node. True if anything changed. The higher incarnation wins.
    pub fn merge_node(&mut self, row: NodeRecord, now: Nanos) -> bool {
        match self.nodes.get(&row.name) {
            None if self.nodes.len() >= self.most => return false,
            Some(VersionedRecord { row: old, .. }) => {
                // Of two processes of one name and incarnation the one with the higher nonce wins, until one raises its
                // incarnation.
                let place =
                    |r: &NodeRecord| (r.incarnation, r.nonce, r.leaving, r.unresponsive, r.disk_id);
                if place(&row) <= place(old) {
                    return false;
                }
            }
            None => {}
        }
        self.node_changes += 1;
        let before = self.nodes.get(&row.name).map(|k| k.revision);
        let revision = self.next(
            Key::Node(row.name.clone()),
            before,
            row.leaving || row.unresponsive,
        );
        self.nodes.insert(
            row.name.clone(),
            VersionedRecord {
                row,
                revision,
                changed_at: now,
            },
        );
        true
    }

    /// Marks a node as silent in its last known incarnation. True if anything changed.
    pub fn mark_node_unresponsive(&mut self, name: &str, now: Nanos) -> bool {
        match self.node(name).cloned() {
            Some(row) if !row.unresponsive => self.merge_node(
                NodeRecord {
                    unresponsive: true,
                    ..row
                },
                now,
            ),
            _ => false,
        }
    }

    /// The incarnation that a process must take for its row to win over what is known of its name.
    pub fn next_incarnation(&self, own: &NodeRecord) -> u64 {
        match self.node(&own.name) {
            Some(row)
                if row.nonce != own.nonce || row.unresponsive || (row.leaving && !own.leaving) =>
            {
                own.incarnation.max(row.incarnation + 1)
            }
            _ => own.incarnation,
        }
    }

    /// Merges a server directive. True if anything changed.
    pub fn merge_directive(&mut self, note: ServerDirective, now: Nanos) -> bool {
        match self.notes.get(&note.key) {
            None if self.notes.len() >= self.most => return false,
            Some(kept) if !note.supersedes(&kept.row) => return false,
            _ => {}
        }
        let before = self.notes.get(&note.key).map(|k| k.revision);
        let revision = self.next(Key::Directive(note.key.clone()), before, true);
        self.notes.insert(
            note.key.clone(),
            VersionedRecord {
                row: note,
                revision,
                changed_at: now,
            },
        );
        true
    }

    /// Merges all rows of a delta. True if anything changed.
    pub fn merge(&mut self, delta: MembershipDelta, now: Nanos) -> bool {
        let mut changed = false;
        for row in delta.nodes {
            changed |= self.merge_node(row, now);
        }
        for row in delta.servers {
            changed |= self.merge_server(row, now);
        }
        for note in delta.directives {
            changed |= self.merge_directive(note, now);
        }
        changed
    }

    /// The changes since a revision, oldest first, at most `most` rows. A revision of another epoch counts as 0.
    pub fn delta_since(&self, epoch: u64, revision: u64, most: usize) -> MembershipDelta {
        self.delta_between(epoch, revision, self.revision, most)
    }

    /// The same up to the revision `up_to`. A row that changed after it is left out, and comes with a later delta.
    pub fn delta_between(
        &self,
        epoch: u64,
        revision: u64,
        up_to: u64,
        most: usize,
    ) -> MembershipDelta {
        let from = if epoch == self.epoch && revision <= up_to {
            revision
        } else {
            0
        };
        let mut delta = MembershipDelta {
            epoch: self.epoch,
            revision: up_to,
            ..MembershipDelta::default()
        };
        for (place, (revision, key)) in self
            .by_revision
            .range(from + 1..=up_to.max(from + 1))
            .enumerate()
        {
            if *revision > up_to {
                break;
            }
            if place == most {
                // The rest follows with the next delta.
                delta.revision = revision - 1;
                break;
            }
            match key {
                Key::Server(id) => delta.servers.extend(self.server(id).cloned()),
                Key::Node(name) => delta.nodes.extend(self.node(name).cloned()),
                Key::Directive(key) => delta.directives.extend(self.directive(key).cloned()),
            }
        }
        delta
    }

    /// Drops tombstones that are old enough, and servers and nodes that were silent for four times as long.
    pub fn drop_expired(&mut self, now: Nanos) {
        let old =
            |at: Nanos, times: u64| now.saturating_sub(at) > self.tombstone.saturating_mul(times);
        let (servers_before, nodes_before) = (self.servers.len(), self.nodes.len());
        self.servers.retain(|_, k| match k.row.state {
            LifecycleState::Left => !old(k.changed_at, 1),
            _ => !(k.row.unresponsive && old(k.changed_at, 4)),
        });
        self.servers_dropped += (servers_before - self.servers.len()) as u64;
        self.at_address
            .retain(|_, id| self.servers.contains_key(id));
        self.nodes
            .retain(|_, k| !(k.row.unresponsive && old(k.changed_at, 4)));
        self.node_changes += (nodes_before - self.nodes.len()) as u64;
        self.notes
            .retain(|_, k| !(k.row.withdrawn && old(k.changed_at, 1)));
        let (servers, nodes, notes) = (&self.servers, &self.nodes, &self.notes);
        self.by_revision.retain(|revision, key| {
            let now = match key {
                Key::Server(id) => servers.get(id).map(|k| k.revision),
                Key::Node(name) => nodes.get(name).map(|k| k.revision),
                Key::Directive(key) => notes.get(key).map(|k| k.revision),
            };
            now == Some(*revision)
        });
    }
}
