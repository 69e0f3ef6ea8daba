//! Faults of nodes outside of the core, of all nodes at once, planned restarts, and more clients than usual.

use crate::load::ClientLoad;
use crate::monitor::FaultScope;
use crate::network::Partition;
use crate::scenario::{CATCH_UP, ScenarioRun};
use std::time::Duration;
use tokio::time::sleep;

/// Clients of an overload, and the mean time of each between two requests.
const OVERLOAD_CLIENTS: usize = 60;
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(60);
/// Length of the list of seeds.
const SEEDS: usize = 3;

/// Injects a fault at a random node outside of the core.
async fn at_edge_node(run: &ScenarioRun, inject: impl AsyncFnOnce(&str, Duration)) {
    if let Some(name) = run.any(&run.running_edge()) {
        let duration = run.duration(300..4_000);
        inject(&name, duration).await;
    }
}

pub(super) async fn kill(run: &ScenarioRun) {
    at_edge_node(run, async |name, duration| {
        run.kill_for(name, duration).await;
    })
    .await;
}

pub(super) async fn power_off(run: &ScenarioRun) {
    at_edge_node(run, async |name, duration| {
        run.power_off_for(name, duration).await;
    })
    .await;
}

pub(super) async fn freeze(run: &ScenarioRun) {
    at_edge_node(run, async |name, duration| {
        run.freeze_for(name, duration).await;
    })
    .await;
}

pub(super) async fn slow(run: &ScenarioRun) {
    at_edge_node(run, async |name, duration| {
        run.slow_for(name, duration).await;
    })
    .await;
}

pub(super) async fn partition(run: &ScenarioRun) {
    at_edge_node(run, async |name, duration| {
        run.partition_for(name, Partition::PacketsLost, duration)
            .await;
    })
    .await;
}

pub(super) async fn reset_connections(run: &ScenarioRun) {
    at_edge_node(run, async |name, _| {
        let ip = run.cluster.ip(name);
        run.cluster.monitor.momentary_fault(FaultScope::Machine(ip));
        run.cluster.network.reset(ip);
    })
    .await;
}

/// Kills all nodes, then starts them again.
pub(super) async fn restart_all(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    let running = cluster.running();
    for name in &running {
        cluster.kill(name);
    }
    run.pause(200..1_000).await;
    for name in &running {
        // Another fault may have started it meanwhile.
        if !cluster.runs(name) {
            cluster.start(name, false);
        }
    }
    sleep(CATCH_UP).await;
}

/// Ends about half of the nodes by SIGTERM and starts them again, one after the other.
pub(super) async fn restart_one_by_one(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    for name in cluster.names() {
        if !cluster.runs(&name) || run.rng.borrow_mut().bool() {
            continue;
        }
        cluster.terminate(&name).await;
        run.pause(300..1_000).await;
        if !cluster.runs(&name) {
            cluster.start(&name, false);
        }
        sleep(CATCH_UP).await;
    }
}

/// Changes the seeds to any machines.
pub(super) async fn exchange_seeds(run: &ScenarioRun) {
    let cluster = &run.cluster;
    let names = cluster.names();
    let drawn = (0..SEEDS).filter_map(|_| run.any(&names));
    let seeds: Vec<_> = drawn.map(|name| cluster.control_of(&name)).collect();
    cluster.exchange_seeds(&seeds);
}

/// Lets many more clients send requests for a while.
pub(super) async fn overload(run: &ScenarioRun) {
    let load = ClientLoad::start(&run.cluster, OVERLOAD_CLIENTS, OVERLOAD_INTERVAL);
    run.pause(500..3_000).await;
    load.stop().await;
}
