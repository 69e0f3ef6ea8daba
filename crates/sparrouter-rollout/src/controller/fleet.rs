//! Health of the whole fleet, observed at each interval in every phase: losses of all nodes, and load on the origin.
use super::node::NodePhase;
use super::{Phase, RolloutController};
use crate::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// So many observations in a row without a fault of the whole fleet end it. With one, a stage passed in the middle of a
/// fault that lost a quarter.
const HEALTHY_OBSERVATIONS: usize = 8;
/// Weight of an observation in the smoothed rate of fetches, some four observations: reports do not come in step.
const FETCHES_WEIGHT: f64 = 0.25;

/// Phase of the rollout, by the name that stands in the history file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseName {
    /// The baseline is being learnt.
    #[serde(rename = "before")]
    LearningBaseline,
    /// Nodes of a stage are being changed.
    #[serde(rename = "moving")]
    ChangingNodes,
    /// A stage is being watched.
    #[serde(rename = "watching")]
    Baking,
    /// The change is being taken back.
    #[serde(rename = "back")]
    RollingBack,
    /// The rollout has ended.
    #[serde(rename = "done")]
    Finished,
}

/// What one interval of the fleet showed. Losses are fractions of the billed value; `None` where no node of that kind
/// reported. The history file keeps the earlier names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Index of the stage, from 0.
    pub stage: usize,
    /// Phase of the rollout.
    pub phase: PhaseName,
    /// Loss of all nodes.
    #[serde(rename = "all")]
    pub fleet_loss: Option<f64>,
    /// Fetches a second of all nodes together, smoothed.
    pub fetches_per_s: f64,
    /// Loss of the changed nodes.
    #[serde(rename = "changed")]
    pub changed_loss: Option<f64>,
    /// Loss of the other nodes.
    #[serde(rename = "unchanged")]
    pub unchanged_loss: Option<f64>,
    /// Number of nodes that are changed.
    #[serde(rename = "new")]
    pub changed_nodes: usize,
    /// Number of nodes that are down or unresponsive.
    #[serde(rename = "down")]
    pub unavailable_nodes: usize,
    /// The judge's worst measure, empty where there is none.
    pub measure: String,
    /// Its evidence; from 1 on it stops the change.
    #[serde(rename = "reached")]
    pub evidence: f64,
}

/// Billed value in an interval.
#[derive(Clone, Copy, Debug, Default)]
struct Value {
    lost: f64,
    requested: f64,
}

impl Value {
    fn loss(self) -> Option<f64> {
        (self.requested > 0.0).then(|| (self.lost / self.requested).clamp(0.0, 1.0))
    }
}

/// What all nodes did in an interval.
#[derive(Default)]
struct FleetActivity {
    changed: Value,
    unchanged: Value,
    fetches: u64,
}

impl FleetActivity {
    fn total(&self) -> Value {
        Value {
            lost: self.unchanged.lost + self.changed.lost,
            requested: self.unchanged.requested + self.changed.requested,
        }
    }
}

/// Health of the whole fleet.
#[derive(Default)]
pub(super) struct FleetHealth {
    next_observation_at: Nanos,
    /// Since when the whole fleet has lost more than its baseline allows.
    pub fault_since: Option<Nanos>,
    /// Observations in a row without such a fault.
    healthy_observations: usize,
    /// The loss when the fault was last seen.
    fault_loss: f64,
    /// Fetches a second of all nodes, smoothed.
    fetches_per_s: f64,
    /// Since when the fetches have been more than the origin can bear.
    pub overload_since: Option<Nanos>,
}

impl FleetHealth {
    /// Takes the loss of one interval.
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

    /// Takes the fetches of one interval.
    fn record_fetches(&mut self, per_s: f64, max_per_s: Option<f64>, now: Nanos) {
        self.fetches_per_s += FETCHES_WEIGHT * (per_s - self.fetches_per_s);
        let is_overloaded = max_per_s.is_some_and(|max| self.fetches_per_s > max);
        self.overload_since = is_overloaded.then(|| self.overload_since.unwrap_or(now));
    }
}

impl RolloutController {
    /// Observes the whole fleet, once an interval. Guards against nodes being changed while all suffer: samples are
    /// taken only of a stage whose nodes are all changed, which takes long with many nodes.
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
        // A fault of all shows at the unchanged. Where only the changed do worse, the stage is completed and judged.
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

    /// What all nodes did since the last observation.
    fn fleet_activity(&mut self) -> FleetActivity {
        let mut activity = FleetActivity::default();
        for node in &mut self.nodes {
            let Some(report) = &node.latest else { continue };
            let earlier = node.observed.replace(report.clone());
            let Some(earlier) = earlier.filter(|earlier| earlier != report) else {
                continue;
            };
            let done = report.since(&earlier);
            activity.fetches += done.fetches;
            let value = if node.phase == NodePhase::Changed {
                &mut activity.changed
            } else {
                &mut activity.unchanged
            };
            for operation in &done.operations {
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

    /// The fault of the whole fleet, for the operator.
    pub(super) fn describe_fleet_fault(&self) -> String {
        let baseline = self.baseline.as_ref().map_or(0.0, |b| b.lost);
        let loss = 100.0 * self.health.fault_loss;
        let baseline = 100.0 * baseline;
        format!("the whole fleet loses {loss:.1} % of the billed value, {baseline:.1} % before")
    }
}
