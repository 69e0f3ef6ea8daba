//! DRAIN where machines are lost right after one of them acknowledged that a server drains or was removed: once they are back
//! and in contact, no request reaches that server.
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster};
use sparrouter_simulation::http_messages;
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::{play, run_checked};
use sparrouter_simulation::scenario::{self, Scenario};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);
const CLIENTS: usize = 20;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// How long machines are down.
const DOWN: Duration = Duration::from_millis(500);
/// How long the server serves on after the acknowledgement: until machines are long back in contact.
const SERVES_ON: Duration = Duration::from_secs(10);
/// How long a server waits for an acknowledgement before it calls another node.
const SERVER_WAITS: Duration = Duration::from_secs(1);
/// Longest wait for the acknowledgement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

/// What the server says before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// A heartbeat with the state `draining`.
    Drain,
    /// A DELETE, without a drain before it.
    Removal,
}

/// What is lost right after the acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    CoreKilled,
    AllKilled,
    /// All machines lose power, and their disks what was not synced.
    AllPowerLost,
    /// Besides, the disk of one core machine is lost.
    AllPowerAndOneDiskLost,
}

const LOSSES: [Loss; 4] = [
    Loss::CoreKilled,
    Loss::AllKilled,
    Loss::AllPowerLost,
    Loss::AllPowerAndOneDiskLost,
];
const DEPARTURES: [Departure; 2] = [Departure::Drain, Departure::Removal];

fn settings(seed: u64) -> ClusterSettings {
    // A slow disk: what is not waited for is not written yet.
    ClusterSettings::with_seed(seed).write_delay(Duration::from_millis(20))
}

/// Lets the server leave, and returns as soon as that is acknowledged.
async fn depart(cluster: &SimulatedCluster, id: &str, departure: Departure) {
    let server = cluster.server(id);
    server.serves_on_for.set(SERVES_ON);
    match departure {
        Departure::Drain => server.drain(),
        Departure::Removal => server.leave(),
    }
    let started_at = Instant::now();
    while server.drain_acknowledged_by.get().is_none() {
        assert!(
            started_at.elapsed() < ACKNOWLEDGED_WITHIN,
            "{departure:?} is not acknowledged"
        );
        sleep(Duration::from_millis(1)).await;
    }
}

async fn lose(cluster: &SimulatedCluster, loss: Loss) {
    let names = match loss {
        Loss::CoreKilled => cluster.core(),
        _ => cluster.names(),
    };
    let keeps_power = matches!(loss, Loss::CoreKilled | Loss::AllKilled);
    for name in &names {
        if keeps_power {
            cluster.kill(name);
        } else {
            cluster.power_off(name);
        }
    }
    if loss == Loss::AllPowerAndOneDiskLost {
        let core = cluster.core();
        let index = cluster.rng.borrow_mut().usize(..core.len());
        cluster.wipe(&core[index]);
    }
    sleep(DOWN).await;
    for name in &names {
        if keeps_power {
            cluster.start(name, false);
        } else {
            cluster.power_on(name);
        }
    }
}

/// One server departs, and machines are lost right after the acknowledgement.
async fn lost_after_departure(seed: u64, departure: Departure, loss: Loss) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(settings(seed)).await;
    let load = ClientLoad::start(&cluster, CLIENTS, REQUEST_INTERVAL);
    sleep(4 * SECOND).await;
    let id = cluster.server_ids().remove(0);
    depart(&cluster, &id, departure).await;
    lose(&cluster, loss).await;
    sleep(SERVES_ON + SECOND).await;
    load.stop().await;
    cluster
}

/// Three seeds, and as many times more as `DEPARTURE_SEEDS` says, to hunt.
fn seeds() -> std::ops::Range<u64> {
    let times = std::env::var("DEPARTURE_SEEDS").ok();
    let times = times.and_then(|text| text.parse().ok()).unwrap_or(1);
    1..1 + 3 * times
}

fn assert_binds_after(loss: Loss) {
    for departure in DEPARTURES {
        for seed in seeds() {
            run_checked(|| lost_after_departure(seed, departure, loss));
        }
    }
}

/// Guards against a write for each departure: together they would take longer than a server waits.
#[test]
fn given_a_slow_disk_when_sixty_servers_are_removed_at_once_then_each_is_acknowledged_in_time() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(settings(5)).await;
        let core = cluster.core();
        let removals = (0..60).map(|number| {
            let (network, path) = (
                cluster.outside_network(),
                format!("/api/instances/i-gone-{number}"),
            );
            let node = cluster.control_of(&core[number % core.len()]);
            spawn_local(async move {
                http_messages::call(&network, node, "DELETE", &path, &[], "", SERVER_WAITS).await
            })
        });
        for removal in removals.collect::<Vec<_>>() {
            let reply = removal.await.expect("the call ends");
            assert_eq!(reply.expect("a reply in time").status, 200);
        }
        cluster
    });
}

/// Guards against a node that counts no known control node as enough.
#[test]
fn given_a_node_that_knows_no_control_node_then_it_acknowledges_no_departure() {
    run_checked(|| async {
        let cluster = SimulatedCluster::new(settings(6));
        let node = "edge-0";
        cluster.start(node, true);
        sleep(SECOND).await;
        let network = cluster.outside_network();
        let (to, path) = (cluster.control_of(node), "/api/instances/i-gone");
        let removal = http_messages::call(&network, to, "DELETE", path, &[], "", SERVER_WAITS);
        assert_eq!(removal.await.expect("a reply").status, 503);
        cluster
    });
}

/// Drawn days with servers that leave right beside faults of nodes, and that break off failures and streams.
#[test]
fn given_drawn_days_with_departures_then_no_rule_is_violated() {
    for seed in 1..7 {
        let scenario = Scenario::from_seed(seed).with_departures();
        let violations = play(scenario::play(&scenario)).violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

#[test]
fn given_departures_that_are_not_stored_when_machines_are_lost_then_it_is_found() {
    for loss in LOSSES {
        inject(Some(Defect::DepartureNotStored));
        let day = lost_after_departure(1, Departure::Removal, loss);
        let found = play(async { day.await.monitor.violations() });
        inject(None);
        let is_drain = |violation: &String| violation.starts_with("DRAIN");
        assert!(found.iter().any(is_drain), "{loss:?}: {found:?}");
    }
}

/// Guards against a departure that was acknowledged while only memory had it.
#[test]
fn given_a_departure_when_the_core_is_killed_right_after_the_acknowledgement_then_it_binds() {
    assert_binds_after(Loss::CoreKilled);
}

/// Guards against a departure that was acknowledged while only memory had it, where no other machine remembers it.
#[test]
fn given_a_departure_when_all_processes_are_killed_right_after_the_acknowledgement_then_it_binds() {
    assert_binds_after(Loss::AllKilled);
}

/// Guards against a departure that was written and not synced.
#[test]
fn given_a_departure_when_all_machines_lose_power_right_after_the_acknowledgement_then_it_binds() {
    assert_binds_after(Loss::AllPowerLost);
}

/// Guards against a departure that is on as many disks only as may be lost.
#[test]
fn given_a_departure_when_power_and_one_disk_are_lost_right_after_the_acknowledgement_then_it_binds()
 {
    assert_binds_after(Loss::AllPowerAndOneDiskLost);
}
