//! Endpoints other than the proxy: for operators, servers and metrics scrapers over HTTP, and for other nodes.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `control` | the HTTP endpoints for servers and operators |
//! | [`endpoint`] | an HTTP server with handlers by path and method |
//! | `metrics` | the metrics of a process in Prometheus' text format |
//! | `peer` | the answers to calls of other nodes |
//! | `readiness` | the readiness endpoint |
//! | `status` | the status of a node as JSON |
//!
//! The module owns no state: it answers each call from the state of the modules below it.
pub(crate) mod control;
pub mod endpoint;
pub(crate) mod metrics;
pub(crate) mod peer;
mod readiness;
mod services;
pub(crate) mod status;

pub(crate) use readiness::readiness_tree;
pub(crate) use services::ControlServices;
