//! Invariants: asserted in debug builds; in release builds a violation is counted and logged, and the node
//! continues to serve.
use std::cell::Cell;

/// Counts the occurrences of an event and limits how often they are logged: the first 8, then each time that the count
/// reaches a power of two, so that a repeated event can't fill the log.
#[derive(Default)]
pub struct OccurrenceCounter(Cell<u64>);

impl OccurrenceCounter {
    /// Returns a counter with the count 0.
    pub const fn new() -> OccurrenceCounter {
        OccurrenceCounter(Cell::new(0))
    }

    /// Number of occurrences so far.
    pub fn count(&self) -> u64 {
        self.0.get()
    }

    /// Counts one occurrence. Returns the new count if this occurrence has to be logged, otherwise `None`.
    pub fn increment(&self) -> Option<u64> {
        let count = self.0.get() + 1;
        self.0.set(count);
        (count <= 8 || count.is_power_of_two()).then_some(count)
    }
}

thread_local! {
    static VIOLATIONS: OccurrenceCounter = const { OccurrenceCounter::new() };
}

/// Counts and logs a violation. Operators search for the text of this log line.
pub fn report_violation(invariant: &str) {
    if let Some(count) = VIOLATIONS.with(OccurrenceCounter::increment) {
        log::error!("breach {count}: does not hold: {invariant}");
    }
}

/// Number of violations so far in this process. The node runs on one thread, so the thread-local counter covers the
/// process.
pub fn violations() -> u64 {
    VIOLATIONS.with(OccurrenceCounter::count)
}

/// Asserts in debug builds that the condition is true; counts and logs a violation in release builds.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $description:expr) => {
        let is_satisfied = $condition;
        debug_assert!(is_satisfied, "{}", $description);
        if !is_satisfied {
            $crate::invariant::report_violation($description);
        }
    };
}
