//! The final fault, and what must hold once it is over.

use super::{FinalFault, ScenarioRun};
use crate::load::RecentCounts;
use std::time::Duration;
use tokio::time::sleep;

/// How long machines are off in the final fault.
const OUTAGE: Duration = Duration::from_millis(1_300);
/// How long requests are counted once nothing is wrong any more, and the least fraction of them that must be served, which
/// is more than RULES.md asks for.
const STABLE_TIME: Duration = Duration::from_secs(3);
const MIN_SERVED: f64 = 0.9;

impl ScenarioRun {
    /// Makes the final fault happen, waits until the fleet must have recovered, and checks that it has.
    pub(super) async fn recover(&self, final_fault: FinalFault) {
        let cluster = &self.cluster;
        cluster
            .monitor
            .trace(format!("-- final fault: {final_fault:?}"));
        if final_fault == FinalFault::None {
            sleep(cluster.settings.bounds.contact * 2).await;
        } else {
            self.inject_final(final_fault).await;
            sleep(cluster.settings.bounds.recovery).await;
        }
        self.load.reset_recent();
        sleep(STABLE_TIME).await;
        self.load.stop().await;
        for load in &self.hot_loads {
            load.stop().await;
        }
        self.stop_probes().await;
        cluster.monitor.scenario_ended();
        self.check_served();
        self.check_ready();
        self.check_weights().await;
        cluster.operator.read_back().await;
    }

    /// Changes the configuration, then ends all processes and starts them again.
    async fn inject_final(&self, final_fault: FinalFault) {
        let cluster = &self.cluster;
        let configuration = self.configuration.lock().await.clone();
        let next = self.draw_change(&configuration);
        cluster.operator.put(&next, configuration.version).await;
        let names = cluster.names();
        let wiped = match final_fault {
            FinalFault::WipeOneOthersLosePower => self.any(&cluster.core()),
            _ => None,
        };
        let is_kill = final_fault == FinalFault::KillAll;
        for name in &names {
            if is_kill {
                cluster.kill(name);
            } else {
                cluster.power_off(name);
            }
        }
        if let Some(name) = wiped {
            cluster.wipe(&name);
        }
        sleep(OUTAGE).await;
        for name in &names {
            if is_kill {
                cluster.start(name, false);
            } else {
                cluster.power_on(name);
            }
        }
    }

    fn check_served(&self) {
        let RecentCounts { sent, served } = self.load.recent.get();
        if f64::from(served) < MIN_SERVED * f64::from(sent) {
            self.cluster.monitor.report_violation(
                "RECOVER",
                format!("{served} of {sent} are served once nothing is wrong"),
            );
        }
    }

    fn check_ready(&self) {
        let mut not_ready = self.cluster.names();
        not_ready.retain(|name| !self.cluster.load_balancer.is_in_service(name));
        if !not_ready.is_empty() {
            self.cluster.monitor.report_violation(
                "DUTY",
                format!("{not_ready:?} are not ready once nothing is wrong"),
            );
        }
    }

    /// Servers on older weights get the time that RULES.md gives for the newest ones.
    async fn check_weights(&self) {
        let cluster = &self.cluster;
        let newest = *self.weights.lock().await;
        let is_old = |id: &String| cluster.server(id).version() < newest;
        let mut old = self.ready_servers();
        old.retain(is_old);
        if old.is_empty() {
            return;
        }
        sleep(cluster.settings.bounds.version).await;
        old.retain(|id| cluster.server_runs(id) && is_old(id));
        if !old.is_empty() {
            cluster
                .monitor
                .report_violation("VERSION", format!("{old:?} never load weights {newest}"));
        }
    }
}
