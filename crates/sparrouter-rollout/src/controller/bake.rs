//! Phase `Baking`: compares both groups of a completed stage in each interval, and decides whether the stage passes.
use super::{Phase, RolloutController};
use crate::baseline::NodeActivity;
use crate::judge::{Judge, NodeSample};
use crate::record::{Entry, Outcome};
use crate::{Nanos, SECOND};

/// Wealth above which the evidence suggests harm; the next stage waits until the wealth is below it again.
const SUSPICIOUS_WEALTH: f64 = 3.0;
/// Minimum fraction of a stage's intervals in which both groups must have been compared.
const MIN_COMPARED_FRACTION: f64 = 0.8;

impl RolloutController {
    /// Runs one tick of the phase `Baking`.
    pub(super) fn bake(&mut self, now: Nanos) {
        if now >= self.next_sample_at {
            self.next_sample_at = now + self.plan.sample_interval;
            self.sample_stage(now);
        }
        // A sample may have started a rollback.
        let Phase::Baking { since, fault_since } = self.phase else {
            return;
        };
        let bake_time = self.bake_time();
        let is_healthy = fault_since.is_none() && self.health.fault_since.is_none();
        let has_baked = now >= since + bake_time;
        if is_healthy && has_baked && self.has_enough_evidence(bake_time) && !self.is_suspicious() {
            return self.pass_stage();
        }
        if now > since + 2 * self.plan.max_wait.max(bake_time) {
            self.start_rollback(
                "not enough evidence for or against harm within the time limit".to_string(),
            );
        }
    }

    /// Takes a sample, and starts a rollback if the evidence suffices or a fault lasts too long.
    fn sample_stage(&mut self, now: Nanos) {
        let Phase::Baking { fault_since, .. } = self.phase else {
            return;
        };
        let all_respond = !(0..self.nodes.len()).any(|node| self.is_unresponsive(node, now));
        let unresponsive = self.unresponsive_names(now);
        self.compare_groups(all_respond);
        let fault_since = (!all_respond).then(|| fault_since.unwrap_or(now));
        if let Phase::Baking {
            fault_since: stored,
            ..
        } = &mut self.phase
        {
            *stored = fault_since;
        }
        let lasts_too_long = |since: &Nanos| now > since + self.plan.max_wait;
        if fault_since.as_ref().is_some_and(lasts_too_long) {
            self.start_rollback(format!(
                "no reports from {unresponsive} for too long while the stage was watched"
            ));
        } else if let Some(since) = self.health.fault_since.filter(lasts_too_long) {
            let seconds = (now - since) / SECOND;
            let fault = self.describe_fleet_fault();
            self.start_rollback(format!("{fault}, for too long: {seconds} s"));
        }
    }

    /// Compares the groups over the last interval, and starts a rollback if the evidence suffices. If a node is
    /// unresponsive (`all_respond` is false), the interval is closed without a comparison.
    fn compare_groups(&mut self, all_respond: bool) {
        let activities = self.take_activities();
        if !all_respond {
            return;
        }
        let baseline = self.baseline.clone().unwrap_or_default();
        let samples = |nodes: &[usize]| -> Vec<NodeSample> {
            let sample = |&node: &usize| {
                let values = baseline.measure(activities[node].as_ref()?);
                Some(NodeSample { node, values })
            };
            nodes.iter().filter_map(sample).collect()
        };
        let groups = self.groups();
        let changed = samples(&groups.changed);
        let unchanged = samples(&groups.unchanged);
        let judge = self.judge.as_mut();
        let Some(finding) = judge.and_then(|judge| judge.compare(&changed, &unchanged)) else {
            return;
        };
        if finding.evidence >= 1.0 {
            self.start_rollback(format!(
                "{} is worse by {:.3} than at unchanged nodes that were restarted at the same time",
                finding.measure, finding.difference
            ));
        }
        self.last_finding = Some(finding);
    }

    /// Returns the activity of each node since the last sample; `None` if it has not reported since.
    fn take_activities(&mut self) -> Vec<Option<NodeActivity>> {
        let take = |node: &mut super::NodeState| {
            let (latest, sampled) = (node.latest_report.as_ref()?, node.sampled_report.as_ref()?);
            let activity = (latest != sampled).then(|| NodeActivity::between(sampled, latest));
            node.sampled_report = node.latest_report.clone();
            activity
        };
        self.nodes.iter_mut().map(take).collect()
    }

    /// Returns the time for which the stage is watched: the plan's bake time, extended until the strongest possible harm
    /// would have been detected. With eight intervals the test could never have stopped a change.
    fn bake_time(&self) -> Nanos {
        let min_intervals = match &self.judge {
            Some(judge) if self.has_unchanged_group() => judge.min_intervals(),
            _ => 0,
        };
        let min_time = min_intervals as Nanos * self.plan.sample_interval;
        self.plan.bake_time.max(min_time)
    }

    fn has_unchanged_group(&self) -> bool {
        !self.groups().unchanged.is_empty()
    }

    /// Whether both groups were compared in enough intervals. The last stage may have no unchanged nodes to compare with.
    fn has_enough_evidence(&self, bake_time: Nanos) -> bool {
        if !self.has_unchanged_group() {
            return true;
        }
        let intervals = (bake_time / self.plan.sample_interval).max(1) as f64;
        let compared = self.judge.as_ref().map(Judge::compared_intervals);
        compared.is_some_and(|compared| compared as f64 >= MIN_COMPARED_FRACTION * intervals)
    }

    fn is_suspicious(&self) -> bool {
        let finding = self.last_finding.as_ref();
        finding.is_some_and(|finding| finding.wealth > SUSPICIOUS_WEALTH)
    }

    fn pass_stage(&mut self) {
        self.log(Entry::StagePassed { stage: self.stage });
        if self.stage + 1 < self.stage_sizes.len() {
            return self.enter_stage(self.stage + 1);
        }
        let abandoned = self.abandoned_names();
        self.finish(if abandoned.is_empty() {
            Outcome::Completed
        } else {
            Outcome::LeftToOperator(format!("every node is changed except {abandoned}"))
        });
    }
}
