//! Simulation of the registers of one shard under a seeded scheduler, with the real registers and codec and simulated
//! disks.
//!
//! | module | job |
//! | --- | --- |
//! | `scenario` | the phases of a simulation, from the first fault to the last check |
//! | `event` | the queue of events, and virtual time |
//! | `node` | a node: its process, its disk, and the actions of its register |
//! | `network` | messages between nodes, and partitions |
//! | `faults` | faults drawn by seed |
//! | `clients` | operators, readers and lease holders that call the registers |
//! | `machine` | the replicated value: a configuration and a lease |
//! | `monitor` | the rules that must hold after every step |
//! | `replicas` | whether the newest state survives any further tolerated loss |
//! | `defects` | injected defects, and the search for the seeds that detect them |
#![allow(
    dead_code,
    reason = "the test and the example each use only some of the items"
)]
pub mod clients;
pub mod defects;
pub mod event;
pub mod faults;
pub mod machine;
pub mod monitor;
pub mod network;
pub mod node;
pub mod replicas;
pub mod scenario;

use clients::{Call, Client};
use event::EventQueue;
use fastrand::Rng;
pub use faults::FaultMix;
use machine::Config;
use monitor::{Monitor, Violation};
use network::{NetworkConditions, Partition};
use node::{LostDisk, Node};
use sparrouter_consensus::{Defects, Member, Record, Settings};
pub use sparrouter_consensus::{MILLISECOND, Nanos, SECOND};
use std::collections::BTreeMap;

const SHARD: u16 = 7;
/// Name of the shard's record on disk.
const RECORD: &str = "part-7";
/// Name of the record with the disk id.
const DISK_RECORD: &str = "disk";
const CONTACT_TIMEOUT: Nanos = 600 * MILLISECOND;
/// Maximum length of an inline body if `Plan::fetch_bodies` is set, in bytes; a body with a version and a few change
/// ids has this length.
const SHORT_BODY_BYTES: usize = 32;
/// Maximum length of a record or message, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Size of the first group.
    pub nodes: usize,
    /// When the injection of faults ends.
    pub faults_end: Nanos,
    pub fault_mix: FaultMix,
    pub defects: Defects,
    /// Whether nearly all bodies are fetched in chunks instead of being sent inline.
    pub fetch_bodies: bool,
    pub trace: bool,
}

impl Plan {
    fn max_inline_body_bytes(&self) -> usize {
        if self.fetch_bodies {
            SHORT_BODY_BYTES
        } else {
            Settings::default().max_inline_body_bytes
        }
    }
}

/// The result of a simulation that violated a rule.
#[derive(Debug)]
pub struct Failure {
    pub violation: Violation,
    /// One line per event; empty if the plan has no trace.
    pub events: Vec<String>,
}

/// The result of a simulation that violated no rule.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Number of acknowledged changes.
    pub acknowledgements: u64,
    /// The newest chosen slot.
    pub slots: u64,
    pub steps: u64,
    /// Digest of all events in order.
    pub digest: u64,
}

/// The state of a simulation: nodes, clients, network and monitor.
pub struct Fleet {
    pub now: Nanos,
    pub rng: Rng,
    pub nodes: Vec<Node>,
    pub clients: Vec<Client>,
    /// Calls in progress.
    pub calls: BTreeMap<u64, Call>,
    /// Operation id of the last call.
    pub last_op: u64,
    pub monitor: Monitor,
    pub network: NetworkConditions,
    pub partitions: Vec<Partition>,
    pub faults_end: Nanos,
    /// Size of the first group.
    pub initial_size: usize,
    pub fault_mix: FaultMix,
    /// The disks that were lost.
    pub lost_disks: Vec<LostDisk>,
    pub defects: Defects,
    /// Maximum length of a body that is sent inline, in bytes; longer bodies are fetched in chunks.
    pub max_inline_body_bytes: usize,
    pub acknowledgements: u64,
    pub queue: EventQueue,
    pub steps: u64,
    /// Whether a slot was chosen or a disk was lost since the last check of the replicas.
    pub replicas_changed: bool,
    pub digest: u64,
    trace: Option<Vec<String>>,
}

/// Runs the simulation of a plan.
pub fn simulate(plan: &Plan) -> Result<RunSummary, Failure> {
    let mut fleet = Fleet::new(plan);
    let outcome = fleet.run_scenario();
    let run_summary = RunSummary {
        acknowledgements: fleet.acknowledgements,
        slots: fleet.monitor.newest_state().map_or(0, |s| s.slot),
        steps: fleet.steps,
        digest: fleet.digest,
    };
    outcome.map(|()| run_summary).map_err(|violation| Failure {
        violation,
        events: fleet.trace.unwrap_or_default(),
    })
}

impl Fleet {
    /// Creates a fleet whose first group has the initial record on disk and whose nodes are scheduled to start.
    pub fn new(plan: &Plan) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            rng: Rng::with_seed(plan.seed),
            nodes: Vec::new(),
            clients: Client::all(),
            calls: BTreeMap::new(),
            last_op: 0,
            monitor: Monitor::default(),
            network: NetworkConditions::reliable(),
            partitions: Vec::new(),
            faults_end: plan.faults_end,
            initial_size: plan.nodes,
            fault_mix: plan.fault_mix,
            lost_disks: Vec::new(),
            defects: plan.defects.clone(),
            max_inline_body_bytes: plan.max_inline_body_bytes(),
            acknowledgements: 0,
            queue: EventQueue::default(),
            steps: 0,
            replicas_changed: false,
            digest: plan.seed,
            trace: plan.trace.then(Vec::new),
        };
        fleet.bootstrap(plan.nodes);
        fleet.schedule_first_events();
        fleet
    }

    fn bootstrap(&mut self, nodes: usize) {
        for _ in 0..nodes {
            self.add_node();
        }
        for node in &mut self.nodes {
            node.member.disk_id = self.rng.u64(1..);
        }
        let group: Vec<Member> = self.nodes.iter().map(|n| n.member.clone()).collect();
        let first = Record::bootstrap(group, Config::default().encode()).encode();
        for node in 0..nodes {
            self.nodes[node].write_first_records(&first);
            let delay = self.rng.u64(..300) * MILLISECOND;
            self.schedule_start(node, delay);
        }
    }

    /// Adds a line to the trace, if the plan has one.
    pub fn log(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:9.3} ms {}", self.now as f64 / 1e6, line()));
        }
    }
}
