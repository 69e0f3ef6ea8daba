//! Time: spans and moments of a steady clock, which the caller reads and hands in.

/// A span, or a moment counted from the start of some steady clock, in nanoseconds. Moments of two processes are never
/// compared.
pub type Nanos = u64;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
/// One millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
