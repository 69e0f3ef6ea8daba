//! Messages between the nodes of the fleet, and the connections that carry them.
//!
//! Owns the connections to other nodes. Uses only the platform; `api` and `membership` handle the messages.
mod frames;
pub mod links;
pub mod messages;
pub mod server;
