//! Faults of nodes outside of the core, of all nodes at once, and planned restarts.
use super::Fault::*;
use super::{CATCH_UP, Fault, ScenarioRun};
use crate::network::Partition;
use tokio::time::sleep;

impl ScenarioRun {
    pub(super) async fn inject_node(&self, fault: Fault) {
        let cluster = &self.cluster;
        let Some(name) = self.any(&self.edges()) else {
            return;
        };
        let duration = self.span(300..4_000);
        match fault {
            NodeKill => self.kill_for(&name, duration).await,
            NodePower => self.power_off_for(&name, duration).await,
            NodeFreeze => self.freeze_for(&name, duration).await,
            NodeSlow => self.slow_for(&name, duration).await,
            NodePartition => {
                self.cut_off_for(&name, Partition::PacketsLost, duration)
                    .await
            }
            _ => {
                cluster.monitor.momentary_fault(Some(cluster.ip(&name)));
                cluster.network.reset(cluster.ip(&name));
            }
        }
    }

    /// Kills all nodes, then starts them again.
    pub(super) async fn restart_all(&self) {
        let _lost = self.core.lock().await;
        let running: Vec<String> = self
            .cluster
            .names()
            .into_iter()
            .filter(|n| self.cluster.runs(n))
            .collect();
        running.iter().for_each(|n| self.cluster.kill(n));
        sleep(self.span(200..1_000)).await;
        for name in running {
            // Another fault may have started it meanwhile.
            if !self.cluster.runs(&name) {
                self.cluster.start(&name, false);
            }
        }
        sleep(CATCH_UP).await;
    }

    /// Ends about half of the nodes by SIGTERM and starts them again, one after the other.
    pub(super) async fn roll(&self) {
        let _lost = self.core.lock().await;
        for name in self.cluster.names() {
            if !self.cluster.runs(&name) || self.rng.borrow_mut().bool() {
                continue;
            }
            self.cluster.terminate(&name).await;
            sleep(self.span(300..1_000)).await;
            if !self.cluster.runs(&name) {
                self.cluster.start(&name, false);
            }
            sleep(CATCH_UP).await;
        }
    }
}
