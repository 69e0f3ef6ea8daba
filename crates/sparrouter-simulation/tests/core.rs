//! The core: nodes that are killed, wiped, cut off, replaced, or all end at once, and what was acknowledged.
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::load;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(2, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

fn operator_sends(world: &Rc<World>, plan: &Plan, base: u64) -> tokio::task::JoinHandle<u16> {
    let (world, plan) = (world.clone(), plan.clone());
    spawn_local(async move { world.operator.put(&plan, base).await })
}

#[test]
fn given_a_core_node_killed_at_any_moment_of_a_change_then_what_was_acknowledged_stays() {
    for moment in 0..12 {
        run_judged(|| async {
            let world = World::serving(Terms {
                others: 1,
                servers: 1,
                ..Terms::seeded(20 + moment)
            })
            .await;
            let plan = with_route(&first_plan(), "new");
            let sending = operator_sends(&world, &plan, 1);
            sleep(Duration::from_millis(moment)).await;
            let victim = format!("core-{}", moment % 3);
            world.kill(&victim);
            sleep(Duration::from_millis(300)).await;
            world.start(&victim, false);
            assert_eq!(sending.await.ok(), Some(200));
            world.operator.read_back().await;
            world
        });
    }
}

#[test]
fn given_a_disk_wiped_right_after_an_acknowledgement_when_the_others_lose_power_then_it_is_not_lost()
 {
    for seed in 0..6 {
        run_judged(|| async {
            let world = World::serving(Terms {
                others: 1,
                servers: 1,
                ..Terms::seeded(40 + seed)
            })
            .await;
            let plan = with_route(&first_plan(), "new");
            assert_eq!(world.operator.put(&plan, 1).await, 200);
            let wiped = format!("core-{}", seed % 3);
            for name in world.core() {
                world.power_off(&name);
            }
            world.wipe(&wiped);
            sleep(Duration::from_millis(500)).await;
            for name in world.core() {
                world.power_on(&name);
            }
            sleep(Duration::from_secs(5)).await;
            world.operator.read_back().await;
            let next = with_route(&plan, "later");
            assert_eq!(
                world.operator.put(&next, plan.version).await,
                200,
                "the core works again"
            );
            world
        });
    }
}

#[test]
fn given_a_core_cut_in_two_then_the_minority_acknowledges_nothing_and_all_follow_the_majority() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(50)).await;
        world.cut_off(&["core-0"], Some(Cut::Silent));
        let plan = with_route(&first_plan(), "new");
        let net = world.outside_net();
        let fields = [("If-Match", "1")];
        let call = |name: &str| {
            let to = world.control_of(name);
            let (net, body) = (net.clone(), plan.json());
            async move {
                let patience = Duration::from_secs(2);
                let call = sparrouter_simulation::http_messages::call(
                    &net,
                    to,
                    "PUT",
                    "/api/config",
                    &fields,
                    &body,
                    patience,
                );
                call.await.map_or(0, |r| r.status)
            }
        };
        let alone = call("core-0").await;
        assert!(!(200..300).contains(&alone), "{alone}");
        let place = world.judge.config_sent(&plan, 1, true);
        assert_eq!(call("core-1").await, 200);
        world.judge.config_acknowledged(place);
        sleep(Duration::from_secs(2)).await;
        for name in ["edge-0", "edge-1", "edge-2"] {
            let client = world.client(false);
            let asked = sparrouter_simulation::client::ClientRequest {
                path: "/new/b5".to_owned(),
                retries: 0,
                ..sparrouter_simulation::world::request(Kind::Idempotent, "b5")
            };
            let came = client.get_at(&asked, world.front_of(name), 0).await;
            assert_eq!(
                came,
                sparrouter_simulation::client::RequestOutcome::Served,
                "{name}"
            );
        }
        world.cut_off(&["core-0"], None);
        sleep(Duration::from_secs(6)).await;
        let reply = world
            .operator
            .get_from(world.control_of("core-0"))
            .await
            .expect("an answer");
        assert!(reply.text().contains("\"version\":3"), "{}", reply.text());
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_a_core_machine_replaced_by_an_empty_one_then_the_core_bears_another_loss() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(51)).await;
        let mut plan = first_plan();
        for lost in ["core-0", "core-1", "core-2"] {
            let new = world.replace(lost);
            sleep(Duration::from_secs(9)).await;
            assert!(world.runs(&new));
            let next = with_route(&plan, &format!("after-{lost}"));
            assert_eq!(
                world.operator.put(&next, plan.version).await,
                200,
                "without {lost}"
            );
            plan = next;
        }
        let reply = world
            .operator
            .get_from(world.control_of("edge-0"))
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200);
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_all_processes_killed_at_once_when_back_then_they_serve_within_the_time_for_it() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(52)).await;
        let plan = with_route(&first_plan(), "new");
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        let tally = load::begin(&world, 10, Duration::from_millis(200));
        sleep(Duration::from_secs(3)).await;
        for name in world.names() {
            world.kill(&name);
        }
        sleep(Duration::from_millis(800)).await;
        world.start_all(false).await;
        let back = Instant::now();
        sleep(Duration::from_secs(6)).await;
        assert!(back.elapsed() < world.terms.bounds.recovery);
        tally.count_anew();
        sleep(Duration::from_secs(3)).await;
        tally.stop().await;
        let (sent, served) = tally.late.get();
        assert!(sent > 100 && served >= sent - 2, "{served} of {sent}");
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_seeds_exchanged_for_other_machines_when_a_node_starts_then_it_finds_the_fleet() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(53)).await;
        let seeds: Vec<_> = ["edge-0", "edge-1", "edge-2"]
            .iter()
            .map(|n| world.control_of(n))
            .collect();
        world.exchange_seeds(&seeds);
        for name in ["core-1", "edge-2"] {
            world.kill(name);
            sleep(Duration::from_millis(400)).await;
            world.start(name, false);
            sleep(Duration::from_secs(3)).await;
            assert!(world.platform.is_in(name), "{name}");
        }
        let plan = with_route(&first_plan(), "new");
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_all_without_power_when_a_majority_is_back_one_after_the_other_then_it_agrees_at_once() {
    for seed in 0..6 {
        run_judged(|| async {
            let world = World::serving(Terms {
                others: 1,
                servers: 1,
                ..Terms::seeded(70 + seed)
            })
            .await;
            let core = world.core();
            core.iter().for_each(|name| world.power_off(name));
            sleep(Duration::from_millis(1_300)).await;
            // The first asks one that is still dark: what it says is lost, and the network says it again a second later.
            world.power_on(&core[0]);
            sleep(Duration::from_millis(40 + 10 * seed)).await;
            world.power_on(&core[1]);
            let back = Instant::now();
            while world
                .operator
                .get_from(world.control_of(&core[0]))
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
            world
        });
    }
}

#[test]
fn given_a_node_cut_off_while_every_core_machine_is_replaced_when_joined_then_its_seeds_lead_it_to_the_new_ones()
 {
    for seed in 0..4 {
        run_judged(|| async {
            let world = World::serving(Terms::seeded(54 + seed)).await;
            let mut plan = first_plan();
            // Twice: the more machines it remembers that are gone, the longer it has somebody left to ask in vain.
            for round in 0..2 {
                world.cut_off(&["edge-0"], Some(Cut::Silent));
                for lost in world.core() {
                    world.replace(&lost);
                    world.cut_off(&["edge-0"], Some(Cut::Silent));
                    sleep(Duration::from_secs(9)).await;
                }
                let next = with_route(&plan, &format!("new{round}"));
                assert_eq!(world.operator.put(&next, plan.version).await, 200);
                plan = next;
                world.cut_off(&["edge-0"], None);
                sleep(world.terms.bounds.contact + world.terms.bounds.config_apply).await;
                let reply = world
                    .operator
                    .get_from(world.control_of("edge-0"))
                    .await
                    .expect("an answer");
                assert_eq!(reply.status, 200);
                let asked = sparrouter_simulation::client::ClientRequest {
                    path: format!("/new{round}/b5"),
                    retries: 0,
                    ..sparrouter_simulation::world::request(Kind::Idempotent, "b5")
                };
                let came = world
                    .client(false)
                    .get_at(&asked, world.front_of("edge-0"), 0)
                    .await;
                assert_eq!(
                    came,
                    sparrouter_simulation::client::RequestOutcome::Served,
                    "round {round}"
                );
            }
            world.operator.read_back().await;
            world
        });
    }
}
