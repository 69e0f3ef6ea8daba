//! SIGTERM: accepted requests are answered, others are rejected at once, at every moment of a graceful shutdown.
use bytes::BytesMut;
use sparrouter_codec::Blob;
use sparrouter_fleet::control::configuration_state::Change;
use sparrouter_fleet::control::{LEASE_SHARDS, encode};
use sparrouter_fleet::peer::messages::{Call, Reply};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_http::head;
use sparrouter_http::reading;
use sparrouter_simulation::client::{Client, ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{
    ClusterSettings, HOST, KEY, SimulatedCluster, initial_configuration, request,
};
use sparrouter_simulation::configuration::{Route, RouteKind};
use sparrouter_simulation::contact_watch::{PeerClient, internal_address_of};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::{play, run_checked};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

fn ms(of: u64) -> Duration {
    Duration::from_millis(of)
}

/// Sends SIGTERM to a machine; returns how long its process took to end.
fn shut_down(cluster: &Rc<SimulatedCluster>, name: &str) -> JoinHandle<Duration> {
    let (cluster, name) = (cluster.clone(), name.to_owned());
    spawn_local(async move {
        let began = Instant::now();
        cluster.terminate(&name).await;
        began.elapsed()
    })
}

/// A stream of 4.5 s, longer than what is left late in the grace period.
fn long_stream(kind: RouteKind) -> ClientRequest {
    ClientRequest {
        retries: 0,
        ..request(kind, "s450")
    }
}

/// Long requests to one leaving machine, on new connections, all through its grace period.
async fn long_requests_through_a_departure(
    cluster: &Rc<SimulatedCluster>,
    name: &str,
) -> Vec<(Duration, RequestOutcome)> {
    let (front, began) = (cluster.front_of(name), Instant::now());
    let ending = shut_down(cluster, name);
    let mut requests = Vec::new();
    for moment in 0..30 {
        let kind = [RouteKind::Streaming, RouteKind::Resumable][moment % 2];
        let client = cluster.client(false);
        requests.push(spawn_local(async move {
            let sent = began.elapsed();
            (sent, client.send_to(&long_stream(kind), front, 0).await)
        }));
        sleep(ms(250)).await;
    }
    ending.await.expect("the process ends");
    let mut outcomes = Vec::new();
    for request in requests {
        outcomes.push(request.await.expect("the client goes on"));
    }
    outcomes
}

#[test]
fn given_long_requests_all_through_a_departure_then_none_is_accepted_that_cannot_end() {
    for seed in 0..3 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(300 + seed)).await;
            let outcomes = long_requests_through_a_departure(&cluster, "edge-0").await;
            for (sent, outcome) in outcomes {
                if sent < ms(2_200) {
                    assert_eq!(
                        outcome,
                        RequestOutcome::Served,
                        "sent {sent:?} after SIGTERM"
                    );
                }
            }
            cluster
        });
    }
}

#[test]
fn given_a_process_that_takes_whatever_comes_while_it_leaves_then_the_loss_is_found() {
    inject(Some(Defect::RequestsAdmittedWhileLeaving));
    let violations = play(async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(300)).await;
        long_requests_through_a_departure(&cluster, "edge-0").await;
        cluster.monitor.violations()
    });
    inject(None);
    assert!(
        violations.iter().any(|b| b.contains("LOST")),
        "{violations:?}"
    );
}

/// Sends one short request on a connection that stays open, and another at `moment` after SIGTERM.
async fn outcome_on_reused_connection(
    cluster: &Rc<SimulatedCluster>,
    client: &Rc<Client>,
    name: &str,
    moment: Duration,
) -> RequestOutcome {
    let front = cluster.front_of(name);
    let short = ClientRequest {
        retries: 0,
        ..request(RouteKind::Streaming, "s20")
    };
    assert_eq!(
        client.send_to(&short, front, 0).await,
        RequestOutcome::Served
    );
    let ending = shut_down(cluster, name);
    sleep(moment).await;
    let outcome = client.send_to(&short, front, 0).await;
    ending.await.expect("the process ends");
    outcome
}

#[test]
fn given_a_reused_connection_when_a_request_crosses_each_step_of_the_departure_then_nothing_is_lost()
 {
    for moment in [
        0, 1, 1_000, 2_290, 2_297, 2_298, 2_299, 2_300, 2_301, 2_302, 2_305, 2_599, 2_600, 2_601,
    ] {
        run_checked(|| async {
            let cluster =
                SimulatedCluster::serving(ClusterSettings::with_seed(310).servers(2)).await;
            let client = cluster.client(true);
            let outcome =
                outcome_on_reused_connection(&cluster, &client, "edge-0", ms(moment)).await;
            if moment < 2_290 {
                assert_eq!(outcome, RequestOutcome::Served, "at {moment} ms");
            }
            cluster
        });
    }
}

#[test]
fn given_load_when_all_machines_of_a_zone_leave_at_once_then_nothing_is_lost_and_others_serve() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(320)).await;
        let load = ClientLoad::start(&cluster, 12, ms(200));
        let zone = cluster.zone_of("edge-0");
        let names = cluster.names();
        let ending: Vec<_> = names
            .iter()
            .filter(|name| cluster.zone_of(name) == zone)
            .map(|name| shut_down(&cluster, name))
            .collect();
        for elapsed in ending {
            let elapsed = elapsed.await.expect("the process ends");
            assert!(
                elapsed < cluster.settings.bounds.grace,
                "it ends by itself: {elapsed:?}"
            );
        }
        load.stop().await;
        assert!(load.served_fraction() > 0.95, "{}", load.served_fraction());
        cluster
    });
}

#[test]
fn given_the_last_machine_that_runs_when_it_leaves_then_what_it_took_is_answered() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(321)).await;
        for name in cluster.names().iter().filter(|name| *name != "edge-0") {
            cluster.kill(name);
        }
        sleep(ms(4_000)).await;
        let load = ClientLoad::start(&cluster, 6, ms(200));
        let elapsed = shut_down(&cluster, "edge-0")
            .await
            .expect("the process ends");
        assert!(elapsed < cluster.settings.bounds.grace, "{elapsed:?}");
        load.stop().await;
        cluster
    });
}

#[test]
fn given_sigterm_right_after_the_start_then_the_process_ends_in_time() {
    for moment in [0, 1, 5, 50, 400] {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(322)).await;
            cluster.kill("edge-0");
            sleep(ms(300)).await;
            cluster.start("edge-0", false);
            sleep(ms(moment)).await;
            let elapsed = shut_down(&cluster, "edge-0")
                .await
                .expect("the process ends");
            assert!(elapsed < ms(3_500), "at {moment} ms: {elapsed:?}");
            cluster
        });
    }
}

#[test]
fn given_a_core_without_quorum_and_a_stalled_disk_when_a_member_leaves_then_it_ends_in_time_without_a_loss()
 {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(323)).await;
        let load = ClientLoad::start(&cluster, 8, ms(200));
        for name in ["core-1", "core-2"] {
            cluster.kill(name);
        }
        cluster.disk("core-0").files.set_capacity(Some(0));
        sleep(ms(1_000)).await;
        let elapsed = shut_down(&cluster, "core-0")
            .await
            .expect("the process ends");
        assert!(elapsed <= cluster.settings.bounds.grace, "{elapsed:?}");
        load.stop().await;
        cluster
    });
}

#[test]
fn given_a_departure_beside_a_new_configuration_and_exchanged_seeds_then_nothing_is_lost() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(324)).await;
        let load = ClientLoad::start(&cluster, 12, ms(150));
        let ending = shut_down(&cluster, "core-1");
        sleep(ms(100)).await;
        cluster.refresh_seeds();
        let configuration = initial_configuration().next(2, |p| {
            p.routes
                .push(Route::new("new", RouteKind::Idempotent, "models"));
        });
        assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
        let elapsed = ending.await.expect("the process ends");
        assert!(elapsed < cluster.settings.bounds.grace, "{elapsed:?}");
        load.stop().await;
        assert!(load.served_fraction() > 0.95, "{}", load.served_fraction());
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_machines_that_leave_in_turn_under_load_then_nothing_is_lost() {
    for seed in 0..2 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(330 + seed)).await;
            let load = ClientLoad::start(&cluster, 16, ms(150));
            let mut ending = Vec::new();
            for name in ["edge-0", "core-0", "edge-1"] {
                ending.push(shut_down(&cluster, name));
                sleep(ms(1_000)).await;
            }
            for elapsed in ending {
                elapsed.await.expect("the process ends");
            }
            load.stop().await;
            assert!(load.served_fraction() > 0.95, "{}", load.served_fraction());
            cluster
        });
    }
}

/// The status that a client gets whose request of a long stream is complete only at `moment` after SIGTERM.
async fn slow_body(cluster: &Rc<SimulatedCluster>, name: &str, moment: Duration) -> (u16, bool) {
    let net = cluster.outside_network();
    let mut stream = net
        .connect(cluster.front_of(name))
        .await
        .expect("it takes connections");
    let head = format!(
        "POST /stream/s450 HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Key: {KEY}\r\n\
         Sparrouter-Attempt-Id: 00000000000000aa\r\nSparrouter-Deadline-Ms: 9000\r\nContent-Length: 2\r\n\r\na"
    );
    let ending = shut_down(cluster, name);
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the node reads");
    sleep(moment).await;
    stream.write_all(b"b").await.expect("the node reads");
    let mut buffer = BytesMut::new();
    let bytes = reading::head(&mut stream, &mut buffer, head::RESPONSE_PREFIX, 64 << 10).await;
    let reply =
        head::parse_response(&bytes.expect("an answer")).expect("an answer in the protocol");
    ending.await.expect("the process ends");
    let retry_after = reply.fields.get("retry-after").is_some();
    (reply.status, retry_after)
}

#[test]
fn given_a_body_that_is_complete_late_in_a_departure_then_its_client_is_asked_to_retry() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(340)).await;
        let (status, retry_after) = slow_body(&cluster, "edge-0", ms(2_900)).await;
        assert_eq!((status, retry_after), (503, true));
        cluster
    });
}

/// A process with other operations pending than its own waits for them until its grace period ends.
#[test]
fn given_a_relayed_change_of_no_known_shard_when_the_member_leaves_then_it_ends_by_itself() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(350)).await;
        let caller = PeerClient::new(cluster.outside_network());
        let call = Call::Change {
            shard: LEASE_SHARDS + 1,
            change: Blob(encode(&Change::Get)),
            timeout_ms: 500,
        };
        let to = internal_address_of(&cluster, "core-0");
        let reply = caller.call(to, &call, ms(1_000)).await;
        assert!(matches!(reply, Some(Reply::NotApplied(_))), "{reply:?}");
        let elapsed = shut_down(&cluster, "core-0")
            .await
            .expect("the process ends");
        assert!(elapsed < cluster.settings.bounds.grace / 2, "{elapsed:?}");
        cluster
    });
}

#[test]
fn given_a_group_of_one_when_it_leaves_then_it_ends_by_itself_and_reports_nothing() {
    run_checked(|| async {
        let cluster =
            SimulatedCluster::serving(ClusterSettings::with_seed(351).core_machines(1)).await;
        let elapsed = shut_down(&cluster, "core-0")
            .await
            .expect("the process ends");
        assert!(elapsed < cluster.settings.bounds.grace / 2, "{elapsed:?}");
        let log = cluster.stderr_of("core-0");
        assert!(!log.contains("not handed over"), "{log}");
        // Its disk is all that there is: the configuration is back with it.
        cluster.start("core-0", false);
        cluster.wait_until_ready().await;
        cluster.operator.read_back().await;
        cluster
    });
}
