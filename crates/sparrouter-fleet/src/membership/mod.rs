//! Which nodes and servers exist: heartbeats of servers, long polls between nodes, and who counts as unresponsive.
//!
//! The table itself is `sparrouter_membership::MembershipTable`, owned by `node`.
mod outliers;
pub mod polls;
pub mod registry;
