//! What a node at work takes up of files that have changed: all that can change, as a whole, or nothing.
use super::config::{self, Config};
use super::operator::Operator;
use super::reporter::Reporter;
use crate::routing::decision::{ConfigurationChange, ReporterChange};
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The operator's file as it was last taken up, and where it is.
#[derive(Clone, Default)]
pub struct InForce {
    pub file: Operator,
    pub path: Option<PathBuf>,
}

impl InForce {
    pub fn load(path: Option<PathBuf>) -> Result<InForce, String> {
        let file = path
            .as_deref()
            .map_or(Ok(Operator::default()), Operator::load)?;
        Ok(InForce { file, path })
    }

    /// `opened`: what counts the node's connections.
    /// A process that reports to another file has not started anew: `began` stays.
    pub fn reporter(
        &self,
        name: &str,
        opened: &Rc<Cell<u64>>,
        began: Instant,
    ) -> Result<Option<Reporter>, String> {
        let wanted = self.file.report.clone();
        wanted
            .map(|r| Reporter::open(r, name, self.file.identity.clone(), opened.clone(), began))
            .transpose()
    }
}

/// All that is in force.
pub struct Force {
    pub config: Config,
    pub operator: InForce,
    pub opened: Rc<Cell<u64>>,
    pub began: Instant,
    /// Between calls for a lost watch.
    pub pace: Duration,
}

impl Force {
    /// Reads both files again. Guards against half a change: whatever can't be read, or can't change in a running
    /// node, is named, and all stays as it was.
    pub fn reread(&self) -> Result<(Force, ConfigurationChange), String> {
        let config = config::load()?;
        let operator = InForce::load(self.operator.path.clone())?;
        let fixed = self.config.fixed(&config);
        if !fixed.is_empty() {
            return Err(format!(
                "{} can't change in a running node",
                fixed.join(", ")
            ));
        }
        let named = |e: sparrouter_settings::SettingsError| format!("settings: {e}");
        let policy = config.settings.policy(config.seed()?).map_err(named)?;
        let operations = config.settings.operations().map_err(named)?;
        if operations.iter().all(|o| o.client_timeout == 0) {
            return Err("settings: no operation with a client timeout".to_string());
        }
        let reporter = match self.operator.file.report == operator.file.report {
            true => ReporterChange::As(operator.file.identity.clone()),
            false => ReporterChange::To(
                operator
                    .reporter(&config.name, &self.opened, self.began)?
                    .map(Box::new),
            ),
        };
        let change = ConfigurationChange {
            old: self.config.settings.clone(),
            new: config.settings.clone(),
            policy,
            operations,
            nodes: config.peers.clone(),
            same: self.config.settings == config.settings && self.config.peers == config.peers,
            reporter,
            shares: operator.file.shares.clone(),
            seed: config.seed()?,
            print: config.print,
        };
        let pace = super::start::pace(&config.settings).map_err(named)?;
        Ok((
            Force {
                config,
                operator,
                opened: self.opened.clone(),
                began: self.began,
                pace,
            },
            change,
        ))
    }
}
