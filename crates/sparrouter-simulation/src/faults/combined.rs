//! Sequences of several faults, for mistakes that no single fault shows.
use super::Fault::*;
use super::{CATCH_UP, DayRun, Fault};
use crate::fabric::Cut;
use crate::operator::How;
use crate::plan::Plan;
use crate::server::Faults;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl DayRun {
    pub(super) async fn inject_combined(&self, fault: Fault) {
        match fault {
            RaceCut => self.race_cut().await,
            WipeBehindCut => self.wipe_behind_cut().await,
            CoreTurnover => self.core_turnover().await,
            CoreSplit => self.core_split().await,
            HolderFreeze => self.holder_freeze().await,
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
        let world = &self.world;
        let mut plan = self.plan.lock().await;
        let left = self.another(&plan);
        let right = Plan {
            version: left.version + 1,
            ..self.another(&plan)
        };
        let base = plan.version;
        let others: Vec<String> = self
            .core_running()
            .into_iter()
            .filter(|n| n != name)
            .collect();
        let other = self.any(&others).map(|n| world.control_of(&n));
        let (cut_behind, sent_behind) = (self.span(0..24), self.span(0..60));
        let cutting = async {
            sleep(cut_behind).await;
            world.cut_off(&[name], Some(Cut::Silent));
            sleep(self.span(300..2_500)).await;
            world.kill(name);
            sleep(self.span(100..800)).await;
            world.start(name, false);
            sleep(self.span(300..2_500)).await;
            world.cut_off(&[name], None);
        };
        let first = async {
            sleep(sent_behind.saturating_sub(Duration::from_millis(30))).await;
            world
                .operator
                .change_at(Some(world.control_of(name)), &left, base, How::Whole, true)
                .await
                .0
        };
        let second = async {
            sleep(sent_behind).await;
            world
                .operator
                .change_at(other, &right, base, How::Whole, true)
                .await
                .0
        };
        let (left_status, right_status, ()) = tokio::join!(first, second, cutting);
        match (left_status, right_status) {
            (200, _) => *plan = left,
            (_, 200) => *plan = right,
            _ => self.reread(&mut plan, &[left, right]).await,
        }
    }

    /// See [`Fault::WipeBehindCut`].
    async fn wipe_behind_cut(&self) {
        let _lost = self.core.lock().await;
        let world = &self.world;
        let mut plan = self.plan.lock().await;
        let mut core = self.core_running();
        if core.len() < 3 || core.len() != world.core().len() {
            return;
        }
        self.rng.borrow_mut().shuffle(&mut core);
        let (away, rest) = core.split_at((core.len() - 1) / 2);
        let away: Vec<&str> = away.iter().map(String::as_str).collect();
        world.cut_off(&away, Some(Cut::Silent));
        world.judge.trouble(None);
        let before = plan.clone();
        let next = self.another(&plan);
        if world.operator.put(&next, plan.version).await == 200 {
            *plan = next;
        }
        rest.iter().for_each(|n| world.power_off(n));
        world.wipe(&rest[0]);
        sleep(self.span(100..900)).await;
        world.cut_off(&away, None);
        world.power_on(&rest[0]);
        // Builds on a version that is not in force any more, so it must be refused.
        let next = Plan {
            version: plan.version + 2,
            ..self.another(&before)
        };
        let behind = world.control_of(away[0]);
        let changing =
            world
                .operator
                .change_at(Some(behind), &next, before.version, How::Whole, true);
        let waking = async {
            sleep(self.span(1_500..5_000)).await;
            rest[1..].iter().for_each(|n| world.power_on(n));
        };
        let ((status, _), ()) = tokio::join!(changing, waking);
        if status == 200 {
            *plan = next;
        }
        world.judge.calm(None);
        drop(plan);
        sleep(CATCH_UP).await;
    }

    /// See [`Fault::CoreTurnover`].
    async fn core_turnover(&self) {
        let _lost = self.core.lock().await;
        let world = &self.world;
        let Some(edge) = self.any(&self.edges()) else {
            return;
        };
        let old = world.core();
        if old.len() > 3 {
            return;
        }
        world.cut_off(&[&edge], Some(Cut::Silent));
        for name in &old {
            world.replace(name);
            // New machines are cut off from it too.
            world.names().iter().filter(|n| **n != edge).for_each(|n| {
                world
                    .fabric
                    .cut_both(world.ip(&edge), world.ip(n), Some(Cut::Silent))
            });
            sleep(CATCH_UP * 2).await;
        }
        let mut plan = self.plan.lock().await;
        let next = self.another(&plan);
        match world.operator.put(&next, plan.version).await {
            200 => *plan = next,
            _ => self.reread(&mut plan, &[next]).await,
        }
        drop(plan);
        world.cut_off(&[&edge], None);
        sleep(CATCH_UP * 2).await;
    }

    /// See [`Fault::CoreSplit`].
    async fn core_split(&self) {
        let _lost = self.core.lock().await;
        let world = &self.world;
        let Some(name) = self.any(&self.core_running()) else {
            return;
        };
        world
            .judge
            .note(format!("{name} is cut off from the rest of the core alone"));
        world.judge.trouble(Some(world.ip(&name)));
        world.judge.shaken(None);
        let others: Vec<String> = world.core().into_iter().filter(|n| *n != name).collect();
        let cut = |cut| {
            others
                .iter()
                .for_each(|o| world.fabric.cut_both(world.ip(&name), world.ip(o), cut))
        };
        cut(Some(Cut::Silent));
        for _ in 0..2 {
            self.configure(ConfigChange).await;
            sleep(self.span(500..3_000)).await;
        }
        cut(None);
        world.judge.calm(Some(world.ip(&name)));
        world.judge.thawed(world.ip(&name));
        world.judge.shaken(None);
        sleep(CATCH_UP).await;
    }

    /// See [`Fault::HolderFreeze`].
    async fn holder_freeze(&self) {
        let _lost = self.core.lock().await;
        let world = &self.world;
        let began = Instant::now();
        self.name_next_version().await;
        let ordered = || world.judge.last_order().filter(|(_, at)| *at >= began);
        while ordered().is_none() && began.elapsed() < Duration::from_secs(4) {
            sleep(Duration::from_millis(2)).await;
        }
        let name = ordered().map(|(h, _)| h.split('@').next().unwrap_or_default().to_owned());
        let Some(name) = name.filter(|n| world.core().contains(n) && world.runs(n)) else {
            return;
        };
        let lease = world.terms.bounds.lease.as_millis() as u64;
        world.freeze(&name, true);
        sleep(self.span(lease * 3 / 2..lease * 9 / 4)).await;
        world.freeze(&name, false);
        sleep(CATCH_UP).await;
    }

    /// Kills all processes twice within a budget window. Retries before and after a restart count toward the same budget.
    async fn budget_press(&self) {
        let _lost = self.core.lock().await;
        let world = &self.world;
        let servers = self.servers();
        let faults = Faults {
            resets: 0.9,
            ..Faults::default()
        };
        world.judge.note("servers hardly answer");
        servers
            .iter()
            .for_each(|id| world.server(id).faults.set(faults));
        for lasting in [500..900, 3_000..4_000] {
            sleep(self.span(lasting)).await;
            let running: Vec<String> = world
                .names()
                .into_iter()
                .filter(|n| world.runs(n))
                .collect();
            running.iter().for_each(|n| world.kill(n));
            sleep(self.span(100..400)).await;
            running
                .iter()
                .filter(|n| !world.runs(n))
                .for_each(|n| world.start(n, false));
        }
        sleep(Duration::from_secs(4)).await;
        let there = servers.iter().filter(|id| world.server_runs(id));
        there.for_each(|id| world.server(id).faults.set(Faults::default()));
        sleep(world.terms.bounds.budget_window).await;
    }
}
