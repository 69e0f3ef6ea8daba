//! What the node is told at its start.
use crate::protocol::lines::Listing;
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
    pub known: Listing,
    pub settings: Settings,
}

#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

impl Config {
    pub fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| format!("seed: {} is not hexadecimal", self.seed))
    }
}

/// From the file that `PROXY_CONFIG` names, as it is now.
pub fn load() -> Result<Config, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}
