//! Servers that drain, come back late, break off, answer wrongly, or whose address is another's now.
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, ZONES, request};
use sparrouter_simulation::configuration::RouteKind;
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::run_checked;
use sparrouter_simulation::server::ServerFaults;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

#[test]
fn given_a_drain_that_one_node_acknowledges_then_it_binds_all_in_time() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(60)).await;
        let load = ClientLoad::start(&cluster, 12, REQUEST_INTERVAL);
        sleep(Duration::from_secs(1)).await;
        for id in cluster.server_ids() {
            cluster.add_server("models", ZONES[1]);
            sleep(Duration::from_millis(1_500)).await;
            cluster.server(&id).drain();
            sleep(Duration::from_secs(3)).await;
        }
        sleep(Duration::from_secs(2)).await;
        load.stop().await;
        load.assert_all_served();
        cluster
    });
}

#[test]
fn given_a_late_heartbeat_with_a_lower_number_when_a_server_drains_then_it_undoes_nothing() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(61).servers(2)).await;
        let load = ClientLoad::start(&cluster, 10, REQUEST_INTERVAL);
        let id = cluster.server_ids().remove(0);
        cluster.server(&id).duplicate_first_heartbeat.set(true);
        cluster.server(&id).drain();
        sleep(Duration::from_secs(8)).await;
        load.stop().await;
        assert!(!cluster.server_runs(&id));
        load.assert_all_served();
        cluster
    });
}

#[test]
fn given_an_address_that_another_service_has_now_then_nothing_runs_there() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(62).servers(3)).await;
        let load = ClientLoad::start(&cluster, 10, REQUEST_INTERVAL);
        sleep(Duration::from_secs(1)).await;
        let id = cluster.server_ids().remove(0);
        let address = cluster.crash_server(&id);
        sleep(Duration::from_millis(200)).await;
        cluster.start_server("others", ZONES[0], address, 1);
        sleep(Duration::from_secs(5)).await;
        load.stop().await;
        assert!(load.served_fraction() > 0.97, "{}", load.served_fraction());
        cluster
    });
}

#[test]
fn given_a_server_that_resets_after_it_ran_when_not_retryable_then_it_never_runs_twice() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(63).servers(2)).await;
        cluster.set_server_faults(ServerFaults {
            resets: 0.5,
            ..ServerFaults::default()
        });
        let client = cluster.client(false);
        let (mut served, mut failed) = (0, 0);
        for n in 0..60 {
            let kind = if n % 2 == 0 {
                RouteKind::NonIdempotent
            } else {
                RouteKind::Streaming
            };
            let response_spec = if n % 2 == 0 { "b20" } else { "s4" };
            match client
                .send(&ClientRequest {
                    prompt_id: format!("{n:08x}"),
                    ..request(kind, response_spec)
                })
                .await
            {
                RequestOutcome::Served => served += 1,
                _ => failed += 1,
            }
        }
        assert!(served > 10 && failed > 10, "{served} {failed}");
        cluster
    });
}

#[test]
fn given_servers_that_break_off_resumable_streams_then_they_are_resumed_complete_and_once() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(64).servers(4)).await;
        cluster.set_server_faults(ServerFaults {
            breaks: 0.3,
            ..ServerFaults::default()
        });
        let client = cluster.client(true);
        let mut served = 0;
        for n in 0..60 {
            let request = ClientRequest {
                retries: 0,
                prompt_id: format!("{n:08x}"),
                ..request(RouteKind::Resumable, "s15")
            };
            served += u32::from(client.send(&request).await == RequestOutcome::Served);
        }
        // Three servers in a row break off one in 37.
        assert!(served >= 52, "{served} of 60");
        cluster
    });
}

#[test]
fn given_garbled_and_surplus_answers_then_no_client_sees_them() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(65)).await;
        cluster.set_server_faults(ServerFaults {
            garbles: 0.05,
            surplus: 0.3,
            ..ServerFaults::default()
        });
        let load = ClientLoad::start(&cluster, 12, REQUEST_INTERVAL);
        sleep(Duration::from_secs(8)).await;
        load.stop().await;
        assert!(load.served_fraction() > 0.9, "{}", load.served_fraction());
        cluster
    });
}

#[test]
fn given_a_server_that_hangs_then_streams_that_may_not_repeat_are_not_repeated() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(66).servers(3)).await;
        let id = cluster.server_ids().remove(0);
        cluster.server(&id).faults.set(ServerFaults {
            hangs: 1.0,
            ..ServerFaults::default()
        });
        let load = ClientLoad::start(&cluster, 24, REQUEST_INTERVAL);
        sleep(Duration::from_secs(6)).await;
        load.stop().await;
        assert!(load.served.get() > 20, "{}", load.served.get());
        cluster
    });
}

#[test]
fn given_servers_that_are_full_then_what_is_rejected_never_ran() {
    run_checked(|| async {
        let cluster =
            SimulatedCluster::serving(ClusterSettings::with_seed(67).servers(2).slots(1)).await;
        let load = ClientLoad::start(&cluster, 40, Duration::from_millis(60));
        sleep(Duration::from_secs(4)).await;
        load.stop().await;
        assert!(
            load.served.get() > 20 && !load.rejected.borrow().is_empty(),
            "{}",
            load.served_fraction()
        );
        cluster
    });
}

#[test]
fn given_open_streams_when_nodes_are_shut_down_one_by_one_then_none_is_lost() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(68)).await;
        let load = ClientLoad::start(&cluster, 16, REQUEST_INTERVAL);
        sleep(Duration::from_secs(1)).await;
        for name in cluster.names() {
            let cluster: Rc<SimulatedCluster> = cluster.clone();
            cluster.terminate(&name).await;
            assert!(!cluster.runs(&name));
            sleep(Duration::from_millis(500)).await;
            cluster.start(&name, false);
            sleep(Duration::from_millis(3_500)).await;
        }
        load.stop().await;
        load.assert_all_served();
        cluster
    });
}
