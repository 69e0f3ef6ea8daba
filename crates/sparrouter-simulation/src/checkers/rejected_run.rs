//! REFUSED: a status that promises that a request which is not retryable did not run, and will not, is true.

use super::{Checker, Violation};
use crate::monitor::{ClientResponse, Event, Observations, Run};
use std::collections::BTreeMap;

/// See the module.
#[derive(Default)]
pub(super) struct RejectedRun {
    /// Status of each attempt that was rejected with such a promise.
    rejected: BTreeMap<String, u16>,
}

impl RejectedRun {
    fn response_received(
        &mut self,
        attempt_id: &str,
        response: &ClientResponse,
        observations: &Observations,
    ) -> Option<Violation> {
        let record = observations.attempts.get(attempt_id)?;
        let denies_run = matches!(response.status, 408 | 421 | 429 | 503);
        if !denies_run || record.attempt.kind.is_retryable() {
            return None;
        }
        self.rejected.insert(attempt_id.to_owned(), response.status);
        (!record.runs.is_empty()).then(|| {
            Violation::new(
                "REFUSED",
                format!("{attempt_id} got {} and has run", response.status),
            )
        })
    }

    fn run_started(&self, run: &Run) -> Option<Violation> {
        let status = self.rejected.get(&run.attempt_id)?;
        Some(Violation::new(
            "REFUSED",
            format!("{} ran at {} after {status}", run.attempt_id, run.server),
        ))
    }
}

impl Checker for RejectedRun {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        match event {
            Event::RunStarted(run) => violations.extend(self.run_started(run)),
            Event::ResponseReceived {
                attempt_id,
                response,
            } => violations.extend(self.response_received(attempt_id, response, observations)),
            _ => {}
        }
    }
}
