//! Messages between the nodes of the fleet, and the connections that carry them.
//!
//! Owns the connections to other nodes. Uses the platform alone; what a message means is decided in `api` and `membership`.
#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::needless_pass_by_value,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]
mod frames;
pub mod links;
pub mod messages;
pub mod server;
