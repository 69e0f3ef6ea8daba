//! Tenants that ask for many times their limits throughout a day, while the operator changes these limits.

use super::{HOT_TENANTS_SEED, HotTenant, Scenario, ScenarioRun, draw_quota};
use crate::cluster::SimulatedCluster;
use crate::configuration::{Configuration, Tenant};
use crate::tenant_load::{TenantDemand, TenantLoad};
use fastrand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two changes of a limit, in ms.
const CHANGE_MS: std::ops::Range<u64> = 2_000..7_000;

/// A tenant that asks for more a second keeps a limit: without one it would overload the servers.
const MAX_UNLIMITED_PER_S: f64 = 12.0;

impl HotTenant {
    fn tenant(&self) -> Tenant {
        Tenant {
            name: self.name.clone(),
            keys: vec![self.key()],
            isolated: false,
            quota: Some(self.quota),
        }
    }

    fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }

    fn demand(&self) -> TenantDemand {
        TenantDemand {
            retries: self.retries,
            ..TenantDemand::times(&self.key(), self.quota, self.times)
        }
    }
}

/// Adds the hot tenants of a scenario to a configuration that is in force, and lets them send. Returns the configuration
/// then in force.
pub(super) async fn start(
    scenario: &Scenario,
    cluster: &Rc<SimulatedCluster>,
    known: Configuration,
) -> (Configuration, Vec<Rc<TenantLoad>>) {
    if scenario.hot_tenants.is_empty() {
        return (known, Vec::new());
    }
    let tenants = scenario.hot_tenants.iter();
    let next = known.next(1, |next| {
        next.tenants.extend(tenants.clone().map(HotTenant::tenant));
    });
    let status = cluster.operator.put(&next, known.version).await;
    assert_eq!(status, 200, "the limits are accepted");
    // From then on they bind, and windows are counted against them.
    sleep(cluster.settings.bounds.config_apply + Duration::from_millis(500)).await;
    let loads = tenants.map(|tenant| TenantLoad::start(cluster, tenant.demand()));
    (next, loads.collect())
}

impl ScenarioRun {
    /// Changes the limits of hot tenants until the probes are stopped: lower, higher, none, or the tenant goes and comes.
    pub(super) async fn change_limits(self: Rc<Self>, scenario: Scenario) {
        let mut rng = Rng::with_seed(!scenario.seed ^ HOT_TENANTS_SEED);
        while !self.probes_stopped.get() {
            sleep(Duration::from_millis(rng.u64(CHANGE_MS))).await;
            let hot = &scenario.hot_tenants[rng.usize(..scenario.hot_tenants.len())];
            let mut changed = hot.tenant();
            let kind = rng.u8(..6);
            changed.quota = match kind {
                0 if hot.demand().rate_per_s <= MAX_UNLIMITED_PER_S => None,
                1 => Some(hot.quota),
                _ => Some(draw_quota(&mut rng)),
            };
            let mut configuration = self.configuration.lock().await;
            let next = configuration.next(1, |next| {
                let was_there = next.tenants.iter().any(|t| t.name == changed.name);
                next.tenants.retain(|t| t.name != changed.name);
                if kind != 2 || !was_there {
                    next.tenants.push(changed);
                }
            });
            let status = self
                .cluster
                .operator
                .put(&next, configuration.version)
                .await;
            self.adopt(&mut configuration, next, status).await;
        }
    }
}
