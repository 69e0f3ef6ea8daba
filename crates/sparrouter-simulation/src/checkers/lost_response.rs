//! LOST of requests: around a planned shutdown alone, what a node read is answered.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse};
use tokio::time::Instant;

/// See the module.
pub(super) struct LostResponse;

impl Checker for LostResponse {
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        if response.is_complete || response.is_abandoned {
            return;
        }
        let observations = context.observations;
        let now = Instant::now();
        let (node, sent_at) = (record.attempt.node, record.sent_at);
        let age = now - sent_at;
        let is_planned = observations.faults.is_shutting_down(node, sent_at, now);
        let was_read = age > observations.bounds.loss_slack || !record.runs.is_empty();
        if is_planned
            && was_read
            && !observations.any_faulty(&record.runs)
            && now < record.attempt.deadline
            && observations.no_unplanned_fault_since(sent_at)
        {
            let id = &record.id;
            context.violated(
                "LOST",
                format!("{id} at {node} ended without a complete response, sent {age:?} before"),
            );
        }
    }
}
