//! What is played, and what a run leaves behind.
use crate::ledger::audit::Verdict;
use crate::ledger::figures::Tally;
use crate::rollout::{RolloutError, RolloutResult};
use crate::scenario::Scenario;
use crate::stand_ins::bad_node::BadNodeKind;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// What is played.
#[derive(Clone, Debug)]
pub enum Program {
    /// A node's program.
    Node(PathBuf),
    /// This program as a bare forwarder of bytes.
    Relay(PathBuf),
    /// No node: clients send to one cache server.
    Direct,
    /// A node inside the lab that breaks one rule.
    Bad(BadNodeKind),
}

impl Program {
    /// The program's path, or the name that the command line gives it.
    pub fn name(&self) -> String {
        match self {
            Program::Node(path) => path.display().to_string(),
            Program::Relay(_) => "relay".into(),
            Program::Direct => "direct".into(),
            Program::Bad(kind) => format!("bad:{kind:?}").to_lowercase(),
        }
    }
}

/// Why a run could not be played to its end, or its files not be written or read.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// What was being done, mostly a path, and how it failed.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The scenario's rollout could not be carried out.
    #[error("the change of the nodes: {0}")]
    Rollout(RolloutError),
    /// The node's number and its log.
    #[error("node {0} was not ready within 30 s; its log: {1}")]
    NotReady(usize, PathBuf),
}

/// The state of the fleet at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    /// Since the first arrival.
    pub at_s: f64,
    /// By node: seconds of CPU so far, memory in MB, descriptors.
    pub nodes: Vec<(f64, f64, usize)>,
    /// By cache server: 0 down, 1 up and cold, 2 up, 3 draining; in hand; open connections.
    pub caches: Vec<(u8, usize, usize)>,
}

/// A fault on the time axis.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Band {
    /// Since the first arrival.
    pub from_s: f64,
    /// Since the first arrival.
    pub to_s: f64,
    /// A short name of the fault.
    pub what: String,
}

/// The result of one run, as `run.json` stores it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// As it was played, defaults filled in.
    pub scenario: Scenario,
    /// Name of the program that was played.
    pub program: String,
    /// The audit's judgement on the four rules.
    pub verdict: Verdict,
    /// Counts, rates and latencies.
    pub tally: Tally,
    /// By time.
    pub samples: Vec<Sample>,
    /// The scenario's faults on the time axis.
    pub bands: Vec<Band>,
    /// The first arrival, by the machine's clock, in milliseconds since 1970.
    #[serde(default)]
    pub began_unix_ms: u64,
    /// The outcome of the scenario's rollout, where it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutResult>,
    /// CPU seconds of all nodes together, from the first arrival on.
    pub cpu_s: f64,
    /// Highest memory of one node, MB.
    pub memory_mb: f64,
    /// Highest number of open descriptors of one node.
    pub descriptors: usize,
}

impl Run {
    /// CPU microseconds of the nodes for each invocation.
    pub fn cpu_us(&self) -> f64 {
        self.cpu_s * 1e6 / self.tally.total.asked.max(1) as f64
    }
}

/// The scenario's faults on the time axis.
pub(super) fn bands(s: &Scenario) -> Vec<Band> {
    let band = |(from_s, to_s, what): (f64, f64, &str)| Band {
        from_s,
        to_s,
        what: what.into(),
    };
    s.fault.iter().map(|fault| band(fault.span())).collect()
}

/// Highest memory (MB) and highest number of descriptors of one node.
pub(super) fn peaks(samples: &[Sample]) -> (f64, usize) {
    let nodes = || samples.iter().flat_map(|sample| &sample.nodes);
    let memory_mb = nodes().map(|node| node.1).fold(0.0, f64::max);
    let descriptors = nodes().map(|node| node.2).max().unwrap_or(0);
    (memory_mb, descriptors)
}
