//! The platform's configuration file, which the node reads at its start and again at SIGHUP.
use super::error::{FileError, NodeError};
use crate::protocol::endpoint_list::ListUpdate;
use crate::routing::endpoint_list;
use serde::Deserialize;
use sparrouter_settings::{Settings, SettingsError};
use std::net::SocketAddr;
use std::time::Duration;

/// The content of the platform's configuration file. The field names are part of the file format.
#[derive(Deserialize)]
pub struct Config {
    /// The node's name, for logs and reports.
    pub name: String,
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the node's random number generator, hexadecimal.
    pub seed: String,
    /// Resource limits of the node.
    #[serde(default)]
    pub limits: Limits,
    /// Address on which the node receives gossip from other nodes; `None` if it takes no part in gossip.
    pub peer_listen: Option<SocketAddr>,
    /// Gossip addresses of all nodes, indexed by node number.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The last endpoint list that the node is known to have had.
    #[serde(default)]
    pub known: ListUpdate,
    /// The settings of the routing policy.
    pub settings: Settings,
    /// Hash of the settings without the node's own index: equal on all nodes with the same settings.
    #[serde(skip)]
    pub fingerprint: u64,
}

impl Config {
    /// Longest time between two attempts to reopen a lost subscription, for a node that maintains its own subscription.
    /// A server that started to drain in between has to be known within the drain grace of the settings; half of the
    /// grace is reserved for the call.
    ///
    /// # Errors
    ///
    /// The drain grace of the settings is not a valid duration.
    pub fn retry_interval(&self) -> Result<Duration, SettingsError> {
        let grace = Duration::from_nanos(self.settings.drain_grace()?);
        Ok(if grace.is_zero() {
            endpoint_list::HEARTBEAT
        } else {
            (grace / 2).min(endpoint_list::HEARTBEAT)
        })
    }
}

/// Resource limits of a node.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory limit in MiB.
    pub memory_mb: usize,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

impl Limits {
    /// Memory limit in bytes.
    pub fn memory(&self) -> usize {
        self.memory_mb << 20
    }
}

impl Config {
    /// Returns the names of the fields that differ in `new` and take effect only at a restart.
    pub fn restart_required(&self, new: &Config) -> Vec<String> {
        let own = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("limits", self.limits != new.limits),
        ];
        let own = own
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name.to_string());
        let settings = self.settings.restart_required(&new.settings);
        own.chain(settings.into_iter().map(|name| format!("settings.{name}")))
            .collect()
    }

    /// Returns the seed as a number.
    ///
    /// # Errors
    ///
    /// The seed is not hexadecimal.
    pub fn seed(&self) -> Result<u64, NodeError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| NodeError::Seed(self.seed.clone()))
    }
}

/// Reads the file that the environment variable `PROXY_CONFIG` names.
///
/// # Errors
///
/// `PROXY_CONFIG` is not set, or the file cannot be read or is malformed.
pub fn load() -> Result<Config, NodeError> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| NodeError::ConfigPathMissing)?;
    let config = std::fs::read_to_string(&path)
        .map_err(FileError::from)
        .and_then(|text| parse(&text));
    config.map_err(|error| error.in_file(path))
}

fn parse(text: &str) -> Result<Config, FileError> {
    let mut from = serde_json::Deserializer::from_str(text);
    let mut config: Config = serde_path_to_error::deserialize(&mut from)?;
    from.end()?;
    // Keys are sorted and the node's own index is left out, so that equal settings hash equally on all nodes.
    let mut document: serde_json::Value = serde_json::from_str(text)?;
    let mut settings = document["settings"].take();
    settings.as_object_mut().map(|s| s.remove("SelfIndex"));
    config.fingerprint = sparrouter_settings::hash(settings.to_string().as_bytes());
    Ok(config)
}
