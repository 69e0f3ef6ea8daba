//! Faults of core machines: one at a time is lost, or the way to it, or its disk.
use super::Fault::*;
use super::{CATCH_UP, Fault, ScenarioRun};
use crate::network::Partition;
use crate::operator::Encoding;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Delay of each packet on a slow link.
pub(super) const SLOW_LINK: Duration = Duration::from_millis(40);
/// How many times as long a save takes on a slow disk.
const SLOW_DISK: u32 = 16;

impl ScenarioRun {
    pub(super) async fn inject_core(&self, fault: Fault) {
        let _lost = self.core.lock().await;
        let cluster = &self.cluster;
        let Some(name) = self.any(&self.core_running()) else {
            return;
        };
        let duration = self.span(500..5_000);
        match fault {
            CoreKill => self.kill_for(&name, duration).await,
            CorePower => self.power_off_for(&name, duration).await,
            CoreFreeze => self.freeze_for(&name, duration).await,
            ReplaceCore => drop(cluster.replace(&name)),
            CoreSlow => self.slow_for(&name, duration).await,
            ZonePartition => {
                let zone = cluster.zone_of(&name);
                cluster.partition_zone(zone, Some(Partition::PacketsLost));
                sleep(duration).await;
                cluster.partition_zone(zone, None);
            }
            WipeAcknowledgingMachine => self.wipe_acknowledging_node(name, duration).await,
            DiskSlow | DiskStall | DiskFull => self.harm_disk(fault, &name, duration).await,
            OneWayPartition => self.cut_one_way(&name, duration).await,
            CoreConnectionsRefused => self.cut_off_for(&name, Partition::Refusing, duration).await,
            _ => {
                self.cut_off_for(&name, Partition::PacketsLost, duration)
                    .await
            }
        }
        sleep(CATCH_UP).await;
    }

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
        self.cluster.slow(name, SLOW_LINK);
        sleep(duration).await;
        self.cluster.slow(name, Duration::ZERO);
    }

    pub(super) async fn cut_off_for(&self, name: &str, cut: Partition, duration: Duration) {
        self.cluster.partition(&[name], Some(cut));
        sleep(duration).await;
        self.cluster.partition(&[name], None);
    }

    /// Changes the configuration, then wipes the core machine that acknowledged it, or else `name`.
    async fn wipe_acknowledging_node(&self, name: String, duration: Duration) {
        let cluster = &self.cluster;
        let mut configuration = self.configuration.lock().await;
        let next = self.another(&configuration);
        let (status, by) = cluster
            .operator
            .change(&next, configuration.version, Encoding::Full, true)
            .await;
        if status == 200 {
            *configuration = next;
        }
        let by = by
            .and_then(|address| cluster.name_of(address.ip()))
            .filter(|n| cluster.core().contains(n) && cluster.runs(n));
        let name = by.unwrap_or(name);
        cluster.power_off(&name);
        cluster.wipe(&name);
        sleep(duration).await;
        cluster.power_on(&name);
    }

    async fn harm_disk(&self, fault: Fault, name: &str, duration: Duration) {
        let cluster = &self.cluster;
        cluster.monitor.trace(format!("disk trouble at {name}"));
        cluster.monitor.fault_began(Some(cluster.ip(name)));
        cluster.monitor.fault_began(None);
        let disk = cluster.disk(name);
        match fault {
            DiskSlow => disk.delay.set(cluster.settings.sync * SLOW_DISK),
            DiskStall => disk.stalled.set(Instant::now() + duration),
            _ => disk.files.set_capacity(Some(0)),
        }
        sleep(duration).await;
        disk.delay.set(cluster.settings.sync);
        disk.files.set_capacity(None);
        cluster.monitor.fault_ended(Some(cluster.ip(name)));
        cluster.monitor.fault_ended(None);
    }

    /// Loses packets from a core machine to the rest of the core.
    async fn cut_one_way(&self, name: &str, duration: Duration) {
        let cluster = &self.cluster;
        cluster
            .monitor
            .trace(format!("{name} is heard by nobody of the core"));
        cluster.monitor.fault_began(Some(cluster.ip(name)));
        cluster.monitor.fault_began(None);
        let others: Vec<String> = cluster.core().into_iter().filter(|n| n != name).collect();
        let set_cut = |cut| {
            for other in &others {
                cluster
                    .network
                    .cut(cluster.ip(name), cluster.ip(other), cut);
            }
        };
        set_cut(Some(Partition::PacketsLost));
        sleep(duration).await;
        set_cut(None);
        cluster.monitor.fault_ended(Some(cluster.ip(name)));
        cluster.monitor.fault_ended(None);
        cluster.monitor.resumed(cluster.ip(name));
    }
}
