//! The rows, how two of one name merge, and what changed since a revision.
use crate::{Nanos, Note};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// In the order in which a server goes through them; it never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ModelAt {
    pub name: String,
    pub version: u64,
}

/// One incarnation of a server, as it told itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerRow {
    /// Its instance id: new with every start.
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slot_count: u32,
    pub standing: Standing,
    /// Rises with each of its calls.
    pub call_sequence: u64,
    pub models: Seq<ModelAt>,
    /// The node that it calls now, which tells when it falls silent.
    pub registrar: String,
    /// Nobody hears of it at this call sequence: advice only, it may still answer.
    pub silent: bool,
}

/// One process of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct NodeRow {
    pub name: String,
    /// Where other nodes reach it, and where servers and operators do (empty: not there).
    pub internal: String,
    pub control: String,
    pub zone: String,
    pub region: String,
    pub counted: bool,
    /// Takes clients.
    pub front: bool,
    /// Id of its disk's life, 0 without one.
    pub disk: u64,
    /// Incarnation: raised by the process itself whenever it finds something newer of its name.
    pub life: u64,
    /// Drawn at start, to tell two processes of one name apart.
    pub nonce: u64,
    pub leaving: bool,
    /// Nobody hears of it in this life: refuted by a higher one.
    pub silent: bool,
}

struct Kept<T> {
    row: T,
    revision: u64,
    at: Nanos,
}

/// Names a row of any kind.
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
    /// Names the `Rows` that counted the revision: a restarted one counts anew.
    pub epoch: u64,
    pub revision: u64,
    pub servers: Seq<ServerRow>,
    pub nodes: Seq<NodeRow>,
    pub notes: Seq<Note>,
}

impl Delta {
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.nodes.is_empty() && self.notes.is_empty()
    }
}

/// All rows of one node.
pub struct Rows {
    epoch: u64,
    revision: u64,
    /// How long a row that is over is kept, so that no older word of it brings it back.
    tombstone: Nanos,
    /// Most rows of each kind: what one node may be made to hold by whoever calls it.
    most: usize,
    servers: BTreeMap<String, Kept<ServerRow>>,
    /// Which ready server was heard of last at an address.
    at_address: HashMap<String, String>,
    nodes: BTreeMap<String, Kept<NodeRow>>,
    notes: BTreeMap<String, Kept<Note>>,
    /// Rows by the revision of their last change: pollers ask for the newest few of thousands.
    by_revision: BTreeMap<u64, Key>,
    /// The last change that others must hear of at once, rather than with the next few.
    urgent: u64,
    /// Counts changes of node rows, those that are dropped included.
    node_changes: u64,
    /// Counts server rows that were dropped, which no revision tells of.
    servers_dropped: u64,
    /// Rows that were handed out by walks over all or some of them.
    walked: Cell<u64>,
}

impl Rows {
    /// `epoch` is drawn at start; `tombstone` in nanoseconds.
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

    pub fn epoch(&self) -> u64 {
        self.epoch
    }
    pub fn revision(&self) -> u64 {
        self.revision
    }
    pub fn server(&self, id: &str) -> Option<&ServerRow> {
        self.servers.get(id).map(|k| &k.row)
    }
    pub fn servers(&self) -> impl Iterator<Item = &ServerRow> {
        self.servers
            .values()
            .inspect(|_| self.count_walked())
            .map(|k| &k.row)
    }
    pub fn servers_held(&self) -> usize {
        self.servers.len()
    }
    pub fn node(&self, name: &str) -> Option<&NodeRow> {
        self.nodes.get(name).map(|k| &k.row)
    }
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRow> {
        self.nodes
            .values()
            .inspect(|_| self.count_walked())
            .map(|k| &k.row)
    }
    pub fn note(&self, key: &str) -> Option<&Note> {
        self.notes.get(key).map(|k| &k.row)
    }
    /// Notes with when each was last changed here.
    pub fn notes_at(&self) -> impl Iterator<Item = (&Note, Nanos)> {
        self.notes
            .values()
            .inspect(|_| self.count_walked())
            .map(|k| (&k.row, k.at))
    }
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

    /// The revision of the last change that can't wait: a server drains, leaves, or takes new weights.
    pub fn urgent(&self) -> u64 {
        self.urgent
    }

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

    /// Takes a row as it is, whatever is known: the mistake that `merge_server` is there against.
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

    /// What a server says of itself, or another node of it. True if anything changed. A late word with a lower
    /// call sequence undoes nothing, and a standing never goes back.
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

    /// Another one that was heard of at the address of a new one: an address has one server at a time. Only
    /// silent, not gone, since words may come late: its next beat brings it back.
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

    /// The server has left; an unknown one is remembered as gone, since its beats may come later.
    pub fn leave(&mut self, id: &str, now: Nanos) -> bool {
        let mut row = self.server(id).cloned().unwrap_or_default();
        row.id = id.to_owned();
        row.standing = Standing::Gone;
        self.merge_server(row, now)
    }

    /// Nobody has heard of it since the call sequence that is known.
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

    pub fn merge_node(&mut self, row: NodeRow, now: Nanos) -> bool {
        match self.nodes.get(&row.name) {
            None if self.nodes.len() >= self.most => return false,
            Some(Kept { row: old, .. }) => {
                // Of two processes of one name and life the higher nonce is kept until one of them goes higher.
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

    /// The life that a process of this name must take to be believed: above all that is known of others.
    pub fn life_for(&self, own: &NodeRow) -> u64 {
        match self.node(&own.name) {
            Some(row) if row.nonce != own.nonce || row.silent || (row.leaving && !own.leaving) => {
                own.life.max(row.life + 1)
            }
            _ => own.life,
        }
    }

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

    /// All that another node told. True if anything changed here.
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

    /// What changed since a revision that this `Rows` gave out, the oldest changes first and `most` rows of them; from the
    /// beginning to whom had it from another.
    pub fn since(&self, epoch: u64, revision: u64, most: usize) -> Delta {
        self.between(epoch, revision, self.revision, most)
    }

    /// The same up to a revision, of rows that did not change after it: those come with a later answer.
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
                // The rest is for the next time.
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

    /// Drops what has been over for long enough. Silent servers that nobody heard of go the same way, later.
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
