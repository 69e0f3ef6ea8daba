//! Health of the whole fleet, observed once per sample interval in every phase: loss of all nodes, and load on the
//! origin.
use super::node::NodePhase;
use super::{Phase, RolloutController};
use crate::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// Number of consecutive healthy observations that end a fault of the whole fleet. With 1, a stage passed in the middle
/// of a fault that lost a quarter.
const HEALTHY_OBSERVATIONS: usize = 8;
/// Weight of an observation in the smoothed rate of fetches, equal to a mean over about four observations. Smoothing is
/// needed because the reports of the nodes are not synchronized.
const FETCHES_WEIGHT: f64 = 0.25;

/// Phase of the rollout, as stored in the history file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseName {
    /// The baseline is being measured.
    #[serde(rename = "before")]
    LearningBaseline,
    /// The nodes of a stage are being changed.
    #[serde(rename = "moving")]
    ChangingNodes,
    /// A stage is being watched.
    #[serde(rename = "watching")]
    Baking,
    /// The change is being rolled back.
    #[serde(rename = "back")]
    RollingBack,
    /// The rollout has ended.
    #[serde(rename = "done")]
    Finished,
}

/// Observation of the fleet over one interval. Losses are fractions of the billed value, and `None` if no node of that
/// group reported. The history file keeps the field names of earlier versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Index of the stage, from 0.
    pub stage: usize,
    /// Phase of the rollout.
    pub phase: PhaseName,
    /// Loss of all nodes.
    #[serde(rename = "all")]
    pub fleet_loss: Option<f64>,
    /// Smoothed fetches per second of all nodes together.
    pub fetches_per_s: f64,
    /// Loss of the changed nodes.
    #[serde(rename = "changed")]
    pub changed_loss: Option<f64>,
    /// Loss of the other nodes.
    #[serde(rename = "unchanged")]
    pub unchanged_loss: Option<f64>,
    /// Number of changed nodes.
    #[serde(rename = "new")]
    pub changed_nodes: usize,
    /// Number of nodes that are unavailable.
    #[serde(rename = "down")]
    pub unavailable_nodes: usize,
    /// Measure with the strongest evidence of harm; empty if there is none.
    pub measure: String,
    /// Evidence of that measure; 1 or more stops the rollout.
    #[serde(rename = "reached")]
    pub evidence: f64,
}

/// Billed value of the requests in an interval.
#[derive(Clone, Copy, Debug, Default)]
struct BilledValue {
    lost: f64,
    requested: f64,
}

impl BilledValue {
    fn loss(self) -> Option<f64> {
        (self.requested > 0.0).then(|| (self.lost / self.requested).clamp(0.0, 1.0))
    }
}

/// Activity of all nodes in an interval.
#[derive(Default)]
struct FleetActivity {
    changed: BilledValue,
    unchanged: BilledValue,
    fetches: u64,
}

impl FleetActivity {
    fn total(&self) -> BilledValue {
        BilledValue {
            lost: self.unchanged.lost + self.changed.lost,
            requested: self.unchanged.requested + self.changed.requested,
        }
    }
}

/// Health of the whole fleet.
#[derive(Default)]
pub(super) struct FleetHealth {
    next_observation_at: Nanos,
    /// Time since which the whole fleet has lost more than its baseline allows; `None` without such a fault.
    pub fault_since: Option<Nanos>,
    /// Number of consecutive observations without such a fault.
    healthy_observations: usize,
    /// Loss in the last observation with the fault, as a fraction of the billed value.
    fault_loss: f64,
    /// Smoothed fetches per second of all nodes together.
    fetches_per_s: f64,
    /// Time since which the fetches have exceeded the limit of the origin; `None` if they are within it.
    pub overload_since: Option<Nanos>,
}

impl FleetHealth {
    /// Records the loss of one interval.
    fn record_loss(&mut self, loss: Option<f64>, max_loss: f64, now: Nanos) {
        match loss {
            Some(loss) if loss > max_loss => {
                self.fault_since.get_or_insert(now);
                self.healthy_observations = 0;
                self.fault_loss = loss;
            }
            Some(_) => {
                self.healthy_observations += 1;
                if self.healthy_observations >= HEALTHY_OBSERVATIONS {
                    self.fault_since = None;
                }
            }
            None => {}
        }
    }

    /// Records the rate of fetches in one interval.
    fn record_fetches(&mut self, per_s: f64, max_per_s: Option<f64>, now: Nanos) {
        self.fetches_per_s += FETCHES_WEIGHT * (per_s - self.fetches_per_s);
        let is_overloaded = max_per_s.is_some_and(|max| self.fetches_per_s > max);
        self.overload_since = is_overloaded.then(|| self.overload_since.unwrap_or(now));
    }
}

impl RolloutController {
    /// Observes the whole fleet, once per interval. The sequential test runs only once all nodes of a stage are changed,
    /// which takes long with many nodes; this observation prevents further changes during a fault of the whole fleet.
    pub(super) fn observe_fleet(&mut self, now: Nanos) {
        if now < self.health.next_observation_at {
            return;
        }
        self.health.next_observation_at = now + self.plan.sample_interval;
        let unavailable = self.unavailable(now);
        let activity = self.fleet_activity();
        let fleet_loss = activity.total().loss();
        let unchanged_loss = activity.unchanged.loss();
        let baseline = self.baseline.as_ref();
        let max_loss = baseline.map_or(1.0, |b| b.lost + self.plan.max_fleet_loss);
        // A fault of the whole fleet shows at the unchanged nodes. If only the changed nodes are worse, the stage is
        // completed and the sequential test decides.
        let loss = unchanged_loss.or(fleet_loss);
        self.health.record_loss(loss, max_loss, now);
        let fetches_per_s =
            activity.fetches as f64 * SECOND as f64 / self.plan.sample_interval as f64;
        let max_fetches_per_s = self.plan.max_fetches_per_s;
        self.health
            .record_fetches(fetches_per_s, max_fetches_per_s, now);
        let phase = self.phase_name();
        let finding = self.last_finding.as_ref();
        let finding = finding.filter(|_| phase == PhaseName::Baking);
        let observation = Observation {
            stage: self.stage,
            phase,
            fleet_loss,
            fetches_per_s: self.health.fetches_per_s,
            changed_loss: activity.changed.loss(),
            unchanged_loss,
            changed_nodes: self.changed_count(),
            unavailable_nodes: unavailable.len(),
            measure: finding.map_or(String::new(), |f| f.measure.clone()),
            evidence: finding.map_or(0.0, |f| f.evidence),
        };
        self.actions.push(super::Action::Observe(observation));
    }

    /// Returns the activity of all nodes since the last observation.
    fn fleet_activity(&mut self) -> FleetActivity {
        let mut activity = FleetActivity::default();
        for node in &mut self.nodes {
            let Some(report) = &node.latest_report else {
                continue;
            };
            let earlier = node.observed_report.replace(report.clone());
            let Some(earlier) = earlier.filter(|earlier| earlier != report) else {
                continue;
            };
            let delta = report.since(&earlier);
            activity.fetches += delta.fetches;
            let value = if node.phase == NodePhase::Changed {
                &mut activity.changed
            } else {
                &mut activity.unchanged
            };
            for operation in &delta.operations {
                value.lost += operation.asked - operation.in_time;
                value.requested += operation.asked;
            }
        }
        activity
    }

    fn phase_name(&self) -> PhaseName {
        match self.phase {
            Phase::LearningBaseline => PhaseName::LearningBaseline,
            Phase::ChangingNodes => PhaseName::ChangingNodes,
            Phase::Baking { .. } => PhaseName::Baking,
            Phase::RollingBack { .. } => PhaseName::RollingBack,
            Phase::Finished => PhaseName::Finished,
        }
    }

    /// Describes the fault of the whole fleet for the operator.
    pub(super) fn describe_fleet_fault(&self) -> String {
        let baseline = self.baseline.as_ref().map_or(0.0, |b| b.lost);
        let loss = 100.0 * self.health.fault_loss;
        let baseline = 100.0 * baseline;
        format!(
            "the whole fleet loses {loss:.1} % of the billed value, {baseline:.1} % in the baseline"
        )
    }
}
