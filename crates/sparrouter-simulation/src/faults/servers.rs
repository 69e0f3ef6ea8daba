//! Faults of servers and stores: crashes, rollouts, reused addresses, bad responses.

use crate::cluster::{ZONES, kv_store_address};
use crate::scenario::ScenarioRun;
use crate::server::ServerFaults;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the acknowledgement of a drain is waited for.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time until the address of a crashed server is used again.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// A service keeps so many servers.
const MIN_SERVERS: usize = 2;

/// Injects a fault at a random server that runs and does not drain.
async fn at_server(run: &ScenarioRun, inject: impl AsyncFnOnce(&str, Duration)) {
    if let Some(id) = run.any(&run.ready_servers()) {
        let duration = run.duration(500..4_000);
        inject(&id, duration).await;
    }
}

pub(super) async fn crash_and_restart(run: &ScenarioRun) {
    at_server(run, async |id, duration| {
        let server = run.cluster.server(id);
        run.cluster.crash_server(id);
        sleep(duration).await;
        run.cluster.restart_server(&server);
    })
    .await;
}

/// Crashes a server for good if its service has more than two.
pub(super) async fn lose(run: &ScenarioRun) {
    at_server(run, async |id, _| {
        let cluster = &run.cluster;
        let service = cluster.server(id).settings.service.clone();
        let servers = run.ready_servers();
        let of_service = servers
            .iter()
            .filter(|other| cluster.server(other).settings.service == service);
        if of_service.count() > MIN_SERVERS {
            cluster.crash_server(id);
        }
    })
    .await;
}

pub(super) async fn crash_all(run: &ScenarioRun) {
    at_server(run, async |_, _| {
        let cluster = &run.cluster;
        let ids = run.ready_servers();
        let all: Vec<_> = ids.iter().map(|id| cluster.server(id)).collect();
        for server in &all {
            cluster.crash_server(&server.settings.id);
        }
        run.pause(300..1_500).await;
        for server in &all {
            cluster.restart_server(server);
        }
    })
    .await;
}

/// Crashes a server, and gives its address to one of another service.
pub(super) async fn reuse_address(run: &ScenarioRun) {
    at_server(run, async |id, _| {
        let cluster = &run.cluster;
        let server = cluster.server(id);
        let address = cluster.crash_server(id);
        sleep(ADDRESS_REUSE).await;
        let version = cluster.newest_weights.get();
        cluster.start_server("others", ZONES[0], address, version);
        cluster.add_server(&server.settings.service, ZONES[1]);
    })
    .await;
}

/// Replaces all servers, one after the other.
pub(super) async fn replace_all(run: &ScenarioRun) {
    at_server(run, async |_, _| {
        let cluster = &run.cluster;
        for id in run.ready_servers() {
            if cluster.server_runs(&id) {
                let service = &cluster.server(&id).settings.service;
                cluster.add_server(service, ZONES[2]);
            }
            run.pause(300..1_200).await;
            if cluster.server_runs(&id) {
                let server = cluster.server(&id);
                server.duplicate_first_heartbeat.set(true);
                server.drain();
            }
            run.pause(300..1_200).await;
        }
    })
    .await;
}

/// Drains a server through a node outside of the core, which loses power right after its acknowledgement.
pub(super) async fn lose_acknowledging_node(run: &ScenarioRun) {
    at_server(run, async |id, duration| {
        let cluster = &run.cluster;
        let server = cluster.server(id);
        cluster.add_server(&server.settings.service, ZONES[0]);
        // No other node polls this one.
        let edge = run.any(&run.running_edge());
        server.set_heartbeat_target(edge.map(|name| cluster.control_of(&name)));
        server.drain();
        let started_at = Instant::now();
        while server.drain_acknowledged_by.get().is_none() && started_at.elapsed() < DRAIN_TIMEOUT {
            sleep(Duration::from_millis(1)).await;
        }
        let node = server.drain_acknowledged_by.get();
        let name = node.and_then(|address| cluster.name_of(address.ip()));
        if let Some(name) = name.filter(|name| run.running_edge().contains(name)) {
            run.power_off_for(&name, duration).await;
        }
    })
    .await;
}

/// Empties the KV store.
pub(super) async fn empty_store(run: &ScenarioRun) {
    at_server(run, async |_, _| {
        let stores = run.cluster.block_stores.borrow();
        if let Some(store) = stores.get(&kv_store_address()) {
            store.borrow_mut().clear();
        }
    })
    .await;
}

/// Lets a server respond badly for a while.
async fn respond_badly(run: &ScenarioRun, faults: ServerFaults) {
    at_server(run, async |id, duration| {
        let server = run.cluster.server(id);
        run.cluster.monitor.trace(format!("{id} responds badly"));
        server.faults.set(faults);
        sleep(duration).await;
        server.faults.set(ServerFaults::default());
    })
    .await;
}

pub(super) async fn reset(run: &ScenarioRun) {
    let faults = ServerFaults {
        resets: 0.2,
        ..ServerFaults::default()
    };
    respond_badly(run, faults).await;
}

pub(super) async fn garble(run: &ScenarioRun) {
    let faults = ServerFaults {
        garbles: 0.05,
        surplus: 0.3,
        ..ServerFaults::default()
    };
    respond_badly(run, faults).await;
}

pub(super) async fn hang(run: &ScenarioRun) {
    let faults = ServerFaults {
        hangs: 0.1,
        ..ServerFaults::default()
    };
    respond_badly(run, faults).await;
}

pub(super) async fn break_off_failures(run: &ScenarioRun) {
    let faults = ServerFaults {
        fails: 0.3,
        ..ServerFaults::default()
    };
    respond_badly(run, faults).await;
}

pub(super) async fn rot_streams(run: &ScenarioRun) {
    let faults = ServerFaults {
        rots: 0.3,
        ..ServerFaults::default()
    };
    respond_badly(run, faults).await;
}

pub(super) async fn break_off(run: &ScenarioRun) {
    let faults = ServerFaults {
        breaks: 0.3,
        ..ServerFaults::default()
    };
    respond_badly(run, faults).await;
}
