//! A change of the nodes, as a scenario writes it down: when, how, what the new state does wrong.
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// A rollout of new node versions during the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rollout {
    /// The conductor begins then; its first `hold_s` it looks at the fleet as it is.
    pub at_s: f64,
    /// Who carries it out.
    pub how: RolloutMode,
    /// Rising parts of the nodes; the last is all.
    pub parts: Vec<f64>,
    /// How long a stage is watched at least, in seconds.
    pub hold_s: f64,
    /// How long it may take at most, in seconds.
    pub longest_s: f64,
    /// Time that a command and the report after it may take, in seconds.
    pub command_s: f64,
    /// Nodes that may be down at once.
    pub down_at_once: usize,
    /// Smallest harm that has to be found, as a fraction of the billed value.
    pub least_loss: f64,
    /// Loss of the whole fleet that pauses it, as a fraction of the billed value.
    pub fleet_loss: f64,
    /// The change moves keys on purpose.
    pub placement: bool,
    /// Another program for the new state; empty: the one played.
    pub program: PathBuf,
    /// What the new version does wrong.
    pub plant: Defect,
    /// Fields of the settings that the change sets otherwise, as in `Safety = { FallMultiple = 30.0 }`.
    pub settings: toml::Table,
    /// Nodes of uneven numbers get these instead.
    pub odd_settings: toml::Table,
    /// The conductor ends itself at this point of its work, its successor at the next of these: before or after so many
    /// writes of its log and starts of commands, counted from 1.
    pub dies: Vec<usize>,
    /// The conductor is killed at these times, in seconds from the first arrival, and another goes on at once.
    pub kills: Vec<f64>,
}

impl Default for Rollout {
    fn default() -> Rollout {
        Rollout {
            at_s: 1.0,
            how: RolloutMode::Staged,
            parts: vec![0.07, 0.25, 0.5, 1.0],
            hold_s: 5.0,
            longest_s: 20.0,
            command_s: 8.0,
            down_at_once: 2,
            least_loss: 0.01,
            fleet_loss: 0.15,
            placement: false,
            program: PathBuf::new(),
            plant: Defect::None,
            settings: toml::Table::new(),
            odd_settings: toml::Table::new(),
            dies: Vec::new(),
            kills: Vec::new(),
        }
    }
}

/// Who carries a rollout out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum RolloutMode {
    /// By the conductor, with its judge.
    #[default]
    Staged,
    /// One after another, nobody looks: what the judge is measured against.
    Plain,
    /// All in the same moment.
    AtOnce,
}

/// What is planted in front of the new version's node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// Nothing.
    #[default]
    None,
    /// Ends 3 s after its start, and is not started again.
    Dies,
    /// Runs and takes no connection.
    NeverReady,
    /// Every answer takes a third longer.
    Slow,
    /// One answer in 200 is an error.
    Errs,
    /// Every other write is answered by an error, all else is well.
    OneWorse,
    /// Each write goes out twice, one after the other.
    Twice,
    /// Holds another descriptor, and 64 KiB, for each tenth invocation.
    Leaks,
    /// One answer in ten is an error once it has run for 6 s.
    WhenWarm,
    /// Notes of rubbish to all others, 20 a second.
    Rubbish,
    /// Notes of a later format that has nothing in common with ours.
    #[serde(rename = "newer_notes")]
    #[value(name = "newer-notes")]
    NewerGossip,
    /// Sound notes full of lies: all is overloaded, every cache server is bad.
    Lies,
    /// Says that it places keys otherwise.
    Places,
}
