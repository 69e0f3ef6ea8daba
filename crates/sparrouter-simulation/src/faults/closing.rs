//! The final fault, and what must hold once it is over.
use super::{DayRun, FinalFault};
use std::time::Duration;
use tokio::time::sleep;

/// How long machines are off in the final fault.
const OUTAGE: Duration = Duration::from_millis(1_300);
/// How long requests are counted once all is calm, and the least part of them that must be served: more than RULES.md asks
/// for, since nothing is wrong any more.
const CALM_TIME: Duration = Duration::from_secs(3);
const MIN_SERVED: f64 = 0.9;

impl DayRun {
    /// Makes the final fault happen, waits until the fleet must have recovered, and checks that it has.
    pub(super) async fn close(&self, final_fault: FinalFault) {
        let world = &self.world;
        world.judge.note(format!("-- closing: {final_fault:?}"));
        if final_fault == FinalFault::None {
            sleep(world.terms.bounds.contact * 2).await;
        } else {
            self.inject_final(final_fault).await;
            sleep(world.terms.bounds.recovery).await;
        }
        self.tally.count_anew();
        sleep(CALM_TIME).await;
        self.tally.stop().await;
        self.end_probes().await;
        world.judge.day_ends();
        self.check_served();
        self.check_ready();
        self.check_weights().await;
        world.operator.read_back().await;
    }

    /// Changes the configuration, then ends all processes and starts them again.
    async fn inject_final(&self, final_fault: FinalFault) {
        let world = &self.world;
        let plan = self.plan.lock().await.clone();
        let next = self.another(&plan);
        world.operator.put(&next, plan.version).await;
        let names = world.names();
        let wiped = (final_fault == FinalFault::WipeOneOthersLosePower)
            .then(|| self.any(&world.core()))
            .flatten();
        let is_kill = final_fault == FinalFault::KillAll;
        for name in &names {
            if is_kill {
                world.kill(name)
            } else {
                world.power_off(name)
            }
        }
        wiped.iter().for_each(|name| world.wipe(name));
        sleep(OUTAGE).await;
        for name in &names {
            if is_kill {
                world.start(name, false)
            } else {
                world.power_on(name)
            }
        }
    }

    fn check_served(&self) {
        let (sent, served) = self.tally.late.get();
        if f64::from(served) < MIN_SERVED * f64::from(sent) {
            self.world.judge.breach(
                "RECOVER",
                format!("{served} of {sent} are served once all is calm"),
            );
        }
    }

    fn check_ready(&self) {
        let world = &self.world;
        let names = world.names();
        let not_ready: Vec<String> = names
            .into_iter()
            .filter(|n| !world.platform.is_in(n))
            .collect();
        if !not_ready.is_empty() {
            world.judge.breach(
                "DUTY",
                format!("{not_ready:?} are not ready once all is calm"),
            );
        }
    }

    /// Servers on older weights get the time that RULES.md gives for the newest ones.
    async fn check_weights(&self) {
        let world = &self.world;
        let newest = *self.weights.lock().await;
        let is_old = |id: &String| world.server(id).version() < newest;
        let old: Vec<String> = self.servers().into_iter().filter(is_old).collect();
        if old.is_empty() {
            return;
        }
        sleep(world.terms.bounds.version).await;
        let still_old: Vec<&String> = old
            .iter()
            .filter(|id| world.server_runs(id) && is_old(id))
            .collect();
        if !still_old.is_empty() {
            world.judge.breach(
                "VERSION",
                format!("{still_old:?} never come to weights {newest}"),
            );
        }
    }
}
