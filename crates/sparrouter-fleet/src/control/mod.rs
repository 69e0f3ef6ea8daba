//! The control state at one node: its registers, their disk, their messages.
//!
//! What must hold is decided in `sparrouter-consensus`; here its actions are carried out. `presence`: whom this node hears, and
//! whose duty a part is; `groups`: who belongs to the groups, and the first ones; `handover`: leaving them; `change`: a change through whoever may.
mod change;
pub mod configuration_state;
pub mod disk;
mod groups;
mod handover;
pub mod listening;
mod presence;
pub mod quorum_contact;

pub use change::{NoChange, change, encode, verdict};
pub use groups::bootstrap;

use crate::control::configuration_state::{ConfigurationMachine, ConfigurationState, NamedVersion};
use crate::control::disk::{DiskContents, WriteOutcome, WriteQueue, WriteRequest};
use crate::node::Node;
use crate::peer::messages::{Call, ConfigUpdate, ModelUpdate, TextUpdate, VersionsUpdate};
use crate::platform::defects::{self, rules};
use crate::settings::nanos;
use listening::Listening;
use presence::CONTACT_WINDOW;
use quorum_contact::QuorumContact;
use sparrouter_codec::Blob;
use sparrouter_consensus::{
    Action, Applied, Leases, Machine, Member, Message, Outcome, Record, Register, Rejection,
    Settings,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;

/// The configuration's part, and how many parts the services' duties are cut into.
pub const CONFIG: u16 = 0;
pub const LEASE_SHARDS: u16 = 4;
/// Largest message of a register.
const MOST_MESSAGE: usize = 10 << 20;

/// Which duty part a service belongs to.
pub fn shard_of(service: &str) -> u16 {
    1 + (sparrouter_rendezvous::hash(service.as_bytes()) % u64::from(LEASE_SHARDS)) as u16
}

pub struct ShardMachine(u16);

impl Machine for ShardMachine {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        if self.0 == CONFIG {
            ConfigurationMachine.apply(body, change)
        } else {
            Leases.apply(body, change)
        }
    }
}

fn settings(node: &Node) -> Settings {
    let contact = nanos(node.settings.borrow().bounds.contact);
    Settings {
        contact_timeout: contact,
        defects: defects::of_registers(),
        ..Settings::default()
    }
}

type Ops = HashMap<u64, oneshot::Sender<Outcome>>;

pub struct Control {
    node: Rc<Node>,
    me: Member,
    registers: RefCell<Vec<Register<ShardMachine>>>,
    ops: RefCell<Ops>,
    next_op: Cell<u64>,
    disk: RefCell<Option<WriteQueue>>,
    /// Why the last save failed, with the remedy.
    failing: RefCell<Option<String>>,
    /// Saves that the disk has not answered yet.
    saving: Cell<usize>,
    woken: Notify,
    /// When each node of the core was last heard of, by name.
    contacts: RefCell<HashMap<String, u64>>,
    /// Since when it could have heard them.
    listening: Cell<Listening>,
    /// Nodes that ask this one, and when each asked last.
    pollers: RefCell<BTreeMap<String, u64>>,
    /// Whether a quorum confirmed lately what is in force.
    quorum_contact: RefCell<QuorumContact>,
    founded: Cell<bool>,
}

impl Control {
    pub fn start(node: Rc<Node>, stock: DiskContents) -> Rc<Control> {
        let (name, address) = {
            let me = node.own_record.borrow();
            (me.name.clone(), me.internal_address.clone())
        };
        let me = Member {
            disk_id: stock.disk_id,
            name,
            address,
        };
        let settings = settings(&node);
        let mut registers = Vec::new();
        let mut founded = false;
        for (part, record) in (0..).zip(&stock.records) {
            let rng = node.rng.borrow_mut().fork();
            let record = record.as_deref();
            let opened = Register::new(
                part,
                me.clone(),
                record,
                ShardMachine(part),
                rng,
                settings.clone(),
                0,
            );
            let register = opened.unwrap_or_else(|why| {
                node.log_buffer.breach(&why.to_string());
                let rng = node.rng.borrow_mut().fork();
                Register::new(
                    part,
                    me.clone(),
                    None,
                    ShardMachine(part),
                    rng,
                    settings.clone(),
                    0,
                )
                .expect("no record to misread")
            });
            founded |= !register.members().is_empty();
            registers.push(register);
        }
        let control = Rc::new(Control {
            node,
            me,
            registers: RefCell::new(registers),
            ops: RefCell::default(),
            next_op: Cell::new(1),
            disk: RefCell::default(),
            failing: RefCell::default(),
            saving: Cell::new(0),
            woken: Notify::new(),
            contacts: RefCell::default(),
            listening: Cell::default(),
            pollers: RefCell::default(),
            quorum_contact: RefCell::new(QuorumContact::new(nanos(CONTACT_WINDOW))),
            founded: Cell::new(founded),
        });
        if !rules::only_chosen_state_applies()
            && let Some(record) = stock.records.first().and_then(Option::as_deref)
            && let Some(vote) = Record::decode(record, MOST_MESSAGE)
                .ok()
                .and_then(|r| r.accepted)
        {
            control.publish(vote.state.slot, &vote.state.body);
        }
        let (done, stored) = mpsc::unbounded_channel();
        *control.disk.borrow_mut() = stock.writer.map(|keeper| keeper.start(done));
        spawn_local(control.clone().run(stored));
        spawn_local(control.clone().keep_contact());
        spawn_local(control.clone().tend());
        control
    }

    /// Whether this node's vote counts for the configuration.
    pub fn is_member(&self) -> bool {
        self.registers.borrow()[usize::from(CONFIG)].is_member()
    }

    pub fn disk(&self) -> u64 {
        self.me.disk_id
    }

    /// The group of a part, as far as it is known here.
    pub fn members(&self, part: u16) -> Vec<Member> {
        self.registers
            .borrow()
            .get(usize::from(part))
            .map(|r| r.members().to_vec())
            .unwrap_or_default()
    }

    async fn run(self: Rc<Self>, mut stored: mpsc::UnboundedReceiver<WriteOutcome>) {
        loop {
            let now = self.node.now();
            let next = self
                .registers
                .borrow()
                .iter()
                .filter_map(Register::next_wake)
                .min();
            let wake =
                Duration::from_nanos(next.unwrap_or(now + 1_000_000_000).saturating_sub(now));
            // In this order, so that the same seed gives the same run; the timer first, since words may come without end.
            tokio::select! {
                biased;
                () = tokio::time::sleep(wake.max(Duration::from_micros(200))) => {
                    let now = self.node.now();
                    self.registers.borrow_mut().iter_mut().for_each(|r| r.tick(now));
                }
                Some(kept) = stored.recv() => match kept {
                    WriteOutcome::Rows => self.saving.set(self.saving.get().saturating_sub(1)),
                    WriteOutcome::Shard { shard, token, error } => {
                        let now = self.node.now();
                        let ok = error.is_none();
                        self.registers.borrow_mut()[usize::from(shard)].stored(token, ok, now);
                        self.disk_fails(error);
                    }
                },
                () = self.woken.notified() => {}
            }
            self.carry_out();
        }
    }

    fn disk_fails(&self, why: Option<String>) {
        match (&why, &*self.failing.borrow()) {
            (Some(why), None) => log::warn!("{why}"),
            (None, Some(_)) => log::info!("the disk keeps what it is given again"),
            _ => {}
        }
        *self.failing.borrow_mut() = why;
    }

    /// Why a change was not made, with the remedy where this node's disk is in its way.
    pub fn explain(&self, why: &str) -> String {
        match &*self.failing.borrow() {
            Some(disk) => format!("{why}; {disk}"),
            None => why.to_owned(),
        }
    }

    /// Does what the registers ask for.
    fn carry_out(&self) {
        for part in 0..=LEASE_SHARDS {
            loop {
                let actions = self.registers.borrow_mut()[usize::from(part)].take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.act(part, action);
                }
            }
        }
    }

    fn act(&self, part: u16, action: Action) {
        match action {
            Action::Send { to, message } => {
                if let Ok(address) = to.address.parse::<SocketAddr>() {
                    let me = &self.me;
                    let call = Call::Consensus {
                        shard: part,
                        disk_id: me.disk_id,
                        name: me.name.clone(),
                        address: me.address.clone(),
                        message: Blob(message.encode()),
                    };
                    self.node.links.cast(address, &call);
                }
            }
            Action::Store { token, bytes } => match &*self.disk.borrow() {
                Some(save) => save(WriteRequest::Shard {
                    shard: part,
                    token,
                    bytes,
                }),
                // Without a disk nothing is promised beyond this life: its id goes with it.
                None => {
                    let now = self.node.now();
                    self.registers.borrow_mut()[usize::from(part)].stored(token, true, now);
                }
            },
            Action::Chosen(state) => {
                if part == CONFIG {
                    self.publish(state.slot, &state.body);
                }
                self.node.changed();
            }
            Action::Completed { op, outcome } => {
                if let Some(waiting) = self.ops.borrow_mut().remove(&op) {
                    // Whoever asked may have left.
                    let _ = waiting.send(outcome);
                }
            }
        }
    }

    fn publish(&self, seq: u64, body: &[u8]) {
        let statute = match ConfigurationState::read(body) {
            Ok(state) => state,
            Err(why) => return self.node.log_buffer.breach(&why.to_string()),
        };
        let versions = VersionsUpdate {
            models: statute.models.iter().map(just_named).collect(),
            core_changed_age_ms: None,
        };
        // Register sequences start at 0; nodes count from 1, so that 0 is 'nothing yet'.
        let told = ConfigUpdate {
            slot: seq + 1,
            version: statute.version,
            versions,
            text: TextUpdate::Complete(statute.text),
        };
        self.node.apply_configuration(told);
    }

    async fn operate(&self, part: u16, change: Option<Vec<u8>>, patience: Duration) -> Outcome {
        let op = self.next_op.get();
        self.next_op.set(op + 1);
        let (ended, end) = oneshot::channel();
        self.ops.borrow_mut().insert(op, ended);
        {
            let now = self.node.now();
            let mut registers = self.registers.borrow_mut();
            let Some(register) = registers.get_mut(usize::from(part)) else {
                return Outcome::Rejected(Rejection::NoGroup);
            };
            let deadline = now + nanos(patience);
            match change {
                Some(change) => register.propose(op, change, deadline, now),
                None => register.read(op, deadline, now),
            }
        }
        self.woken.notify_one();
        end.await.unwrap_or(Outcome::Unknown)
    }

    /// Makes a change through this node's own register.
    pub async fn change_here(&self, part: u16, change: Vec<u8>, patience: Duration) -> Outcome {
        self.operate(part, Some(change), patience).await
    }

    /// A message of another member's register.
    pub fn heard(&self, part: u16, from: Member, message: &[u8]) {
        let Ok(message) = Message::decode(message, MOST_MESSAGE) else {
            return;
        };
        let now = self.node.now();
        if let Some(register) = self.registers.borrow_mut().get_mut(usize::from(part)) {
            register.handle(from, message, now);
        }
        self.woken.notify_one();
    }

    /// Keeps the rows for the next start; skipped while the disk is behind.
    pub fn keep_rows(&self, bytes: Vec<u8>) {
        if self.saving.get() > 0 {
            return;
        }
        if let Some(save) = &*self.disk.borrow() {
            self.saving.set(self.saving.get() + 1);
            save(WriteRequest::Rows(bytes));
        }
    }
}

/// A version as the register tells of it, which knows no times: it counts as named now unless it is known already, as the
/// earliest moment counts.
fn just_named(named: &NamedVersion) -> ModelUpdate {
    ModelUpdate {
        name: named.model.clone(),
        version: named.version,
        age_ms: 0,
    }
}
