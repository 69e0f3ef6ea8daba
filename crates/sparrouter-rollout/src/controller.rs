//! Decides what is done next: events and the clock in, actions out. Nothing is done that was not logged first.
//!
//! This file owns the controller's state and its interface. By file: `node` (phases of a node), `restore` (state from
//! the log), `events` (commands that ended, reports, time-outs), `fleet` (health of the whole fleet), `disruption` (how
//! many nodes may be down), `stage` (baseline, and the changes of a stage), `bake` (watching a stage), `rollback`.
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

/// Why a command did not succeed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// It ended by a signal or with another status than 0.
    #[error("{0}")]
    Status(ExitStatus),
    /// It was killed as it did not end in time.
    #[error("not over after {} s", .0.as_secs_f64())]
    TimedOut(Duration),
    /// It could not be started or waited for.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// What the controller is informed of.
pub enum Event {
    /// A command has ended, or was killed as it did not end in time.
    CommandEnded {
        /// Index of the node.
        node: usize,
        /// The command.
        command: CommandKind,
        /// Its result.
        result: Result<(), CommandError>,
    },
    /// A node's report.
    Report {
        /// Index of the node.
        node: usize,
        /// The report.
        report: Box<Report>,
    },
    /// The operator asks to stop and leave all as it is.
    StopRequested,
    /// The operator asks to take the change back.
    RollbackRequested,
}

/// What is done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write an entry; what follows is done only once it is safe on disk.
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
    /// Keep what an interval showed, for the page; nothing waits for it.
    Observe(Observation),
    /// End.
    Finish(Outcome),
}

/// Phase of the rollout.
enum Phase {
    /// The fleet's baseline is being learnt.
    LearningBaseline,
    /// Nodes of the stage are being changed, the unchanged ones to compare them with restarted.
    ChangingNodes,
    /// The stage is being watched.
    Baking {
        since: Nanos,
        /// Since when nodes have been unresponsive, if they are.
        fault_since: Option<Nanos>,
    },
    RollingBack {
        reason: String,
    },
    Finished,
}

/// Decides what is done in a rollout.
///
/// Invariants: at most `max_unavailable` nodes are under a command at once, all in one zone; after the entry
/// `RollbackStarted` no node is changed.
pub struct RolloutController {
    plan: Plan,
    /// All nodes in the order in which they are changed.
    order: Vec<usize>,
    /// Nodes changed at the end of each stage.
    stage_sizes: Vec<usize>,
    /// By index of the plan.
    nodes: Vec<NodeState>,
    /// Known after the phase `LearningBaseline`.
    baseline: Option<Baseline>,
    /// Index of the stage.
    stage: usize,
    phase: Phase,
    /// Present from the first stage that is watched on.
    judge: Option<Judge>,
    /// The judge's last finding in this stage.
    last_finding: Option<Finding>,
    /// When this controller started to work.
    started_at: Option<Nanos>,
    /// When the next sample of a watched stage is due.
    next_sample_at: Nanos,
    health: FleetHealth,
    /// What the current tick has decided so far.
    actions: Vec<Action>,
}

impl RolloutController {
    /// A controller that continues after these entries, which an earlier controller of this plan has logged.
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

    /// Takes what has happened since the last call, and returns what to do. `now` must be over 0 and never fall.
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
            Event::StopRequested => self.finish(Outcome::Left("stopped by hand".to_string())),
            Event::RollbackRequested => self.start_rollback("asked for by hand".to_string()),
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

    /// Stops the change and begins to take it back, unless that has begun.
    fn start_rollback(&mut self, reason: String) {
        if matches!(self.phase, Phase::RollingBack { .. } | Phase::Finished) {
            return;
        }
        self.log(Entry::RollbackStarted {
            reason: reason.clone(),
        });
        self.print(format!("stopped: {reason}; going back"));
        self.phase = Phase::RollingBack { reason };
    }

    /// When this controller started to work; `now` before that.
    fn started_at(&self, now: Nanos) -> Nanos {
        self.started_at.unwrap_or(now)
    }

    fn name(&self, node: usize) -> String {
        self.plan.nodes[node].name.clone()
    }

    /// Names of the nodes that fulfil a condition, separated by commas.
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

    /// Whether any node is under a command, or has yet to report after one.
    fn is_any_in_transition(&self) -> bool {
        self.nodes.iter().any(|node| node.phase.is_in_transition())
    }

    /// When a node entered its phase last, of all nodes.
    fn last_transition_at(&self) -> Nanos {
        let moments = self.nodes.iter().map(|node| node.phase_since);
        moments.max().unwrap_or(0)
    }
}
