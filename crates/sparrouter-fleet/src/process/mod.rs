//! The life cycle of a process: its start, its tasks, its signals, and its graceful shutdown.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `endpoints` | the listeners of a process, and the tasks that serve them |
//! | `error` | the errors that keep a process from starting |
//! | `health_checks` | health checks of unreachable servers |
//! | `maintenance` | periodic work: liveness, expiry, writing the membership to disk |
//! | `opening` | the start-up phase in which the data directory is opened |
//! | [`run`] | the start of a process, and its signals |
//! | `shutdown` | the graceful shutdown |
//! | `version_ages` | the ages of named versions, stored on disk |
//!
//! The module owns no state beyond the start. It connects the other modules, so it may use all of them.
mod endpoints;
mod error;
mod health_checks;
mod maintenance;
mod opening;
pub mod run;
mod shutdown;
mod version_ages;

pub use crate::platform::log_buffer;
pub use crate::settings;
