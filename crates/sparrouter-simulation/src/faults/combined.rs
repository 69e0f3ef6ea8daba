//! Several troubles that only together bring out what each alone does not.
use super::Trouble::*;
use super::{CATCH_UP, Sky, Trouble};
use crate::fabric::Cut;
use crate::operator::How;
use crate::plan::Plan;
use crate::server::Faults;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl Sky {
    pub(super) async fn strike_combined(&self, trouble: Trouble) {
        match trouble {
            RaceCut => self.race_cut().await,
            WipeBehindCut => self.wipe_behind_cut().await,
            CoreTurnover => self.core_turnover().await,
            CoreSplit => self.core_split().await,
            HolderFreeze => self.holder_freeze().await,
            _ => self.budget_press().await,
        }
    }

    /// Each machine of the core in turn: one of them leads, and has on disk what only it took.
    async fn race_cut(&self) {
        let _lost = self.core.lock().await;
        for name in self.core_running().into_iter().take(3) {
            self.race_at(&name).await;
            sleep(CATCH_UP).await;
        }
    }

    async fn race_at(&self, name: &str) {
        let w = &self.world;
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
        let other = self.any(&others).map(|n| w.control_of(&n));
        let (cut_behind, sent_behind) = (self.span(0..24), self.span(0..60));
        let cutting = async {
            sleep(cut_behind).await;
            w.cut_off(&[name], Some(Cut::Silent));
            sleep(self.span(300..2_500)).await;
            w.kill(name);
            sleep(self.span(100..800)).await;
            w.start(name, false);
            sleep(self.span(300..2_500)).await;
            w.cut_off(&[name], None);
        };
        let first = async {
            sleep(sent_behind.saturating_sub(Duration::from_millis(30))).await;
            w.operator
                .change_at(Some(w.control_of(name)), &left, base, How::Whole, true)
                .await
                .0
        };
        let second = async {
            sleep(sent_behind).await;
            w.operator
                .change_at(other, &right, base, How::Whole, true)
                .await
                .0
        };
        let (left_came, right_came, ()) = tokio::join!(first, second, cutting);
        match (left_came, right_came) {
            (200, _) => *plan = left,
            (_, 200) => *plan = right,
            _ => self.reread(&mut plan, &[left, right]).await,
        }
    }

    async fn wipe_behind_cut(&self) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let mut plan = self.plan.lock().await;
        let mut core = self.core_running();
        if core.len() < 3 || core.len() != w.core().len() {
            return;
        }
        self.rng.borrow_mut().shuffle(&mut core);
        let (away, rest) = core.split_at((core.len() - 1) / 2);
        let away: Vec<&str> = away.iter().map(String::as_str).collect();
        w.cut_off(&away, Some(Cut::Silent));
        w.judge.trouble(None);
        let before = plan.clone();
        let next = self.another(&plan);
        if w.operator.put(&next, plan.version).await == 200 {
            *plan = next;
        }
        rest.iter().for_each(|n| w.power_off(n));
        w.wipe(&rest[0]);
        sleep(self.span(100..900)).await;
        w.cut_off(&away, None);
        w.power_on(&rest[0]);
        // On top of what was overtaken: nothing may come of this.
        let next = Plan {
            version: plan.version + 2,
            ..self.another(&before)
        };
        let behind = w.control_of(away[0]);
        let changing = w
            .operator
            .change_at(Some(behind), &next, before.version, How::Whole, true);
        let waking = async {
            sleep(self.span(1_500..5_000)).await;
            rest[1..].iter().for_each(|n| w.power_on(n));
        };
        let ((came, _), ()) = tokio::join!(changing, waking);
        if came == 200 {
            *plan = next;
        }
        w.judge.calm(None);
        drop(plan);
        sleep(CATCH_UP).await;
    }

    async fn core_turnover(&self) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let Some(edge) = self.any(&self.edges()) else {
            return;
        };
        let old = w.core();
        if old.len() > 3 {
            return;
        }
        w.cut_off(&[&edge], Some(Cut::Silent));
        for name in &old {
            w.replace(name);
            // Who came meanwhile is behind the cut too.
            w.names()
                .iter()
                .filter(|n| **n != edge)
                .for_each(|n| w.fabric.cut_both(w.ip(&edge), w.ip(n), Some(Cut::Silent)));
            sleep(CATCH_UP * 2).await;
        }
        let mut plan = self.plan.lock().await;
        let next = self.another(&plan);
        match w.operator.put(&next, plan.version).await {
            200 => *plan = next,
            _ => self.reread(&mut plan, &[next]).await,
        }
        drop(plan);
        w.cut_off(&[&edge], None);
        sleep(CATCH_UP * 2).await;
    }

    async fn core_split(&self) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let Some(name) = self.any(&self.core_running()) else {
            return;
        };
        w.judge
            .note(format!("{name} is cut off from the rest of the core alone"));
        w.judge.trouble(Some(w.ip(&name)));
        w.judge.shaken(None);
        let others: Vec<String> = w.core().into_iter().filter(|n| *n != name).collect();
        let cut = |cut| {
            others
                .iter()
                .for_each(|o| w.fabric.cut_both(w.ip(&name), w.ip(o), cut))
        };
        cut(Some(Cut::Silent));
        for _ in 0..2 {
            self.configure(ConfigChange).await;
            sleep(self.span(500..3_000)).await;
        }
        cut(None);
        w.judge.calm(Some(w.ip(&name)));
        w.judge.thawed(w.ip(&name));
        w.judge.shaken(None);
        sleep(CATCH_UP).await;
    }

    async fn holder_freeze(&self) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let began = Instant::now();
        self.bump().await;
        let ordered = || w.judge.last_order().filter(|(_, at)| *at >= began);
        while ordered().is_none() && began.elapsed() < Duration::from_secs(4) {
            sleep(Duration::from_millis(2)).await;
        }
        let name = ordered().map(|(h, _)| h.split('@').next().unwrap_or_default().to_owned());
        let Some(name) = name.filter(|n| w.core().contains(n) && w.runs(n)) else {
            return;
        };
        let lease = w.terms.bounds.lease.as_millis() as u64;
        w.freeze(&name, true);
        sleep(self.span(lease * 3 / 2..lease * 9 / 4)).await;
        w.freeze(&name, false);
        sleep(CATCH_UP).await;
    }

    /// Twice all processes are killed, long before the budget is spent: what is sent again adds up all the same.
    async fn budget_press(&self) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let servers = self.servers();
        let faults = Faults {
            resets: 0.9,
            ..Faults::default()
        };
        w.judge.note("servers hardly answer");
        servers
            .iter()
            .for_each(|id| w.server(id).faults.set(faults));
        for lasting in [500..900, 3_000..4_000] {
            sleep(self.span(lasting)).await;
            let running: Vec<String> = w.names().into_iter().filter(|n| w.runs(n)).collect();
            running.iter().for_each(|n| w.kill(n));
            sleep(self.span(100..400)).await;
            running
                .iter()
                .filter(|n| !w.runs(n))
                .for_each(|n| w.start(n, false));
        }
        sleep(Duration::from_secs(4)).await;
        let there = servers.iter().filter(|id| w.server_runs(id));
        there.for_each(|id| w.server(id).faults.set(Faults::default()));
        sleep(w.terms.bounds.budget_window).await;
    }
}
