//! What the node is told at its start.
use crate::protocol::endpoint_list::ListUpdate;
use serde::Deserialize;
use sparrouter_settings::Settings;
use std::net::SocketAddr;

#[derive(Deserialize)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Hexadecimal.
    pub seed: String,
    #[serde(default)]
    pub limits: Limits,
    pub peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    #[serde(default)]
    pub known: ListUpdate,
    pub settings: Settings,
    /// A fingerprint of the settings, the same at all nodes that have the same.
    #[serde(skip)]
    pub print: u64,
}

#[derive(Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: usize,
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

impl Config {
    /// What differs in `new` and can't change while the node runs.
    pub fn fixed(&self, new: &Config) -> Vec<String> {
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
        own.chain(
            self.settings
                .restart_required(&new.settings)
                .into_iter()
                .map(|n| format!("settings.{n}")),
        )
        .collect()
    }

    pub fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|_| format!("seed: {} is not hexadecimal", self.seed))
    }
}

/// From the file that `PROXY_CONFIG` names, as it is now.
pub fn load() -> Result<Config, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    read(&text).map_err(|e| format!("{path}: {e}"))
}

fn read(text: &str) -> Result<Config, String> {
    let mut from = serde_json::Deserializer::from_str(text);
    let mut config: Config =
        serde_path_to_error::deserialize(&mut from).map_err(|e| e.to_string())?;
    from.end().map_err(|e| e.to_string())?;
    // Keys in order, and without what each node has for itself: the same at all nodes under the same settings.
    let mut all: serde_json::Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut settings = all["settings"].take();
    settings.as_object_mut().map(|s| s.remove("SelfIndex"));
    config.print = sparrouter_settings::hash(settings.to_string().as_bytes());
    Ok(config)
}
