//! The plan of a rollout: nodes with their commands, stages, and the limits that stop the rollout.
//!
//! `file` reads the plan file, whose keys `docs/operating/rollout.md` documents.
mod file;

use crate::Nanos;
use thiserror::Error;

/// Error of a plan file. Each message names the line and the field.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// A field has a value out of its range.
    #[error("line {line}, {field}: {problem}")]
    Field {
        /// Line number in the file, from 1.
        line: usize,
        /// Path of the field, such as `stages.parts`.
        field: &'static str,
        /// Reason for the rejection of the value.
        problem: FieldProblem,
    },
}

/// Reason for the rejection of a field's value.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FieldProblem {
    /// The time is out of range.
    #[error("time {0} is not above 0 and at most 1000000 s")]
    TimeOutOfRange(f64),
    /// The fraction is out of range.
    #[error("fraction {0} is not between 0 and 1")]
    FractionOutOfRange(f64),
    /// The stage fractions do not ascend to the whole fleet.
    #[error("stage fractions {0:?} do not ascend from above 0 to 1.0")]
    StagesNotAscending(Vec<f64>),
    /// The maximal wait is shorter than the bake time.
    #[error("shorter than hold_s: no stage could pass")]
    WaitShorterThanBakeTime,
    /// The maximum number of unavailable nodes is 0.
    #[error("0 unavailable nodes allowed: no node could be changed")]
    ZeroMaxUnavailable,
    /// Changed and unchanged nodes report the same generation.
    #[error("unchanged nodes report generation {0} too: changed nodes could not be distinguished")]
    SameGeneration(String),
    /// The rate is not positive.
    #[error("rate {0} is not above 0")]
    RateOutOfRange(f64),
    /// Keys may move to other cache servers, and no limit protects the origin from the cache misses.
    #[error(
        "bounds.fetches_per_s is missing: the fetches that the origin can serve while keys move"
    )]
    FetchBoundMissing,
    /// A node has no name, so commands, reports and the log could not identify it.
    #[error("a node needs a name")]
    EmptyName,
    /// Two nodes have the same name.
    #[error("two nodes have the name {0}")]
    DuplicateNode(String),
    /// A command names no program.
    #[error("the command names no program")]
    EmptyCommand,
    /// The plan has fewer than two nodes.
    #[error("at least two nodes are required for a comparison")]
    TooFewNodes,
}

/// An operator's command: a program and its arguments, never empty. It must be idempotent.
pub type Command = Vec<String>;

/// A node of the fleet.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name of the node, unique in the plan.
    pub name: String,
    /// Failure domain of the node. The rollout never takes down nodes of two zones at the same time.
    pub zone: String,
    /// Command that applies the change; for a new program or new settings it stops the old process first.
    pub change: Command,
    /// Command that rolls the change back.
    pub roll_back: Command,
    /// Command that restarts the node unchanged, so that compared unchanged nodes have the same uptime as changed ones.
    pub restart: Command,
    /// Path of the file that the node appends its reports to.
    pub report_path: String,
}

/// A validated plan. Fractions are between 0 and 1, times are in nanoseconds and above 0.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Display name of the plan.
    pub name: String,
    /// Seed of the order in which nodes are changed.
    pub seed: u64,
    /// The generation that a changed node reports.
    pub new_generation: String,
    /// The generation that an unchanged node reports; differs from `new_generation`.
    pub old_generation: String,
    /// Whether changed nodes may choose other cache servers for a key than unchanged nodes.
    pub changes_placement: bool,
    /// Maximum fetches per second, over all nodes, that the origin can serve; `None` if unlimited.
    pub max_fetches_per_s: Option<f64>,
    /// Fraction of the fleet that is changed at the end of each stage, ascending to 1.
    pub stage_fractions: Vec<f64>,
    /// Minimum time for which a stage is watched once its nodes are changed.
    pub bake_time: Nanos,
    /// Maximum wait for the end of a fault or for enough evidence before the change is rolled back; at least
    /// `bake_time`.
    pub max_wait: Nanos,
    /// Time limit for a command, and again for the report that confirms its effect.
    pub command_timeout: Nanos,
    /// Interval at which reports are sampled.
    pub sample_interval: Nanos,
    /// Maximum number of nodes that the rollout may take down at the same time, at least 1.
    pub max_unavailable: usize,
    /// Harm up to which the rollout is not stopped, as a fraction of the billed value.
    pub min_harm: f64,
    /// Maximum fraction of harmless changes that are stopped, however often the test is evaluated.
    pub false_stop_rate: f64,
    /// Maximum loss of the whole fleet beyond its baseline, as a fraction of the billed value.
    pub max_fleet_loss: f64,
    /// The nodes, at least two.
    pub nodes: Vec<Node>,
}
