//! What a run plays, read from TOML; every range is checked.
use crate::LabError;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows.
    #[serde(default)]
    pub about: String,
    /// Seed of everything random but the addresses.
    #[serde(default)]
    pub seed: u64,
    /// Length of the clients' traffic, in seconds.
    pub length_s: f64,
    /// The nodes.
    pub nodes: Nodes,
    /// The model servers.
    pub servers: Servers,
    /// The clients' traffic.
    pub load: Load,
    /// Faults and changes, in order of time.
    #[serde(default)]
    pub step: Vec<Step>,
}

/// The nodes of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// How many have a disk and count toward the quorum.
    pub core: usize,
    /// How many do not.
    #[serde(default)]
    pub plain: usize,
}

/// The model servers of a scenario, all alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many there are.
    pub count: usize,
    /// Requests that one works on at a time.
    pub slots: usize,
    /// Time until the first event, in ms.
    pub work_ms: u64,
    /// Time between two events, in ms.
    pub gap_ms: u64,
    /// Time to load new weights, in ms.
    pub load_ms: u64,
}

/// The clients' traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Events of a stream.
    pub events: u64,
    /// Latency in ms up to which an answer is in time.
    pub objective_ms: u64,
    /// How long a client waits for an answer, in ms.
    pub client_timeout_ms: u64,
}

/// A fault or change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in seconds from the beginning of the traffic.
    pub at_s: f64,
    /// What happens.
    #[serde(rename = "do")]
    pub action: Action,
    /// Which node, server or version; nodes and servers count from 0.
    #[serde(default)]
    pub which: u64,
    /// How long a node or server stays away, in seconds.
    #[serde(default)]
    pub for_s: f64,
}

/// What a step does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Kills a node (SIGKILL) and starts it again.
    Kill,
    /// Ends a node (SIGTERM) and starts it again.
    Restart,
    /// A server drains and leaves; another one takes its place.
    Drain,
    /// A server crashes; another one takes its place.
    Crash,
    /// Adds a route to the configuration and removes the one added before.
    Patch,
    /// Names new weights.
    Version,
}

/// Limits of all scenarios, since a run takes one machine, which others use too.
const MAX_NODES: usize = 16;
const MAX_SERVERS: usize = 32;
const MAX_RATE: f64 = 2_000.0;
const MAX_SECONDS: f64 = 600.0;

/// Under 15 s with start and end, for a first look and for the test.
const QUICK: &str = include_str!("../scenarios/fleet-quick.toml");

/// What is wrong in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is no scenario.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A figure is out of its range.
    #[error("{field} is {value}, not from {min} to {max}")]
    OutOfRange {
        /// The field, or fields.
        field: &'static str,
        /// Its value.
        value: f64,
        /// The lowest allowed value.
        min: f64,
        /// The highest allowed value.
        max: f64,
    },
}

impl Scenario {
    /// The built-in scenario, which takes under 15 seconds.
    ///
    /// # Errors
    ///
    /// As [`Scenario::parse`].
    pub fn quick() -> Result<Scenario, LabError> {
        Scenario::parse("fleet-quick", QUICK)
    }

    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// [`LabError::Unreadable`], or as [`Scenario::parse`].
    pub fn read(path: &Path) -> Result<Scenario, LabError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| LabError::Unreadable {
            path: shown.clone(),
            reason: e.to_string(),
        })?;
        Scenario::parse(&shown, &text)
    }

    /// Parses and checks a scenario; `path` is for error messages only.
    ///
    /// # Errors
    ///
    /// [`LabError::Scenario`] with the field that is wrong.
    pub fn parse(path: &str, text: &str) -> Result<Scenario, LabError> {
        let invalid = |reason: ScenarioError| LabError::Scenario {
            path: path.to_owned(),
            reason,
        };
        let parsed: Result<Scenario, toml::de::Error> = toml::from_str(text);
        let mut scenario = parsed.map_err(|e| invalid(e.into()))?;
        scenario.check().map_err(invalid)?;
        scenario.step.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let nodes = self.nodes.core + self.nodes.plain;
        check_range("length_s", self.length_s, 1.0, MAX_SECONDS)?;
        check_range("nodes.core", self.nodes.core as f64, 1.0, 9.0)?;
        check_range(
            "nodes.core and nodes.plain",
            nodes as f64,
            1.0,
            MAX_NODES as f64,
        )?;
        let (count, slots) = (self.servers.count as f64, self.servers.slots as f64);
        check_range("servers.count", count, 1.0, MAX_SERVERS as f64)?;
        check_range("servers.slots", slots, 1.0, 10_000.0)?;
        let load = &self.load;
        check_range("load.rate_per_s", load.rate_per_s, 0.1, MAX_RATE)?;
        check_range("load.events", load.events as f64, 1.0, 10_000.0)?;
        let client_timeout_ms = load.client_timeout_ms as f64;
        check_range("load.client_timeout_ms", client_timeout_ms, 100.0, 60_000.0)?;
        self.step.iter().try_for_each(|step| self.check_step(step))
    }

    fn check_step(&self, step: &Step) -> Result<(), ScenarioError> {
        check_range("step.at_s", step.at_s, 0.0, self.length_s)?;
        check_range("step.for_s", step.for_s, 0.0, MAX_SECONDS)?;
        let last_node = (self.nodes.core + self.nodes.plain) as f64 - 1.0;
        let last_server = self.servers.count as f64 - 1.0;
        let which = |min, max| check_range("step.which", step.which as f64, min, max);
        match step.action {
            Action::Kill | Action::Restart => which(0.0, last_node),
            Action::Drain | Action::Crash => which(0.0, last_server),
            Action::Version => which(2.0, 1e9),
            Action::Patch => Ok(()),
        }
    }

    /// Length of the clients' traffic.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }
}

fn check_range(field: &'static str, value: f64, min: f64, max: f64) -> Result<(), ScenarioError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ScenarioError::OutOfRange {
        field,
        value,
        min,
        max,
    })
}
