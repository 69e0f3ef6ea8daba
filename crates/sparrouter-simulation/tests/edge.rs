//! What clients and the platform see of a node at its bounds: no configuration yet, time that is over, a departure, and
//! requests of unlike urgency.
mod scripted;

use scripted::{Act, Ask, Servers};
use sparrouter_simulation::http_messages;
use sparrouter_simulation::scenario::play;
use sparrouter_simulation::world::{Terms, World};
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
        let world = World::new(Terms::seeded(260));
        world.start_all(true).await;
        sleep(Duration::from_secs(4)).await;
        for node in world.names() {
            for path in ["/idem/a", "/once/a", "/stream/a", "/unknown"] {
                let got = Ask::new(path, "a1").at(&world, &node).await;
                assert_eq!((got.status, got.retry_after), (503, true), "{node} {path}");
            }
        }
    });
}

#[test]
fn given_a_stream_that_lasts_longer_than_its_request_may_then_it_ends_incomplete_in_time() {
    for path in ["/stream/a", "/resume/a"] {
        play(async {
            let world = scripted::world(261).await;
            let head = "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal\r\n\
                        Transfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: an event\n\n\r\n";
            let act = Act::AnswerAndStay(head.to_owned());
            let servers = Servers::start(&world, 3, move |_, _| act.clone()).await;
            let got = Ask::new(path, "a1").at(&world, NODE).await;
            assert!(
                !got.whole && !got.spoilt && got.status == 200,
                "{path} {got:?}"
            );
            let deadline = Duration::from_secs(3);
            assert!(
                got.took >= deadline && got.took < deadline + SLACK,
                "{path} {got:?}"
            );
            sleep(SLACK).await;
            assert_eq!(
                (servers.runs(), servers.ended.borrow().len()),
                (1, 1),
                "{path}"
            );
        });
    }
}

async fn is_ready(world: &World, node: &str) -> bool {
    let net = world.outside_net();
    let readiness = SocketAddr::new(world.ip(node), READINESS_PORT);
    let patience = Duration::from_millis(500);
    let reply = http_messages::call(&net, readiness, "GET", "/api/readiness", &[], "", patience);
    reply.await.is_ok_and(|r| r.status == 200)
}

#[test]
fn given_all_machines_told_to_end_when_four_seconds_have_gone_then_none_is_ready() {
    play(async {
        let world = World::serving(Terms::seeded(262)).await;
        for node in world.names() {
            assert!(is_ready(&world, &node).await, "{node}");
        }
        let told = Instant::now();
        for node in world.names() {
            let world = world.clone();
            tokio::task::spawn_local(async move { world.term(&node).await });
        }
        sleep(Duration::from_millis(100)).await;
        while told.elapsed() < Duration::from_secs(10) {
            for node in world.names() {
                assert!(
                    !is_ready(&world, &node).await,
                    "{node} {:?}",
                    told.elapsed()
                );
            }
            sleep(Duration::from_millis(200)).await;
        }
    });
}
