//! The lab of the fleet: real `sparrouter` processes on this machine's loopback addresses, with all that stands around
//! them, faults while they serve, and an audit of what came of every request.
//!
//! | file | its one job |
//! | --- | --- |
//! | `scenario` | what is played, read from a file and checked |
//! | `ground` | free addresses and ports under 127.0.0.0/8 |
//! | `machine` | one process of the fleet: its settings, start, signals, end |
//! | `engine` | a stand-in model server |
//! | `client` | the platform in front, and clients |
//! | `operator` | configurations and versions of weights, by the operators' own client |
//! | `ledger`, `audit` | what was asked, what ran, what came back; which rules that breaks |
//! | `play`, `page` | the whole run; its table |
pub mod audit;
pub mod client;
pub mod engine;
pub mod ground;
pub mod ledger;
pub mod machine;
pub mod operator;
pub mod page;
pub mod play;
pub mod scenario;

/// The one model that is served.
pub const MODEL: &str = "barley";
/// The one service.
pub const SERVICE: &str = "lekh-models";
pub const HOST: &str = "rota.example";

#[derive(Debug, thiserror::Error)]
pub enum LabError {
    #[error(
        "{path}: cannot be read ({why}): name a scenario such as crates/sparrouter-fleet-lab/scenarios/fleet-first.toml"
    )]
    Unreadable { path: String, why: String },
    #[error("{path}: {why}: mend the scenario")]
    Scenario { path: String, why: String },
    #[error("no free ports under 127.0.0.0/8: end other labs on this machine and play again")]
    NoGround,
    #[error(
        "{program} cannot be started ({why}): build it with `cargo build --release -p sparrouter-fleet`"
    )]
    Start { program: String, why: String },
    #[error("{what} cannot be written ({why}): make room in the directory for temporary files")]
    Write { what: String, why: String },
    #[error("{what} within {seconds} s: the last words of the processes are in {logs}")]
    Late {
        what: String,
        seconds: u64,
        logs: String,
    },
    #[error("stopped by hand")]
    Stopped,
}
