//! The node's process: configuration files, start, reload, report and graceful shutdown.
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | the platform's configuration file |
//! | `operator` | the operator's configuration file |
//! | `start` | starts a node from its configuration files |
//! | `serve` | signal handling and the graceful shutdown |
//! | `reload` | applies changed files to a running node |
//! | `reporter` | the report that the operator's file configures |
//! | `error` | errors of start and reload |
pub mod config;
pub mod error;
pub mod operator;
pub mod reload;
pub mod reporter;
pub mod serve;
pub mod start;
