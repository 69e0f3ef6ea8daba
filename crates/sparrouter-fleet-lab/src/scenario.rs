//! What is played: read from TOML, every range checked.
use crate::LabError;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    #[serde(default)]
    pub seed: u64,
    /// Of the clients' traffic, in seconds.
    pub length_s: f64,
    pub nodes: Nodes,
    pub servers: Servers,
    pub load: Load,
    #[serde(default)]
    pub step: Vec<Step>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// With a disk, counting towards the quorum.
    pub core: usize,
    /// Without.
    #[serde(default)]
    pub plain: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    pub slots: usize,
    /// Before the first event, between two events, and for new weights.
    pub work_ms: u64,
    pub gap_ms: u64,
    pub load_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub rate_per_s: f64,
    /// Events of a stream.
    pub events: u64,
    pub objective_ms: u64,
    pub client_timeout_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_s: f64,
    #[serde(rename = "do")]
    pub what: What,
    /// Which node, server or version; nodes and servers count from 0.
    #[serde(default)]
    pub which: u64,
    /// How long a node stays away.
    #[serde(default)]
    pub for_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL to a node, which comes back.
    Kill,
    /// SIGTERM to a node, which comes back once it has ended.
    Restart,
    /// A server announces its end; another takes its place.
    Drain,
    /// A server dies without a word.
    Crash,
    /// A route is added, and the one added before goes.
    Patch,
    /// New weights are named.
    Version,
}

/// What no scenario may exceed: it is one machine, and other things run on it.
const MOST_NODES: usize = 16;
const MOST_SERVERS: usize = 32;
const MOST_RATE: f64 = 2_000.0;
const MOST_S: f64 = 600.0;

/// Under 15 s with start and end, for a first look and for the test.
const QUICK: &str = include_str!("../scenarios/fleet-quick.toml");

impl Scenario {
    pub fn quick() -> Result<Scenario, LabError> {
        Scenario::parse("fleet-quick", QUICK)
    }

    pub fn read(path: &Path) -> Result<Scenario, LabError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| LabError::Unreadable {
            path: shown.clone(),
            why: e.to_string(),
        })?;
        Scenario::parse(&shown, &text)
    }

    pub fn parse(path: &str, text: &str) -> Result<Scenario, LabError> {
        let fault = |why: String| LabError::Scenario {
            path: path.to_owned(),
            why,
        };
        let mut read: Scenario = toml::from_str(text).map_err(|e| fault(e.to_string()))?;
        read.check().map_err(fault)?;
        read.step.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Ok(read)
    }

    fn check(&self) -> Result<(), String> {
        let within = |what: &str, n: f64, least: f64, most: f64| {
            let fits = (least..=most).contains(&n);
            if fits {
                Ok(())
            } else {
                Err(format!("{what} is {n}, not from {least} to {most}"))
            }
        };
        within("length_s", self.length_s, 1.0, MOST_S)?;
        within("nodes.core", self.nodes.core as f64, 1.0, 9.0)?;
        within(
            "nodes.core and nodes.plain",
            (self.nodes.core + self.nodes.plain) as f64,
            1.0,
            MOST_NODES as f64,
        )?;
        within(
            "servers.count",
            self.servers.count as f64,
            1.0,
            MOST_SERVERS as f64,
        )?;
        within("servers.slots", self.servers.slots as f64, 1.0, 10_000.0)?;
        within("load.rate_per_s", self.load.rate_per_s, 0.1, MOST_RATE)?;
        within("load.events", self.load.events as f64, 1.0, 10_000.0)?;
        within(
            "load.client_timeout_ms",
            self.load.client_timeout_ms as f64,
            100.0,
            60_000.0,
        )?;
        for step in &self.step {
            within("step.at_s", step.at_s, 0.0, self.length_s)?;
            within("step.for_s", step.for_s, 0.0, MOST_S)?;
            let nodes = (self.nodes.core + self.nodes.plain) as f64 - 1.0;
            match step.what {
                What::Kill | What::Restart => within("step.which", step.which as f64, 0.0, nodes)?,
                What::Drain | What::Crash => {
                    within(
                        "step.which",
                        step.which as f64,
                        0.0,
                        self.servers.count as f64 - 1.0,
                    )?;
                }
                What::Version => within("step.which", step.which as f64, 2.0, 1e9)?,
                What::Patch => {}
            }
        }
        Ok(())
    }

    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }
}
