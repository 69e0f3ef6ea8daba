//! Why a node cannot start or cannot apply a changed file. Operators read the texts.
use sparrouter_settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::task::JoinError;

/// Why a node cannot start, has to end, or cannot apply a changed file.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The variable that names the platform's file is not set.
    #[error("PROXY_CONFIG is not set")]
    ConfigPathMissing,
    /// A file cannot be used.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        error: FileError,
    },
    /// The seed of the platform's file is not a number.
    #[error("seed: {0} is not hexadecimal")]
    Seed(String),
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// No operation of the settings says how long clients wait.
    #[error("settings: no operation with a client timeout")]
    NoClientTimeout,
    /// A changed file names what only a restart can change: these fields.
    #[error("{} can't change in a running node", .0.join(", "))]
    RestartRequired(Vec<String>),
    /// The report's file cannot be opened.
    #[error("report {}: {error}", path.display())]
    Report {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The async runtime cannot be built.
    #[error("{0}")]
    Runtime(io::Error),
    /// Signal handlers cannot be installed.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The address for clients cannot be bound.
    #[error("listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The address for gossip cannot be bound.
    #[error("datagrams on {address}: {error}")]
    Gossip {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The decision actor ended or panicked: nothing can be answered without it, so the node has to be restarted.
    #[error("the module's actor ended: {0:?}")]
    DecisionActorEnded(Result<(), JoinError>),
}

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// It is no JSON of the expected form; the text names the path of the field.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// It is no JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// It is no TOML of the expected form; the text names the line.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A number is out of its range.
    #[error("line {line}, {field}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Line of the file, from 1.
        line: usize,
        /// The field with its table.
        field: &'static str,
        /// Its value.
        value: u64,
        /// The smallest value allowed.
        min: u64,
        /// The largest value allowed.
        max: u64,
    },
}

impl FileError {
    /// The error with the file's name.
    pub fn in_file(self, path: impl Into<String>) -> NodeError {
        NodeError::File {
            path: path.into(),
            error: self,
        }
    }
}
