//! State machine of a rollout: takes events and the time, and returns actions. Every action is logged before it is
//! executed.
//!
//! This file contains the controller's state and interface. Its submodules are `node` (phases of a node), `restore`
//! (restores the state from the log), `events` (ended commands, reports, time-outs), `fleet` (health of the whole fleet),
//! `disruption` (disruption budget), `stage` (learns the baseline and changes the nodes of a stage), `bake` (watches a
//! stage) and `rollback`.
mod bake;
mod disruption;
mod events;
mod fleet;
mod node;
mod restore;
mod rollback;
mod stage;

use crate::baseline::Baseline;
use crate::judge::{Finding, Judge};
use crate::plan::Plan;
use crate::record::{CommandKind, Entry, Outcome};
use crate::report::Report;
use crate::{Nanos, stages};
use fleet::FleetHealth;
pub use fleet::{Observation, PhaseName};
use node::{NodePhase, NodeState};
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Error of a node's command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command was ended by a signal or returned a status other than 0.
    #[error("{0}")]
    Status(ExitStatus),
    /// The command was killed because it did not end within its time limit.
    #[error("command timed out after {} s", .0.as_secs_f64())]
    TimedOut(Duration),
    /// The command could not be started or waited for.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Input of the controller.
pub enum Event {
    /// A node's command has ended or was killed after its time limit.
    CommandEnded {
        /// Index of the node.
        node: usize,
        /// The command.
        command: CommandKind,
        /// Result of the command.
        result: Result<(), CommandError>,
    },
    /// A node has written a report.
    Report {
        /// Index of the node.
        node: usize,
        /// The report.
        report: Box<Report>,
    },
    /// The operator requests to stop and to leave all nodes as they are.
    StopRequested,
    /// The operator requests a rollback.
    RollbackRequested,
}

/// Output of the controller; the actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append an entry to the log; the following actions are executed only once it is synced to disk.
    Log(Entry),
    /// Start a node's command.
    Run {
        /// Index of the node.
        node: usize,
        /// The command.
        command: CommandKind,
    },
    /// Print a line for the operator.
    Print(String),
    /// Store the observation of an interval for the page; it need not be synced to disk.
    Observe(Observation),
    /// End the rollout with this outcome.
    Finish(Outcome),
}

/// Phase of the rollout.
enum Phase {
    /// The baseline of the fleet is being measured.
    LearningBaseline,
    /// The nodes of the stage are being changed, and the unchanged nodes that they are compared with are being restarted.
    ChangingNodes,
    /// The stage is being watched.
    Baking {
        since: Nanos,
        /// Time since which nodes have been unresponsive; `None` if all nodes respond.
        fault_since: Option<Nanos>,
    },
    RollingBack {
        reason: String,
    },
    Finished,
}

/// Controller of a rollout.
///
/// Invariants: commands run at no more than `max_unavailable` nodes at the same time, all in one zone; after the entry
/// `RollbackStarted` no node is changed.
pub struct RolloutController {
    plan: Plan,
    /// All nodes in the order in which they are changed.
    order: Vec<usize>,
    /// Number of changed nodes at the end of each stage.
    stage_sizes: Vec<usize>,
    /// State of each node, by its index in the plan.
    nodes: Vec<NodeState>,
    /// Baseline of the fleet; `None` during the phase `LearningBaseline`.
    baseline: Option<Baseline>,
    /// Index of the current stage.
    stage: usize,
    phase: Phase,
    /// Sequential test; `None` until the first stage is watched.
    judge: Option<Judge>,
    /// Last finding of the test in this stage.
    last_finding: Option<Finding>,
    /// Time of this controller's first tick.
    started_at: Option<Nanos>,
    /// Time at which the next sample of a watched stage is due.
    next_sample_at: Nanos,
    health: FleetHealth,
    /// Actions of the current tick so far.
    actions: Vec<Action>,
}

impl RolloutController {
    /// Creates a controller that continues after `entries`, which an earlier controller of the same plan has logged.
    pub fn new(plan: Plan, entries: &[Entry]) -> RolloutController {
        let mut controller = RolloutController {
            order: stages::order(&plan),
            stage_sizes: stages::sizes(&plan.stage_fractions, plan.nodes.len()),
            nodes: plan.nodes.iter().map(|_| NodeState::default()).collect(),
            baseline: None,
            stage: 0,
            phase: Phase::LearningBaseline,
            judge: None,
            last_finding: None,
            started_at: None,
            next_sample_at: 0,
            health: FleetHealth::default(),
            actions: Vec::new(),
            plan,
        };
        for entry in entries {
            controller.restore(entry);
        }
        controller
    }

    /// Processes the events since the last call, and returns the actions to execute. `now` must be above 0 and must not
    /// decrease.
    pub fn tick(&mut self, now: Nanos, events: Vec<Event>) -> Vec<Action> {
        self.started_at.get_or_insert(now);
        for event in events {
            self.handle(event, now);
        }
        if !self.is_finished() {
            self.check_timeouts(now);
            self.observe_fleet(now);
            match self.phase {
                Phase::LearningBaseline => self.learn_baseline(now),
                Phase::ChangingNodes => self.change_nodes(now),
                Phase::Baking { .. } => self.bake(now),
                Phase::RollingBack { .. } => self.roll_back(now),
                Phase::Finished => {}
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, event: Event, now: Nanos) {
        match event {
            Event::CommandEnded {
                node,
                command,
                result,
            } => self.on_command_ended(node, command, result, now),
            Event::Report { node, report } => self.on_report(node, *report, now),
            Event::StopRequested => self.finish(Outcome::LeftToOperator(
                "stopped by the operator".to_string(),
            )),
            Event::RollbackRequested => {
                self.start_rollback("requested by the operator".to_string())
            }
        }
    }

    fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    fn print(&mut self, text: String) {
        self.actions.push(Action::Print(text));
    }

    fn log(&mut self, entry: Entry) {
        self.actions.push(Action::Log(entry));
    }

    fn finish(&mut self, outcome: Outcome) {
        if !self.is_finished() {
            self.phase = Phase::Finished;
            self.log(Entry::Finished {
                outcome: outcome.clone(),
            });
            self.actions.push(Action::Finish(outcome));
        }
    }

    /// Stops the rollout and starts the rollback, unless it has already started.
    fn start_rollback(&mut self, reason: String) {
        if matches!(self.phase, Phase::RollingBack { .. } | Phase::Finished) {
            return;
        }
        self.log(Entry::RollbackStarted {
            reason: reason.clone(),
        });
        self.print(format!("stopped: {reason}; rolling back"));
        self.phase = Phase::RollingBack { reason };
    }

    /// Returns the time of this controller's first tick, or `now` before it.
    fn started_at(&self, now: Nanos) -> Nanos {
        self.started_at.unwrap_or(now)
    }

    fn name(&self, node: usize) -> String {
        self.plan.nodes[node].name.clone()
    }

    /// Returns the names of the nodes that fulfil a condition, separated by commas.
    fn names_where(&self, condition: impl Fn(usize) -> bool) -> String {
        let nodes = (0..self.nodes.len()).filter(|node| condition(*node));
        let names: Vec<String> = nodes.map(|node| self.name(node)).collect();
        names.join(", ")
    }

    fn abandoned_names(&self) -> String {
        self.names_where(|node| self.nodes[node].phase == NodePhase::Abandoned)
    }

    fn unresponsive_names(&self, now: Nanos) -> String {
        self.names_where(|node| self.is_unresponsive(node, now))
    }

    fn changed_count(&self) -> usize {
        let is_changed = |node: &&NodeState| node.phase == NodePhase::Changed;
        self.nodes.iter().filter(is_changed).count()
    }

    /// Whether a command runs at any node, or its effect is not confirmed by a report yet.
    fn is_any_in_transition(&self) -> bool {
        self.nodes.iter().any(|node| node.phase.is_in_transition())
    }

    /// Returns the latest time at which a node entered its phase.
    fn last_transition_at(&self) -> Nanos {
        let transition_times = self.nodes.iter().map(|node| node.phase_since);
        transition_times.max().unwrap_or(0)
    }
}
