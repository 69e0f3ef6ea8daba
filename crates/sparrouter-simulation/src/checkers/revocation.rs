//! CONFIG with strict revocation: a key that was removed long enough before a request was sent lets nothing run,
//! whichever machine accepted the request.

use super::handling::admits;
use super::{Checker, Violation};
use crate::monitor::{Event, Observations};

/// See the module.
pub(super) struct Revocation;

impl Checker for Revocation {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::RunStarted(run) = event else {
            return;
        };
        let bounds = &observations.bounds;
        let Some(record) = observations.attempts.get(&run.attempt_id) else {
            return;
        };
        if !bounds.strict_revocation {
            return;
        }
        let binding = observations.version_binding_at(record.sent_at, bounds.revoke_timeout);
        let mut in_force = observations
            .submissions
            .iter()
            .filter(|s| s.may_be_in_force() && s.configuration.version >= binding);
        if !in_force.any(|s| admits(&s.configuration, &record.attempt)) {
            violations.push(Violation::new(
                "CONFIG",
                format!(
                    "{} ran at {}, its key was taken away long before",
                    run.attempt_id, record.attempt.node
                ),
            ));
        }
    }
}
