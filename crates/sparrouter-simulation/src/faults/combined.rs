//! Sequences of several faults, for defects that no single fault shows.

use super::configuration;
use crate::configuration::Configuration;
use crate::monitor::FaultScope;
use crate::network::Partition;
use crate::operator::{Encoding, Order};
use crate::scenario::{CATCH_UP, ScenarioRun};
use crate::server::ServerFaults;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a rollout command is waited for.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);
/// Core machines that a race is run at, one after the other.
const RACES: usize = 3;
/// How long servers go on resetting connections after the second restart.
const PRESSURE: Duration = Duration::from_secs(4);

/// Runs a race at each core machine in turn: one of them usually proposes, and may have a change on disk that no other
/// machine accepted.
pub(super) async fn race_in_partition(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    for name in run.cluster.running_core().into_iter().take(RACES) {
        race_at(run, &name).await;
        sleep(CATCH_UP).await;
    }
}

/// Two operators change the same version, one of them at `name`, which is partitioned and killed meanwhile.
async fn race_at(run: &ScenarioRun, name: &str) {
    let cluster = &run.cluster;
    let mut configuration = run.configuration.lock().await;
    let first = run.draw_change(&configuration);
    let second = Configuration {
        version: first.version + 1,
        ..run.draw_change(&configuration)
    };
    let base = configuration.version;
    let mut others = cluster.running_core();
    others.retain(|other| other != name);
    let other = run.any(&others).map(|other| cluster.control_of(&other));
    let partition_after = run.duration(0..24);
    let submit_after = run.duration(0..60);
    let partitioning = partition_and_restart(run, name, partition_after);
    let first_after = submit_after.saturating_sub(Duration::from_millis(30));
    let at_name = Some(cluster.control_of(name));
    let (first_status, second_status, ()) = tokio::join!(
        submit_later(run, first_after, at_name, &first, base),
        submit_later(run, submit_after, other, &second, base),
        partitioning
    );
    let statuses = [first_status, second_status];
    run.adopt_winner(&mut configuration, [first, second], statuses)
        .await;
}

async fn partition_and_restart(run: &ScenarioRun, name: &str, after: Duration) {
    sleep(after).await;
    run.cluster.partition(&[name], Some(Partition::PacketsLost));
    run.pause(300..2_500).await;
    run.cluster.kill(name);
    run.pause(100..800).await;
    run.cluster.start(name, false);
    run.pause(300..2_500).await;
    run.cluster.partition(&[name], None);
}

async fn submit_later(
    run: &ScenarioRun,
    after: Duration,
    node: Option<SocketAddr>,
    configuration: &Configuration,
    base: u64,
) -> u16 {
    sleep(after).await;
    let order = Order::new(configuration, base, Encoding::Full, true);
    let operator = &run.cluster.operator;
    operator.submit_first_to(node, &order).await.status
}

/// See [`super::Fault::WipeBehindPartition`].
pub(super) async fn wipe_behind_partition(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    let mut configuration = run.configuration.lock().await;
    let mut core = cluster.running_core();
    if core.len() < 3 || core.len() != cluster.core().len() {
        return;
    }
    run.rng.borrow_mut().shuffle(&mut core);
    let (minority, majority) = core.split_at((core.len() - 1) / 2);
    let minority: Vec<&str> = minority.iter().map(String::as_str).collect();
    cluster.partition(&minority, Some(Partition::PacketsLost));
    cluster.monitor.fault_began(FaultScope::Core);
    let before = configuration.clone();
    let next = run.draw_change(&configuration);
    if cluster.operator.put(&next, configuration.version).await == 200 {
        *configuration = next;
    }
    for name in majority {
        cluster.power_off(name);
    }
    cluster.wipe(&majority[0]);
    run.pause(100..900).await;
    cluster.partition(&minority, None);
    cluster.power_on(&majority[0]);
    // Replaces a version that is not in force any more, so it must be rejected.
    let outdated = Configuration {
        version: configuration.version + 2,
        ..run.draw_change(&before)
    };
    let order = Order::new(&outdated, before.version, Encoding::Full, true);
    let behind = Some(cluster.control_of(minority[0]));
    let restoring = async {
        run.pause(1_500..5_000).await;
        for name in &majority[1..] {
            cluster.power_on(name);
        }
    };
    let (outcome, ()) = tokio::join!(cluster.operator.submit_first_to(behind, &order), restoring);
    if outcome.status == 200 {
        *configuration = outdated;
    }
    cluster.monitor.fault_ended(FaultScope::Core);
    drop(configuration);
    sleep(CATCH_UP).await;
}

/// See [`super::Fault::CoreTurnover`].
pub(super) async fn replace_core(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    let Some(edge) = run.any(&run.running_edge()) else {
        return;
    };
    let old_core = cluster.core();
    if old_core.len() > 3 {
        return;
    }
    cluster.partition(&[&edge], Some(Partition::PacketsLost));
    for name in &old_core {
        cluster.replace(name);
        // New machines are partitioned from it too.
        for other in cluster.names().iter().filter(|other| **other != edge) {
            let (edge_ip, other_ip) = (cluster.ip(&edge), cluster.ip(other));
            let partition = Some(Partition::PacketsLost);
            cluster.network.partition_both(edge_ip, other_ip, partition);
        }
        sleep(CATCH_UP * 2).await;
    }
    let mut configuration = run.configuration.lock().await;
    let next = run.draw_change(&configuration);
    let status = cluster.operator.put(&next, configuration.version).await;
    run.adopt(&mut configuration, next, status).await;
    drop(configuration);
    cluster.partition(&[&edge], None);
    sleep(CATCH_UP * 2).await;
}

/// See [`super::Fault::CoreSplit`].
pub(super) async fn split_core(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    let Some(name) = run.any(&cluster.running_core()) else {
        return;
    };
    let ip = cluster.ip(&name);
    cluster.monitor.trace(format!(
        "{name} is partitioned from the rest of the core only"
    ));
    cluster.monitor.fault_began(FaultScope::Machine(ip));
    cluster.monitor.momentary_fault(FaultScope::Core);
    let mut others = cluster.core();
    others.retain(|other| *other != name);
    let set_partition = |partition| {
        for other in &others {
            let other_ip = cluster.ip(other);
            cluster.network.partition_both(ip, other_ip, partition);
        }
    };
    set_partition(Some(Partition::PacketsLost));
    for _ in 0..2 {
        configuration::change(run).await;
        run.pause(500..3_000).await;
    }
    set_partition(None);
    cluster.monitor.fault_ended(FaultScope::Machine(ip));
    cluster.monitor.resumed(ip);
    cluster.monitor.momentary_fault(FaultScope::Core);
    sleep(CATCH_UP).await;
}

/// See [`super::Fault::LeaseOwnerFreeze`].
pub(super) async fn freeze_lease_owner(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    let started_at = Instant::now();
    run.name_next_version().await;
    let new_owner = || {
        let command = cluster.monitor.last_command()?;
        (command.received_at >= started_at).then_some(command.lease_owner)
    };
    while new_owner().is_none() && started_at.elapsed() < COMMAND_TIMEOUT {
        sleep(Duration::from_millis(2)).await;
    }
    // An owner is named by its node and its address.
    let node = new_owner().and_then(|owner| Some(owner.split('@').next()?.to_owned()));
    let Some(node) = node.filter(|node| cluster.running_core().contains(node)) else {
        return;
    };
    let lease_ms = cluster.settings.bounds.lease.as_millis() as u64;
    cluster.freeze(&node, true);
    run.pause(lease_ms * 3 / 2..lease_ms * 9 / 4).await;
    cluster.freeze(&node, false);
    sleep(CATCH_UP).await;
}

/// Kills all processes twice within a window of the retry budget. Retries before and after a restart count toward the same
/// budget.
pub(super) async fn press_retry_budget(run: &ScenarioRun) {
    let _lost = run.core_lock.lock().await;
    let cluster = &run.cluster;
    let servers = run.ready_servers();
    let faults = ServerFaults {
        resets: 0.9,
        ..ServerFaults::default()
    };
    cluster.monitor.trace("servers hardly respond");
    for id in &servers {
        cluster.server(id).faults.set(faults);
    }
    for pause_ms in [500..900, 3_000..4_000] {
        run.pause(pause_ms).await;
        let running = cluster.running();
        for name in &running {
            cluster.kill(name);
        }
        run.pause(100..400).await;
        for name in running.iter().filter(|name| !cluster.runs(name)) {
            cluster.start(name, false);
        }
    }
    sleep(PRESSURE).await;
    for id in servers.iter().filter(|id| cluster.server_runs(id)) {
        cluster.server(id).faults.set(ServerFaults::default());
    }
    sleep(cluster.settings.bounds.budget_window).await;
}
