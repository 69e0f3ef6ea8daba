//! Control state of one node: the replicated configuration, the rollout leases, their storage, and quorum contact.
//!
//! `sparrouter-consensus` decides the protocol; this module carries out the actions that its registers request.
//!
//! | module | its job |
//! | --- | --- |
//! | `actions` | the task that runs the registers and carries out their actions |
//! | `bootstrap` | agreement on the first groups at the first start |
//! | `change` | makes one change through any member that can make it |
//! | `operations` | one change or read through this node's own register |
//! | [`configuration_state`] | the state machine of the configuration's shard |
//! | [`disk`] | reading and writing the data directory |
//! | `disk_queue` | pending disk writes and the last write error |
//! | `groups` | membership of the shards' groups |
//! | `handover` | handing state over to the other members before shutdown |
//! | `liveness` | which members and pollers this node hears from, and which member ranks first for a lease |
//! | `membership_writes` | writes of the membership, for the next start and for acknowledgements |
//! | [`observation_window`] | since when this process has run without a pause |
//! | `shard_lease` | the lease of one shard at this node |
//! | `quorum_reads` | the reads on which quorum contact is based |
//! | [`quorum_contact`] | whether this member is in contact with a quorum |
//!
//! Owns the registers and their disk. Uses [`Node`] and, through its links, the other members; no lower module uses it.
mod actions;
mod bootstrap;
mod change;
pub mod configuration_state;
pub mod disk;
mod disk_queue;
mod groups;
mod handover;
mod liveness;
mod membership_writes;
pub mod observation_window;
mod operations;
pub mod quorum_contact;
mod quorum_reads;
pub(crate) mod shard_lease;

pub use bootstrap::bootstrap;
pub use change::{ChangeError, change, decode_verdict, encode};

use crate::control::configuration_state::ConfigurationMachine;
use crate::control::disk::DiskContents;
use crate::node::Node;
use crate::platform::defects::{self, rules};
use crate::settings::nanos;
use bootstrap::Elector;
use disk_queue::DiskQueue;
use membership_writes::MembershipWrites;
use observation_window::ObservationWindow;
use operations::PendingOperations;
use quorum_contact::QuorumContact;
use quorum_reads::CONTACT_WINDOW;
use sparrouter_consensus::{
    Applied, Leases, Machine, Member, Record, Register, RegisterError, Settings,
};
use sparrouter_routing::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

/// Number of the configuration's shard.
pub const CONFIG: u16 = 0;
/// Number of shards of rollout leases. They are numbered from 1, and each has the leases of a subset of the services.
pub const LEASE_SHARDS: u16 = 4;
/// Largest message of a register, in bytes.
const MAX_MESSAGE_BYTES: usize = 10 << 20;

/// The lease shard that a service belongs to, from 1 to [`LEASE_SHARDS`].
pub fn shard_of(service: &str) -> u16 {
    1 + (sparrouter_rendezvous::hash(service.as_bytes()) % u64::from(LEASE_SHARDS)) as u16
}

/// The state machine of the shard with this number: configuration or leases.
struct ShardMachine(u16);

impl Machine for ShardMachine {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        if self.0 == CONFIG {
            ConfigurationMachine.apply(body, change)
        } else {
            Leases.apply(body, change)
        }
    }
}

/// Settings of this node's registers.
fn register_settings(node: &Node) -> Settings {
    Settings {
        contact_timeout: nanos(node.settings.borrow().bounds.contact),
        defects: defects::of_registers(),
        ..Settings::default()
    }
}

/// Control state of one node.
///
/// The tasks that [`Control::start`] spawns run until the process ends and are never cancelled. They all run on one
/// thread, and no borrow of a `RefCell` here is held across an `await`, so that borrows never conflict.
pub struct Control {
    node: Rc<Node>,
    /// This node as a member: its disk id, name and internal address.
    own_member: Member,
    /// The registers, indexed by shard number. Invariant: there is one for each shard.
    registers: RefCell<Vec<Register<ShardMachine>>>,
    elector: Elector,
    operations: PendingOperations,
    disk: DiskQueue,
    membership_writes: MembershipWrites,
    /// Wakes the task that carries out actions.
    wake: Notify,
    /// When each control node last sent a frame, by node name.
    last_contacts: RefCell<HashMap<String, Nanos>>,
    /// Since when this process has run without a pause, and so could have heard from the other members.
    observation_window: Cell<ObservationWindow>,
    /// When each node that polls this one last did so, by node name.
    last_polls: RefCell<BTreeMap<String, Nanos>>,
    /// Whether a quorum recently confirmed the configuration in force.
    quorum_contact: RefCell<QuorumContact>,
    /// The value of [`Control::conflicts`] at the last report.
    reported_conflicts: Cell<u64>,
}

impl Control {
    /// Opens the registers with the records on disk, and spawns their tasks.
    pub fn start(node: Rc<Node>, contents: DiskContents) -> Rc<Control> {
        let own_member = own_member(&node, contents.disk_id);
        let registers = open_registers(&node, &own_member, &contents.records);
        let elector = Elector::new(&node, contents.bootstrap.as_deref());
        let (outcomes, written) = mpsc::unbounded_channel();
        let control = Rc::new(Control {
            node,
            own_member,
            registers: RefCell::new(registers),
            elector,
            operations: PendingOperations::default(),
            disk: DiskQueue::new(contents.writer.map(|writer| writer.start(outcomes))),
            membership_writes: MembershipWrites::default(),
            wake: Notify::new(),
            last_contacts: RefCell::default(),
            observation_window: Cell::default(),
            last_polls: RefCell::default(),
            quorum_contact: RefCell::new(QuorumContact::new(nanos(CONTACT_WINDOW))),
            reported_conflicts: Cell::new(0),
        });
        if !rules::only_chosen_state_applies() {
            control.inject_accepted_proposal(&contents.records);
        }
        control.store_elector();
        spawn_local(control.clone().run_registers(written));
        spawn_local(control.clone().keep_quorum_contact());
        spawn_local(control.clone().maintain_groups());
        control
    }

    /// Whether this node is a member of the configuration's group, so that its vote counts.
    pub fn is_member(&self) -> bool {
        self.registers.borrow()[usize::from(CONFIG)].is_member()
    }

    /// The group of a shard, as far as this node knows it; empty if it knows none.
    pub fn members(&self, shard: u16) -> Vec<Member> {
        self.registers
            .borrow()
            .get(usize::from(shard))
            .map(|r| r.members().to_vec())
            .unwrap_or_default()
    }

    /// Number of slots, over all shards, for which this node saw two states reported as chosen: 0 while agreement
    /// holds.
    pub fn conflicts(&self) -> u64 {
        self.registers
            .borrow()
            .iter()
            .map(Register::conflicts)
            .sum()
    }

    /// Injected defect: a proposal that this node accepted before its restart counts as chosen.
    fn inject_accepted_proposal(&self, records: &[Option<Vec<u8>>]) {
        if let Some(record) = records.first().and_then(Option::as_deref)
            && let Some(proposal) = Record::decode(record, MAX_MESSAGE_BYTES)
                .ok()
                .and_then(|r| r.accepted)
        {
            self.publish_configuration(proposal.state.slot, &proposal.state.body);
        }
    }
}

fn own_member(node: &Node, disk_id: u64) -> Member {
    let own = node.own_record.borrow();
    Member {
        disk_id,
        name: own.name.clone(),
        address: own.internal_address.clone(),
    }
}

/// Opens the registers of all shards, each with its record on disk.
fn open_registers(
    node: &Node,
    own_member: &Member,
    records: &[Option<Vec<u8>>],
) -> Vec<Register<ShardMachine>> {
    let open = |(shard, record): (u16, &Option<Vec<u8>>)| {
        open_register(node, own_member, shard, record.as_deref(), 0).unwrap_or_else(|error| {
            // The records were checked when the disk was read.
            node.log_buffer.report_violation(&error.to_string());
            open_register(node, own_member, shard, None, 0)
                .expect("a register without a record opens")
        })
    };
    (0..).zip(records).map(open).collect()
}

/// Opens the register of one shard.
fn open_register(
    node: &Node,
    own_member: &Member,
    shard: u16,
    record: Option<&[u8]>,
    now: Nanos,
) -> Result<Register<ShardMachine>, RegisterError> {
    let rng = node.rng.borrow_mut().fork();
    let settings = register_settings(node);
    Register::new(
        shard,
        own_member.clone(),
        record,
        ShardMachine(shard),
        rng,
        settings,
        now,
    )
}
