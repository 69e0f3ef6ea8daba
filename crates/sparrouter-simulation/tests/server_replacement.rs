//! ROUTE while servers leave and others are added: a request runs at the server that was selected for it, or elsewhere after
//! a new selection, but never at a server that took the place of the selected one.
mod hot_tenants;

use hot_tenants::{HotTenant, Limited, fleet, holders, seeds, settings};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::cluster::{SimulatedCluster, ZONES};
use sparrouter_simulation::configuration::{Quota, RouteKind};
use sparrouter_simulation::runtime::{play, run_checked};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);
/// Time that the lease owner is frozen, during which requests wait for permits.
const FREEZE: Duration = Duration::from_secs(4);
/// Number of servers that leave, one after the other, each followed by a new one of another service.
const REPLACED: usize = 6;
/// Requests a second of the tenant, far within its limit.
const RATE_PER_S: f64 = 100.0;
/// Requests to each node that are sent when the owner freezes.
const BURST: usize = 60;
const BUSY: Limited = Limited {
    name: "busy",
    quota: Quota {
        rate_per_s: 1_000,
        burst_size: 1_000,
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The machine that holds the most lease shards, so that most permits come from it.
async fn node_with_most_leases(cluster: &SimulatedCluster) -> String {
    let owners = holders(cluster).await.concat();
    let shards = |name: &String| owners.iter().filter(|owner| *owner == name).count();
    let busiest = cluster.core().into_iter().max_by_key(shards);
    busiest.expect("a core machine")
}

/// Servers of one service leave and servers of another are added, while requests that have selected a server wait for their
/// permits from a owner that is frozen.
async fn replaced_while_requests_wait(seed: u64) -> Rc<SimulatedCluster> {
    let settings = settings(seed).servers(REPLACED + 3);
    let (cluster, _) = fleet(settings, &[BUSY]).await;
    let load = HotTenant::new(&cluster, BUSY)
        .kinds(&[(RouteKind::NonIdempotent, "b10")])
        .own_prompts()
        .start(RATE_PER_S);
    sleep(3 * SECOND).await;
    let owner = node_with_most_leases(&cluster).await;
    let leaving: Vec<String> = cluster.server_ids().into_iter().take(REPLACED).collect();
    cluster.freeze(&owner, true);
    for name in cluster.names().iter().filter(|name| **name != owner) {
        load.burst(name, BURST);
    }
    for id in &leaving {
        cluster.server(id).leave();
        sleep(ms(5)).await;
    }
    sleep(ms(60)).await;
    for index in 0..REPLACED {
        cluster.add_announced_server("others", ZONES[index % ZONES.len()]);
        sleep(ms(5)).await;
    }
    sleep(FREEZE).await;
    cluster.freeze(&owner, false);
    sleep(3 * SECOND).await;
    load.stop().await;
    cluster
}

/// The rules that a day violates, with an injected defect or without.
fn violations(defect: Option<Defect>, seed: u64) -> Vec<String> {
    inject(defect);
    let found = play(async {
        replaced_while_requests_wait(seed)
            .await
            .monitor
            .violations()
    });
    inject(None);
    found
}

/// Guards against a request that is sent to a server of another service, since the server selected for it has left and the
/// new one has its place in the server table.
#[test]
fn given_a_server_that_leaves_while_requests_wait_for_permits_then_none_runs_at_its_successor_in_the_table()
 {
    for seed in seeds(1, 6) {
        run_checked(|| replaced_while_requests_wait(seed));
    }
}

#[test]
fn given_handles_that_name_successors_when_servers_are_replaced_then_it_is_found() {
    let found = violations(Some(Defect::HandleNamesSuccessor), 1);
    let rules: Vec<&str> = found.iter().filter_map(|v| v.split(':').next()).collect();
    assert!(rules.contains(&"ROUTE"), "{found:?}");
}
