//! Calls from outside that are not client requests: of operators, servers and scrapers over HTTP, and of other nodes.
//!
//! | module | its job |
//! | --- | --- |
//! | `control` | the calls of servers and operators |
//! | [`endpoint`] | HTTP endpoints as trees of handlers |
//! | `metrics` | the metrics of a process as text |
//! | `peer` | the calls of other nodes |
//! | `readiness` | readiness checks |
//! | `status` | the status of a node as JSON |
//!
//! Owns no state: each call is answered from the modules below it.
pub(crate) mod control;
pub mod endpoint;
pub(crate) mod metrics;
pub(crate) mod peer;
mod readiness;
mod services;
pub(crate) mod status;

pub(crate) use readiness::readiness_tree;
pub(crate) use services::ControlServices;
