//! REFUSED: a status that promises that a request which is not retryable did not run, and will not, is true.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Run};
use std::collections::BTreeMap;

/// See the module.
#[derive(Default)]
pub(super) struct RejectedRun {
    /// Status of each attempt that was rejected with such a promise.
    rejected: BTreeMap<String, u16>,
}

impl Checker for RejectedRun {
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        let status = response.status;
        let denies_run = matches!(status, 408 | 421 | 429 | 503);
        if !denies_run || record.attempt.kind.is_retryable() {
            return;
        }
        self.rejected.insert(record.id.clone(), status);
        if !record.runs.is_empty() {
            let id = &record.id;
            context.violated("REFUSED", format!("{id} got {status} and has run"));
        }
    }

    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        if let Some(status) = self.rejected.get(&record.id) {
            context.violated(
                "REFUSED",
                format!("{} ran at {} after {status}", record.id, run.server),
            );
        }
    }
}
