//! The operators' client: what an operator asks of a running fleet, from the command line to an exit code.
//!
//! | file | its one job |
//! | --- | --- |
//! | `options` | the command line |
//! | `call` | one call to one node |
//! | `fleet` | the same call to one node after another, until the answer is clear |
//! | `commands` | what each subcommand asks and prints |
//! | `page` | a node's status as a table |
//! | `error` | what may go wrong, the remedy and the exit code |
pub mod call;
pub mod commands;
pub mod error;
pub mod fleet;
pub mod options;
pub mod page;

pub use commands::run;
pub use error::ClientError;
pub use options::{Ask, Command, command};
