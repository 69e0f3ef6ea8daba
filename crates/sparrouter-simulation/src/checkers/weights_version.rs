//! VERSION: requests begin on the newest weights once the core has been stable for long enough.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, Observations, Run, WeightsVersion};
use tokio::time::Instant;

/// See the module.
pub(super) struct WeightsVersionChecker;

/// Whether all servers must have this version by now.
fn is_overdue(weights: &WeightsVersion, observations: &Observations) -> bool {
    let now = Instant::now();
    let bounds = &observations.bounds;
    let faults = &observations.faults;
    let from = weights.acknowledged_at;
    let stable_since = faults.stable_since(from, now, bounds.contact);
    if stable_since.is_some_and(|since| now - since > bounds.version) {
        return true;
    }
    let max_total = bounds.version_all;
    !max_total.is_zero() && faults.stable_total(from, now, bounds.contact) > max_total
}

impl Checker for WeightsVersionChecker {
    fn run_started(&mut self, run: &Run, _: &AttemptRecord, context: &mut Context) {
        let observations = context.observations;
        let now = Instant::now();
        if !observations.in_contact(run.node, now, now) {
            return;
        }
        for weights in &observations.weights {
            if run.version < weights.version && is_overdue(weights, observations) {
                context.violated(
                    "VERSION",
                    format!(
                        "{} begins on {} at {}, {} is named",
                        run.attempt_id, run.version, run.server, weights.version
                    ),
                );
            }
        }
    }
}
