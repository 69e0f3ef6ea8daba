//! A node of an exploration: its process, its disk, and the store in flight.
//!
//! Each node has its own clock, which advances only when its timers fire. A node's reaction depends only on its state
//! and its input.
use super::body::CompareAndSet;
use super::digest::digest_of;
use super::scope::{CallKind, Scope};
use fastrand::Rng;
use sparrouter_consensus::{
    Action, Member, Message, Nanos, NodeObservation, Record, Register, Settings, VoteId,
};

/// Shard of the register; an arbitrary number.
const SHARD: u16 = 7;

/// A deadline that no call reaches within an exploration.
const NO_DEADLINE: Nanos = Nanos::MAX / 4;

/// Difference between the id of a wiped disk and the id of the empty disk that replaces it.
const DISK_ID_STEP: u64 = 100;

/// Maximum length of a decoded record or message, in bytes.
const MAX_BYTES: usize = 1 << 16;

/// A node: its process, its disk, and the store in flight.
#[derive(Clone)]
pub struct Node {
    pub member: Member,
    incarnation: u64,
    register: Register<CompareAndSet>,
    disk: Option<Vec<u8>>,
    /// The store in flight.
    pub pending: Option<PendingStore>,
    /// Votes accepted in memory that are not part of a store yet.
    unsaved: Vec<VoteId>,
    now: Nanos,
    /// Id of the newest vote on disk.
    pub vote_on_disk: Option<VoteId>,
    pub digest: u128,
}

/// An input of a node.
#[derive(Debug)]
pub enum Input {
    Message {
        sender: Member,
        message: Message,
    },
    Call {
        op: u64,
        kind: CallKind,
    },
    /// The store in flight ends. `written` is whether its bytes are on disk.
    Stored {
        written: bool,
        ok: bool,
    },
    Restart {
        written: bool,
    },
    /// A restart with an empty disk.
    Wipe,
    Tick,
    Observe {
        observations: Vec<NodeObservation>,
        contact_timeout: Nanos,
    },
}

/// A store in flight.
#[derive(Clone, Debug)]
pub struct PendingStore {
    token: u64,
    bytes: Vec<u8>,
    pub votes: Vec<VoteId>,
}

pub fn settings(scope: &Scope) -> Settings {
    Settings {
        defects: scope.defects.clone(),
        ..Settings::default()
    }
}

pub fn first_member(node: usize) -> Member {
    let number = node as u64 + 1;
    Member {
        disk_id: number,
        name: format!("node-{number}"),
        address: format!("10.0.0.{number}:7360"),
    }
}

fn decoded(record: &[u8]) -> Record {
    Record::decode(record, MAX_BYTES).expect("a record that this code wrote can be read")
}

impl Node {
    pub fn start(scope: &Scope, member: Member, incarnation: u64, disk: Option<Vec<u8>>) -> Node {
        let seed = scope.seed ^ (member.disk_id << 32) ^ incarnation;
        let register = Register::new(
            SHARD,
            member.clone(),
            disk.as_deref(),
            CompareAndSet,
            Rng::with_seed(seed),
            settings(scope),
            0,
        );
        let mut node = Node {
            member,
            incarnation,
            register: register.expect("a record that this code wrote can be read"),
            disk,
            pending: None,
            unsaved: Vec::new(),
            now: 0,
            vote_on_disk: None,
            digest: 0,
        };
        node.vote_on_disk = node.record().accepted.map(|vote| vote.id());
        node.refresh_digest();
        node
    }

    /// Writes the store in flight to the disk.
    fn write(&mut self) {
        if let Some(pending) = &self.pending {
            self.disk = Some(pending.bytes.clone());
            self.vote_on_disk = self.record().accepted.map(|vote| vote.id());
        }
    }

    /// Ends the store in flight.
    fn end_store(&mut self, ok: bool) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if !ok {
            // The votes are still in memory and become part of the next store.
            self.unsaved.splice(0..0, pending.votes);
        }
        self.register.stored(pending.token, ok, self.now);
    }

    /// Restarts the node as `member`, with this disk.
    fn restart(&mut self, scope: &Scope, member: Member, disk: Option<Vec<u8>>) {
        *self = Node::start(scope, member, self.incarnation + 1, disk);
    }

    /// Handles an input. Returns the register's actions except its store, which becomes `pending`.
    pub fn react(&mut self, scope: &Scope, input: Input) -> Vec<Action> {
        if let Input::Stored { written: true, .. } | Input::Restart { written: true } = input {
            self.write();
        }
        let register = &mut self.register;
        match input {
            Input::Stored { ok, .. } => self.end_store(ok),
            Input::Restart { .. } => self.restart(scope, self.member.clone(), self.disk.clone()),
            Input::Wipe => {
                let mut member = self.member.clone();
                if !scope.defects.wiped_disk_keeps_id {
                    member.disk_id += DISK_ID_STEP;
                }
                self.restart(scope, member, None);
            }
            Input::Message { sender, message } => register.handle(sender, message, self.now),
            Input::Call { op, kind } => match kind {
                CallKind::Read => register.read(op, NO_DEADLINE, self.now),
                CallKind::Change { expected, new } => {
                    register.propose(op, vec![expected, new], NO_DEADLINE, self.now)
                }
            },
            Input::Tick => {
                let wake = register.next_wake().unwrap_or(self.now);
                self.now = self.now.max(wake);
                register.tick(self.now);
            }
            Input::Observe {
                observations,
                contact_timeout,
            } => {
                // The node observes twice, because a member that is not the first in the order of proposers waits a
                // tenth of `contact_timeout` for each member before it. The second observation comes before half of
                // `contact_timeout`, while a candidate's confirmation is still valid.
                register.observe_nodes(&observations, self.now);
                self.now += contact_timeout * 2 / 5;
                register.observe_nodes(&observations, self.now);
            }
        }
        let actions = self.register.take_actions();
        if let Some(vote_id) = self.register.accepted_vote()
            && self.unsaved.last() != Some(&vote_id)
        {
            self.unsaved.push(vote_id);
        }
        let (stores, others) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Store { .. }));
        for store in stores {
            self.begin_store(store);
        }
        self.refresh_digest();
        others
    }

    /// Starts a store. It may not contain the last vote that the same step accepted, which becomes part of the next
    /// store.
    fn begin_store(&mut self, store: Action) {
        if let Action::Store { token, bytes } = store {
            let stored = decoded(&bytes).accepted.map(|vote| vote.id());
            let is_covered = |vote_id: &mut VoteId| Some(*vote_id) <= stored;
            let votes = self.unsaved.extract_if(.., is_covered).collect();
            self.pending = Some(PendingStore {
                token,
                bytes,
                votes,
            });
        }
    }

    fn record(&self) -> Record {
        self.disk.as_deref().map(decoded).unwrap_or_default()
    }

    fn refresh_digest(&mut self) {
        let state = (
            &self.member,
            self.incarnation,
            &self.register,
            &self.disk,
            &self.pending,
            &self.unsaved,
            self.now,
        );
        self.digest = digest_of(&state);
    }
}
