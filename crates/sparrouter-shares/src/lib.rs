//! Distributed rate limits, enforced by quota shares that nodes lend to each other as leases.
//!
//! Each node owns an equal quota share of each limit (the limit divided by the number of nodes) and uses it without
//! coordination. A node lends the unused part of its share to nodes with more demand, as leases that expire. Invariant:
//! the sum of the rates that all nodes may use never exceeds the limit, under any failure of nodes or network, as long as
//! every node is informed of a change of the number of nodes within the configured time.
//!
//! | module | job |
//! | --- | --- |
//! | [`shares`] | quota shares of one node: takes arrivals and messages, returns admissions and messages |
//! | [`size`] | agreement on the number of nodes, from which the node's own share is computed |
//! | [`leases`] | leases of loaned and borrowed shares |
//! | [`level`] | max-min fair allocation among the borrowers of one lender |
//! | [`bucket`] | token bucket that enforces a rate |
//! | [`message`] | format of the messages between nodes |
//!
//! The package does no I/O, reads no clock, and uses a seeded random generator only. Times are in nanoseconds, by a
//! monotonic clock that also advances while the process is paused.
//!
//! Sources: leases after Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
//! consistency", SOSP 1989; a limit enforced by splitting it and moving slack between the holders after Barbara-Milla and
//! Garcia-Molina, "The demarcation protocol", VLDB Journal 1994.
pub mod bucket;
pub mod leases;
pub mod level;
pub mod message;
pub mod shares;
pub mod size;

pub use shares::{Limit, QuotaShares};

/// Point in time or duration in nanoseconds, by a monotonic clock.
pub type Nanos = u64;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// Index of a node in the cluster, below the number of nodes. All nodes use the same index for a node.
pub type NodeIx = usize;
