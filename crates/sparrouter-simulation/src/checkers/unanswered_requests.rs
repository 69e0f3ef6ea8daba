//! LOST, counted over a whole run: requests on reused connections that ran at a healthy server and whose connection was
//! closed without a byte of a response.

use super::{Checker, Violation};
use crate::monitor::{AttemptRecord, Event, Observations};
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
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        match event {
            Event::ResponseReceived {
                attempt_id,
                response,
            } if response.status == 0 && !response.is_abandoned => {
                let record = observations.attempts.get(attempt_id);
                if record.is_some_and(|record| counts(record, observations)) {
                    self.count += 1;
                }
            }
            Event::ScenarioEnded if self.count > ALLOWED => {
                violations.push(Violation::new(
                    "LOST",
                    format!(
                        "{} requests on reused connections got no response",
                        self.count
                    ),
                ));
            }
            _ => {}
        }
    }
}
