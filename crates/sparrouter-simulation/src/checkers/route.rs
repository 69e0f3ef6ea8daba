//! ROUTE: a request runs only at a service, and as a tenant, that some submitted configuration gives it.

use super::handling::Handling;
use super::{Checker, Violation};
use crate::monitor::{Event, Observations};

/// See the module.
pub(super) struct RouteChecker;

impl Checker for RouteChecker {
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
        let handling = Handling::of_run(run);
        let is_explained = observations
            .submissions
            .iter()
            .any(|s| handling.is_explained_by(&s.configuration, &record.attempt));
        if !is_explained {
            violations.push(Violation::new(
                "ROUTE",
                format!(
                    "{} of {} ran at {} as {:?}",
                    run.attempt_id, record.attempt.path, run.service, run.tenant
                ),
            ));
        }
    }
}
