//! What clients and the platform see of a node at its bounds: no configuration yet, time that is over, a departure, and
//! requests of unlike urgency.
mod scripted;

use scripted::{Reaction, ScriptedRequest, Servers};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster};
use sparrouter_simulation::http_messages;
use sparrouter_simulation::runtime::play;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const NODE: &str = "edge-0";
const READINESS_PORT: u16 = 8687;
/// An answer that is due at a moment may come so much later (RULES.md, CONFIG).
const SLACK: Duration = Duration::from_millis(500);

#[test]
fn given_a_node_without_a_configuration_when_asked_then_it_answers_503_and_when_to_come_back() {
    play(async {
        let cluster = SimulatedCluster::new(ClusterSettings::with_seed(260));
        cluster.start_all(true).await;
        sleep(Duration::from_secs(4)).await;
        for node in cluster.names() {
            for path in ["/idem/a", "/once/a", "/stream/a", "/unknown"] {
                let response = ScriptedRequest::new(path, "a1")
                    .send_to(&cluster, &node)
                    .await;
                assert_eq!(
                    (response.status, response.retry_after),
                    (503, true),
                    "{node} {path}"
                );
            }
        }
    });
}

#[test]
fn given_a_stream_that_lasts_longer_than_its_request_may_then_it_ends_incomplete_in_time() {
    for path in ["/stream/a", "/resume/a"] {
        play(async {
            let cluster = scripted::cluster(261).await;
            let head = "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal\r\n\
                        Transfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: an event\n\n\r\n";
            let reaction = Reaction::RespondAndStall(head.to_owned());
            let servers = Servers::start(&cluster, 3, move |_, _| reaction.clone()).await;
            let response = ScriptedRequest::new(path, "a1")
                .send_to(&cluster, NODE)
                .await;
            assert!(
                !response.is_complete && !response.unexpected_bytes && response.status == 200,
                "{path} {response:?}"
            );
            let deadline = Duration::from_secs(3);
            assert!(
                response.elapsed >= deadline && response.elapsed < deadline + SLACK,
                "{path} {response:?}"
            );
            sleep(SLACK).await;
            assert_eq!(
                (servers.runs(), servers.disconnects.borrow().len()),
                (1, 1),
                "{path}"
            );
        });
    }
}

#[test]
fn given_an_answer_whose_body_does_not_come_when_the_time_is_over_then_each_request_ends() {
    for (path, status) in [("/idem/a", 504), ("/resume/a", 504), ("/once/a", 200)] {
        play(async {
            let cluster = scripted::cluster(264).await;
            let head = "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal\r\n\
                        Content-Length: 100\r\n\r\n";
            let reaction = Reaction::RespondAndStall(head.to_owned());
            let servers = Servers::start(&cluster, 3, move |_, _| reaction.clone()).await;
            let response = ScriptedRequest::new(path, "a1")
                .send_to(&cluster, NODE)
                .await;
            // What may not be retried is forwarded as it comes, and can only be broken off.
            assert_eq!(
                (response.status, response.is_complete),
                (status, status == 504),
                "{path} {response:?}"
            );
            assert!(
                response.elapsed < Duration::from_secs(3) + SLACK,
                "{path} {response:?}"
            );
            assert_eq!(servers.runs(), 1, "{path}");
        });
    }
}

async fn is_ready(cluster: &SimulatedCluster, node: &str) -> bool {
    let net = cluster.outside_network();
    let readiness = SocketAddr::new(cluster.ip(node), READINESS_PORT);
    let time_limit = Duration::from_millis(500);
    let reply = http_messages::call(
        &net,
        readiness,
        "GET",
        "/api/readiness",
        &[],
        "",
        time_limit,
    );
    reply.await.is_ok_and(|r| r.status == 200)
}

/// Ends all machines at once; whether none was ready at any check from 100 ms to 10 s later.
fn none_is_ready_while_leaving() -> bool {
    play(async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(262)).await;
        for node in cluster.names() {
            assert!(is_ready(&cluster, &node).await, "{node}");
        }
        let signalled_at = Instant::now();
        for node in cluster.names() {
            let cluster = cluster.clone();
            tokio::task::spawn_local(async move { cluster.terminate(&node).await });
        }
        sleep(Duration::from_millis(100)).await;
        while signalled_at.elapsed() < Duration::from_secs(10) {
            for node in cluster.names() {
                if is_ready(&cluster, &node).await {
                    return false;
                }
            }
            sleep(Duration::from_millis(200)).await;
        }
        true
    })
}

#[test]
fn given_all_machines_shut_down_when_four_seconds_have_gone_then_none_is_ready() {
    assert!(none_is_ready_while_leaving());
    inject(Some(Defect::ReadyWhileLeaving));
    let none_was_ready = none_is_ready_while_leaving();
    inject(None);
    assert!(!none_was_ready);
}

#[test]
fn given_a_server_that_leaves_without_draining_then_its_streams_end_complete_and_nothing_new_comes()
{
    play(async {
        let cluster = scripted::cluster(263).await;
        let ok = scripted::success("ok");
        let slow = Reaction::RespondAfter(Duration::from_millis(1_500), ok.clone());
        let servers = Servers::start(&cluster, 2, move |_, n| match n {
            0 => slow.clone(),
            _ => Reaction::Respond(ok.clone()),
        })
        .await;
        let (sender, answer) = tokio::sync::oneshot::channel();
        let client_cluster = cluster.clone();
        tokio::task::spawn_local(async move {
            let response = ScriptedRequest::new("/stream/a", "a1")
                .send_to(&client_cluster, NODE)
                .await;
            sender.send(response).expect("somebody waits");
        });
        sleep(Duration::from_millis(200)).await;
        let removed_server = servers.last().server;
        let path = format!("/api/instances/{}", scripted::id_of(removed_server));
        let to = cluster.control_of("core-0");
        let time_limit = Duration::from_secs(1);
        let net = cluster.outside_network();
        let signalled_at =
            http_messages::call(&net, to, "DELETE", &path, &[], "", time_limit).await;
        assert!(signalled_at.is_ok_and(|r| r.status < 300));
        sleep(Duration::from_millis(300)).await;
        for (n, node) in cluster.names().iter().enumerate() {
            let id = format!("b{n}");
            assert_eq!(
                ScriptedRequest::new("/once/a", &id)
                    .send_to(&cluster, node)
                    .await
                    .status,
                200
            );
        }
        let response = answer.await.expect("an answer");
        assert!(
            response.is_complete && response.status == 200,
            "{response:?}"
        );
        let received = servers.received.borrow();
        let there = received.iter().filter(|h| h.server == removed_server);
        assert_eq!(there.filter(|h| !h.path().starts_with("/api/")).count(), 1);
    });
}
