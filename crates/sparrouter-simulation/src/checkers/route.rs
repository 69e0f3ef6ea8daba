//! ROUTE: a request runs only at a service, and as a tenant, that some submitted configuration gives it.

use super::handling::Handling;
use super::{Checker, Context};
use crate::monitor::{AttemptRecord, Run};

/// See the module.
pub(super) struct RouteChecker;

impl Checker for RouteChecker {
    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        if !Handling::of_run(run).is_ever_explained(record, context.observations) {
            context.violated(
                "ROUTE",
                format!(
                    "{} of {} ran at {} as {:?}",
                    run.attempt_id, record.attempt.path, run.service, run.tenant
                ),
            );
        }
    }
}
