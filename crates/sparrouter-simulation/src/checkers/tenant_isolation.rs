//! WALL: KV cache that an isolated tenant made, or uses, is of no other tenant.

use super::{Checker, Violation};
use crate::monitor::{CachedBlock, Event, Observations};

/// See the module.
pub(super) struct TenantIsolation;

/// Whether any submitted configuration isolates the tenant.
fn is_isolated(tenant: Option<&str>, observations: &Observations) -> bool {
    let Some(name) = tenant else {
        return false;
    };
    let mut tenants = observations
        .submissions
        .iter()
        .flat_map(|submission| &submission.configuration.tenants);
    tenants.any(|tenant| tenant.isolated && tenant.name == name)
}

impl Checker for TenantIsolation {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::RunStarted(run) = event else {
            return;
        };
        if !observations.attempts.contains_key(&run.attempt_id) {
            return;
        }
        let isolated = |tenant: &Option<String>| is_isolated(tenant.as_deref(), observations);
        let is_foreign = |block: &&CachedBlock| {
            block.tenant != run.tenant && (isolated(&block.tenant) || isolated(&run.tenant))
        };
        if let Some(block) = run.cached_blocks.iter().find(is_foreign) {
            violations.push(Violation::new(
                "WALL",
                format!(
                    "{} of {:?} uses cache of {:?}",
                    run.attempt_id, run.tenant, block.tenant
                ),
            ));
        }
    }
}
