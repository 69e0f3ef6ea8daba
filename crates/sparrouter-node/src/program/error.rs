//! Errors of the node's start, run and reload. Operators read the messages.
use sparrouter_settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::task::JoinError;

/// An error because of which a node cannot start, has to exit, or cannot apply a changed file.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// `PROXY_CONFIG`, which names the platform's file, is not set.
    #[error("PROXY_CONFIG is not set")]
    ConfigPathMissing,
    /// A file cannot be used.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: String,
        /// The error in the file.
        error: FileError,
    },
    /// The seed of the platform's file is not a number.
    #[error("seed: {0} is not hexadecimal")]
    Seed(String),
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// No operation of the settings has a client timeout.
    #[error("settings: no operation with a client timeout")]
    NoClientTimeout,
    /// A changed file differs in these fields, which take effect only at a restart.
    #[error("{} can't change in a running node", .0.join(", "))]
    RestartRequired(Vec<String>),
    /// The report's file cannot be opened.
    #[error("report {}: {error}", path.display())]
    Report {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The async runtime cannot be built.
    #[error("cannot build the async runtime: {0}")]
    Runtime(io::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The address on which clients are accepted cannot be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The address for gossip cannot be bound.
    #[error("cannot bind the gossip address {address}: {error}")]
    Gossip {
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The decision actor ended or panicked. The node can't answer without it and has to be restarted.
    #[error("the decision actor ended: {0:?}")]
    DecisionActorEnded(Result<(), JoinError>),
}

/// An error in a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// A JSON field is invalid; the message names the path of the field.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The text is not valid JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The TOML text or one of its fields is invalid; the message names the line.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A number is outside its allowed range.
    #[error("line {line}, {field}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Line number in the file, from 1.
        line: usize,
        /// Name of the field, with its table.
        field: &'static str,
        /// The invalid value.
        value: u64,
        /// The smallest value allowed.
        min: u64,
        /// The largest value allowed.
        max: u64,
    },
}

impl FileError {
    /// Adds the path of the file to the error.
    pub fn in_file(self, path: impl Into<String>) -> NodeError {
        NodeError::File {
            path: path.into(),
            error: self,
        }
    }
}
