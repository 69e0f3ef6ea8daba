//! A fleet comes up from three seeds and serves.
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, request};
use sparrouter_simulation::configuration::RouteKind;
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::run_checked;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn given_three_seeds_when_all_machines_start_then_the_fleet_serves_every_kind() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(1)).await;
        let client = cluster.client(false);
        for (kind, response_spec) in [
            (RouteKind::Idempotent, "b300"),
            (RouteKind::NonIdempotent, "b30"),
            (RouteKind::Streaming, "s8"),
            (RouteKind::Resumable, "s8"),
        ] {
            assert_eq!(
                client.send(&request(kind, response_spec)).await,
                RequestOutcome::Served,
                "{kind:?}"
            );
        }
        cluster
    });
}

#[test]
fn given_a_healthy_fleet_when_clients_go_on_then_all_are_served() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(2)).await;
        let load = ClientLoad::start(&cluster, 12, Duration::from_millis(150));
        sleep(Duration::from_secs(10)).await;
        load.stop().await;
        assert!(load.sent.get() > 500, "{} sent", load.sent.get());
        load.assert_all_served();
        cluster
    });
}

#[test]
fn given_nodes_that_go_on_polling_when_the_core_forgets_them_all_then_each_registers_again() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(3)).await;
        let core = cluster.core();
        for name in &core {
            cluster.kill(name);
        }
        // Membership records on disk are hints: they may be lost, the control state may not.
        for name in &core {
            cluster.disk(name).lose_membership_records();
        }
        for name in &core {
            cluster.start(name, false);
        }
        sleep(Duration::from_secs(4)).await;
        for name in &core {
            let reply = cluster.get(name, "/api/status").await;
            let reply = reply.expect("a node of the core answers");
            for other in cluster.names() {
                let row = format!("{{\"name\":\"{other}\",");
                assert!(
                    reply.text().contains(&row),
                    "{name} does not know {other}: {}",
                    reply.text()
                );
            }
            assert!(
                !reply.text().contains("\"silent\":true"),
                "{name}: {}",
                reply.text()
            );
        }
        cluster
    });
}

#[test]
fn given_a_node_that_starts_anew_when_a_request_comes_before_its_configuration_then_it_waits_for_it()
 {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(7)).await;
        cluster.kill("edge-0");
        sleep(Duration::from_millis(500)).await;
        cluster.start("edge-0", false);
        sleep(Duration::from_millis(2)).await;
        let client_request = ClientRequest {
            retries: 0,
            ..request(RouteKind::Idempotent, "b5")
        };
        let outcome = cluster.send_to_node(&client_request, "edge-0").await;
        assert_eq!(outcome, RequestOutcome::Served);
        cluster
    });
}
