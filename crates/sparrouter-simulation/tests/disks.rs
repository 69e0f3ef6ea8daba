//! Disks that are full, slow or stalled: what cannot be written is not acknowledged, and the core recovers by itself.
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::Configuration;
use sparrouter_simulation::http_messages::{self, Reply};
use sparrouter_simulation::runtime::run_checked;
use std::time::Duration;
use tokio::time::{Instant, sleep};

async fn once(
    cluster: &SimulatedCluster,
    to: &str,
    configuration: &Configuration,
    base: u64,
) -> Option<Reply> {
    let base = base.to_string();
    let fields = [("If-Match", base.as_str())];
    let time_limit = Duration::from_millis(1_500);
    let (net, at) = (cluster.outside_network(), cluster.control_of(to));
    http_messages::call(
        &net,
        at,
        "PUT",
        "/api/config",
        &fields,
        &configuration.json(),
        time_limit,
    )
    .await
    .ok()
}

#[test]
fn given_one_full_disk_then_the_others_take_changes_and_it_catches_up() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(101)).await;
        cluster.disk("core-0").files.set_capacity(Some(0));
        let configuration = initial_configuration().with_route(2, "new");
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        cluster.disk("core-0").files.set_capacity(None);
        sleep(Duration::from_secs(4)).await;
        cluster.kill("core-1");
        let next = configuration.with_route(2, "newer");
        assert_eq!(
            cluster.operator.put(&next, configuration.version).await,
            200,
            "the full one votes again"
        );
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_full_disks_at_a_majority_when_a_change_comes_then_it_is_rejected_with_the_remedy_and_later_accepted()
 {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(102)).await;
        for name in cluster.core() {
            cluster.disk(&name).files.set_capacity(Some(0));
        }
        let configuration = initial_configuration().with_route(2, "new");
        sleep(Duration::from_secs(1)).await;
        let reply = once(&cluster, "core-0", &configuration, 1)
            .await
            .expect("an answer");
        assert!(reply.status >= 500, "{}", reply.status);
        let again = once(&cluster, "core-0", &configuration, 1)
            .await
            .expect("an answer");
        assert!(
            again.text().contains("free"),
            "no remedy in {} {:?}",
            again.status,
            again.text()
        );
        for name in cluster.core() {
            cluster.disk(&name).files.set_capacity(None);
        }
        sleep(Duration::from_secs(2)).await;
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_slow_and_stalled_disks_then_changes_wait_no_longer_than_a_majority_needs() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(103)).await;
        cluster.disk("core-0").delay.set(Duration::from_millis(400));
        cluster
            .disk("core-1")
            .stalled_until
            .set(Instant::now() + Duration::from_millis(700));
        let configuration = initial_configuration().with_route(2, "new");
        let began = Instant::now();
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        assert!(
            began.elapsed() < cluster.settings.bounds.ack_timeout,
            "{:?}",
            began.elapsed()
        );
        cluster
            .disk("core-1")
            .stalled_until
            .set(Instant::now() + Duration::from_secs(20));
        let next = configuration.with_route(2, "newer");
        assert_eq!(
            cluster.operator.put(&next, configuration.version).await,
            200
        );
        cluster.operator.read_back().await;
        cluster
    });
}
