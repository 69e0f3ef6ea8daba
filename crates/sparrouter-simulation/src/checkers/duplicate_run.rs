//! TWICE: a request that is not retryable runs at one server at most.

use super::{Checker, Violation};
use crate::monitor::{Event, Observations};

/// See the module.
pub(super) struct DuplicateRun;

impl Checker for DuplicateRun {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::RunStarted(run) = event else {
            return;
        };
        let Some(record) = observations.attempts.get(&run.attempt_id) else {
            return;
        };
        let runs = record.runs.len();
        if runs > 1 && !record.attempt.kind.is_retryable() {
            violations.push(Violation::new(
                "TWICE",
                format!("{} ran {runs} times, now at {}", run.attempt_id, run.server),
            ));
        }
    }
}
