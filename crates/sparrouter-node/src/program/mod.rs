//! The program: its files, start, reload, report and graceful shutdown.
//!
//! | module | its one job |
//! | --- | --- |
//! | `config` | the platform's file |
//! | `operator` | the operator's file |
//! | `start` | from the files to a serving node |
//! | `serve` | signals until the end, and the graceful shutdown |
//! | `reload` | files that changed, in a running node |
//! | `reporter` | the report in the operator's file |
//! | `error` | why the node cannot start, or cannot apply a file |
pub mod config;
pub mod error;
pub mod operator;
pub mod reload;
pub mod reporter;
pub mod serve;
pub mod start;
