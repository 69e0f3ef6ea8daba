//! The core: nodes that are killed, wiped, partitioned, replaced, or all end at once, and what was acknowledged.
use sparrouter_simulation::client::RequestOutcome;
use sparrouter_simulation::cluster::{
    ClusterSettings, SimulatedCluster, initial_configuration, request,
};
use sparrouter_simulation::configuration::{Configuration, RouteKind};
use sparrouter_simulation::load::{ClientLoad, RecentCounts};
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::runtime::run_checked;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

fn operator_sends(
    cluster: &Rc<SimulatedCluster>,
    configuration: &Configuration,
    base: u64,
) -> tokio::task::JoinHandle<u16> {
    let (cluster, configuration) = (cluster.clone(), configuration.clone());
    spawn_local(async move { cluster.operator.put(&configuration, base).await })
}

#[test]
fn given_a_core_node_killed_at_any_moment_of_a_change_then_what_was_acknowledged_stays() {
    for moment in 0..12 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::small(20 + moment)).await;
            let configuration = initial_configuration().with_route(2, "new");
            let sending = operator_sends(&cluster, &configuration, 1);
            sleep(Duration::from_millis(moment)).await;
            let victim = format!("core-{}", moment % 3);
            cluster.kill(&victim);
            sleep(Duration::from_millis(300)).await;
            cluster.start(&victim, false);
            assert_eq!(sending.await.ok(), Some(200));
            cluster.operator.read_back().await;
            cluster
        });
    }
}

#[test]
fn given_a_disk_wiped_right_after_an_acknowledgement_when_the_others_lose_power_then_it_is_not_lost()
 {
    for seed in 0..6 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::small(40 + seed)).await;
            let configuration = initial_configuration().with_route(2, "new");
            assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
            let wiped = format!("core-{}", seed % 3);
            for name in cluster.core() {
                cluster.power_off(&name);
            }
            cluster.wipe(&wiped);
            sleep(Duration::from_millis(500)).await;
            for name in cluster.core() {
                cluster.power_on(&name);
            }
            sleep(Duration::from_secs(5)).await;
            cluster.operator.read_back().await;
            let next = configuration.with_route(2, "later");
            assert_eq!(
                cluster.operator.put(&next, configuration.version).await,
                200,
                "the core works again"
            );
            cluster
        });
    }
}

#[test]
fn given_a_core_split_then_the_minority_acknowledges_nothing_and_all_follow_the_majority() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(50)).await;
        cluster.partition(&["core-0"], Some(Partition::PacketsLost));
        let configuration = initial_configuration().with_route(2, "new");
        let net = cluster.outside_network();
        let fields = [("If-Match", "1")];
        let call = |name: &str| {
            let to = cluster.control_of(name);
            let (net, body) = (net.clone(), configuration.json());
            async move {
                let time_limit = Duration::from_secs(2);
                let call = sparrouter_simulation::http_messages::call(
                    &net,
                    to,
                    "PUT",
                    "/api/config",
                    &fields,
                    &body,
                    time_limit,
                );
                call.await.map_or(0, |r| r.status)
            }
        };
        let alone = call("core-0").await;
        assert!(!(200..300).contains(&alone), "{alone}");
        let submission = cluster
            .monitor
            .configuration_submitted(&configuration, 1, true);
        assert_eq!(call("core-1").await, 200);
        cluster.monitor.configuration_acknowledged(submission);
        sleep(Duration::from_secs(2)).await;
        for name in ["edge-0", "edge-1", "edge-2"] {
            let client = cluster.client(false);
            let client_request = request(RouteKind::Idempotent, "b5").to_route("new", "b5");
            let outcome = client
                .send_to(&client_request, cluster.front_of(name), 0)
                .await;
            assert_eq!(outcome, RequestOutcome::Served, "{name}");
        }
        cluster.partition(&["core-0"], None);
        sleep(Duration::from_secs(6)).await;
        let reply = cluster
            .operator
            .get_from(cluster.control_of("core-0"))
            .await
            .expect("an answer");
        assert!(reply.text().contains("\"version\":3"), "{}", reply.text());
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_a_core_machine_replaced_by_an_empty_one_then_the_core_bears_another_loss() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(51)).await;
        let mut configuration = initial_configuration();
        for lost in ["core-0", "core-1", "core-2"] {
            let new = cluster.replace(lost);
            sleep(Duration::from_secs(9)).await;
            assert!(cluster.runs(&new));
            let next = configuration.with_route(2, &format!("after-{lost}"));
            assert_eq!(
                cluster.operator.put(&next, configuration.version).await,
                200,
                "without {lost}"
            );
            configuration = next;
        }
        let reply = cluster
            .operator
            .get_from(cluster.control_of("edge-0"))
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200);
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_all_processes_killed_at_once_when_back_then_they_serve_within_the_time_for_it() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(52)).await;
        let configuration = initial_configuration().with_route(2, "new");
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        let load = ClientLoad::start(&cluster, 10, Duration::from_millis(200));
        sleep(Duration::from_secs(3)).await;
        for name in cluster.names() {
            cluster.kill(&name);
        }
        sleep(Duration::from_millis(800)).await;
        cluster.start_all(false).await;
        let back = Instant::now();
        sleep(Duration::from_secs(6)).await;
        assert!(back.elapsed() < cluster.settings.bounds.recovery);
        load.reset_recent();
        sleep(Duration::from_secs(3)).await;
        load.stop().await;
        let RecentCounts { sent, served } = load.recent.get();
        assert!(sent > 100 && served >= sent - 2, "{served} of {sent}");
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_seeds_exchanged_for_other_machines_when_a_node_starts_then_it_finds_the_fleet() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(53)).await;
        let seeds: Vec<_> = ["edge-0", "edge-1", "edge-2"]
            .iter()
            .map(|n| cluster.control_of(n))
            .collect();
        cluster.exchange_seeds(&seeds);
        for name in ["core-1", "edge-2"] {
            cluster.kill(name);
            sleep(Duration::from_millis(400)).await;
            cluster.start(name, false);
            sleep(Duration::from_secs(3)).await;
            assert!(cluster.load_balancer.is_in_service(name), "{name}");
        }
        let configuration = initial_configuration().with_route(2, "new");
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_all_without_power_when_a_majority_is_back_one_after_the_other_then_it_agrees_at_once() {
    for seed in 0..6 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::small(70 + seed)).await;
            let core = cluster.core();
            core.iter().for_each(|name| cluster.power_off(name));
            sleep(Duration::from_millis(1_300)).await;
            // The first one calls a machine without power: its packet is lost, and the network sends it again a second later.
            cluster.power_on(&core[0]);
            sleep(Duration::from_millis(40 + 10 * seed)).await;
            cluster.power_on(&core[1]);
            let back = Instant::now();
            while cluster
                .operator
                .get_from(cluster.control_of(&core[0]))
                .await
                .is_none_or(|r| r.status != 200)
            {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(
                back.elapsed() < Duration::from_millis(250),
                "{:?}",
                back.elapsed()
            );
            cluster
        });
    }
}

#[test]
fn given_a_node_partitioned_while_every_core_machine_is_replaced_when_joined_then_its_seeds_lead_it_to_the_new_ones()
 {
    for seed in 0..4 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(54 + seed)).await;
            let mut configuration = initial_configuration();
            // Twice: the more removed machines the node remembers, the longer it has addresses left that do not answer.
            for round in 0..2 {
                cluster.partition(&["edge-0"], Some(Partition::PacketsLost));
                for lost in cluster.core() {
                    cluster.replace(&lost);
                    cluster.partition(&["edge-0"], Some(Partition::PacketsLost));
                    sleep(Duration::from_secs(9)).await;
                }
                let next = configuration.with_route(2, &format!("new{round}"));
                assert_eq!(
                    cluster.operator.put(&next, configuration.version).await,
                    200
                );
                configuration = next;
                cluster.partition(&["edge-0"], None);
                sleep(cluster.settings.bounds.contact + cluster.settings.bounds.config_apply).await;
                let reply = cluster
                    .operator
                    .get_from(cluster.control_of("edge-0"))
                    .await
                    .expect("an answer");
                assert_eq!(reply.status, 200);
                let client_request =
                    request(RouteKind::Idempotent, "b5").to_route(&format!("new{round}"), "b5");
                let outcome = cluster.send_to_node(&client_request, "edge-0").await;
                assert_eq!(outcome, RequestOutcome::Served, "round {round}");
            }
            cluster.operator.read_back().await;
            cluster
        });
    }
}
