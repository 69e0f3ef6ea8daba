//! What must hold is asserted in debug builds; in release builds a breach is invariant and logged.
use std::cell::Cell;

/// How often something happened: a line of the log for the first few, then for each doubling, so that
/// what repeats can't fill it.
#[derive(Default)]
pub struct OccurrenceCounter(Cell<u64>);

impl OccurrenceCounter {
    pub const fn new() -> OccurrenceCounter {
        OccurrenceCounter(Cell::new(0))
    }
    pub fn count(&self) -> u64 {
        self.0.get()
    }
    /// The count, where it is to be logged.
    pub fn again(&self) -> Option<u64> {
        let count = self.0.get() + 1;
        self.0.set(count);
        (count <= 8 || count.is_power_of_two()).then_some(count)
    }
}

thread_local! {
    static BREACHES: OccurrenceCounter = const { OccurrenceCounter::new() };
}

pub fn breach(what: &str) {
    if let Some(count) = BREACHES.with(OccurrenceCounter::again) {
        log::error!("breach {count}: does not hold: {what}");
    }
}

/// How often something that must hold did not, in this process.
pub fn breaches() -> u64 {
    BREACHES.with(OccurrenceCounter::count)
}

#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:expr) => {
        let holds = $holds;
        debug_assert!(holds, "{}", $what);
        if !holds {
            $crate::invariant::breach($what);
        }
    };
}
