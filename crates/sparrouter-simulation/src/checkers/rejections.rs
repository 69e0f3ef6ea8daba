//! DENIED, counted over a whole run: requests that every configuration which may be in force admits, at machines in
//! contact, are hardly ever rejected.

use super::handling::is_certainly_admitted;
use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse};

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
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        self.requests += 1;
        if is_rejection(response) && is_certainly_admitted(record, context.observations) {
            self.rejected += 1;
        }
    }

    fn scenario_ended(&mut self, context: &mut Context) {
        let Rejections { requests, rejected } = self;
        if *rejected > ALLOWED + *requests / ONE_IN {
            let description = format!("{rejected} admitted requests of {requests} were rejected");
            context.violated("DENIED", description);
        }
    }
}
