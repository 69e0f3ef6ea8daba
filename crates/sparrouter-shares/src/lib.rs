//! Rate limits that many nodes keep together by quota leases.
//!
//! Of each limit a node owns an equal quota share, one over the number of nodes, and may use it without asking anybody.
//! Nodes lend what they do not need to those that need more, as leases that end by themselves. The invariant: the sum
//! of the rates that all nodes may use never exceeds the limit, whatever fails between them, as long as every node is
//! informed of a new number of nodes within the stated time.
//!
//! | module | job |
//! | --- | --- |
//! | [`shares`] | the quota shares of one node: arrivals and messages in, rates and messages out |
//! | [`size`] | agreement on the number of nodes, which an own share is computed from |
//! | [`leases`] | loaned and borrowed shares with their expiry |
//! | [`level`] | max-min fair level among the borrowers of one lender |
//! | [`bucket`] | token bucket that spends a rate |
//! | [`message`] | format of the messages between nodes |
//!
//! The package has no I/O, no clock and no randomness but a seeded generator. Times are nanoseconds of a clock that
//! only advances and goes on while the process is stopped.
//!
//! Sources: leases after Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
//! consistency", SOSP 1989; a limit kept by splitting it and moving slack between the holders after Barbara-Milla and
//! Garcia-Molina, "The demarcation protocol", VLDB Journal 1994.
pub mod bucket;
pub mod leases;
pub mod level;
pub mod message;
pub mod shares;
pub mod size;

// The earlier name of the module, which other packages still use.
#[doc(hidden)]
pub use message as note;
pub use shares::{Limit, QuotaShares};

/// A moment or a length of time in nanoseconds, of a clock that only advances.
pub type Nanos = u64;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// A node's index in the cluster, from 0 to the number of nodes, the same at every node.
pub type NodeIx = usize;
