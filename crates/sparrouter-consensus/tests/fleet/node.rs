//! A node: its process, its disk, and the actions of its register.
use super::event::Event;
use super::machine::Configs;
use super::{CONTACT_TIMEOUT, DISK_RECORD, Fleet, MILLISECOND, Nanos, RECORD, SHARD};
use fastrand::Rng;
use sparrouter_consensus::{Action, Member, Register, Settings};
use sparrouter_storage::{Opened, SimulatedFiles, Store, simulated::DiskFailure};
use std::collections::BTreeMap;

/// The state of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    Healthy,
    Slow,
    Stalled,
    Failing,
    Full,
}

/// A disk that was lost.
#[derive(Clone, Copy, Debug)]
pub struct LostDisk {
    pub disk_id: u64,
    pub lost_at: Nanos,
}

/// A machine with its disk and, while it runs, its process.
pub struct Node {
    /// `disk_id` is 0 while the machine has an empty disk that was never opened.
    pub member: Member,
    pub files: SimulatedFiles,
    pub store: Option<Store<SimulatedFiles>>,
    /// `None` while the process is down.
    pub register: Option<Register<Configs>>,
    pub incarnation: u64,
    /// The bytes of the store in flight.
    pub bytes_in_flight: Option<Vec<u8>>,
    pub frozen_until: Nanos,
    /// The state of the disk before `disk_recovers_at`; afterwards the disk is healthy.
    pub disk_state: DiskState,
    pub disk_recovers_at: Nanos,
    /// Whether the machine was lost or has left permanently.
    pub is_removed: bool,
    pub is_leaving: bool,
    /// The last slot that this incarnation published.
    published_slot: Option<u64>,
    /// The nodes that were heard from, with the time of the last contact, by disk id.
    pub contacts: BTreeMap<u64, (Member, Nanos)>,
}

impl Node {
    fn new(member: Member, files: SimulatedFiles) -> Node {
        Node {
            member,
            files,
            store: None,
            register: None,
            incarnation: 0,
            bytes_in_flight: None,
            frozen_until: 0,
            disk_state: DiskState::Healthy,
            disk_recovers_at: 0,
            is_removed: false,
            is_leaving: false,
            published_slot: None,
            contacts: BTreeMap::new(),
        }
    }

    /// Writes the disk id and the group's initial record.
    pub fn write_first_records(&self, record: &[u8]) {
        let (mut store, _) = Store::open(self.files.clone()).unwrap();
        let disk_id = self.member.disk_id.to_le_bytes();
        store.save(DISK_RECORD, &disk_id).unwrap();
        store.save(RECORD, record).unwrap();
    }

    fn disk_state_at(&self, now: Nanos) -> DiskState {
        if self.disk_recovers_at > now {
            self.disk_state
        } else {
            DiskState::Healthy
        }
    }

    /// Opens the store and returns the shard's record. An empty disk gets a new disk id, unless `keeps_disk_id` is set.
    fn open_store(&mut self, new_disk_id: u64, keeps_disk_id: bool) -> Option<Vec<u8>> {
        let (mut store, opened) =
            Store::open(self.files.clone()).expect("crashes don't damage records");
        let record = match opened {
            Opened::Fresh => {
                if self.member.disk_id == 0 || !keeps_disk_id {
                    self.member.disk_id = new_disk_id;
                }
                store
                    .save(DISK_RECORD, &self.member.disk_id.to_le_bytes())
                    .expect("the disk accepts writes when a node starts");
                None
            }
            Opened::Existing(mut records) => records.remove(RECORD),
        };
        self.store = Some(store);
        record
    }
}

impl Fleet {
    /// Adds a machine with an empty disk and returns its index.
    pub fn add_node(&mut self) -> usize {
        let index = self.nodes.len();
        let member = Member {
            disk_id: 0,
            name: format!("node-{index}"),
            address: format!("10.0.0.{index}:7360"),
        };
        let files = SimulatedFiles::new(self.rng.u64(..));
        self.nodes.push(Node::new(member, files));
        index
    }

    pub fn present_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&node| !self.nodes[node].is_removed)
            .collect()
    }

    /// The node with this disk; `None` if the disk was lost.
    pub fn node_with_disk(&self, disk_id: u64) -> Option<&Node> {
        self.nodes
            .iter()
            .find(|node| !node.is_removed && node.member.disk_id == disk_id)
    }

    /// When the register's next timer fires.
    pub fn next_wake(&self, node: usize) -> Option<Nanos> {
        let node = &self.nodes[node];
        let wake = node.register.as_ref()?.next_wake()?;
        Some(wake.max(node.frozen_until).max(self.now))
    }

    pub fn tick(&mut self, node: usize) {
        if let Some(register) = &mut self.nodes[node].register {
            register.tick(self.now);
            self.carry_out_actions(node);
        }
    }

    pub fn start(&mut self, index: usize) {
        let (seed, new_disk_id) = (self.rng.u64(..), self.rng.u64(1..));
        let settings = self.settings();
        let node = &mut self.nodes[index];
        if node.is_removed || node.register.is_some() {
            return;
        }
        let record = node.open_store(new_disk_id, self.defects.wiped_disk_keeps_id);
        let register = Register::new(
            SHARD,
            node.member.clone(),
            record.as_deref(),
            Configs,
            Rng::with_seed(seed),
            settings,
            self.now,
        );
        node.register = Some(register.expect("a valid record"));
        node.incarnation += 1;
        node.published_slot = None;
        node.bytes_in_flight = None;
        node.frozen_until = 0;
        node.contacts.clear();
        let disk_id = node.member.disk_id;
        self.log(|| format!("start node {index} with disk {disk_id:x}"));
    }

    fn settings(&self) -> Settings {
        Settings {
            contact_timeout: CONTACT_TIMEOUT,
            anti_entropy_interval: 100 * MILLISECOND,
            round_trip: 10 * MILLISECOND,
            max_inline_body_bytes: self.max_inline_body_bytes,
            chunk_bytes: 48,
            defects: self.defects.clone(),
            ..Settings::default()
        }
    }

    /// Writes the store in flight to the disk, which may fail.
    pub fn store(&mut self, index: usize, incarnation: u64, token: u64, bytes: &[u8]) {
        let (now, draw) = (self.now, self.rng.u64(..));
        let node = &mut self.nodes[index];
        let disk_state = node.disk_state_at(now);
        let (Some(register), Some(store)) = (&mut node.register, &mut node.store) else {
            return;
        };
        if node.incarnation != incarnation {
            return;
        }
        match disk_state {
            DiskState::Failing => node
                .files
                .schedule_failure(draw % 4, disk_failure(draw as usize, 9)),
            DiskState::Full => node.files.set_capacity(Some(bytes.len() * 2)),
            _ => {}
        }
        let ok = store.save(RECORD, bytes).is_ok();
        node.files.clear_failure();
        node.files.set_capacity(None);
        node.bytes_in_flight = None;
        register.stored(token, ok, now);
        self.log(|| format!("node {index} stored {token}: {ok}"));
        self.carry_out_actions(index);
    }

    /// Interrupts the store of a process that crashes: any prefix of its writes may be on disk.
    pub fn interrupt_store(&mut self, node: usize) {
        let (operation, kind) = (self.rng.u64(..6), self.rng.usize(..3));
        let torn_at = self.rng.usize(..200);
        let node = &mut self.nodes[node];
        if let (Some(bytes), Some(mut store)) = (node.bytes_in_flight.take(), node.store.take()) {
            node.files
                .schedule_failure(operation, disk_failure(kind, torn_at));
            // The store fails only if it takes more operations than `operation`.
            let _ = store.save(RECORD, &bytes);
        }
    }

    /// Carries out the pending actions of a node's register.
    pub fn carry_out_actions(&mut self, node: usize) {
        let Some(register) = &mut self.nodes[node].register else {
            return;
        };
        for action in register.take_actions() {
            match action {
                Action::Send { to, message } => self.send(node, &to, &message),
                Action::Store { token, bytes } => self.begin_store(node, token, bytes),
                Action::Chosen(state) => {
                    self.log(|| format!("node {node} publishes slot {}", state.slot));
                    let previous_slot = self.nodes[node].published_slot.replace(state.slot);
                    self.monitor.on_chosen(node, previous_slot, &state);
                    self.replicas_changed = true;
                }
                Action::Completed { op, outcome } => self.complete_call(op, outcome),
            }
        }
    }

    fn begin_store(&mut self, index: usize, token: u64, bytes: Vec<u8>) {
        let node = &mut self.nodes[index];
        node.bytes_in_flight = Some(bytes.clone());
        let duration = match node.disk_state_at(self.now) {
            DiskState::Slow => self.rng.u64(20..200) * MILLISECOND,
            DiskState::Stalled => node.disk_recovers_at - self.now,
            _ => self.rng.u64(100..8_000) * 1_000,
        };
        let stored = Event::Stored {
            node: index,
            incarnation: node.incarnation,
            token,
            bytes,
        };
        self.schedule(duration, stored);
    }
}

/// A failure before, after or during the operation, depending on `kind`.
fn disk_failure(kind: usize, torn_at: usize) -> DiskFailure {
    match kind % 3 {
        0 => DiskFailure::NotExecuted,
        1 => DiskFailure::ExecutedWithError,
        _ => DiskFailure::Torn(torn_at),
    }
}
