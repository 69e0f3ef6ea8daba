//! What makes a command impossible; the program then exits with code 2.
use sparrouter_lab::stand_ins::defect_proxy::DefectProxyError;
use sparrouter_lab::{play, rollout, scenario};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a command could not do its work.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error(transparent)]
    Scenario(#[from] scenario::ScenarioError),
    #[error(transparent)]
    Run(#[from] play::RunError),
    #[error("own program: {0}")]
    OwnProgram(std::io::Error),
    #[error("no bad node {name}; there are {}", .known.join(", "))]
    UnknownBadNode { name: String, known: Vec<String> },
    #[error("no program {0}; give a path, or node, relay, direct, bad:NAME")]
    UnknownProgram(String),
    #[error("{}: not there; build it with cargo build --release", .0.display())]
    NodeNotBuilt(PathBuf),
    #[error("--within {0}: a ratio above 1 is needed")]
    RatioTooSmall(f64),
    #[error("{scenario}: no [{table}] in it")]
    MissingTable {
        scenario: String,
        table: &'static str,
    },
    #[error("no case {name}; there are {}", .known.join(", "))]
    UnknownCase { name: String, known: Vec<String> },
    #[error("{0}")]
    WriteFile(std::io::Error),
    #[error("relay on {listen}: {source}")]
    Relay {
        listen: SocketAddr,
        source: std::io::Error,
    },
    #[error(transparent)]
    Conductor(rollout::RolloutError),
    /// The hidden defect proxy ended with this message.
    #[error("{0}")]
    DefectProxy(DefectProxyError),
}
