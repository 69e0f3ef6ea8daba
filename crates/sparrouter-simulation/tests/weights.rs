//! New weights: each server ordered once by one holder, whoever of the holders ends or freezes.
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, ZONES};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::run_checked;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

async fn first_commanding_node(cluster: &Rc<SimulatedCluster>) -> String {
    let began = Instant::now();
    loop {
        if let Some(lease_owner) = cluster.monitor.last_lease_owner() {
            // A holder names its node and where that is.
            return lease_owner.split('@').next().unwrap_or_default().to_owned();
        }
        assert!(began.elapsed() < Duration::from_secs(10), "nobody orders");
        sleep(Duration::from_millis(1)).await;
    }
}

fn assert_loaded_once(cluster: &SimulatedCluster, version: u64) {
    for ((id, loaded), count) in cluster.monitor.load_counts() {
        assert!(
            loaded == version && count == 1,
            "{id} loaded {loaded} {count} times"
        );
    }
}

#[test]
fn given_new_weights_when_named_then_each_server_loads_once_and_all_in_time() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(70).servers(9)).await;
        let load = ClientLoad::start(&cluster, 12, REQUEST_INTERVAL);
        assert!(cluster.operator.name_version(2).await);
        let named = Instant::now();
        cluster.wait_for_weights(2).await;
        assert!(
            named.elapsed() < cluster.settings.bounds.version,
            "{:?}",
            named.elapsed()
        );
        sleep(Duration::from_secs(4)).await;
        load.stop().await;
        assert_loaded_once(&cluster, 2);
        load.assert_all_served();
        cluster
    });
}

#[test]
fn given_a_lease_owner_killed_midway_then_another_goes_on_and_nothing_is_loaded_twice() {
    for seed in 0..3 {
        run_checked(|| async {
            let cluster =
                SimulatedCluster::serving(ClusterSettings::with_seed(71 + seed).servers(6)).await;
            let load = ClientLoad::start(&cluster, 6, REQUEST_INTERVAL);
            assert!(cluster.operator.name_version(2).await);
            let lease_owner = first_commanding_node(&cluster).await;
            sleep(Duration::from_millis(300 * seed)).await;
            cluster.kill(&lease_owner);
            sleep(Duration::from_millis(400)).await;
            cluster.start(&lease_owner, false);
            cluster.wait_for_weights(2).await;
            sleep(Duration::from_secs(1)).await;
            load.stop().await;
            assert_loaded_once(&cluster, 2);
            cluster
        });
    }
}

#[test]
fn given_a_lease_owner_frozen_midway_when_it_wakes_then_it_orders_nothing_more() {
    for seed in 0..3 {
        run_checked(|| async {
            let cluster =
                SimulatedCluster::serving(ClusterSettings::with_seed(81 + seed).servers(6)).await;
            let load = ClientLoad::start(&cluster, 6, REQUEST_INTERVAL);
            assert!(cluster.operator.name_version(2).await);
            let lease_owner = first_commanding_node(&cluster).await;
            sleep(Duration::from_millis(150 * seed)).await;
            cluster.freeze(&lease_owner, true);
            sleep(Duration::from_secs(7)).await;
            cluster.freeze(&lease_owner, false);
            cluster.wait_for_weights(2).await;
            sleep(Duration::from_secs(2)).await;
            load.stop().await;
            assert_loaded_once(&cluster, 2);
            cluster
        });
    }
}

#[test]
fn given_servers_replaced_and_restarted_while_weights_change_then_all_end_on_the_newest() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(91).servers(5)).await;
        let load = ClientLoad::start(&cluster, 8, REQUEST_INTERVAL);
        assert!(cluster.operator.name_version(2).await);
        cluster.newest_weights.set(2);
        sleep(Duration::from_millis(400)).await;
        let ids = cluster.server_ids();
        let old = cluster.server(&ids[4]);
        cluster.crash_server(&ids[4]);
        sleep(Duration::from_millis(500)).await;
        cluster.restart_server(&old);
        cluster.server(&ids[3]).drain();
        cluster.add_server("models", ZONES[2]);
        cluster.wait_for_weights(2).await;
        assert!(cluster.operator.name_version(3).await);
        cluster.newest_weights.set(3);
        cluster.wait_for_weights(3).await;
        sleep(Duration::from_secs(3)).await;
        load.stop().await;
        assert!(
            cluster.monitor.load_counts().values().all(|n| *n == 1),
            "{:?}",
            cluster.monitor.load_counts()
        );
        assert!(
            load.served_fraction() > 0.97,
            "{} {:?}",
            load.served_fraction(),
            load.rejected.borrow()
        );
        cluster
    });
}
