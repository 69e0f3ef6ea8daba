//! Limits that many nodes keep together: of each limit a node has a part that it may use by itself, for as long as it
//! runs by this node's own clock. Parts are equal by the number of nodes; what the idle do not need they lend.
//!
//! No I/O, no clock, no chance but the seeded one. Times are nanoseconds of a clock that only advances and goes on
//! while the process stands still. By file: `size` (how many are we), `leases` (lent and held), `level` (who gets how
//! much), `bucket` (a part spent), `note` (bytes between nodes), `shares` (the whole).
//!
//! Sources: leases after Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
//! consistency", SOSP 1989; a limit kept by splitting it and moving slack between the holders after Barbara-Milla and
//! Garcia-Molina, "The demarcation protocol", VLDB Journal 1994.
pub mod bucket;
pub mod leases;
pub mod level;
pub mod note;
pub mod shares;
pub mod size;

pub use shares::{Limit, QuotaShares};

pub type Nanos = u64;
pub const SECOND: Nanos = 1_000_000_000;

/// A node's number among all, the same at every node.
pub type NodeIx = usize;
