//! The decisions of the older proxy, for one node: events in, actions out, with no I/O and no clock.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`types`] | events, actions and settings as plain values: the interface between a protocol's adapter and the decisions |
//! | [`policy`] | every decision; its page describes the way of one invocation |
//! | [`gossip`] | messages between nodes, as bytes |
pub mod gossip;
pub mod policy;
pub mod types;
