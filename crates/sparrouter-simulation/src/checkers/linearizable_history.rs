//! LINEAR: the calls of operators and their outcomes have an order that a register with compare-and-set allows.

use super::{Checker, Context};
use crate::history::History;

/// See the module.
pub(super) struct LinearizableHistory;

impl Checker for LinearizableHistory {
    fn history_ended(&mut self, history: &History, context: &mut Context) {
        if let Some(violation) = history.violation() {
            context.violated("LINEAR", violation);
        }
    }
}
