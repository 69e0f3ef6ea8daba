//! LOST of requests: around a planned shutdown alone, what a node read is answered.

use super::{Checker, Violation};
use crate::monitor::{Event, Observations};
use tokio::time::Instant;

/// See the module.
pub(super) struct LostResponse;

impl Checker for LostResponse {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::ResponseReceived {
            attempt_id,
            response,
        } = event
        else {
            return;
        };
        let Some(record) = observations.attempts.get(attempt_id) else {
            return;
        };
        if response.is_complete || response.is_abandoned {
            return;
        }
        let now = Instant::now();
        let (node, sent_at) = (record.attempt.node, record.sent_at);
        let is_planned = observations.faults.is_shutting_down(node, sent_at, now);
        let was_read = now - sent_at > observations.bounds.loss_slack || !record.runs.is_empty();
        if is_planned
            && was_read
            && !observations.any_faulty(&record.runs)
            && now < record.attempt.deadline
            && observations.no_unplanned_fault_since(sent_at)
        {
            violations.push(Violation::new(
                "LOST",
                format!(
                    "{attempt_id} at {node} ended without a complete response, sent {:?} before",
                    now - sent_at
                ),
            ));
        }
    }
}
