//! LOST, counted over a whole run: requests on reused connections that ran at a healthy server and whose connection was
//! closed without a byte of a response.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Observations};
use tokio::time::Instant;

/// So many of them are allowed.
const ALLOWED: u32 = 3;

/// See the module.
#[derive(Default)]
pub(super) struct UnansweredRequests {
    count: u32,
}

fn counts(record: &AttemptRecord, observations: &Observations) -> bool {
    let ran_without_fault = !record.runs.is_empty() && !observations.any_faulty(&record.runs);
    record.attempt.reused_connection
        && ran_without_fault
        && Instant::now() < record.attempt.deadline
        // A server that crashed, or whose link failed, is not healthy.
        && observations.no_unplanned_fault_since(record.sent_at)
}

impl Checker for UnansweredRequests {
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        let is_unanswered = response.status == 0 && !response.is_abandoned;
        if is_unanswered && counts(record, context.observations) {
            self.count += 1;
        }
    }

    fn scenario_ended(&mut self, context: &mut Context) {
        let count = self.count;
        if count > ALLOWED {
            let description = format!("{count} requests on reused connections got no response");
            context.violated("LOST", description);
        }
    }
}
