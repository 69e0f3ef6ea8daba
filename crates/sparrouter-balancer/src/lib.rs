//! The routing policy of one proxy node of the older fleet: events in, actions out, with no I/O and no clock.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`types`] | events, actions and settings as plain values: the interface between a protocol adapter and the policy |
//! | [`policy`] | every decision; the module's documentation describes the life cycle of an invocation |
//! | [`gossip`] | the byte format of messages between nodes |
pub mod gossip;
pub mod policy;
pub mod types;
