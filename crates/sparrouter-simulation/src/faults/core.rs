//! Faults of core machines: one at a time is lost, or the way to it, or its disk.
use super::Fault::*;
use super::{CATCH_UP, DayRun, Fault};
use crate::fabric::Cut;
use crate::operator::How;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Delay of each packet on a slow link.
pub(super) const SLOW_LINK: Duration = Duration::from_millis(40);
/// How many times as long a save takes on a slow disk.
const SLOW_DISK: u32 = 16;

impl DayRun {
    pub(super) async fn inject_core(&self, fault: Fault) {
        let _lost = self.core.lock().await;
        let world = &self.world;
        let Some(name) = self.any(&self.core_running()) else {
            return;
        };
        let duration = self.span(500..5_000);
        match fault {
            CoreKill => self.kill_for(&name, duration).await,
            CorePower => self.power_off_for(&name, duration).await,
            CoreFreeze => self.freeze_for(&name, duration).await,
            ReplaceCore => drop(world.replace(&name)),
            CoreSlow => self.slow_for(&name, duration).await,
            ZoneCut => {
                let zone = world.zone_of(&name);
                world.cut_zone(zone, Some(Cut::Silent));
                sleep(duration).await;
                world.cut_zone(zone, None);
            }
            AckWipe => self.wipe_acknowledging_node(name, duration).await,
            DiskSlow | DiskStall | DiskFull => self.harm_disk(fault, &name, duration).await,
            OneWayCut => self.cut_one_way(&name, duration).await,
            CoreCutRefusing => self.cut_off_for(&name, Cut::Refusing, duration).await,
            _ => self.cut_off_for(&name, Cut::Silent, duration).await,
        }
        sleep(CATCH_UP).await;
    }

    pub(super) async fn kill_for(&self, name: &str, duration: Duration) {
        self.world.kill(name);
        sleep(duration).await;
        self.world.start(name, false);
    }

    pub(super) async fn power_off_for(&self, name: &str, duration: Duration) {
        self.world.power_off(name);
        sleep(duration).await;
        self.world.power_on(name);
    }

    pub(super) async fn freeze_for(&self, name: &str, duration: Duration) {
        self.world.freeze(name, true);
        sleep(duration).await;
        self.world.freeze(name, false);
    }

    pub(super) async fn slow_for(&self, name: &str, duration: Duration) {
        self.world.slow(name, SLOW_LINK);
        sleep(duration).await;
        self.world.slow(name, Duration::ZERO);
    }

    pub(super) async fn cut_off_for(&self, name: &str, cut: Cut, duration: Duration) {
        self.world.cut_off(&[name], Some(cut));
        sleep(duration).await;
        self.world.cut_off(&[name], None);
    }

    /// Changes the configuration, then wipes the core machine that acknowledged it, or else `name`.
    async fn wipe_acknowledging_node(&self, name: String, duration: Duration) {
        let world = &self.world;
        let mut plan = self.plan.lock().await;
        let next = self.another(&plan);
        let (status, by) = world
            .operator
            .change(&next, plan.version, How::Whole, true)
            .await;
        if status == 200 {
            *plan = next;
        }
        let by = by
            .and_then(|address| world.name_of(address.ip()))
            .filter(|n| world.core().contains(n) && world.runs(n));
        let name = by.unwrap_or(name);
        world.power_off(&name);
        world.wipe(&name);
        sleep(duration).await;
        world.power_on(&name);
    }

    async fn harm_disk(&self, fault: Fault, name: &str, duration: Duration) {
        let world = &self.world;
        world.judge.note(format!("disk trouble at {name}"));
        world.judge.trouble(Some(world.ip(name)));
        world.judge.trouble(None);
        let disk = world.disk(name);
        match fault {
            DiskSlow => disk.delay.set(world.terms.sync * SLOW_DISK),
            DiskStall => disk.stalled.set(Instant::now() + duration),
            _ => disk.files.set_capacity(Some(0)),
        }
        sleep(duration).await;
        disk.delay.set(world.terms.sync);
        disk.files.set_capacity(None);
        world.judge.calm(Some(world.ip(name)));
        world.judge.calm(None);
    }

    /// Loses packets from a core machine to the rest of the core.
    async fn cut_one_way(&self, name: &str, duration: Duration) {
        let world = &self.world;
        world
            .judge
            .note(format!("{name} is heard by nobody of the core"));
        world.judge.trouble(Some(world.ip(name)));
        world.judge.trouble(None);
        let others: Vec<String> = world.core().into_iter().filter(|n| n != name).collect();
        let set_cut = |cut| {
            for other in &others {
                world.fabric.cut(world.ip(name), world.ip(other), cut);
            }
        };
        set_cut(Some(Cut::Silent));
        sleep(duration).await;
        set_cut(None);
        world.judge.calm(Some(world.ip(name)));
        world.judge.calm(None);
        world.judge.thawed(world.ip(name));
    }
}
