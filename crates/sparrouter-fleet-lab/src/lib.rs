//! The lab of the fleet: real `sparrouter` processes on loopback addresses with stand-ins for everything around them,
//! faults while they serve, and an audit of every request.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`scenario`] | what is played: read from a file and checked |
//! | [`addresses`] | free addresses under 127.0.0.0/8 |
//! | [`machine`] | one process of the fleet |
//! | [`model_server`] | a stand-in model server |
//! | [`client`] | the platform in front of the fleet, and clients |
//! | [`operator`] | configurations and versions of weights |
//! | [`ledger`], [`audit`] | records of a run; which rules they violate |
//! | [`play`], [`page`] | the whole run; its result as a table |
pub mod addresses;
pub mod audit;
pub mod client;
pub mod ledger;
pub mod machine;
pub mod model_server;
pub mod operator;
pub mod page;
pub mod play;
pub mod scenario;

/// The one model that is served.
pub const MODEL: &str = "model-1";
/// The one service.
pub const SERVICE: &str = "models";
/// The host of all routes.
pub const HOST: &str = "fleet.example";

/// Why a run could not be played. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The scenario cannot be read.
    #[error(
        "{path}: cannot be read ({reason}): name a scenario such as crates/sparrouter-fleet-lab/scenarios/fleet-first.toml"
    )]
    Unreadable {
        /// Its file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The scenario is invalid.
    #[error("{path}: {reason}: correct the scenario")]
    Scenario {
        /// Its file.
        path: String,
        /// What is wrong, with the field.
        reason: scenario::ScenarioError,
    },
    /// No free addresses were found.
    #[error("no free ports under 127.0.0.0/8: end other labs on this machine and play again")]
    NoFreeAddresses,
    /// A process or stand-in cannot be started.
    #[error(
        "{program} cannot be started ({reason}): build it with `cargo build --release -p sparrouter-fleet`"
    )]
    Start {
        /// What was started.
        program: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A file cannot be written.
    #[error(
        "{subject} cannot be written ({reason}): make room in the directory for temporary files"
    )]
    Write {
        /// The file.
        subject: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A step of the run took too long.
    #[error("{subject} within {seconds} s: the logs of the processes are in {logs}")]
    TimedOut {
        /// What did not happen.
        subject: String,
        /// How long it was waited for, in seconds.
        seconds: u64,
        /// The logs of the processes.
        logs: String,
    },
    /// The run was interrupted.
    #[error("stopped by hand")]
    Stopped,
}
