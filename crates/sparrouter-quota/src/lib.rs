//! Tenant quotas that are enforced over all nodes of a fleet together.
//!
//! A tenant's limit is divided into a few *parts*. Each part is a token bucket at the lease holder of one shard of the
//! control state. Before a node forwards a request of the tenant, it takes a token from one of the parts. The node
//! holds the token as a [`Permit`], which expires after a fixed time by the node's own steady clock.
//!
//! | module | its job |
//! | --- | --- |
//! | [`limit`] | a limit, and its division into parts |
//! | [`bucket`] | a token bucket |
//! | [`buckets`] | the token buckets of one shard at its lease holder |
//! | [`permits`] | a forwarding node's permits, refusals and unreachable shards |
//!
//! The crate does no I/O and reads no clock: callers pass the time, in nanoseconds of the process's steady clock.
//!
//! Why the fleet stays within the limit: within any span `s`, one part grants at most `rate x s + capacity` tokens, no
//! matter how often its lease holder changes, because a holder starts with empty buckets, and only after no earlier
//! holder can grant tokens. A permit is spent within `lifetime` after it was granted. So within `window` at most
//! `rate x (window + lifetime) + capacity` requests are sent, and [`limit::Division`] chooses the capacity such that
//! the sum over all parts is the tenant's `rate x window + burst`.
//!
//! Sources: token buckets, Turner, "New directions in communications", IEEE Communications Magazine 1986; leases, Gray
//! and Cheriton, SOSP 1989; division of a limit between holders, Barbara-Milla and Garcia-Molina, "The demarcation
//! protocol", VLDB Journal 1994.
pub mod bucket;
pub mod buckets;
pub mod limit;
mod peaks;
pub mod permits;

pub use bucket::TokenBucket;
pub use buckets::{BucketTable, ReturnedTokens, TakeOutcome, TenantBucket};
pub use limit::{BucketShape, Division, QuotaLimit, QuotaSettings};
pub use permits::{NextStep, Permit, PermitTable};

/// A point in time or a duration by a steady clock, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub(crate) const SECOND: f64 = 1e9;
