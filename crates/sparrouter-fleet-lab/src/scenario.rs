//! Scenarios of runs, read from TOML and checked for valid ranges.
use crate::LabError;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// The fleet, traffic and faults of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Description of the scenario.
    #[serde(default)]
    pub about: String,
    /// Seed of all random choices except the addresses.
    #[serde(default)]
    pub seed: u64,
    /// Duration of the clients' traffic, in seconds.
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
    /// Number of nodes that have a disk and count toward the quorum.
    pub core: usize,
    /// Number of nodes that have no disk and do not count toward the quorum.
    #[serde(default)]
    pub plain: usize,
}

/// The model servers of a scenario, which all have the same settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Number of servers.
    pub count: usize,
    /// Concurrent requests of each server.
    pub slots: usize,
    /// Time from the start of a request to its first event, in ms.
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
    /// Number of events in a stream.
    pub events: u64,
    /// Latency target, in ms.
    pub objective_ms: u64,
    /// Time limit of a client's request, in ms.
    pub client_timeout_ms: u64,
}

/// A fault or change at a given time of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the step, in seconds from the start of the traffic.
    pub at_s: f64,
    /// The fault or change.
    #[serde(rename = "do")]
    pub action: Action,
    /// Index of the node or server, from 0, or number of the version.
    #[serde(default)]
    pub which: u64,
    /// Time before a stopped node or server is restarted or replaced, in seconds.
    #[serde(default)]
    pub for_s: f64,
}

/// The fault or change that a step makes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Kills a node (SIGKILL) and restarts it.
    Kill,
    /// Shuts a node down gracefully (SIGTERM) and restarts it.
    Restart,
    /// Drains and removes a server, then starts a replacement.
    Drain,
    /// Crashes a server, then starts a replacement.
    Crash,
    /// Adds a route to the configuration and removes the previously added route.
    Patch,
    /// Sets a new version of the model's weights.
    Version,
}

/// Maximum number of nodes. These maxima apply to all scenarios, since a run uses one machine shared with others.
const MAX_NODES: usize = 16;
/// Maximum number of model servers.
const MAX_SERVERS: usize = 32;
/// Maximum rate of requests per second.
const MAX_RATE: f64 = 2_000.0;
/// Maximum duration in seconds.
const MAX_SECONDS: f64 = 600.0;

/// The built-in scenario, for demonstrations and tests: under 15 s including start and shutdown.
const QUICK: &str = include_str!("../scenarios/fleet-quick.toml");

/// A validation error in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text cannot be parsed as a scenario.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A number is outside its valid range.
    #[error("{field} is {value}, not from {min} to {max}")]
    OutOfRange {
        /// Name of the field or fields.
        field: &'static str,
        /// The invalid value.
        value: f64,
        /// The lowest allowed value.
        min: f64,
        /// The highest allowed value.
        max: f64,
    },
}

impl Scenario {
    /// Returns the built-in scenario, which takes under 15 seconds.
    ///
    /// # Errors
    ///
    /// The errors of [`Scenario::parse`].
    pub fn quick() -> Result<Scenario, LabError> {
        Scenario::parse("fleet-quick", QUICK)
    }

    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// [`LabError::Unreadable`], or the errors of [`Scenario::parse`].
    pub fn read(path: &Path) -> Result<Scenario, LabError> {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| LabError::Unreadable {
            path: displayed_path.clone(),
            reason: e.to_string(),
        })?;
        Scenario::parse(&displayed_path, &text)
    }

    /// Parses and checks a scenario; `path` is for error messages only.
    ///
    /// # Errors
    ///
    /// [`LabError::Scenario`] with the name of the invalid field.
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
        let check_which = |min, max| check_range("step.which", step.which as f64, min, max);
        match step.action {
            Action::Kill | Action::Restart => check_which(0.0, last_node),
            Action::Drain | Action::Crash => check_which(0.0, last_server),
            Action::Version => check_which(2.0, 1e9),
            Action::Patch => Ok(()),
        }
    }

    /// Returns the duration of the clients' traffic.
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
