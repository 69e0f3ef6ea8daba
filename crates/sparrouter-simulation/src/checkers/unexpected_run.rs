//! UNASKED: a server runs only requests that a client sent, as they were sent, under the client's tenant, and never sees
//! an API key.

use super::{Checker, Violation};
use crate::monitor::{Attempt, Event, Observations, Run};

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
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::RunStarted(run) = event else {
            return;
        };
        let Run {
            attempt_id, server, ..
        } = run;
        let mut add = |description| violations.push(Violation::new("UNASKED", description));
        let Some(record) = observations.attempts.get(attempt_id) else {
            return add(format!("{server} ran {attempt_id}, which nobody sent"));
        };
        if !is_unchanged(run, &record.attempt) {
            add(format!(
                "{attempt_id} was changed on its way: {} {}",
                run.method, run.path
            ));
        }
        if run.key.is_some() {
            add(format!("the key of {attempt_id} was shown to {server}"));
        }
        if !is_own_tenant(run, &record.attempt, observations) {
            let tenant = run.tenant.as_deref().unwrap_or_default();
            add(format!(
                "{attempt_id} ran as {tenant}, whose key it has not"
            ));
        }
    }
}
