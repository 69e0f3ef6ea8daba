//! Applies changed configuration files to a running node, either completely or not at all.
use super::config::{self, Config};
use super::error::NodeError;
use super::operator::OperatorConfig;
use super::reporter::{ProcessCounts, Reporter};
use crate::routing::decision::{ConfigurationChange, ReporterChange};
use std::path::PathBuf;
use std::time::Duration;

/// The operator's configuration in force, and its path.
#[derive(Clone, Default)]
pub struct ActiveOperatorConfig {
    /// The content of the file; the defaults if there is no file.
    pub file: OperatorConfig,
    /// Path of the file; `None` if there is no file.
    pub path: Option<PathBuf>,
}

impl ActiveOperatorConfig {
    /// Reads the file at `path`, or uses the defaults if `path` is `None`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`OperatorConfig::load`].
    pub fn load(path: Option<PathBuf>) -> Result<ActiveOperatorConfig, NodeError> {
        let file = path
            .as_deref()
            .map_or(Ok(OperatorConfig::default()), OperatorConfig::load)?;
        Ok(ActiveOperatorConfig { file, path })
    }

    /// Opens the reporter that the file configures; `None` if it configures no report.
    ///
    /// # Errors
    ///
    /// The report's file cannot be opened.
    pub fn reporter(
        &self,
        name: &str,
        process_counts: &ProcessCounts,
    ) -> Result<Option<Reporter>, NodeError> {
        let config = self.file.report.clone();
        config
            .map(|c| Reporter::open(c, name, self.file.identity.clone(), process_counts.clone()))
            .transpose()
    }
}

/// The configuration in force in a running node.
pub struct ActiveConfiguration {
    /// The platform's configuration.
    pub config: Config,
    /// The operator's configuration.
    pub operator: ActiveOperatorConfig,
    /// Process-wide counts that a reporter continues when it is opened for another file.
    pub process_counts: ProcessCounts,
    /// Longest time between two attempts to reopen a lost subscription.
    pub retry_interval: Duration,
}

/// Changed configuration files that were read and validated.
pub struct Reload {
    /// The configuration in force after the reload.
    pub next: ActiveConfiguration,
    /// The change that the decision actor applies.
    pub change: ConfigurationChange,
}

impl ActiveConfiguration {
    /// Reads both files again. If a file can't be read, or differs in a field that needs a restart, nothing is applied:
    /// this guards against an incomplete change.
    ///
    /// # Errors
    ///
    /// A file is invalid, or a changed field needs a restart.
    pub fn reread(&self) -> Result<Reload, NodeError> {
        let config = config::load()?;
        let operator = ActiveOperatorConfig::load(self.operator.path.clone())?;
        let restart_required = self.config.restart_required(&config);
        if !restart_required.is_empty() {
            return Err(NodeError::RestartRequired(restart_required));
        }
        let change = self.change(&config, &operator)?;
        let retry_interval = config.retry_interval()?;
        let next = ActiveConfiguration {
            config,
            operator,
            process_counts: self.process_counts.clone(),
            retry_interval,
        };
        Ok(Reload { next, change })
    }

    fn change(
        &self,
        config: &Config,
        operator: &ActiveOperatorConfig,
    ) -> Result<ConfigurationChange, NodeError> {
        let policy = config.settings.policy(config.seed()?)?;
        let operations = config.settings.operations()?;
        if operations.iter().all(|o| o.client_timeout == 0) {
            return Err(NodeError::NoClientTimeout);
        }
        let reporter = if self.operator.file.report == operator.file.report {
            ReporterChange::Identify(operator.file.identity.clone())
        } else {
            let reporter = operator.reporter(&config.name, &self.process_counts)?;
            ReporterChange::Replace(reporter.map(Box::new))
        };
        Ok(ConfigurationChange {
            old: self.config.settings.clone(),
            new: config.settings.clone(),
            policy,
            operations,
            nodes: config.peers.clone(),
            is_policy_unchanged: self.config.settings == config.settings
                && self.config.peers == config.peers,
            reporter,
            quota_shares: operator.file.quota_shares.clone(),
            seed: config.seed()?,
            fingerprint: config.fingerprint,
        })
    }
}
