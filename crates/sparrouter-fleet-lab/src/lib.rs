//! End-to-end test lab of the fleet: real `sparrouter` processes on loopback addresses, simulated model servers, clients
//! and operator, fault injection under load, and an audit of every request.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`scenario`] | scenario files: parsing and validation |
//! | [`addresses`] | selection of free addresses under 127.0.0.0/8 |
//! | [`machine`] | one node process of the fleet |
//! | [`process_usage`] | what a process uses of its machine |
//! | [`model_server`] | a simulated model server |
//! | `count_guard` | a counter of things in progress |
//! | [`client`] | simulated clients, and the platform's readiness checks |
//! | [`operator`] | configuration updates and versions of model weights |
//! | [`ledger`], [`audit`] | records of a run; checks of the records against the fleet's rules |
//! | [`play`], [`page`] | execution of a run; its results as a table |
pub mod addresses;
pub mod audit;
pub mod client;
mod count_guard;
pub mod ledger;
pub mod machine;
pub mod model_server;
pub mod operator;
pub mod page;
pub mod play;
pub mod process_usage;
pub mod scenario;

/// Name of the only model served.
pub const MODEL: &str = "model-1";
/// Name of the only service.
pub const SERVICE: &str = "models";
/// Host name of all routes.
pub const HOST: &str = "fleet.example";

/// An error that prevents a run. Each message says how to fix it.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The scenario file cannot be read.
    #[error(
        "{path}: cannot be read ({reason}): name a scenario such as crates/sparrouter-fleet-lab/scenarios/fleet-first.toml"
    )]
    Unreadable {
        /// Path of the scenario file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The scenario is invalid.
    #[error("{path}: {reason}: correct the scenario")]
    Scenario {
        /// Path of the scenario file.
        path: String,
        /// The validation error, which names the field.
        reason: scenario::ScenarioError,
    },
    /// No free addresses were found.
    #[error("no free ports under 127.0.0.0/8: stop other labs on this machine and run again")]
    NoFreeAddresses,
    /// A process or simulated component cannot be started.
    #[error(
        "{program} cannot be started ({reason}): build it with `cargo build --release -p sparrouter-fleet`"
    )]
    Start {
        /// Name of the program or component.
        program: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A file cannot be written.
    #[error(
        "{subject} cannot be written ({reason}): free disk space in the directory for temporary files"
    )]
    Write {
        /// The file or directory.
        subject: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A part of the run timed out.
    #[error("{subject} within {seconds} s: the logs of the processes are in {logs}")]
    TimedOut {
        /// The condition that did not hold in time.
        subject: String,
        /// The time limit in seconds.
        seconds: u64,
        /// The logs of the processes.
        logs: String,
    },
    /// The run was interrupted.
    #[error("run interrupted by Ctrl-C")]
    Stopped,
}
