//! Membership of nodes and servers: heartbeats of servers, long polls between nodes, and detection of unresponsive
//! servers and outliers.
//!
//! | module | its job |
//! | --- | --- |
//! | `heartbeat` | parsing of a server's heartbeat, and the node to which the next one is sent |
//! | `notify` | immediate sending of changed records to the control nodes |
//! | `outliers` | outlier detection: failures at servers, counted by each server's owner |
//! | [`polls`] | long polls of sources, from which this node gets updates |
//! | `registry` | the servers that send their heartbeats to this node |
//! | `replication` | records on enough disks before they are acknowledged |
//! | `sources` | selection of the sources that this node polls |
//!
//! Owns the registry and the state of the sources. The node owns the records themselves, in a
//! `sparrouter_membership::MembershipTable`. Uses `control` and the modules below it.
mod heartbeat;
mod notify;
mod outliers;
pub mod polls;
pub(crate) mod registry;
mod replication;
mod sources;
