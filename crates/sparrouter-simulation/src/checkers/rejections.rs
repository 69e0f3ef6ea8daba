//! DENIED, counted over a whole run: requests that every configuration which may be in force admits, at machines in
//! contact, are hardly ever rejected.

use super::handling::is_certainly_admitted;
use super::{Checker, Violation};
use crate::monitor::{ClientResponse, Event, Observations};

/// So many rejections are allowed, and one more in each `ONE_IN` requests.
const ALLOWED: u32 = 5;
const ONE_IN: u32 = 500;

/// See the module.
#[derive(Default)]
pub(super) struct Rejections {
    requests: u32,
    rejected: u32,
}

/// Whether a node rejected the request for good. A response with a seal is a server's, not the node's; 408, 421 and 429
/// ask for a retry.
fn is_rejection(response: &ClientResponse) -> bool {
    response.seal.is_none()
        && matches!(response.status, 300..=499)
        && !matches!(response.status, 408 | 421 | 429)
}

impl Checker for Rejections {
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
            } => {
                let Some(record) = observations.attempts.get(attempt_id) else {
                    return;
                };
                self.requests += 1;
                if is_rejection(response) && is_certainly_admitted(record, observations) {
                    self.rejected += 1;
                }
            }
            Event::ScenarioEnded if self.rejected > ALLOWED + self.requests / ONE_IN => {
                violations.push(Violation::new(
                    "DENIED",
                    format!(
                        "{} admitted requests of {} were rejected",
                        self.rejected, self.requests
                    ),
                ));
            }
            _ => {}
        }
    }
}
