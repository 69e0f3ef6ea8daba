//! The protocol between nodes: its messages, and the connections that carry them.
//!
//! Owns the connections to other nodes. Uses `platform` alone.
pub mod links;
pub mod messages;
