//! CONFIG of requests: some configuration that may be in force explains how a request was handled, and no machine goes
//! back to an older one.

use super::handling::Handling;
use super::{Checker, Violation};
use crate::monitor::{AttemptRecord, Event, Observations};
use std::collections::BTreeMap;
use std::net::IpAddr;
use tokio::time::Instant;

/// A process on a machine: its address and its number there.
type Process = (IpAddr, u64);

/// A version whose effect was observed.
#[derive(Clone, Copy)]
struct ObservedVersion {
    version: u64,
    observed_at: Instant,
}

/// See the module.
#[derive(Default)]
pub(super) struct ConfigurationInForce {
    /// The newest version of which each process showed an effect that no older one explains.
    observed: BTreeMap<Process, ObservedVersion>,
}

impl ConfigurationInForce {
    fn check(
        &mut self,
        attempt_id: &str,
        record: &AttemptRecord,
        handling: Handling,
        observations: &Observations,
    ) -> Option<Violation> {
        let now = Instant::now();
        let AttemptRecord {
            attempt, sent_at, ..
        } = record;
        let explaining: Vec<u64> = observations
            .submissions
            .iter()
            .filter(|s| s.may_be_in_force() && handling.is_explained_by(&s.configuration, attempt))
            .map(|s| s.configuration.version)
            .collect();
        let binding = observations.version_binding_at(*sent_at, observations.bounds.config_apply);
        // Before the first configuration a node has nothing to reject requests by.
        let is_before_the_first = matches!(handling, Handling::Rejected(_)) && binding == 0;
        let violation = |reason: &str| {
            let node = attempt.node;
            Some(Violation::new(
                "CONFIG",
                format!("{attempt_id} at {node}: {handling:?} fits only {explaining:?}, {reason}"),
            ))
        };
        let all_older_than = |version: u64| explaining.iter().all(|v| *v < version);
        if explaining.is_empty() && !is_before_the_first {
            return violation("which are not in force");
        }
        if all_older_than(binding)
            && !is_before_the_first
            && observations.in_contact(attempt.node, *sent_at, now)
        {
            return violation(&format!("{binding} was acknowledged long before"));
        }
        let process = (attempt.node, attempt.incarnation);
        if let Some(observed) = self.observed.get(&process)
            && *sent_at > observed.observed_at + observations.bounds.rollback_slack
            && !explaining.is_empty()
            && all_older_than(observed.version)
        {
            return violation(&format!("the machine went by {} before", observed.version));
        }
        if let Some(oldest) = explaining.iter().min() {
            self.observe(process, *oldest);
        }
        None
    }

    /// Only the oldest version that explains an effect is certain to be in force.
    fn observe(&mut self, process: Process, version: u64) {
        let new = ObservedVersion {
            version,
            observed_at: Instant::now(),
        };
        let observed = self.observed.entry(process).or_insert(new);
        if version > observed.version {
            *observed = new;
        }
    }
}

/// The attempt and its handling, if the event shows one.
fn handled<'a>(
    event: Event<'a>,
    observations: &'a Observations,
) -> Option<(&'a str, &'a AttemptRecord, Handling<'a>)> {
    let (attempt_id, handling) = match event {
        Event::RunStarted(run) => (run.attempt_id.as_str(), Handling::of_run(run)),
        Event::ResponseReceived {
            attempt_id,
            response,
        } if matches!(response.status, 401 | 403 | 404) => {
            (attempt_id, Handling::Rejected(response.status))
        }
        _ => return None,
    };
    Some((attempt_id, observations.attempts.get(attempt_id)?, handling))
}

impl Checker for ConfigurationInForce {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Some((attempt_id, record, handling)) = handled(event, observations) else {
            return;
        };
        let is_ran = matches!(handling, Handling::Ran { .. });
        let is_known = |s: &crate::monitor::Submission| {
            handling.is_explained_by(&s.configuration, &record.attempt)
        };
        // A run that no submitted configuration explains violates ROUTE.
        if is_ran && !observations.submissions.iter().any(is_known) {
            return;
        }
        violations.extend(self.check(attempt_id, record, handling, observations));
    }
}
