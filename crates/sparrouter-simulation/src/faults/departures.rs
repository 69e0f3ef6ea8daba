//! Servers that leave, right beside faults of nodes.

use crate::cluster::{SimulatedCluster, ZONES};
use crate::configuration::{Quota, Tenant};
use crate::scenario::{CATCH_UP, ScenarioRun};
use crate::tenant_load::{TenantDemand, TenantLoad};
use sparrouter_fleet::control::LEASE_SHARDS;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an acknowledgement is waited for.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(3);
/// How long a server serves on after it, in ms: longer than machines take until they are in contact again.
const SERVES_ON_MS: std::ops::Range<u64> = 6_000..12_000;
/// A service keeps so many servers.
const MIN_SERVERS: usize = 2;
/// Servers that are replaced beside a frozen lease owner.
const REPLACED: usize = 3;
/// Time until the servers and the load of a replacement are there.
const PREPARATION: Duration = Duration::from_secs(3);

/// A tenant far within its limit, so that its requests wait for permits only if a lease owner does not answer.
const TENANT: &str = "released";
const TENANT_KEY: &str = "key-of-released";
const TENANT_QUOTA: Quota = Quota {
    rate_per_s: 1_000,
    burst_size: 1_000,
};
const TENANT_RATE_PER_S: f64 = 150.0;

/// What ends right after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    CoreKilled,
    AllKilled,
    AllPowerLost,
}

/// Lets a server leave, and ends all processes as soon as that is acknowledged.
pub(super) async fn kill_all_after_acknowledgement(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let Some(id) = run.any(&run.ready_servers()) else {
        return;
    };
    let server = run.cluster.server(&id);
    run.cluster.add_server(&server.settings.service, ZONES[1]);
    server.serves_on_for.set(run.duration(SERVES_ON_MS));
    if run.rng.borrow_mut().bool() {
        server.drain();
    } else {
        server.leave();
    }
    let started_at = Instant::now();
    while server.drain_acknowledged_by.get().is_none() {
        if started_at.elapsed() > ACKNOWLEDGED_WITHIN {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    let losses = [Loss::CoreKilled, Loss::AllKilled, Loss::AllPowerLost];
    let loss = losses[run.rng.borrow_mut().usize(..losses.len())];
    end_and_restart(run, loss).await;
    sleep(CATCH_UP).await;
}

async fn end_and_restart(run: &ScenarioRun, loss: Loss) {
    let cluster = &run.cluster;
    let ended = match loss {
        Loss::CoreKilled => cluster.running_core(),
        Loss::AllKilled | Loss::AllPowerLost => cluster.running(),
    };
    for name in &ended {
        if loss == Loss::AllPowerLost {
            cluster.power_off(name);
        } else {
            cluster.kill(name);
        }
    }
    run.pause(200..900).await;
    for name in &ended {
        // Another fault may have started it meanwhile.
        if cluster.runs(name) {
            continue;
        }
        if loss == Loss::AllPowerLost {
            cluster.power_on(name);
        } else {
            cluster.start(name, false);
        }
    }
}

/// Replaces servers by others of another service while the machine that holds most leases is frozen.
pub(super) async fn replace_beside_frozen_lease_owner(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    add_tenant(run).await;
    for number in 0..REPLACED {
        cluster.add_server("models", ZONES[number % ZONES.len()]);
    }
    let demand = TenantDemand {
        key: TENANT_KEY.to_owned(),
        rate_per_s: TENANT_RATE_PER_S,
        retries: 0,
    };
    let load = TenantLoad::start(cluster, demand);
    sleep(PREPARATION).await;
    let Some(owner) = node_with_most_leases(cluster).await else {
        return load.stop().await;
    };
    cluster.freeze(&owner, true);
    let leaving = servers_to_replace(run);
    for id in &leaving {
        run.pause(0..20).await;
        cluster.server(id).leave();
    }
    run.pause(30..90).await;
    for number in 0..leaving.len() {
        cluster.add_announced_server("others", ZONES[number % ZONES.len()]);
        run.pause(0..10).await;
    }
    run.pause(500..4_000).await;
    cluster.freeze(&owner, false);
    load.stop().await;
    sleep(CATCH_UP).await;
}

/// Adds the tenant with its limit, unless it is there.
async fn add_tenant(run: &ScenarioRun) {
    let mut configuration = run.configuration.lock().await;
    if configuration.tenant_of(TENANT_KEY).is_some() {
        return;
    }
    let next = configuration.next(1, |next| {
        next.tenants.push(Tenant {
            name: TENANT.to_owned(),
            keys: vec![TENANT_KEY.to_owned()],
            isolated: false,
            quota: Some(TENANT_QUOTA),
        });
    });
    let operator = &run.cluster.operator;
    let status = operator.put(&next, configuration.version).await;
    run.adopt(&mut configuration, next, status).await;
}

/// The core machine that would take the most leases, by the views of all.
async fn node_with_most_leases(cluster: &SimulatedCluster) -> Option<String> {
    let mut busiest: Option<(usize, String)> = None;
    for name in cluster.running_core() {
        let mut leases = 0;
        for shard in 1..=LEASE_SHARDS {
            let metric = format!("sparrouter_rollout_lease_candidate{{shard=\"{shard}\"}}");
            leases += usize::from(cluster.metric(&name, &metric).await == Some(1.0));
        }
        if busiest.as_ref().is_none_or(|(most, _)| leases > *most) {
            busiest = Some((leases, name));
        }
    }
    busiest.map(|(_, name)| name)
}

/// Some servers of the service, of which enough remain.
fn servers_to_replace(run: &ScenarioRun) -> Vec<String> {
    let cluster = &run.cluster;
    let mut servers = run.ready_servers();
    servers.retain(|id| cluster.server(id).settings.service == "models");
    let count = servers.len().saturating_sub(MIN_SERVERS).min(REPLACED);
    servers.truncate(count);
    servers
}
