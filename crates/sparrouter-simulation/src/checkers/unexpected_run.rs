//! UNASKED: a server runs only requests that a client sent, as they were sent, under the client's tenant, and never sees
//! an API key.

use super::{Checker, Context};
use crate::monitor::{Attempt, AttemptRecord, Observations, Run};

/// See the module.
pub(super) struct UnexpectedRun;

fn is_unchanged(run: &Run, attempt: &Attempt) -> bool {
    run.method == attempt.method && run.path == attempt.path && run.body == attempt.body
}

/// Whether the client's key belongs to the tenant that the run names, in any submitted configuration.
fn is_own_tenant(run: &Run, attempt: &Attempt, observations: &Observations) -> bool {
    let Some(named) = &run.tenant else {
        return true;
    };
    observations.submissions.iter().any(|submission| {
        let tenant = submission.configuration.tenant_of(&attempt.key);
        tenant.is_some_and(|tenant| tenant.name == *named)
    })
}

impl Checker for UnexpectedRun {
    fn unsent_run_started(&mut self, run: &Run, context: &mut Context) {
        let Run {
            attempt_id, server, ..
        } = run;
        context.violated(
            "UNASKED",
            format!("{server} ran {attempt_id}, which nobody sent"),
        );
    }

    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        let Run {
            attempt_id, server, ..
        } = run;
        if !is_unchanged(run, &record.attempt) {
            let Run { method, path, .. } = run;
            context.violated(
                "UNASKED",
                format!("{attempt_id} was changed on its way: {method} {path}"),
            );
        }
        if run.key.is_some() {
            context.violated(
                "UNASKED",
                format!("the key of {attempt_id} was shown to {server}"),
            );
        }
        if !is_own_tenant(run, &record.attempt, context.observations) {
            let tenant = run.tenant.as_deref().unwrap_or_default();
            context.violated(
                "UNASKED",
                format!("{attempt_id} ran as {tenant}, whose key it has not"),
            );
        }
    }
}
