//! LINEAR: the calls of operators and their outcomes have an order that a register with compare-and-set allows.

use super::{Checker, Violation};
use crate::monitor::{Event, Observations};

/// See the module.
pub(super) struct LinearizableHistory;

impl Checker for LinearizableHistory {
    fn on_event(&mut self, event: Event, _: &Observations, violations: &mut Vec<Violation>) {
        if let Event::HistoryEnded(history) = event {
            violations.extend(history.violation().map(|v| Violation::new("LINEAR", v)));
        }
    }
}
