//! Troubles of the core: one of its machines at a time is lost, or the way to it, or its disk.
use super::Trouble::*;
use super::{CATCH_UP, Sky, Trouble};
use crate::fabric::Cut;
use crate::operator::How;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl Sky {
    pub(super) async fn strike_core(&self, trouble: Trouble) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let Some(name) = self.any(&self.core_running()) else {
            return;
        };
        let lasting = self.span(500..5_000);
        match trouble {
            CoreKill => {
                w.kill(&name);
                sleep(lasting).await;
                w.start(&name, false);
            }
            CorePower => {
                w.power_off(&name);
                sleep(lasting).await;
                w.power_on(&name);
            }
            CoreFreeze => {
                w.freeze(&name, true);
                sleep(lasting).await;
                w.freeze(&name, false);
            }
            ReplaceCore => drop(w.replace(&name)),
            CoreSlow => {
                w.slow(&name, Duration::from_millis(40));
                sleep(lasting).await;
                w.slow(&name, Duration::ZERO);
            }
            ZoneCut => {
                let zone = w.zone_of(&name);
                w.cut_zone(zone, Some(Cut::Silent));
                sleep(lasting).await;
                w.cut_zone(zone, None);
            }
            AckWipe => {
                let mut plan = self.plan.lock().await;
                let next = self.another(&plan);
                let (status, by) = w
                    .operator
                    .change(&next, plan.version, How::Whole, true)
                    .await;
                if status == 200 {
                    *plan = next;
                }
                let by = by
                    .and_then(|a| w.name_of(a.ip()))
                    .filter(|n| w.core().contains(n) && w.runs(n));
                let name = by.unwrap_or(name);
                w.power_off(&name);
                w.wipe(&name);
                sleep(lasting).await;
                w.power_on(&name);
            }
            DiskSlow | DiskStall | DiskFull => {
                w.judge.note(format!("disk trouble at {name}"));
                w.judge.trouble(Some(w.ip(&name)));
                w.judge.trouble(None);
                let disk = w.disk(&name);
                match trouble {
                    DiskSlow => disk.delay.set(w.terms.sync * 16),
                    DiskStall => disk.stalled.set(Instant::now() + lasting),
                    _ => disk.files.set_room(Some(0)),
                }
                sleep(lasting).await;
                disk.delay.set(w.terms.sync);
                disk.files.set_room(None);
                w.judge.calm(Some(w.ip(&name)));
                w.judge.calm(None);
            }
            OneWayCut => {
                w.judge
                    .note(format!("{name} is heard by nobody of the core"));
                w.judge.trouble(Some(w.ip(&name)));
                w.judge.trouble(None);
                let others: Vec<String> = w.core().into_iter().filter(|n| *n != name).collect();
                others
                    .iter()
                    .for_each(|o| w.fabric.cut(w.ip(&name), w.ip(o), Some(Cut::Silent)));
                sleep(lasting).await;
                others
                    .iter()
                    .for_each(|o| w.fabric.cut(w.ip(&name), w.ip(o), None));
                w.judge.calm(Some(w.ip(&name)));
                w.judge.calm(None);
                w.judge.thawed(w.ip(&name));
            }
            _ => {
                let cut = if trouble == CoreCutRefusing {
                    Cut::Refusing
                } else {
                    Cut::Silent
                };
                w.cut_off(&[&name], Some(cut));
                sleep(lasting).await;
                w.cut_off(&[&name], None);
            }
        }
        sleep(CATCH_UP).await;
    }
}
