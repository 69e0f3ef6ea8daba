//! The rows, how two rows of one name merge, and which rows changed since a revision.
use crate::{Nanos, Note};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// The life cycle of a server. It only ever moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum Standing {
    /// It takes requests.
    #[default]
    Ready,
    /// It takes no new requests, and will leave.
    Draining,
    /// It has left.
    Gone,
}

/// A model that a server runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ModelAt {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: u64,
}

/// One incarnation of a server, as its heartbeats describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerRow {
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
    pub standing: Standing,
    /// Number of its last call; rises with each.
    pub call_sequence: u64,
    /// The models that it runs.
    pub models: Seq<ModelAt>,
    /// Name of the node that its heartbeats go to, which marks it silent if they stop.
    pub registrar: String,
    /// No heartbeat came since this call sequence. A hint only: it may still answer requests.
    pub silent: bool,
}

/// One process of the fleet, as it describes itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct NodeRow {
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Address for other nodes.
    pub internal: String,
    /// Address for servers and operators; empty if it serves none.
    pub control: String,
    /// The zone that it is in.
    pub zone: String,
    /// The region that it is in.
    pub region: String,
    /// It counts toward the quorum.
    pub counted: bool,
    /// It serves clients.
    pub front: bool,
    /// Id of its disk, new after the disk was wiped; 0 without a disk.
    pub disk: u64,
    /// Incarnation. The process raises it whenever it learns of a newer row of its name.
    pub life: u64,
    /// Random number of the process, to tell two processes of one name apart.
    pub nonce: u64,
    /// It is shutting down.
    pub leaving: bool,
    /// It stopped polling. It refutes this with a higher incarnation.
    pub silent: bool,
}

/// A row, and when it was last changed here.
struct Kept<T> {
    row: T,
    revision: u64,
    at: Nanos,
}

/// The key of a row of any kind.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Key {
    Server(String),
    Node(String),
    Note(String),
}

/// Names a row that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangedRow<'a> {
    /// A server, by its id.
    Server(&'a str),
    /// A node, by its name.
    Node(&'a str),
    /// A directive or other note, by its key.
    Note(&'a str),
}

/// What changed since a revision, or everything.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct Delta {
    /// Identifies the [`Rows`] that the revision belongs to: a restarted process counts from 0 again.
    pub epoch: u64,
    /// The revision that this delta leads to.
    pub revision: u64,
    /// Rows of servers.
    pub servers: Seq<ServerRow>,
    /// Rows of nodes.
    pub nodes: Seq<NodeRow>,
    /// Server directives.
    pub notes: Seq<Note>,
}

impl Delta {
    /// Whether it holds no row.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.nodes.is_empty() && self.notes.is_empty()
    }
}

/// All rows that one node knows; bounded.
pub struct Rows {
    epoch: u64,
    revision: u64,
    /// How long a tombstone is kept, so that no late message brings its row back.
    tombstone: Nanos,
    /// Most rows of each kind, which bounds the memory that callers can make a node take.
    most: usize,
    servers: BTreeMap<String, Kept<ServerRow>>,
    /// The server that was last live at each address.
    at_address: HashMap<String, String>,
    nodes: BTreeMap<String, Kept<NodeRow>>,
    notes: BTreeMap<String, Kept<Note>>,
    /// Rows by the revision of their last change, since pollers ask for the newest few of thousands.
    by_revision: BTreeMap<u64, Key>,
    /// Revision of the last change that is published at once.
    urgent: u64,
    /// Counts changes of node rows, those that are dropped included.
    node_changes: u64,
    /// Counts server rows that were dropped, which no revision tells of.
    servers_dropped: u64,
    /// Rows that were handed out by walks over all or some of them.
    walked: Cell<u64>,
}

impl Rows {
    /// No rows. `epoch`: a random number; `tombstone`: how long tombstones are kept, in nanoseconds; `most`: most rows of
    /// each kind.
    pub fn new(epoch: u64, tombstone: Nanos, most: usize) -> Rows {
        Rows {
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
            walked: Cell::new(0),
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
    pub fn server(&self, id: &str) -> Option<&ServerRow> {
        self.servers.get(id).map(|k| &k.row)
    }
    /// All servers in the order of their ids, those that have left until their tombstones are dropped.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRow> {
        self.servers
            .values()
            .inspect(|_| self.count_walked())
            .map(|k| &k.row)
    }
    /// How many rows of servers are held.
    pub fn servers_held(&self) -> usize {
        self.servers.len()
    }
    /// The row of a node, by its name.
    pub fn node(&self, name: &str) -> Option<&NodeRow> {
        self.nodes.get(name).map(|k| &k.row)
    }
    /// All nodes in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRow> {
        self.nodes
            .values()
            .inspect(|_| self.count_walked())
            .map(|k| &k.row)
    }
    /// The newest server directive under a key.
    pub fn note(&self, key: &str) -> Option<&Note> {
        self.notes.get(key).map(|k| &k.row)
    }
    /// All server directives, and when each was last changed here.
    pub fn notes_at(&self) -> impl Iterator<Item = (&Note, Nanos)> {
        self.notes
            .values()
            .inspect(|_| self.count_walked())
            .map(|k| (&k.row, k.at))
    }
    /// All server directives in the order of their keys.
    pub fn notes(&self) -> impl Iterator<Item = &Note> {
        self.notes_at().map(|(note, _)| note)
    }
    /// Notes whose keys begin with `prefix`, with when each was last changed here. Finds them without a walk over others.
    pub fn notes_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a Note, Nanos)> {
        self.notes
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .inspect(|_| self.count_walked())
            .map(|(_, k)| (&k.row, k.at))
    }

    /// The rows that changed after a revision, each once, the oldest change first.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = ChangedRow<'_>> {
        self.by_revision
            .range(revision + 1..)
            .inspect(|_| self.count_walked())
            .map(|(_, key)| match key {
                Key::Server(id) => ChangedRow::Server(id),
                Key::Node(name) => ChangedRow::Node(name),
                Key::Note(key) => ChangedRow::Note(key),
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
    pub fn walked(&self) -> u64 {
        self.walked.get()
    }

    fn count_walked(&self) {
        self.walked.set(self.walked.get() + 1);
    }

    /// Revision of the last urgent change: a server drains or leaves, a directive, a node that leaves or is silent.
    pub fn urgent(&self) -> u64 {
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
    #[cfg(feature = "planted")]
    pub fn put_back(&mut self, row: ServerRow, now: Nanos) {
        let before = self.servers.get(&row.id).map(|k| k.revision);
        let revision = self.next(Key::Server(row.id.clone()), before, true);
        self.servers.insert(
            row.id.clone(),
            Kept {
                row,
                revision,
                at: now,
            },
        );
    }

    /// Merges a row of a server. True if anything changed. A late row with a lower call sequence undoes nothing, and a
    /// server's standing never moves back.
    pub fn merge_server(&mut self, mut row: ServerRow, now: Nanos) -> bool {
        match self.servers.get(&row.id) {
            None if self.servers.len() >= self.most => return false,
            None => {}
            Some(Kept { row: old, .. }) => {
                let standing = old.standing.max(row.standing);
                if (row.call_sequence, row.silent) <= (old.call_sequence, old.silent) {
                    if standing == old.standing {
                        return false;
                    }
                    row = old.clone();
                }
                row.standing = standing;
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
                kept.row.silent = true;
                (kept.revision, kept.at) = (revision, now);
            }
        }
        if row.standing != Standing::Gone && !row.silent {
            self.at_address.insert(row.address.clone(), row.id.clone());
        }
        let before = self.servers.get(&row.id).map(|k| k.revision);
        let revision = self.next(
            Key::Server(row.id.clone()),
            before,
            row.standing != Standing::Ready,
        );
        self.servers.insert(
            row.id.clone(),
            Kept {
                row,
                revision,
                at: now,
            },
        );
        true
    }

    /// The server that was live at the address of a new one, since an address has one server at a time. It is marked silent
    /// and not gone, because messages may come late: its next heartbeat makes it live again.
    fn displaced(&self, row: &ServerRow) -> Option<String> {
        if row.silent || row.standing == Standing::Gone || self.servers.contains_key(&row.id) {
            return None;
        }
        let other = self
            .at_address
            .get(&row.address)
            .filter(|id| **id != row.id)?;
        self.servers
            .get(other)
            .filter(|k| !k.row.silent && k.row.standing != Standing::Gone)?;
        Some(other.clone())
    }

    /// Marks a server as gone. An unknown one is remembered as gone, since its heartbeats may come later. True if anything
    /// changed.
    pub fn leave(&mut self, id: &str, now: Nanos) -> bool {
        let mut row = self.server(id).cloned().unwrap_or_default();
        row.id = id.to_owned();
        row.standing = Standing::Gone;
        self.merge_server(row, now)
    }

    /// Marks a server as silent at its last known call sequence. True if anything changed.
    pub fn fall_silent(&mut self, id: &str, now: Nanos) -> bool {
        match self.server(id).cloned() {
            Some(row) if !row.silent && row.standing != Standing::Gone => self.merge_server(
                ServerRow {
                    silent: true,
                    ..row
                },
                now,
            ),
            _ => false,
        }
    }

    /// Merges a row of a node. True if anything changed. The higher incarnation wins.
    pub fn merge_node(&mut self, row: NodeRow, now: Nanos) -> bool {
        match self.nodes.get(&row.name) {
            None if self.nodes.len() >= self.most => return false,
            Some(Kept { row: old, .. }) => {
                // Of two processes of one name and incarnation the one with the higher nonce wins, until one raises its
                // incarnation.
                let place = |r: &NodeRow| (r.life, r.nonce, r.leaving, r.silent, r.disk);
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
            row.leaving || row.silent,
        );
        self.nodes.insert(
            row.name.clone(),
            Kept {
                row,
                revision,
                at: now,
            },
        );
        true
    }

    /// Marks a node as silent in its last known incarnation. True if anything changed.
    pub fn node_silent(&mut self, name: &str, now: Nanos) -> bool {
        match self.node(name).cloned() {
            Some(row) if !row.silent => self.merge_node(
                NodeRow {
                    silent: true,
                    ..row
                },
                now,
            ),
            _ => false,
        }
    }

    /// The incarnation that a process must take for its row to win over what is known of its name.
    pub fn life_for(&self, own: &NodeRow) -> u64 {
        match self.node(&own.name) {
            Some(row) if row.nonce != own.nonce || row.silent || (row.leaving && !own.leaving) => {
                own.life.max(row.life + 1)
            }
            _ => own.life,
        }
    }

    /// Merges a server directive. True if anything changed.
    pub fn merge_note(&mut self, note: Note, now: Nanos) -> bool {
        match self.notes.get(&note.key) {
            None if self.notes.len() >= self.most => return false,
            Some(kept) if !note.newer(&kept.row) => return false,
            _ => {}
        }
        let before = self.notes.get(&note.key).map(|k| k.revision);
        let revision = self.next(Key::Note(note.key.clone()), before, true);
        self.notes.insert(
            note.key.clone(),
            Kept {
                row: note,
                revision,
                at: now,
            },
        );
        true
    }

    /// Merges all rows of a delta. True if anything changed.
    pub fn merge(&mut self, delta: Delta, now: Nanos) -> bool {
        let mut changed = false;
        for row in delta.nodes {
            changed |= self.merge_node(row, now);
        }
        for row in delta.servers {
            changed |= self.merge_server(row, now);
        }
        for note in delta.notes {
            changed |= self.merge_note(note, now);
        }
        changed
    }

    /// The changes since a revision, oldest first, at most `most` rows. A revision of another epoch counts as 0.
    pub fn since(&self, epoch: u64, revision: u64, most: usize) -> Delta {
        self.between(epoch, revision, self.revision, most)
    }

    /// The same up to the revision `up_to`. A row that changed after it is left out, and comes with a later delta.
    pub fn between(&self, epoch: u64, revision: u64, up_to: u64, most: usize) -> Delta {
        let from = if epoch == self.epoch && revision <= up_to {
            revision
        } else {
            0
        };
        let mut delta = Delta {
            epoch: self.epoch,
            revision: up_to,
            ..Delta::default()
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
                Key::Note(key) => delta.notes.extend(self.note(key).cloned()),
            }
        }
        delta
    }

    /// Drops tombstones that are old enough, and servers and nodes that were silent for four times as long.
    pub fn sweep(&mut self, now: Nanos) {
        let old =
            |at: Nanos, times: u64| now.saturating_sub(at) > self.tombstone.saturating_mul(times);
        let (servers_before, nodes_before) = (self.servers.len(), self.nodes.len());
        self.servers.retain(|_, k| match k.row.standing {
            Standing::Gone => !old(k.at, 1),
            _ => !(k.row.silent && old(k.at, 4)),
        });
        self.servers_dropped += (servers_before - self.servers.len()) as u64;
        self.at_address
            .retain(|_, id| self.servers.contains_key(id));
        self.nodes.retain(|_, k| !(k.row.silent && old(k.at, 4)));
        self.node_changes += (nodes_before - self.nodes.len()) as u64;
        self.notes.retain(|_, k| !(k.row.over && old(k.at, 1)));
        let (servers, nodes, notes) = (&self.servers, &self.nodes, &self.notes);
        self.by_revision.retain(|revision, key| {
            let now = match key {
                Key::Server(id) => servers.get(id).map(|k| k.revision),
                Key::Node(name) => nodes.get(name).map(|k| k.revision),
                Key::Note(key) => notes.get(key).map(|k| k.revision),
            };
            now == Some(*revision)
        });
    }
}
