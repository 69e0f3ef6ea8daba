//! A rollout of new node versions during a run: by the conductor in a process of its own, which the lab kills where a
//! scenario says so, or without a conductor for comparison.
//!
//! The conductor's commands leave requests in a folder. The lab, whose children the nodes are, executes them.
mod conductor;
mod nodes;
mod plan;
mod requests;

pub use conductor::conduct;

use crate::nanos;
use crate::play::Environment;
use crate::scenario::rollout::{Rollout, RolloutMode};
use conductor::ConductorReport;
use nodes::{Command, NodeRollout};
use plan::Files;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Generation of the nodes that run when a rollout begins.
pub const OLD: &str = "old";
/// Generation that a rollout brings in.
pub const NEW: &str = "new";

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// In a plain rollout the next node follows after this pause, as with a person at work.
const PLAIN_INTERVAL: Duration = Duration::from_millis(500);

/// The outcome of a rollout, as `run.json` stores it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutResult {
    /// `through`, `back`, `left`, or what it was doing when the run was over.
    pub how: String,
    /// The reason for going back or leaving; otherwise empty.
    pub why: String,
    /// Stages begun.
    pub stages: usize,
    /// From its beginning to its end, in seconds.
    pub took_s: f64,
    /// Nodes that run the new version at the end, by number.
    pub changed: Vec<usize>,
    /// Times that the conductor was killed.
    pub kills: usize,
    /// Lines that the conductor logged.
    pub said: Vec<String>,
}

/// Why a rollout could not be carried out, or its conductor not work.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// The program that is played runs no node processes.
    #[error("no nodes")]
    NoNodes,
    /// The scenario's settings have no JSON form.
    #[error("{0}")]
    Settings(serde_json::Error),
    /// The scenario's settings are not a table.
    #[error("{0} is no table")]
    NotATable(serde_json::Value),
    /// A file of the rollout can't be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The conductor's program can't be started.
    #[error("{program}: {source}")]
    StartConductor {
        /// The program's path.
        program: String,
        /// Why it can't be started.
        source: std::io::Error,
    },
    /// The rollout's thread ended in a panic.
    #[error("it panicked")]
    Panicked,
    /// The conductor's process was started without its plan.
    #[error("SPARROUTER_PLAN is not set")]
    NoPlan,
    /// The conductor could not work.
    #[error("{0}")]
    Conductor(sparrouter_rollout::run::RunError),
    /// The conductor's outcome has no JSON form.
    #[error("{0}")]
    Outcome(serde_json::Error),
}

/// Programs for the defect proxy and the conductor, each with its first arguments.
#[derive(Clone, Debug)]
pub struct Tools {
    /// Stands in front of a node and injects a defect; see [`crate::stand_ins::defect_proxy`].
    pub plant: Vec<String>,
    /// Calls [`conduct`].
    pub conductor: Vec<String>,
}

impl Tools {
    /// Subcommands of the program that runs.
    pub fn own() -> Tools {
        let own = std::env::current_exe()
            .unwrap_or_default()
            .display()
            .to_string();
        Tools {
            plant: vec![own.clone(), "plant".into()],
            conductor: vec![own, "conduct".into()],
        }
    }
}

/// What a rollout was observed to do, beside what its conductor reports.
#[derive(Default)]
struct Observation {
    /// From its beginning to its end; none where the run was over first.
    duration: Option<Duration>,
    kills: usize,
    /// What the conductor wrote to standard error before it failed.
    error_output: String,
}

/// Runs until the rollout has ended or the run is over.
pub(crate) fn run(
    environment: &Arc<Environment>,
    wanted: &Rollout,
    tools: &Tools,
    folder: &Path,
    over: &AtomicBool,
) -> Result<RolloutResult, RolloutError> {
    let rollout = Arc::new(NodeRollout::new(environment, wanted, tools)?);
    let files = Files::new(folder);
    files.prepare(&rollout, wanted)?;
    let due = environment.lab.instant(nanos(wanted.at_s));
    while Instant::now() < due && !over.load(Relaxed) {
        sleep(POLL_INTERVAL);
    }
    let began = Instant::now();
    let observed = match wanted.how {
        RolloutMode::AtOnce => change_all_at_once(&rollout),
        RolloutMode::Plain => change_one_by_one(&rollout, over),
        RolloutMode::Staged => {
            let requests = requests::Server::start(&rollout, &files.requests);
            let observed = conductor::supervise(environment, wanted, tools, &files.plan, over);
            requests.stop();
            observed?
        }
    };
    let report = ConductorReport::read(&files.plan);
    let (how, why) = match report.outcome {
        Some(outcome) => outcome,
        None if wanted.how == RolloutMode::Staged => ("not ended".into(), observed.error_output),
        None => ("through".into(), String::new()),
    };
    let duration = observed.duration.unwrap_or_else(|| began.elapsed());
    Ok(RolloutResult {
        how,
        why,
        stages: report.stages,
        took_s: duration.as_secs_f64(),
        changed: rollout.changed_nodes(),
        kills: observed.kills,
        said: report.lines,
    })
}

fn change_all_at_once(rollout: &Arc<NodeRollout>) -> Observation {
    let began = Instant::now();
    let change = |n: usize| {
        let rollout = rollout.clone();
        spawn(move || rollout.execute(n, Command::Change))
    };
    let threads: Vec<_> = (0..rollout.count()).map(change).collect();
    for thread in threads {
        let _ = thread.join();
    }
    Observation {
        duration: Some(began.elapsed()),
        ..Observation::default()
    }
}

fn change_one_by_one(rollout: &NodeRollout, over: &AtomicBool) -> Observation {
    let began = Instant::now();
    for n in 0..rollout.count() {
        if over.load(Relaxed) {
            break;
        }
        let _ = rollout.execute(n, Command::Change);
        sleep(PLAIN_INTERVAL);
    }
    Observation {
        duration: Some(began.elapsed()),
        ..Observation::default()
    }
}
