//! Sequences of several faults, for mistakes that no single fault shows.
use super::Fault::*;
use super::{CATCH_UP, Fault, ScenarioRun};
use crate::configuration::Configuration;
use crate::network::Partition;
use crate::operator::Encoding;
use crate::server::ServerFaults;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl ScenarioRun {
    pub(super) async fn inject_combined(&self, fault: Fault) {
        match fault {
            RacePartition => self.race_cut().await,
            WipeBehindPartition => self.wipe_behind_cut().await,
            CoreTurnover => self.core_turnover().await,
            CoreSplit => self.core_split().await,
            LeaseOwnerFreeze => self.holder_freeze().await,
            _ => self.budget_press().await,
        }
    }

    /// Runs a race at each core machine in turn: one of them usually proposes, and may have a change on disk that no other
    /// machine accepted.
    async fn race_cut(&self) {
        let _lost = self.core.lock().await;
        for name in self.core_running().into_iter().take(3) {
            self.race_at(&name).await;
            sleep(CATCH_UP).await;
        }
    }

    /// Two operators change the same version, one of them at `name`, which is cut off and killed meanwhile.
    async fn race_at(&self, name: &str) {
        let cluster = &self.cluster;
        let mut configuration = self.configuration.lock().await;
        let left = self.another(&configuration);
        let right = Configuration {
            version: left.version + 1,
            ..self.another(&configuration)
        };
        let base = configuration.version;
        let others: Vec<String> = self
            .core_running()
            .into_iter()
            .filter(|n| n != name)
            .collect();
        let other = self.any(&others).map(|n| cluster.control_of(&n));
        let (cut_behind, sent_behind) = (self.span(0..24), self.span(0..60));
        let cutting = async {
            sleep(cut_behind).await;
            cluster.partition(&[name], Some(Partition::PacketsLost));
            sleep(self.span(300..2_500)).await;
            cluster.kill(name);
            sleep(self.span(100..800)).await;
            cluster.start(name, false);
            sleep(self.span(300..2_500)).await;
            cluster.partition(&[name], None);
        };
        let first = async {
            sleep(sent_behind.saturating_sub(Duration::from_millis(30))).await;
            cluster
                .operator
                .change_at(
                    Some(cluster.control_of(name)),
                    &left,
                    base,
                    Encoding::Full,
                    true,
                )
                .await
                .0
        };
        let second = async {
            sleep(sent_behind).await;
            cluster
                .operator
                .change_at(other, &right, base, Encoding::Full, true)
                .await
                .0
        };
        let (left_status, right_status, ()) = tokio::join!(first, second, cutting);
        match (left_status, right_status) {
            (200, _) => *configuration = left,
            (_, 200) => *configuration = right,
            _ => self.reread(&mut configuration, &[left, right]).await,
        }
    }

    /// See [`Fault::WipeBehindPartition`].
    async fn wipe_behind_cut(&self) {
        let _lost = self.core.lock().await;
        let cluster = &self.cluster;
        let mut configuration = self.configuration.lock().await;
        let mut core = self.core_running();
        if core.len() < 3 || core.len() != cluster.core().len() {
            return;
        }
        self.rng.borrow_mut().shuffle(&mut core);
        let (away, rest) = core.split_at((core.len() - 1) / 2);
        let away: Vec<&str> = away.iter().map(String::as_str).collect();
        cluster.partition(&away, Some(Partition::PacketsLost));
        cluster.monitor.fault_began(None);
        let before = configuration.clone();
        let next = self.another(&configuration);
        if cluster.operator.put(&next, configuration.version).await == 200 {
            *configuration = next;
        }
        rest.iter().for_each(|n| cluster.power_off(n));
        cluster.wipe(&rest[0]);
        sleep(self.span(100..900)).await;
        cluster.partition(&away, None);
        cluster.power_on(&rest[0]);
        // Builds on a version that is not in force any more, so it must be refused.
        let next = Configuration {
            version: configuration.version + 2,
            ..self.another(&before)
        };
        let behind = cluster.control_of(away[0]);
        let changing =
            cluster
                .operator
                .change_at(Some(behind), &next, before.version, Encoding::Full, true);
        let waking = async {
            sleep(self.span(1_500..5_000)).await;
            rest[1..].iter().for_each(|n| cluster.power_on(n));
        };
        let ((status, _), ()) = tokio::join!(changing, waking);
        if status == 200 {
            *configuration = next;
        }
        cluster.monitor.fault_ended(None);
        drop(configuration);
        sleep(CATCH_UP).await;
    }

    /// See [`Fault::CoreTurnover`].
    async fn core_turnover(&self) {
        let _lost = self.core.lock().await;
        let cluster = &self.cluster;
        let Some(edge) = self.any(&self.edges()) else {
            return;
        };
        let old = cluster.core();
        if old.len() > 3 {
            return;
        }
        cluster.partition(&[&edge], Some(Partition::PacketsLost));
        for name in &old {
            cluster.replace(name);
            // New machines are cut off from it too.
            cluster
                .names()
                .iter()
                .filter(|n| **n != edge)
                .for_each(|n| {
                    cluster.network.partition_both(
                        cluster.ip(&edge),
                        cluster.ip(n),
                        Some(Partition::PacketsLost),
                    )
                });
            sleep(CATCH_UP * 2).await;
        }
        let mut configuration = self.configuration.lock().await;
        let next = self.another(&configuration);
        match cluster.operator.put(&next, configuration.version).await {
            200 => *configuration = next,
            _ => self.reread(&mut configuration, &[next]).await,
        }
        drop(configuration);
        cluster.partition(&[&edge], None);
        sleep(CATCH_UP * 2).await;
    }

    /// See [`Fault::CoreSplit`].
    async fn core_split(&self) {
        let _lost = self.core.lock().await;
        let cluster = &self.cluster;
        let Some(name) = self.any(&self.core_running()) else {
            return;
        };
        cluster
            .monitor
            .trace(format!("{name} is cut off from the rest of the core alone"));
        cluster.monitor.fault_began(Some(cluster.ip(&name)));
        cluster.monitor.momentary_fault(None);
        let others: Vec<String> = cluster.core().into_iter().filter(|n| *n != name).collect();
        let cut = |cut| {
            others.iter().for_each(|o| {
                cluster
                    .network
                    .partition_both(cluster.ip(&name), cluster.ip(o), cut)
            })
        };
        cut(Some(Partition::PacketsLost));
        for _ in 0..2 {
            self.configure(ConfigurationChange).await;
            sleep(self.span(500..3_000)).await;
        }
        cut(None);
        cluster.monitor.fault_ended(Some(cluster.ip(&name)));
        cluster.monitor.resumed(cluster.ip(&name));
        cluster.monitor.momentary_fault(None);
        sleep(CATCH_UP).await;
    }

    /// See [`Fault::LeaseOwnerFreeze`].
    async fn holder_freeze(&self) {
        let _lost = self.core.lock().await;
        let cluster = &self.cluster;
        let began = Instant::now();
        self.name_next_version().await;
        let ordered = || cluster.monitor.last_order().filter(|(_, at)| *at >= began);
        while ordered().is_none() && began.elapsed() < Duration::from_secs(4) {
            sleep(Duration::from_millis(2)).await;
        }
        let name = ordered().map(|(h, _)| h.split('@').next().unwrap_or_default().to_owned());
        let Some(name) = name.filter(|n| cluster.core().contains(n) && cluster.runs(n)) else {
            return;
        };
        let lease = cluster.settings.bounds.lease.as_millis() as u64;
        cluster.freeze(&name, true);
        sleep(self.span(lease * 3 / 2..lease * 9 / 4)).await;
        cluster.freeze(&name, false);
        sleep(CATCH_UP).await;
    }

    /// Kills all processes twice within a budget window. Retries before and after a restart count toward the same budget.
    async fn budget_press(&self) {
        let _lost = self.core.lock().await;
        let cluster = &self.cluster;
        let servers = self.servers();
        let faults = ServerFaults {
            resets: 0.9,
            ..ServerFaults::default()
        };
        cluster.monitor.trace("servers hardly answer");
        servers
            .iter()
            .for_each(|id| cluster.server(id).faults.set(faults));
        for lasting in [500..900, 3_000..4_000] {
            sleep(self.span(lasting)).await;
            let running: Vec<String> = cluster
                .names()
                .into_iter()
                .filter(|n| cluster.runs(n))
                .collect();
            running.iter().for_each(|n| cluster.kill(n));
            sleep(self.span(100..400)).await;
            running
                .iter()
                .filter(|n| !cluster.runs(n))
                .for_each(|n| cluster.start(n, false));
        }
        sleep(Duration::from_secs(4)).await;
        let there = servers.iter().filter(|id| cluster.server_runs(id));
        there.for_each(|id| cluster.server(id).faults.set(ServerFaults::default()));
        sleep(cluster.settings.bounds.budget_window).await;
    }
}
