//! Durations and points in time of a monotonic clock, which the caller reads and passes in.

/// A duration, or a point in time on a monotonic clock, in nanoseconds. Points in time of two processes are never
/// compared, because their clocks have different origins.
pub type Nanos = u64;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
/// One millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
