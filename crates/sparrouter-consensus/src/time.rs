//! Time as the registers are told it: spans and moments of a steady clock that the caller reads.

/// A span, or a moment counted from the start of some steady clock, in nanoseconds. Moments of two processes are never
/// compared.
pub type Nanos = u64;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
/// One millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
