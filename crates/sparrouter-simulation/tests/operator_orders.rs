//! Orders of operators under trouble: one order at two nodes, behind relays that die or fall silent, as a late repeat,
//! beside another under its number, after all were killed, many at once, after hundreds of others. Each story ends with
//! the check of its history against a register with compare-and-set.
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::http_messages;
use sparrouter_simulation::operator::{How, Order};
use sparrouter_simulation::order_storm;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::{play, run_judged};
use sparrouter_simulation::server::MODEL;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// The largest time for which an order is sent again.
const GIVES_UP: Duration = Duration::from_secs(30);

/// A small fleet: three machines that keep control state and two that relay to them.
fn terms(seed: u64) -> Terms {
    Terms {
        others: 2,
        servers: 1,
        ..Terms::seeded(seed)
    }
}

fn with_route(plan: &Plan, step: u64, name: &str) -> Plan {
    plan.next(step, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

fn put(plan: &Plan, base: u64) -> Order {
    Order::new(plan, base, How::Whole, true)
}

fn patch(plan: &Plan, before: &Plan) -> Order {
    Order::new(plan, before.version, How::Patch(before.clone()), true)
}

/// The same change as PUT and as PATCH.
fn by_both_methods(before: &Plan, name: &str) -> [(Plan, Order); 2] {
    let plan = with_route(before, 2, name);
    [
        (plan.clone(), put(&plan, before.version)),
        (plan.clone(), patch(&plan, before)),
    ]
}

fn sends(world: &Rc<World>, to: SocketAddr, order: &Order) -> JoinHandle<u16> {
    let (world, order) = (world.clone(), order.clone());
    spawn_local(async move { world.operator.send(to, &order).await })
}

fn is_clear(status: u16) -> bool {
    matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422)
}

/// Sends an order to these nodes in turn until one gives a clear answer; 0 where none does.
async fn until_clear(world: &World, to: &[SocketAddr], order: &Order) -> u16 {
    let began = Instant::now();
    for address in to.iter().cycle() {
        let status = world.operator.send(*address, order).await;
        if is_clear(status) {
            return status;
        }
        if began.elapsed() > GIVES_UP {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    0
}

fn control_of(world: &World, names: &[&str]) -> Vec<SocketAddr> {
    names.iter().map(|name| world.control_of(name)).collect()
}

fn all_nodes(world: &World) -> Vec<SocketAddr> {
    world.names().iter().map(|n| world.control_of(n)).collect()
}

/// Every node that answers reads this configuration.
async fn all_read(world: &World, plan: &Plan) {
    for address in all_nodes(world) {
        let reply = world.operator.get_from(address).await.expect("an answer");
        assert_eq!((reply.status, reply.text()), (200, plan.json().as_str()));
    }
}

#[test]
fn given_one_order_at_two_nodes_at_once_then_both_acknowledge_and_it_is_taken_once() {
    for seed in 0..6 {
        for way in 0..2 {
            run_judged(|| async move {
                let world = World::serving(terms(300 + seed)).await;
                let (plan, order) = by_both_methods(&first_plan(), "new")[way].clone();
                let nodes = all_nodes(&world);
                let (one, other) = (seed as usize % 5, (seed as usize + 2) % 5);
                let first = sends(&world, nodes[one], &order);
                sleep(Duration::from_millis(seed / 2)).await;
                let second = sends(&world, nodes[other], &order);
                assert_eq!(
                    (first.await.ok(), second.await.ok()),
                    (Some(200), Some(200))
                );
                all_read(&world, &plan).await;
                world
            });
        }
    }
}

#[test]
fn given_another_body_under_the_same_number_at_once_then_one_wins_and_the_other_is_refused_for_ever()
 {
    for seed in 0..12 {
        run_judged(|| async move {
            let world = World::serving(terms(320 + seed)).await;
            let first = first_plan();
            let plans = [
                with_route(&first, 2, "left"),
                with_route(&first, 2, "right"),
            ];
            let orders = match seed % 3 {
                0 => [put(&plans[0], 1), put(&plans[1], 1)],
                1 => [put(&plans[0], 1), patch(&plans[1], &first)],
                _ => [patch(&plans[0], &first), patch(&plans[1], &first)],
            };
            let nodes = all_nodes(&world);
            let (one, other) = (
                seed as usize % 5,
                (seed as usize + 1 + seed as usize / 5) % 5,
            );
            let left = sends(&world, nodes[one], &orders[0]);
            let right = sends(&world, nodes[other], &orders[1]);
            let mut told = [left.await.unwrap_or(0), right.await.unwrap_or(0)];
            for (status, order) in told.iter_mut().zip(&orders) {
                *status = until_clear(&world, &nodes, order).await;
            }
            let winner = usize::from(told[1] == 200);
            assert_eq!((told[winner], told[1 - winner]), (200, 412));
            for address in &nodes {
                assert_eq!(
                    world.operator.send(*address, &orders[1 - winner]).await,
                    412
                );
                assert_eq!(world.operator.send(*address, &orders[winner]).await, 200);
            }
            all_read(&world, &plans[winner]).await;
            world
        });
    }
}

#[test]
fn given_a_relay_that_dies_at_any_moment_when_the_order_is_sent_again_then_it_is_acknowledged() {
    for moment in 0..14 {
        run_judged(|| async move {
            let world = World::serving(terms(340 + moment)).await;
            let (plan, order) = by_both_methods(&first_plan(), "new")[moment as usize % 2].clone();
            let relay = ["edge-0", "edge-1", "core-0"][moment as usize % 3];
            let first = sends(&world, world.control_of(relay), &order);
            sleep(Duration::from_millis(moment)).await;
            world.kill(relay);
            let others = control_of(&world, &["core-1", "core-2"]);
            assert_eq!(until_clear(&world, &others, &order).await, 200);
            assert!(!matches!(first.await, Ok(400..=499)));
            world.start(relay, false);
            sleep(Duration::from_secs(4)).await;
            all_read(&world, &plan).await;
            world
        });
    }
}

#[test]
fn given_a_relay_whose_answer_is_lost_when_the_order_was_overtaken_meanwhile_then_it_is_acknowledged()
 {
    for seed in 0..6 {
        run_judged(|| async move {
            let world = World::serving(terms(360 + seed)).await;
            let (plan, order) = by_both_methods(&first_plan(), "new")[seed as usize % 2].clone();
            let relay = ["edge-0", "core-0", "core-1"][seed as usize % 3];
            let answers = (world.ip(relay), world.operator_ip());
            let first = sends(&world, world.control_of(relay), &order);
            sleep(Duration::from_millis(5)).await;
            world.fabric.cut(answers.0, answers.1, Some(Cut::Silent));
            assert_eq!(first.await.ok(), Some(0), "the answer is lost");
            let others = control_of(&world, &["edge-1", "core-2"]);
            let mut newest = plan;
            for round in 0..seed {
                let next = with_route(&newest, 3, &format!("later{round}"));
                let status = until_clear(&world, &others, &put(&next, newest.version)).await;
                assert_eq!(status, 200);
                newest = next;
            }
            assert_eq!(until_clear(&world, &others, &order).await, 200);
            world.fabric.cut(answers.0, answers.1, None);
            assert_eq!(
                world.operator.send(world.control_of(relay), &order).await,
                200
            );
            all_read(&world, &newest).await;
            world
        });
    }
}

#[test]
fn given_a_relay_cut_off_in_the_middle_then_it_refuses_nothing_and_the_order_is_acknowledged_elsewhere()
 {
    for moment in 0..16 {
        run_judged(|| async move {
            let world = World::serving(terms(380 + moment)).await;
            let (plan, order) = by_both_methods(&first_plan(), "new")[moment as usize % 2].clone();
            let relay = ["edge-0", "core-0", "core-1", "core-2"][moment as usize % 4];
            let cut = if moment % 3 == 0 {
                Cut::Refusing
            } else {
                Cut::Silent
            };
            let first = sends(&world, world.control_of(relay), &order);
            sleep(Duration::from_millis(moment / 2)).await;
            world.cut_off(&[relay], Some(cut));
            let first = first.await.unwrap_or(0);
            assert!(!is_clear(first) || first == 200, "{first}");
            let others: Vec<SocketAddr> = all_nodes(&world)
                .into_iter()
                .filter(|a| *a != world.control_of(relay))
                .collect();
            assert_eq!(until_clear(&world, &others, &order).await, 200);
            let newest = with_route(&plan, 3, "later");
            assert_eq!(
                until_clear(&world, &others, &put(&newest, plan.version)).await,
                200
            );
            for _ in 0..3 {
                let alone = world.operator.send(world.control_of(relay), &order).await;
                assert!(!is_clear(alone), "a node without a quorum answers {alone}");
            }
            world.cut_off(&[relay], None);
            let back = [world.control_of(relay)];
            assert_eq!(until_clear(&world, &back, &order).await, 200);
            all_read(&world, &newest).await;
            world
        });
    }
}

#[test]
fn given_a_repeat_that_arrives_before_the_first_copy_then_the_first_does_not_come_into_force_again()
{
    for seed in 0..8 {
        run_judged(|| async move {
            let world = World::serving(terms(400 + seed)).await;
            let (plan, order) = by_both_methods(&first_plan(), "new")[seed as usize % 2].clone();
            let late = ["edge-0", "core-0", "core-1", "core-2"][seed as usize / 2];
            world.freeze(late, true);
            // It waits at the frozen machine, and in frames between others and it.
            let first = sends(&world, world.control_of(late), &order);
            let others: Vec<SocketAddr> = all_nodes(&world)
                .into_iter()
                .filter(|a| *a != world.control_of(late))
                .collect();
            assert_eq!(until_clear(&world, &others, &order).await, 200);
            let newest = with_route(&plan, 3, "later");
            let status = until_clear(&world, &others, &put(&newest, plan.version)).await;
            assert_eq!(status, 200);
            assert!(!matches!(first.await, Ok(400..=499)));
            world.freeze(late, false);
            sleep(Duration::from_secs(4)).await;
            all_read(&world, &newest).await;
            assert_eq!(until_clear(&world, &all_nodes(&world), &order).await, 200);
            world
        });
    }
}

#[test]
fn given_all_killed_or_without_power_at_any_moment_when_back_then_winner_and_loser_are_known() {
    for moment in 0..12 {
        run_judged(|| async move {
            let world = World::serving(terms(420 + moment)).await;
            let first = first_plan();
            let plans = [
                with_route(&first, 2, "left"),
                with_route(&first, 2, "right"),
            ];
            let orders = [put(&plans[0], 1), patch(&plans[1], &first)];
            let nodes = all_nodes(&world);
            let sent = [
                sends(&world, nodes[moment as usize % 5], &orders[0]),
                sends(&world, nodes[(moment as usize + 1) % 5], &orders[1]),
            ];
            sleep(Duration::from_millis(2 * moment)).await;
            for name in world.names() {
                match moment % 2 {
                    0 => world.kill(&name),
                    _ => world.power_off(&name),
                }
            }
            let mut told = Vec::new();
            for call in sent {
                told.push(call.await.unwrap_or(0));
            }
            sleep(Duration::from_millis(700)).await;
            for name in world.names() {
                match moment % 2 {
                    0 => world.start(&name, false),
                    _ => world.power_on(&name),
                }
            }
            let mut again = Vec::new();
            for order in &orders {
                again.push(until_clear(&world, &nodes, order).await);
            }
            let winner = usize::from(again[1] == 200);
            assert_eq!((again[winner], again[1 - winner]), (200, 412));
            for (before, after) in told.iter().zip(&again) {
                assert!(!is_clear(*before) || before == after, "{told:?} {again:?}");
            }
            sleep(Duration::from_secs(4)).await;
            all_read(&world, &plans[winner]).await;
            world
        });
    }
}

#[test]
fn given_eight_orders_under_way_on_one_version_then_one_wins_and_seven_are_refused() {
    for seed in 0..6 {
        run_judged(|| async move {
            let world = World::serving(terms(440 + seed)).await;
            let nodes = all_nodes(&world);
            let mut base = first_plan();
            for round in 0..4 {
                let plans: Vec<Plan> = (0..8)
                    .map(|n| with_route(&base, 1 + n % 3, &format!("r{round}o{n}")))
                    .collect();
                let orders: Vec<Order> = plans
                    .iter()
                    .enumerate()
                    .map(|(n, plan)| match n % 2 {
                        0 => put(plan, base.version),
                        _ => patch(plan, &base),
                    })
                    .collect();
                let calls: Vec<JoinHandle<u16>> = orders
                    .iter()
                    .enumerate()
                    .map(|(n, order)| sends(&world, nodes[n % nodes.len()], order))
                    .collect();
                for call in calls {
                    call.await.expect("a call comes to its end");
                }
                let mut told = Vec::new();
                for order in &orders {
                    told.push(until_clear(&world, &nodes, order).await);
                }
                let won: Vec<usize> = (0..8).filter(|n| told[*n] == 200).collect();
                assert_eq!(won.len(), 1, "{told:?}");
                assert!(told.iter().all(|s| matches!(s, 200 | 412)), "{told:?}");
                base = plans[won[0]].clone();
            }
            all_read(&world, &base).await;
            world
        });
    }
}

#[test]
fn given_eight_orders_that_build_on_each_other_sent_at_once_then_each_is_taken_in_turn_or_refused()
{
    for seed in 0..4 {
        run_judged(|| async move {
            let world = World::serving(terms(450 + seed)).await;
            let nodes = all_nodes(&world);
            let mut plans = vec![first_plan()];
            for n in 0..8 {
                plans.push(with_route(&plans[n], 2, &format!("step{n}")));
            }
            let orders: Vec<Order> = plans.windows(2).map(|p| put(&p[1], p[0].version)).collect();
            let calls: Vec<JoinHandle<u16>> = orders
                .iter()
                .enumerate()
                .map(|(n, order)| sends(&world, nodes[(n + seed as usize) % nodes.len()], order))
                .collect();
            for call in calls {
                call.await.expect("a call comes to its end");
            }
            for order in &orders {
                assert_eq!(until_clear(&world, &nodes, order).await, 200);
            }
            all_read(&world, &plans[8]).await;
            world
        });
    }
}

#[test]
fn given_a_body_that_differs_in_spaces_only_when_sent_beside_the_first_then_both_are_acknowledged()
{
    for seed in 0..4 {
        run_judged(|| async move {
            let world = World::serving(terms(460 + seed)).await;
            let plan = with_route(&first_plan(), 2, "new");
            let spaced = Order::new(
                &plan,
                1,
                How::Body(plan.json().replace(",\"", " ,\n\t\"")),
                true,
            );
            let nodes = all_nodes(&world);
            let calls = [
                sends(&world, nodes[seed as usize], &put(&plan, 1)),
                sends(&world, nodes[4 - seed as usize], &spaced),
            ];
            for call in calls {
                assert_eq!(call.await.ok(), Some(200));
            }
            all_read(&world, &plan).await;
            world
        });
    }
}

#[test]
fn given_six_hundred_changes_when_the_first_is_sent_again_then_it_is_acknowledged_and_the_losers_refused()
 {
    run_judged(|| async move {
        let world = World::serving(terms(470)).await;
        let nodes = all_nodes(&world);
        let mut plan = first_plan();
        let mut taken: Vec<Order> = Vec::new();
        let mut lost: Vec<Order> = Vec::new();
        for n in 0..600_usize {
            let next = plan.next(1 + n as u64 % 3, |p| {
                p.routes[0].timeout_ms = 5_000 + n as u64;
            });
            let rival = next.next(0, |p| p.routes[1].timeout_ms = 4_000 + n as u64);
            let order = match n % 2 {
                0 => put(&next, plan.version),
                _ => patch(&next, &plan),
            };
            assert_eq!(until_clear(&world, &nodes[n % 5..], &order).await, 200);
            taken.push(order);
            lost.push(put(&rival, plan.version));
            plan = next;
            if n == 300 {
                world.kill("core-1");
            }
            if n == 320 {
                world.start("core-1", false);
            }
        }
        for n in [0, 1, 2, 299, 300, 598, 599] {
            assert_eq!(until_clear(&world, &nodes, &taken[n]).await, 200, "{n}");
            assert_eq!(until_clear(&world, &nodes, &lost[n]).await, 412, "{n}");
        }
        all_read(&world, &plan).await;
        world
    });
}

#[test]
fn given_nodes_without_a_quorum_when_called_then_no_call_is_confirmed_or_refused() {
    for (seed, how) in [(480, Cut::Silent), (481, Cut::Refusing)] {
        run_judged(|| async move {
            let world = World::serving(terms(seed)).await;
            let first = first_plan();
            let alone = ["core-0", "edge-0"];
            world.cut_off(&alone, Some(how));
            let newest = with_route(&first, 2, "new");
            let majority = control_of(&world, &["core-1", "core-2"]);
            assert_eq!(until_clear(&world, &majority, &put(&newest, 1)).await, 200);
            let stale = with_route(&first, 2, "stale");
            let next = with_route(&newest, 2, "next");
            let outside = world.outside_net();
            for name in alone {
                let to = world.control_of(name);
                let orders = [
                    put(&newest, 1),
                    put(&stale, 1),
                    patch(&stale, &first),
                    put(&next, newest.version),
                    patch(&next, &newest),
                ];
                for order in &orders {
                    let status = world.operator.send(to, order).await;
                    assert!(matches!(status, 0 | 503 | 504), "{name}: {status}");
                }
                let read = world.operator.get_from(to).await.map_or(0, |r| r.status);
                assert!(matches!(read, 0 | 503 | 504), "{name}: {read}");
                let named = format!("{{\"model\":\"{MODEL}\",\"version\":2}}");
                let reply = http_messages::call(
                    &outside,
                    to,
                    "POST",
                    "/api/version-put",
                    &[],
                    &named,
                    Duration::from_secs(1),
                );
                let status = reply.await.map_or(0, |r| r.status);
                assert!(matches!(status, 0 | 503 | 504), "{name}: {status}");
            }
            world.cut_off(&alone, None);
            sleep(Duration::from_secs(4)).await;
            let nodes = all_nodes(&world);
            assert_eq!(until_clear(&world, &nodes, &put(&stale, 1)).await, 412);
            assert_eq!(until_clear(&world, &nodes, &put(&newest, 1)).await, 200);
            assert!(world.operator.name_version(2).await);
            world
        });
    }
}

#[test]
fn given_an_order_ahead_of_its_base_when_a_copy_waits_at_a_frozen_member_then_its_refusal_is_not_passed_on()
 {
    for frozen in ["core-0", "core-1", "core-2"] {
        run_judged(|| async move {
            let world = World::serving(terms(490)).await;
            let base = with_route(&first_plan(), 2, "base");
            let ahead = with_route(&base, 2, "ahead");
            let order = put(&ahead, base.version);
            world.freeze(frozen, true);
            let told = world
                .operator
                .send(world.control_of("edge-0"), &order)
                .await;
            let others: Vec<SocketAddr> = all_nodes(&world)
                .into_iter()
                .filter(|a| *a != world.control_of(frozen))
                .collect();
            assert_eq!(until_clear(&world, &others, &put(&base, 1)).await, 200);
            world.freeze(frozen, false);
            sleep(Duration::from_secs(4)).await;
            let read = world.operator.get_from(others[0]).await.expect("an answer");
            let in_force = read.text() == ahead.json();
            assert!(!(told == 412 && in_force), "refused, and in force later");
            world
        });
    }
}

#[test]
fn given_operators_at_once_over_a_core_in_trouble_when_checked_then_their_history_is_linearizable()
{
    for seed in 1..4 {
        let report = play(order_storm::play(seed));
        assert!(
            report.breaches.is_empty(),
            "seed {seed}: {:#?}",
            report.breaches
        );
        assert!(
            report.acknowledged > 40 && report.refused > 40,
            "seed {seed}"
        );
    }
}
