//! Configurations: accepted, everywhere in time, of two rivals one, and never an invalid one.
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{
    ClusterSettings, KEY, SimulatedCluster, initial_configuration, request,
};
use sparrouter_simulation::configuration::{Configuration, RouteKind};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::operator::{Encoding, Order};
use sparrouter_simulation::runtime::run_checked;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Requests from every node a path of a route, as the platform's direct requests do; returns who served it.
async fn served_by(cluster: &Rc<SimulatedCluster>, request: &ClientRequest) -> Vec<String> {
    let client = cluster.client(false);
    let mut served = Vec::new();
    for name in cluster.names().into_iter().filter(|n| cluster.runs(n)) {
        if client.send_to(request, cluster.front_of(&name), 0).await == RequestOutcome::Served {
            served.push(name);
        }
    }
    served
}

fn request_to(name: &str) -> ClientRequest {
    request(RouteKind::Idempotent, "b10").to_route(name, "b10")
}

#[test]
fn given_a_route_that_is_added_when_acknowledged_then_every_node_has_it_in_time() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(11)).await;
        let configuration = initial_configuration().with_public_route(2, "new");
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        sleep(cluster.settings.bounds.config_apply).await;
        assert_eq!(served_by(&cluster, &request_to("new")).await.len(), 6);
        let without = configuration.next(1, |p| p.routes.retain(|r| r.name != "new"));
        assert_eq!(cluster.operator.patch(&without, &configuration).await, 200);
        sleep(cluster.settings.bounds.config_apply + Duration::from_millis(1)).await;
        assert!(served_by(&cluster, &request_to("new")).await.is_empty());
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_two_operators_on_one_version_when_both_send_then_one_wins_and_is_in_force() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(12)).await;
        let mut base = initial_configuration();
        for round in 0..6 {
            let left = base.with_public_route(2, &format!("left{round}"));
            let right = Configuration {
                version: left.version + 1,
                ..base.with_public_route(2, &format!("right{round}"))
            };
            let (l, r) = tokio::join!(
                cluster.operator.put(&left, base.version),
                cluster.operator.put(&right, base.version)
            );
            assert!(matches!((l, r), (200, 412) | (412, 200)), "{l} {r}");
            base = if l == 200 { left } else { right };
        }
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_an_accepted_configuration_when_it_is_sent_again_unchanged_then_any_node_says_200() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(13)).await;
        let configuration = initial_configuration().with_public_route(2, "new");
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        let after = configuration.with_public_route(2, "newer");
        assert_eq!(
            cluster.operator.put(&after, configuration.version).await,
            200
        );
        for _ in 0..8 {
            let order = Order::new(&configuration, 1, Encoding::Full, true);
            let outcome = cluster.operator.submit(&order).await;
            assert_eq!(outcome.status, 200, "that very configuration was accepted");
        }
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_invalid_configurations_when_sent_then_each_is_rejected_for_good_and_nothing_changes() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(14)).await;
        let base = initial_configuration();
        let next = base.with_public_route(2, "bad");
        let bodies = [
            next.json()
                .replace("\"service\":\"models\"", "\"service\":\"nobody\""),
            next.json()
                .replace("\"timeout_ms\":8000", "\"timeout_ms\":0"),
            next.json().replace("/bad/", "/idem/"),
            next.json().replace("\"version\":3", "\"version\":1"),
            next.json().replace("key-of-mela", KEY),
            next.json()[..200].to_owned(),
        ];
        for body in bodies {
            let order = Order::new(&next, 1, Encoding::Body(body.clone()), false);
            let status = cluster.operator.submit(&order).await.status;
            assert!((400..500).contains(&status), "{status} for {body}");
        }
        sleep(cluster.settings.bounds.config_apply).await;
        assert!(served_by(&cluster, &request_to("bad")).await.is_empty());
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_a_key_that_is_removed_when_acknowledged_then_nobody_lets_it_in() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(15)).await;
        let load = ClientLoad::start(&cluster, 6, Duration::from_millis(200));
        let configuration =
            initial_configuration().next(3, |p| p.tenants[1].keys = vec!["key-anew".to_owned()]);
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        sleep(cluster.settings.bounds.config_apply).await;
        let with = |key: &str| ClientRequest {
            key: key.to_owned(),
            ..request(RouteKind::Idempotent, "b10")
        };
        assert!(served_by(&cluster, &with("key-of-mela")).await.is_empty());
        assert_eq!(served_by(&cluster, &with("key-anew")).await.len(), 6);
        load.stop().await;
        assert_eq!(load.served.get(), load.sent.get());
        cluster
    });
}
