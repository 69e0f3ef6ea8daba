//! Servers that fail requests while their health check is good: others come first on all nodes, and no longer than the
//! fault lasts.
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster};
use sparrouter_simulation::load::{ClientLoad, RecentCounts};
use sparrouter_simulation::runtime::play;
use sparrouter_simulation::server::ServerFaults;
use std::time::Duration;
use tokio::time::sleep;

const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const RESETS_ALL: ServerFaults = ServerFaults {
    breaks: 0.0,
    resets: 1.0,
    surplus: 0.0,
    garbles: 0.0,
    hangs: 0.0,
    rots: 0.0,
    fails: 0.0,
};

fn six_servers(seed: u64) -> ClusterSettings {
    ClusterSettings::with_seed(seed).servers(6)
}

/// Part of the requests that is served while so many of six servers reset all of theirs, and after that.
async fn served_fractions(seed: u64, server_faulted: usize) -> (f64, f64) {
    let cluster = SimulatedCluster::serving(six_servers(seed)).await;
    let load = ClientLoad::start(&cluster, 16, REQUEST_INTERVAL);
    sleep(Duration::from_secs(3)).await;
    let ids: Vec<String> = cluster
        .server_ids()
        .into_iter()
        .take(server_faulted)
        .collect();
    let set_all = |faults: ServerFaults| {
        ids.iter()
            .for_each(|id| cluster.server(id).faults.set(faults));
    };
    set_all(RESETS_ALL);
    let fraction = || {
        let RecentCounts { sent, served } = load.recent.get();
        load.reset_recent();
        f64::from(served) / f64::from(sent.max(1))
    };
    load.reset_recent();
    sleep(Duration::from_secs(10)).await;
    let during = fraction();
    set_all(ServerFaults::default());
    sleep(Duration::from_secs(4)).await;
    load.reset_recent();
    sleep(Duration::from_secs(5)).await;
    let after = fraction();
    load.stop().await;
    cluster.monitor.assert_no_violations();
    (during, after)
}

#[test]
fn given_a_server_that_resets_all_its_requests_then_others_come_first_until_it_is_sound() {
    for seed in 800..803 {
        let (during, after) = play(served_fractions(seed, 1));
        assert!(during > 0.96, "seed {seed}: {during:.3}");
        assert!(after > 0.99, "seed {seed}: {after:.3}");
    }
    inject(Some(Defect::OutlierUnreported));
    let (during, _) = play(served_fractions(800, 1));
    inject(None);
    assert!(during < 0.93, "the defect is not found: {during:.3}");
}

#[test]
fn given_most_servers_resetting_their_requests_then_no_request_is_withheld_from_them() {
    // The fault is hardly theirs then: they are chosen as before, and all is well once it ends.
    let (_, after) = play(served_fractions(810, 5));
    assert!(after > 0.99, "{after:.3}");
}
