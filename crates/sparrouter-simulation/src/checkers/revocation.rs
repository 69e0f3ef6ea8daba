//! CONFIG with strict revocation: a key that was removed long enough before a request was sent lets nothing run,
//! whichever machine accepted the request.

use super::handling::admits;
use super::{Checker, Context};
use crate::monitor::{AttemptRecord, Run};

/// See the module.
pub(super) struct Revocation;

impl Checker for Revocation {
    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        let observations = context.observations;
        let bounds = &observations.bounds;
        if !bounds.strict_revocation {
            return;
        }
        let binding = observations.version_binding_at(record.sent_at, bounds.revoke_timeout);
        let mut in_force = observations
            .submissions
            .iter()
            .filter(|s| s.may_be_in_force() && s.configuration.version >= binding);
        if !in_force.any(|s| admits(&s.configuration, &record.attempt)) {
            let node = record.attempt.node;
            context.violated(
                "CONFIG",
                format!(
                    "{} ran at {node}, its key was removed long before",
                    run.attempt_id
                ),
            );
        }
    }
}
