//! WALL: KV cache that an isolated tenant made, or uses, is of no other tenant.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, CachedBlock, Observations, Run};

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
    fn run_started(&mut self, run: &Run, _: &AttemptRecord, context: &mut Context) {
        let observations = context.observations;
        let isolated = |tenant: &Option<String>| is_isolated(tenant.as_deref(), observations);
        let is_foreign = |block: &&CachedBlock| {
            block.tenant != run.tenant && (isolated(&block.tenant) || isolated(&run.tenant))
        };
        if let Some(block) = run.cached_blocks.iter().find(is_foreign) {
            context.violated(
                "WALL",
                format!(
                    "{} of {:?} uses cache of {:?}",
                    run.attempt_id, run.tenant, block.tenant
                ),
            );
        }
    }
}
