//! The interface between a protocol adapter and the policy: plain values, no I/O and no clock.
//!
//! Times are whole nanoseconds of a monotonic clock. An adapter maps the ids of its protocol to small indices. The
//! index of a removed cache server may be reused only after a time longer than the lifetime of any invocation; the
//! index of an invocation is never reused.
mod action;
mod event;
mod settings;

pub use action::{Action, PolicyCounts, SHED_REASONS, ShedCounts, ShedReason};
pub use event::{
    Arrival, CacheRecord, CacheResult, Event, ForwardOutcome, LifecycleState, ListKind, Load,
    Outcome,
};
pub use settings::{
    Effect, Environment, ForwardLimits, Group, Operation, OperationMapping, OriginMode, Rules,
    Tenant,
};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// Index of an invocation; never reused.
pub type InvocationIndex = u32;
/// Index of a cache server or of the origin, which is listed like a cache server.
pub type CacheIndex = usize;
/// One microsecond.
pub const MICRO: Nanos = 1_000;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
