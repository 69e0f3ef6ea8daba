//! Invariants: asserted in debug builds; in release builds a violation is counted and logged, and the node goes on.
use std::cell::Cell;

/// Counts how often something happened, and says when to log it: the first 8 times and then at each doubling, so that
/// what repeats can't fill the log.
#[derive(Default)]
pub struct OccurrenceCounter(Cell<u64>);

impl OccurrenceCounter {
    /// A counter at 0.
    pub const fn new() -> OccurrenceCounter {
        OccurrenceCounter(Cell::new(0))
    }

    /// How often it happened so far.
    pub fn count(&self) -> u64 {
        self.0.get()
    }

    /// Counts one occurrence. Returns the new count if it is to be logged.
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

/// Violations so far in this process. The node runs on one thread, so the count of the thread is that of the process.
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
