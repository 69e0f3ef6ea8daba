//! Orders of operators beside faults: one order at two nodes, behind relays that end or do not answer, as a late repeat,
//! beside another under its number, after all were killed, many at once, after hundreds of others. Each test ends with
//! the check of its history against a register with compare-and-set.
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::Configuration;
use sparrouter_simulation::http_messages;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::operator::{Encoding, Order};
use sparrouter_simulation::order_load;
use sparrouter_simulation::runtime::{play, run_checked};
use sparrouter_simulation::server::MODEL;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// The largest time for which an order is sent again.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// A small fleet: three machines that keep control state and two that relay to them.
fn settings(seed: u64) -> ClusterSettings {
    ClusterSettings::with_seed(seed).edge_machines(2).servers(1)
}

fn put(configuration: &Configuration, base: u64) -> Order {
    Order::new(configuration, base, Encoding::Full, true)
}

fn patch(configuration: &Configuration, before: &Configuration) -> Order {
    Order::new(
        configuration,
        before.version,
        Encoding::Patch(before.clone()),
        true,
    )
}

/// The same change as PUT and as PATCH.
fn by_both_methods(before: &Configuration, name: &str) -> [(Configuration, Order); 2] {
    let configuration = before.with_route(2, name);
    [
        (configuration.clone(), put(&configuration, before.version)),
        (configuration.clone(), patch(&configuration, before)),
    ]
}

fn sends(cluster: &Rc<SimulatedCluster>, to: SocketAddr, order: &Order) -> JoinHandle<u16> {
    let (cluster, order) = (cluster.clone(), order.clone());
    spawn_local(async move { cluster.operator.send(to, &order).await })
}

fn is_clear(status: u16) -> bool {
    matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422)
}

/// Sends an order to these nodes in turn until one gives a clear answer; 0 where none does.
async fn send_until_clear(cluster: &SimulatedCluster, to: &[SocketAddr], order: &Order) -> u16 {
    let began = Instant::now();
    for address in to.iter().cycle() {
        let status = cluster.operator.send(*address, order).await;
        if is_clear(status) {
            return status;
        }
        if began.elapsed() > SEND_TIMEOUT {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    0
}

fn control_of(cluster: &SimulatedCluster, names: &[&str]) -> Vec<SocketAddr> {
    names.iter().map(|name| cluster.control_of(name)).collect()
}

fn all_nodes(cluster: &SimulatedCluster) -> Vec<SocketAddr> {
    cluster
        .names()
        .iter()
        .map(|n| cluster.control_of(n))
        .collect()
}

/// Every node that answers reads this configuration.
async fn all_read(cluster: &SimulatedCluster, configuration: &Configuration) {
    for address in all_nodes(cluster) {
        let reply = cluster.operator.get_from(address).await.expect("an answer");
        assert_eq!(
            (reply.status, reply.text()),
            (200, configuration.json().as_str())
        );
    }
}

#[test]
fn given_one_order_at_two_nodes_at_once_then_both_acknowledge_and_it_is_accepted_once() {
    for seed in 0..6 {
        for way in 0..2 {
            run_checked(|| async move {
                let cluster = SimulatedCluster::serving(settings(300 + seed)).await;
                let (configuration, order) =
                    by_both_methods(&initial_configuration(), "new")[way].clone();
                let nodes = all_nodes(&cluster);
                let (one, other) = (seed as usize % 5, (seed as usize + 2) % 5);
                let first = sends(&cluster, nodes[one], &order);
                sleep(Duration::from_millis(seed / 2)).await;
                let second = sends(&cluster, nodes[other], &order);
                assert_eq!(
                    (first.await.ok(), second.await.ok()),
                    (Some(200), Some(200))
                );
                all_read(&cluster, &configuration).await;
                cluster
            });
        }
    }
}

#[test]
fn given_another_body_under_the_same_number_at_once_then_one_wins_and_the_other_is_rejected_for_ever()
 {
    for seed in 0..12 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(320 + seed)).await;
            let first = initial_configuration();
            let plans = [first.with_route(2, "left"), first.with_route(2, "right")];
            let orders = match seed % 3 {
                0 => [put(&plans[0], 1), put(&plans[1], 1)],
                1 => [put(&plans[0], 1), patch(&plans[1], &first)],
                _ => [patch(&plans[0], &first), patch(&plans[1], &first)],
            };
            let nodes = all_nodes(&cluster);
            let (one, other) = (
                seed as usize % 5,
                (seed as usize + 1 + seed as usize / 5) % 5,
            );
            let left = sends(&cluster, nodes[one], &orders[0]);
            let right = sends(&cluster, nodes[other], &orders[1]);
            let mut statuses = [left.await.unwrap_or(0), right.await.unwrap_or(0)];
            for (status, order) in statuses.iter_mut().zip(&orders) {
                *status = send_until_clear(&cluster, &nodes, order).await;
            }
            let winner = usize::from(statuses[1] == 200);
            assert_eq!((statuses[winner], statuses[1 - winner]), (200, 412));
            for address in &nodes {
                assert_eq!(
                    cluster.operator.send(*address, &orders[1 - winner]).await,
                    412
                );
                assert_eq!(cluster.operator.send(*address, &orders[winner]).await, 200);
            }
            all_read(&cluster, &plans[winner]).await;
            cluster
        });
    }
}

#[test]
fn given_a_relay_that_dies_at_any_moment_when_the_order_is_sent_again_then_it_is_acknowledged() {
    for moment in 0..14 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(340 + moment)).await;
            let (configuration, order) =
                by_both_methods(&initial_configuration(), "new")[moment as usize % 2].clone();
            let relay = ["edge-0", "edge-1", "core-0"][moment as usize % 3];
            let first = sends(&cluster, cluster.control_of(relay), &order);
            sleep(Duration::from_millis(moment)).await;
            cluster.kill(relay);
            let others = control_of(&cluster, &["core-1", "core-2"]);
            assert_eq!(send_until_clear(&cluster, &others, &order).await, 200);
            assert!(!matches!(first.await, Ok(400..=499)));
            cluster.start(relay, false);
            sleep(Duration::from_secs(4)).await;
            all_read(&cluster, &configuration).await;
            cluster
        });
    }
}

#[test]
fn given_a_relay_whose_answer_is_lost_when_the_order_was_overtaken_meanwhile_then_it_is_acknowledged()
 {
    for seed in 0..6 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(360 + seed)).await;
            let (configuration, order) =
                by_both_methods(&initial_configuration(), "new")[seed as usize % 2].clone();
            let relay = ["edge-0", "core-0", "core-1"][seed as usize % 3];
            let answers = (cluster.ip(relay), cluster.operator_ip());
            let first = sends(&cluster, cluster.control_of(relay), &order);
            sleep(Duration::from_millis(5)).await;
            cluster
                .network
                .partition(answers.0, answers.1, Some(Partition::PacketsLost));
            assert_eq!(first.await.ok(), Some(0), "the answer is lost");
            let others = control_of(&cluster, &["edge-1", "core-2"]);
            let mut newest = configuration;
            for round in 0..seed {
                let next = newest.with_route(3, &format!("later{round}"));
                let status = send_until_clear(&cluster, &others, &put(&next, newest.version)).await;
                assert_eq!(status, 200);
                newest = next;
            }
            assert_eq!(send_until_clear(&cluster, &others, &order).await, 200);
            cluster.network.partition(answers.0, answers.1, None);
            assert_eq!(
                cluster
                    .operator
                    .send(cluster.control_of(relay), &order)
                    .await,
                200
            );
            all_read(&cluster, &newest).await;
            cluster
        });
    }
}

#[test]
fn given_a_relay_partitioned_in_the_middle_then_it_rejects_nothing_and_the_order_is_acknowledged_elsewhere()
 {
    for moment in 0..16 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(380 + moment)).await;
            let (configuration, order) =
                by_both_methods(&initial_configuration(), "new")[moment as usize % 2].clone();
            let relay = ["edge-0", "core-0", "core-1", "core-2"][moment as usize % 4];
            let partition = if moment % 3 == 0 {
                Partition::Refusing
            } else {
                Partition::PacketsLost
            };
            let first = sends(&cluster, cluster.control_of(relay), &order);
            sleep(Duration::from_millis(moment / 2)).await;
            cluster.partition(&[relay], Some(partition));
            let first = first.await.unwrap_or(0);
            assert!(!is_clear(first) || first == 200, "{first}");
            let others: Vec<SocketAddr> = all_nodes(&cluster)
                .into_iter()
                .filter(|a| *a != cluster.control_of(relay))
                .collect();
            assert_eq!(send_until_clear(&cluster, &others, &order).await, 200);
            let newest = configuration.with_route(3, "later");
            assert_eq!(
                send_until_clear(&cluster, &others, &put(&newest, configuration.version)).await,
                200
            );
            for _ in 0..3 {
                let alone = cluster
                    .operator
                    .send(cluster.control_of(relay), &order)
                    .await;
                assert!(!is_clear(alone), "a node without a quorum answers {alone}");
            }
            cluster.partition(&[relay], None);
            let back = [cluster.control_of(relay)];
            assert_eq!(send_until_clear(&cluster, &back, &order).await, 200);
            all_read(&cluster, &newest).await;
            cluster
        });
    }
}

#[test]
fn given_a_repeat_that_arrives_before_the_first_copy_then_the_first_does_not_come_into_force_again()
{
    for seed in 0..8 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(400 + seed)).await;
            let (configuration, order) =
                by_both_methods(&initial_configuration(), "new")[seed as usize % 2].clone();
            let late = ["edge-0", "core-0", "core-1", "core-2"][seed as usize / 2];
            cluster.freeze(late, true);
            // It waits at the frozen machine, and in frames between others and it.
            let first = sends(&cluster, cluster.control_of(late), &order);
            let others: Vec<SocketAddr> = all_nodes(&cluster)
                .into_iter()
                .filter(|a| *a != cluster.control_of(late))
                .collect();
            assert_eq!(send_until_clear(&cluster, &others, &order).await, 200);
            let newest = configuration.with_route(3, "later");
            let status =
                send_until_clear(&cluster, &others, &put(&newest, configuration.version)).await;
            assert_eq!(status, 200);
            assert!(!matches!(first.await, Ok(400..=499)));
            cluster.freeze(late, false);
            sleep(Duration::from_secs(4)).await;
            all_read(&cluster, &newest).await;
            assert_eq!(
                send_until_clear(&cluster, &all_nodes(&cluster), &order).await,
                200
            );
            cluster
        });
    }
}

#[test]
fn given_all_killed_or_without_power_at_any_moment_when_back_then_winner_and_loser_are_known() {
    for moment in 0..12 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(420 + moment)).await;
            let first = initial_configuration();
            let plans = [first.with_route(2, "left"), first.with_route(2, "right")];
            let orders = [put(&plans[0], 1), patch(&plans[1], &first)];
            let nodes = all_nodes(&cluster);
            let sent = [
                sends(&cluster, nodes[moment as usize % 5], &orders[0]),
                sends(&cluster, nodes[(moment as usize + 1) % 5], &orders[1]),
            ];
            sleep(Duration::from_millis(2 * moment)).await;
            for name in cluster.names() {
                match moment % 2 {
                    0 => cluster.kill(&name),
                    _ => cluster.power_off(&name),
                }
            }
            let mut statuses = Vec::new();
            for call in sent {
                statuses.push(call.await.unwrap_or(0));
            }
            sleep(Duration::from_millis(700)).await;
            for name in cluster.names() {
                match moment % 2 {
                    0 => cluster.start(&name, false),
                    _ => cluster.power_on(&name),
                }
            }
            let mut again = Vec::new();
            for order in &orders {
                again.push(send_until_clear(&cluster, &nodes, order).await);
            }
            let winner = usize::from(again[1] == 200);
            assert_eq!((again[winner], again[1 - winner]), (200, 412));
            for (before, after) in statuses.iter().zip(&again) {
                assert!(
                    !is_clear(*before) || before == after,
                    "{statuses:?} {again:?}"
                );
            }
            sleep(Duration::from_secs(4)).await;
            all_read(&cluster, &plans[winner]).await;
            cluster
        });
    }
}

#[test]
fn given_eight_orders_under_way_on_one_version_then_one_wins_and_seven_are_rejected() {
    for seed in 0..6 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(440 + seed)).await;
            let nodes = all_nodes(&cluster);
            let mut base = initial_configuration();
            for round in 0..4 {
                let plans: Vec<Configuration> = (0..8)
                    .map(|n| base.with_route(1 + n % 3, &format!("r{round}o{n}")))
                    .collect();
                let orders: Vec<Order> = plans
                    .iter()
                    .enumerate()
                    .map(|(n, configuration)| match n % 2 {
                        0 => put(configuration, base.version),
                        _ => patch(configuration, &base),
                    })
                    .collect();
                let calls: Vec<JoinHandle<u16>> = orders
                    .iter()
                    .enumerate()
                    .map(|(n, order)| sends(&cluster, nodes[n % nodes.len()], order))
                    .collect();
                for call in calls {
                    call.await.expect("a call comes to its end");
                }
                let mut statuses = Vec::new();
                for order in &orders {
                    statuses.push(send_until_clear(&cluster, &nodes, order).await);
                }
                let won: Vec<usize> = (0..8).filter(|n| statuses[*n] == 200).collect();
                assert_eq!(won.len(), 1, "{statuses:?}");
                assert!(
                    statuses.iter().all(|s| matches!(s, 200 | 412)),
                    "{statuses:?}"
                );
                base = plans[won[0]].clone();
            }
            all_read(&cluster, &base).await;
            cluster
        });
    }
}

#[test]
fn given_eight_orders_that_build_on_each_other_sent_at_once_then_each_is_accepted_in_turn_or_rejected()
 {
    for seed in 0..4 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(450 + seed)).await;
            let nodes = all_nodes(&cluster);
            let mut plans = vec![initial_configuration()];
            for n in 0..8 {
                plans.push(plans[n].with_route(2, &format!("step{n}")));
            }
            let orders: Vec<Order> = plans.windows(2).map(|p| put(&p[1], p[0].version)).collect();
            let calls: Vec<JoinHandle<u16>> = orders
                .iter()
                .enumerate()
                .map(|(n, order)| sends(&cluster, nodes[(n + seed as usize) % nodes.len()], order))
                .collect();
            for call in calls {
                call.await.expect("a call comes to its end");
            }
            for order in &orders {
                assert_eq!(send_until_clear(&cluster, &nodes, order).await, 200);
            }
            all_read(&cluster, &plans[8]).await;
            cluster
        });
    }
}

#[test]
fn given_a_body_that_differs_in_spaces_only_when_sent_beside_the_first_then_both_are_acknowledged()
{
    for seed in 0..4 {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(460 + seed)).await;
            let configuration = initial_configuration().with_route(2, "new");
            let spaced = Order::new(
                &configuration,
                1,
                Encoding::Body(configuration.json().replace(",\"", " ,\n\t\"")),
                true,
            );
            let nodes = all_nodes(&cluster);
            let calls = [
                sends(&cluster, nodes[seed as usize], &put(&configuration, 1)),
                sends(&cluster, nodes[4 - seed as usize], &spaced),
            ];
            for call in calls {
                assert_eq!(call.await.ok(), Some(200));
            }
            all_read(&cluster, &configuration).await;
            cluster
        });
    }
}

#[test]
fn given_six_hundred_changes_when_the_first_is_sent_again_then_it_is_acknowledged_and_the_losers_rejected()
 {
    run_checked(|| async move {
        let cluster = SimulatedCluster::serving(settings(470)).await;
        let nodes = all_nodes(&cluster);
        let mut configuration = initial_configuration();
        let mut accepted: Vec<Order> = Vec::new();
        let mut lost: Vec<Order> = Vec::new();
        for n in 0..600_usize {
            let next = configuration.next(1 + n as u64 % 3, |p| {
                p.routes[0].timeout_ms = 5_000 + n as u64;
            });
            let rival = next.next(0, |p| p.routes[1].timeout_ms = 4_000 + n as u64);
            let order = match n % 2 {
                0 => put(&next, configuration.version),
                _ => patch(&next, &configuration),
            };
            assert_eq!(
                send_until_clear(&cluster, &nodes[n % 5..], &order).await,
                200
            );
            accepted.push(order);
            lost.push(put(&rival, configuration.version));
            configuration = next;
            if n == 300 {
                cluster.kill("core-1");
            }
            if n == 320 {
                cluster.start("core-1", false);
            }
        }
        for n in [0, 1, 2, 299, 300, 598, 599] {
            assert_eq!(
                send_until_clear(&cluster, &nodes, &accepted[n]).await,
                200,
                "{n}"
            );
            assert_eq!(
                send_until_clear(&cluster, &nodes, &lost[n]).await,
                412,
                "{n}"
            );
        }
        all_read(&cluster, &configuration).await;
        cluster
    });
}

/// A node without a quorum confirms and rejects neither of these orders, nor a read, nor new weights.
async fn assert_unclear(cluster: &SimulatedCluster, name: &str, orders: &[Order]) {
    let address = cluster.control_of(name);
    for order in orders {
        let status = cluster.operator.send(address, order).await;
        assert!(matches!(status, 0 | 503 | 504), "{name}: {status}");
    }
    let read = cluster.operator.get_from(address).await;
    let read = read.map_or(0, |reply| reply.status);
    assert!(matches!(read, 0 | 503 | 504), "{name}: {read}");
    let named = http_messages::call(
        &cluster.outside_network(),
        address,
        "POST",
        "/api/version-put",
        &[],
        &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"),
        Duration::from_secs(1),
    )
    .await;
    let status = named.map_or(0, |reply| reply.status);
    assert!(matches!(status, 0 | 503 | 504), "{name}: {status}");
}

#[test]
fn given_nodes_without_a_quorum_when_called_then_no_call_is_confirmed_or_rejected() {
    for (seed, partition) in [(480, Partition::PacketsLost), (481, Partition::Refusing)] {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(seed)).await;
            let first = initial_configuration();
            let alone = ["core-0", "edge-0"];
            cluster.partition(&alone, Some(partition));
            let newest = first.with_route(2, "new");
            let majority = control_of(&cluster, &["core-1", "core-2"]);
            assert_eq!(
                send_until_clear(&cluster, &majority, &put(&newest, 1)).await,
                200
            );
            let stale = first.with_route(2, "stale");
            let next = newest.with_route(2, "next");
            let orders = [
                put(&newest, 1),
                put(&stale, 1),
                patch(&stale, &first),
                put(&next, newest.version),
                patch(&next, &newest),
            ];
            for name in alone {
                assert_unclear(&cluster, name, &orders).await;
            }
            cluster.partition(&alone, None);
            sleep(Duration::from_secs(4)).await;
            let nodes = all_nodes(&cluster);
            assert_eq!(
                send_until_clear(&cluster, &nodes, &put(&stale, 1)).await,
                412
            );
            assert_eq!(
                send_until_clear(&cluster, &nodes, &put(&newest, 1)).await,
                200
            );
            assert!(cluster.operator.name_version(2).await);
            cluster
        });
    }
}

#[test]
fn given_an_order_ahead_of_its_base_when_a_copy_waits_at_a_frozen_member_then_its_rejection_is_not_forwarded()
 {
    for frozen in ["core-0", "core-1", "core-2"] {
        run_checked(|| async move {
            let cluster = SimulatedCluster::serving(settings(490)).await;
            let base = initial_configuration().with_route(2, "base");
            let ahead = base.with_route(2, "ahead");
            let order = put(&ahead, base.version);
            cluster.freeze(frozen, true);
            let statuses = cluster
                .operator
                .send(cluster.control_of("edge-0"), &order)
                .await;
            let others: Vec<SocketAddr> = all_nodes(&cluster)
                .into_iter()
                .filter(|a| *a != cluster.control_of(frozen))
                .collect();
            assert_eq!(
                send_until_clear(&cluster, &others, &put(&base, 1)).await,
                200
            );
            cluster.freeze(frozen, false);
            sleep(Duration::from_secs(4)).await;
            let read = cluster
                .operator
                .get_from(others[0])
                .await
                .expect("an answer");
            let in_force = read.text() == ahead.json();
            assert!(
                !(statuses == 412 && in_force),
                "refused, and in force later"
            );
            cluster
        });
    }
}

#[test]
fn given_operators_at_once_over_a_core_with_faults_when_checked_then_their_history_is_linearizable()
{
    for seed in 1..4 {
        let report = play(order_load::play(seed));
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        assert!(
            report.acknowledged > 40 && report.rejected > 40,
            "seed {seed}"
        );
    }
}
