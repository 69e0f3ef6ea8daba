//! Which nodes and servers exist: heartbeats of servers, long polls between nodes, and who is unresponsive or an outlier.
//!
//! | module | its job |
//! | --- | --- |
//! | `heartbeat` | reading a server's heartbeat, and where it should send the next |
//! | `notify` | sending changed records to the control nodes |
//! | `outliers` | failures at servers, counted by each server's owner |
//! | [`polls`] | long polls of sources |
//! | `registry` | the servers that call this node |
//! | `sources` | which sources this node polls |
//!
//! Owns the registry and what is known of sources. The records themselves are in `sparrouter_membership::MembershipTable`,
//! which the node owns. Uses `control` and what is below it.
mod heartbeat;
mod notify;
mod outliers;
pub mod polls;
pub(crate) mod registry;
mod sources;
