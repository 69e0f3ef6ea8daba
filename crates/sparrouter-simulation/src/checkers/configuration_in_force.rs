//! CONFIG of requests: some configuration that may be in force explains how a request was handled, and no machine goes
//! back to an older one.

use super::handling::Handling;
use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Observations, Run};
use std::collections::BTreeMap;
use std::net::IpAddr;
use tokio::time::Instant;

/// A process on a machine: its address and its number there.
type Process = (IpAddr, u64);

/// The process that an attempt was sent to.
fn process_of(record: &AttemptRecord) -> Process {
    (record.attempt.node, record.attempt.incarnation)
}

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
    fn check(&mut self, record: &AttemptRecord, handling: Handling, context: &mut Context) {
        let observations = context.observations;
        let explaining = handling.explaining_versions(record, observations);
        if let Some(reason) = self.objection(record, handling, &explaining, observations) {
            let (id, node) = (&record.id, record.attempt.node);
            context.violated(
                "CONFIG",
                format!("{id} at {node}: {handling:?} fits only {explaining:?}, {reason}"),
            );
        } else if let Some(oldest) = explaining.iter().min() {
            self.observe(process_of(record), *oldest);
        }
    }

    /// Why none of the versions that explain the handling may be in force.
    fn objection(
        &self,
        record: &AttemptRecord,
        handling: Handling,
        explaining: &[u64],
        observations: &Observations,
    ) -> Option<String> {
        let AttemptRecord {
            attempt, sent_at, ..
        } = record;
        let bounds = &observations.bounds;
        let binding = observations.version_binding_at(*sent_at, bounds.config_apply);
        // Before the first configuration a node has nothing to reject requests by.
        let is_before_the_first = matches!(handling, Handling::Rejected(_)) && binding == 0;
        let all_older_than = |version: u64| explaining.iter().all(|v| *v < version);
        if explaining.is_empty() {
            return (!is_before_the_first).then(|| "which are not in force".to_owned());
        }
        if all_older_than(binding)
            && !is_before_the_first
            && observations.in_contact(attempt.node, *sent_at, Instant::now())
        {
            return Some(format!("{binding} was acknowledged long before"));
        }
        let observed = self.observed.get(&process_of(record))?;
        let is_rollback = *sent_at > observed.observed_at + bounds.rollback_slack
            && all_older_than(observed.version);
        is_rollback.then(|| format!("the machine went by {} before", observed.version))
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

impl Checker for ConfigurationInForce {
    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        let handling = Handling::of_run(run);
        // A run that no submitted configuration explains violates ROUTE.
        if handling.is_ever_explained(record, context.observations) {
            self.check(record, handling, context);
        }
    }

    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        if matches!(response.status, 401 | 403 | 404) {
            self.check(record, Handling::Rejected(response.status), context);
        }
    }
}
