//! The interface between a protocol's adapter and the decisions: plain values, no I/O and no clock.
//!
//! Times are whole nanoseconds of a clock that only advances. An adapter maps the ids of its protocol to small indices. A
//! cache server's index may become another's only once the first has been removed for longer than any invocation is
//! open; an invocation's index is never used twice.
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

/// A moment or a duration, in nanoseconds.
pub type Nanos = u64;
/// Names an invocation; never used twice.
pub type InvocationIndex = u32;
/// Names a cache server, or the origin, which is listed like one.
pub type CacheIndex = usize;
/// A microsecond.
pub const MICRO: Nanos = 1_000;
/// A second.
pub const SECOND: Nanos = 1_000_000_000;
