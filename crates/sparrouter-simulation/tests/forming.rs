//! A fleet comes up from three seeds and serves.
use sparrouter_simulation::client::RequestOutcome;
use sparrouter_simulation::http_messages;
use sparrouter_simulation::load;
use sparrouter_simulation::plan::Kind;
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::{Terms, World, request};
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn given_three_seeds_when_all_machines_start_then_the_fleet_serves_every_kind() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(1)).await;
        let client = world.client(false);
        for (kind, word) in [
            (Kind::Idempotent, "b300"),
            (Kind::NonIdempotent, "b30"),
            (Kind::Streaming, "s8"),
            (Kind::Resumable, "s8"),
        ] {
            assert_eq!(
                client.get(&request(kind, word)).await,
                RequestOutcome::Served,
                "{kind:?}"
            );
        }
        world
    });
}

#[test]
fn given_a_calm_fleet_when_clients_ask_on_then_all_are_served() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(2)).await;
        let tally = load::begin(&world, 12, Duration::from_millis(150));
        sleep(Duration::from_secs(10)).await;
        tally.stop().await;
        assert!(tally.sent.get() > 500, "{} sent", tally.sent.get());
        assert_eq!(
            tally.served.get(),
            tally.sent.get(),
            "{:?}",
            tally.refused.borrow()
        );
        world
    });
}

#[test]
fn given_nodes_that_go_on_asking_when_the_core_forgets_them_all_then_each_tells_its_row_anew() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(3)).await;
        let core = world.core();
        for name in &core {
            world.kill(name);
        }
        // Rows are advice: what a disk keeps of them may be lost, the control state may not.
        for name in &core {
            world.disk(name).forget_rows();
        }
        for name in &core {
            world.start(name, false);
        }
        sleep(Duration::from_secs(4)).await;
        for name in &core {
            let at = world.control_of(name);
            let net = world.outside_net();
            let asked = http_messages::call(
                &net,
                at,
                "GET",
                "/api/status",
                &[],
                "",
                Duration::from_secs(1),
            );
            let reply = asked.await.expect("a node of the core answers");
            for other in world.names() {
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
        world
    });
}

#[test]
fn given_a_node_that_starts_anew_when_a_request_comes_before_its_configuration_then_it_waits_for_it()
 {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(7)).await;
        world.kill("edge-0");
        sleep(Duration::from_millis(500)).await;
        world.start("edge-0", false);
        sleep(Duration::from_millis(2)).await;
        let asked = sparrouter_simulation::client::ClientRequest {
            retries: 0,
            ..request(Kind::Idempotent, "b5")
        };
        let came = world
            .client(false)
            .get_at(&asked, world.front_of("edge-0"), 0)
            .await;
        assert_eq!(came, RequestOutcome::Served);
        world
    });
}
