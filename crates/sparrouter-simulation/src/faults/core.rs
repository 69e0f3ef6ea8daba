//! Faults of core machines: one at a time is lost, or the links to it, or its disk.

use crate::disk::SimulatedDisk;
use crate::monitor::FaultScope;
use crate::network::Partition;
use crate::operator::{Encoding, Order};
use crate::scenario::{CATCH_UP, ScenarioRun};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between two polls of a slow process's tasks.
const SLOW_PACE: Duration = Duration::from_millis(40);
/// How many times as long a write takes on a slow disk.
const SLOW_DISK_FACTOR: u32 = 16;

/// Injects a fault at a random core machine, while no other core machine is lost.
async fn at_core_machine(run: &ScenarioRun, inject: impl AsyncFnOnce(&str, Duration)) {
    let _lost = run.core_lock.lock().await;
    let Some(name) = run.any(&run.cluster.running_core()) else {
        return;
    };
    let duration = run.duration(500..5_000);
    inject(&name, duration).await;
    sleep(CATCH_UP).await;
}

pub(super) async fn kill(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        run.kill_for(name, duration).await;
    })
    .await;
}

pub(super) async fn power_off(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        run.power_off_for(name, duration).await;
    })
    .await;
}

pub(super) async fn freeze(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        run.freeze_for(name, duration).await;
    })
    .await;
}

pub(super) async fn slow(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        run.slow_for(name, duration).await;
    })
    .await;
}

pub(super) async fn replace(run: &ScenarioRun) {
    at_core_machine(run, async |name, _| drop(run.cluster.replace(name))).await;
}

pub(super) async fn partition(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        run.partition_for(name, Partition::PacketsLost, duration)
            .await;
    })
    .await;
}

pub(super) async fn refuse_connections(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        run.partition_for(name, Partition::Refusing, duration).await;
    })
    .await;
}

/// Partitions the zone of a core machine.
pub(super) async fn partition_zone(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        let zone = run.cluster.zone_of(name);
        run.cluster
            .partition_zone(zone, Some(Partition::PacketsLost));
        sleep(duration).await;
        run.cluster.partition_zone(zone, None);
    })
    .await;
}

/// Loses packets from a core machine to the rest of the core.
pub(super) async fn partition_one_way(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        let cluster = &run.cluster;
        let ip = cluster.ip(name);
        cluster
            .monitor
            .trace(format!("packets of {name} to the core are lost"));
        cluster.monitor.fault_began(FaultScope::Machine(ip));
        cluster.monitor.fault_began(FaultScope::Core);
        let mut others = cluster.core();
        others.retain(|other| other != name);
        let set_partition = |partition| {
            for other in &others {
                cluster.network.partition(ip, cluster.ip(other), partition);
            }
        };
        set_partition(Some(Partition::PacketsLost));
        sleep(duration).await;
        set_partition(None);
        cluster.monitor.fault_ended(FaultScope::Machine(ip));
        cluster.monitor.fault_ended(FaultScope::Core);
        cluster.monitor.resumed(ip);
    })
    .await;
}

/// Changes the configuration, then wipes the core machine that acknowledged it, or else the drawn one.
pub(super) async fn wipe_acknowledging(run: &ScenarioRun) {
    at_core_machine(run, async |name, duration| {
        let cluster = &run.cluster;
        let mut configuration = run.configuration.lock().await;
        let next = run.draw_change(&configuration);
        let order = Order::new(&next, configuration.version, Encoding::Full, true);
        let outcome = cluster.operator.submit(&order).await;
        if outcome.status == 200 {
            *configuration = next;
        }
        let acknowledging = outcome
            .node
            .and_then(|address| cluster.name_of(address.ip()))
            .filter(|other| cluster.running_core().contains(other));
        let name = acknowledging.unwrap_or_else(|| name.to_owned());
        cluster.power_off(&name);
        cluster.wipe(&name);
        sleep(duration).await;
        cluster.power_on(&name);
    })
    .await;
}

/// Makes the disk of a core machine fail in this way for a while.
async fn fail_disk(run: &ScenarioRun, fail: impl FnOnce(&SimulatedDisk, Duration)) {
    at_core_machine(run, async |name, duration| {
        let cluster = &run.cluster;
        let machine = FaultScope::Machine(cluster.ip(name));
        cluster.monitor.trace(format!("the disk of {name} fails"));
        cluster.monitor.fault_began(machine);
        cluster.monitor.fault_began(FaultScope::Core);
        let disk = cluster.disk(name);
        fail(&disk, duration);
        sleep(duration).await;
        disk.delay.set(cluster.settings.write_delay);
        disk.files.set_capacity(None);
        cluster.monitor.fault_ended(machine);
        cluster.monitor.fault_ended(FaultScope::Core);
    })
    .await;
}

pub(super) async fn slow_disk(run: &ScenarioRun) {
    let delay = run.cluster.settings.write_delay * SLOW_DISK_FACTOR;
    fail_disk(run, |disk, _| disk.delay.set(delay)).await;
}

pub(super) async fn fill_disk(run: &ScenarioRun) {
    fail_disk(run, |disk, _| disk.files.set_capacity(Some(0))).await;
}

pub(super) async fn stall_disk(run: &ScenarioRun) {
    fail_disk(run, |disk, duration| {
        disk.stalled_until.set(Instant::now() + duration);
    })
    .await;
}

/// Faults of any one machine, for a while.
impl ScenarioRun {
    pub(super) async fn kill_for(&self, name: &str, duration: Duration) {
        self.cluster.kill(name);
        sleep(duration).await;
        self.cluster.start(name, false);
    }

    pub(super) async fn power_off_for(&self, name: &str, duration: Duration) {
        self.cluster.power_off(name);
        sleep(duration).await;
        self.cluster.power_on(name);
    }

    pub(super) async fn freeze_for(&self, name: &str, duration: Duration) {
        self.cluster.freeze(name, true);
        sleep(duration).await;
        self.cluster.freeze(name, false);
    }

    pub(super) async fn slow_for(&self, name: &str, duration: Duration) {
        self.cluster.slow(name, SLOW_PACE);
        sleep(duration).await;
        self.cluster.slow(name, Duration::ZERO);
    }

    pub(super) async fn partition_for(&self, name: &str, partition: Partition, duration: Duration) {
        self.cluster.partition(&[name], Some(partition));
        sleep(duration).await;
        self.cluster.partition(&[name], None);
    }
}
