//! TWICE: a request that is not retryable runs at one server at most.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, Run};

/// See the module.
pub(super) struct DuplicateRun;

impl Checker for DuplicateRun {
    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        let runs = record.runs.len();
        if runs > 1 && !record.attempt.kind.is_retryable() {
            context.violated(
                "TWICE",
                format!("{} ran {runs} times, now at {}", run.attempt_id, run.server),
            );
        }
    }
}
