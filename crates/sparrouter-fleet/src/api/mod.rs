//! Calls from outside that are not client requests: of operators and servers over HTTP, and of other nodes.
//!
//! Owns no state: each call is answered from the modules below it.
pub mod control;
pub mod endpoint;
pub mod metrics;
pub mod peer;
mod services;
pub mod status;

pub use services::ControlServices;
