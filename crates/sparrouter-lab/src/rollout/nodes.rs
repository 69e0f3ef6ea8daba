//! Changes one node's version at a time on a command.
use super::{NEW, POLL_INTERVAL, RolloutError, Tools};
use crate::play::Environment;
use crate::scenario::rollout::{Defect, Rollout};
use crate::stand_ins::node::Version;
use std::path::PathBuf;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Beyond the longest client timeout a node gets this to stop and to start again.
const RESTART_MARGIN: Duration = Duration::from_millis(2000);
/// A program that refuses its settings has ended after this time.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// What the conductor's commands ask of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// To run the new version.
    Change,
    /// To run the old version.
    Back,
    /// To start again in the version that it has.
    Restart,
}

impl Command {
    /// By its name in the plan.
    pub(super) fn parse(name: &str) -> Option<Command> {
        match name {
            "change" => Some(Command::Change),
            "back" => Some(Command::Back),
            "restart" => Some(Command::Restart),
            _ => None,
        }
    }
}

/// A node did not stay up after its restart.
#[derive(Debug)]
pub(super) struct NotRunning;

/// The old version of all nodes and the new version of each.
pub(super) struct NodeRollout {
    pub(super) environment: Arc<Environment>,
    old_version: Version,
    new_versions: Vec<Version>,
    /// By node: held while a command is executed, so that they never overlap on one node.
    command_locks: Vec<Mutex<()>>,
}

impl NodeRollout {
    pub(super) fn new(
        environment: &Arc<Environment>,
        wanted: &Rollout,
        tools: &Tools,
    ) -> Result<NodeRollout, RolloutError> {
        let first = environment.nodes.first().ok_or(RolloutError::NoNodes)?;
        let old_version = first.lock().expect("not poisoned").version.clone();
        let settings = settings_fields(&wanted.settings)?;
        let odd_settings = settings_fields(&wanted.odd_settings)?;
        let new_version = |n: usize| {
            let odd = n % 2 == 1 && !odd_settings.is_empty();
            let settings = if odd { &odd_settings } else { &settings };
            let mut version = Version {
                generation: Some(NEW.into()),
                settings: settings.clone(),
                ..old_version.clone()
            };
            if !wanted.program.as_os_str().is_empty() {
                version.program = wanted.program.clone();
            }
            if wanted.plant != Defect::None {
                put_behind_defect_proxy(&mut version, wanted.plant, tools);
            }
            version
        };
        let count = environment.nodes.len();
        Ok(NodeRollout {
            environment: environment.clone(),
            new_versions: (0..count).map(new_version).collect(),
            old_version,
            command_locks: (0..count).map(|_| Mutex::new(())).collect(),
        })
    }

    /// Number of nodes.
    pub(super) fn count(&self) -> usize {
        self.new_versions.len()
    }

    /// Nodes whose version is the new one.
    pub(super) fn changed_nodes(&self) -> Vec<usize> {
        let changed = |n: &usize| self.generation(*n).as_deref() == Some(NEW);
        (0..self.count()).filter(changed).collect()
    }

    fn generation(&self, n: usize) -> Option<String> {
        let node = self.environment.nodes[n].lock().expect("not poisoned");
        node.version.generation.clone()
    }

    fn running(&self, n: usize) -> bool {
        let node = &self.environment.nodes[n];
        node.lock().expect("not poisoned").running()
    }

    /// Idempotent: a node that already serves the wanted version is left as it is.
    pub(super) fn execute(&self, n: usize, command: Command) -> Result<(), NotRunning> {
        let _lock = self.command_locks[n].lock().expect("not poisoned");
        let environment = &self.environment;
        let generation = self.generation(n);
        let runs_old = generation == self.old_version.generation;
        let version = match command {
            Command::Change => &self.new_versions[n],
            Command::Back => &self.old_version,
            Command::Restart if runs_old => &self.old_version,
            Command::Restart => &self.new_versions[n],
        };
        let serves = self.running(n) && !environment.stopped_nodes[n].load(Relaxed);
        if command != Command::Restart && generation == version.generation && serves {
            return Ok(());
        }
        environment.stop_node(n, false);
        let timeout_ms = environment.lab.scenario.max_client_timeout_ms();
        let deadline = Instant::now() + Duration::from_millis(timeout_ms) + RESTART_MARGIN;
        while self.running(n) && Instant::now() < deadline {
            sleep(POLL_INTERVAL);
        }
        environment.nodes[n].lock().expect("not poisoned").version = version.clone();
        environment.restart_node(n);
        let lab = &environment.lab;
        while !self.running(n) && Instant::now() < deadline && !lab.over.load(Relaxed) {
            sleep(POLL_INTERVAL);
        }
        sleep(REFUSAL_TIME);
        if self.running(n) {
            Ok(())
        } else {
            Err(NotRunning)
        }
    }
}

fn settings_fields(
    table: &toml::Table,
) -> Result<serde_json::Map<String, serde_json::Value>, RolloutError> {
    match serde_json::to_value(table).map_err(RolloutError::Settings)? {
        serde_json::Value::Object(fields) => Ok(fields),
        other => Err(RolloutError::NotATable(other)),
    }
}

/// The proxy starts the version's program itself; see [`crate::stand_ins::defect_proxy`].
fn put_behind_defect_proxy(version: &mut Version, defect: Defect, tools: &Tools) {
    let name = clap::ValueEnum::to_possible_value(&defect)
        .map_or(String::new(), |value| value.get_name().to_string());
    let program = version.program.display().to_string();
    version.envs = vec![
        ("SPARROUTER_PLANT".into(), name),
        ("SPARROUTER_NODE".into(), program),
    ];
    version.program = PathBuf::from(&tools.plant[0]);
    version.args = tools.plant[1..].to_vec();
}
