//! The operators' command-line client.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`options`] | the command line |
//! | [`call`] | a single HTTP call to one node |
//! | [`fleet`] | retries of a call over the nodes until the answer is definite |
//! | [`commands`] | the calls and the output of each subcommand |
//! | [`page`] | the status of nodes as text tables |
//! | [`quota`] | one tenant's quota, combined from the statuses of all nodes |
//! | [`error`] | the errors of a subcommand, with remedy and exit code |
//!
//! The module owns no state beyond one command. It uses the settings, the platform and the types of `crate::api::status`.

pub mod call;
pub mod commands;
pub mod error;
pub mod fleet;
pub mod options;
pub mod page;
pub mod quota;

pub use commands::run;
pub use error::ClientError;
pub use options::{Command, FleetCommand, command};
