//! Phases `LearningBaseline` and `ChangingNodes`: measures the baseline, and changes the nodes of a stage.
use super::node::NodePhase;
use super::{Phase, RolloutController};
use crate::Nanos;
use crate::baseline::{Baseline, NodeActivity};
use crate::judge::Judge;
use crate::record::{CommandKind, Entry, Outcome};

/// Number of sample intervals after a node's start until the rate of fetches reflects its cache misses.
const FETCHES_DELAY_INTERVALS: u64 = 4;

/// The two groups of nodes that are compared in a stage.
pub(super) struct Groups {
    /// Nodes that the stage changes, in order.
    pub changed: Vec<usize>,
    /// Nodes that stay unchanged in the stage: the last nodes in the order, as many as `changed` if enough remain.
    pub unchanged: Vec<usize>,
}

impl Groups {
    /// Returns the commands of both groups in alternation, so that both groups have the same uptime when compared.
    fn alternating(&self) -> Vec<(usize, CommandKind)> {
        let mut nodes = Vec::new();
        for index in 0..self.changed.len().max(self.unchanged.len()) {
            let changed = self.changed.get(index);
            let unchanged = self.unchanged.get(index);
            nodes.extend(changed.map(|&node| (node, CommandKind::Change)));
            nodes.extend(unchanged.map(|&node| (node, CommandKind::Restart)));
        }
        nodes
    }
}

impl RolloutController {
    /// Runs one tick of the phase `LearningBaseline`: waits for the bake time and a report of each node.
    pub(super) fn learn_baseline(&mut self, now: Nanos) {
        let started_at = self.started_at(now);
        if now < started_at + self.plan.bake_time {
            return;
        }
        if self.nodes.iter().any(|node| node.latest_report.is_none()) {
            if now > started_at + self.plan.max_wait {
                let missing = self.names_where(|node| self.nodes[node].latest_report.is_none());
                self.finish(Outcome::LeftToOperator(format!(
                    "no node was changed: no report from {missing}"
                )));
            }
            return;
        }
        let activity = |node: &super::NodeState| {
            let (first, latest) = (node.first_report.as_ref()?, node.latest_report.as_ref()?);
            Some(NodeActivity::between(first, latest))
        };
        let activities: Vec<Option<NodeActivity>> = self.nodes.iter().map(activity).collect();
        let baseline = Baseline::learn(&activities);
        self.print(format!(
            "{} nodes, {:.2} % of the billed value lost before the change",
            self.nodes.len(),
            100.0 * baseline.lost
        ));
        self.log(Entry::Baseline {
            baseline: baseline.clone(),
        });
        self.baseline = Some(baseline);
        self.enter_stage(0);
    }

    pub(super) fn enter_stage(&mut self, stage: usize) {
        self.log(Entry::Stage { stage });
        self.print(format!(
            "stage {} of {}: {} of {} nodes",
            stage + 1,
            self.stage_sizes.len(),
            self.stage_sizes[stage],
            self.nodes.len()
        ));
        for node in &mut self.nodes {
            if node.phase == NodePhase::Restarted {
                node.phase = NodePhase::Unchanged;
            }
        }
        self.stage = stage;
        self.phase = Phase::ChangingNodes;
        self.last_finding = None;
    }

    pub(super) fn groups(&self) -> Groups {
        let size = self.stage_sizes[self.stage];
        let nodes = self.order.len();
        let previous_size = match self.stage {
            0 => 0,
            stage => self.stage_sizes[stage - 1],
        };
        let unchanged = (size - previous_size).min(nodes - size);
        Groups {
            changed: self.order[previous_size..size].to_vec(),
            unchanged: self.order[nodes - unchanged..].to_vec(),
        }
    }

    /// Runs one tick of the phase `ChangingNodes`.
    pub(super) fn change_nodes(&mut self, now: Nanos) {
        let groups = self.groups();
        // Commands that an earlier controller left interrupted are run first, as their nodes count as unavailable.
        let is_interrupted =
            |node: &usize| matches!(self.nodes[*node].phase, NodePhase::Interrupted(_));
        if let Some(node) = (0..self.nodes.len()).find(is_interrupted) {
            let command = if groups.changed.contains(&node) {
                CommandKind::Change
            } else {
                CommandKind::Restart
            };
            return self.start_command(node, command, now);
        }
        let is_unchanged = |node: &usize| self.nodes[*node].phase == NodePhase::Unchanged;
        let remaining = Groups {
            changed: groups
                .changed
                .iter()
                .copied()
                .filter(is_unchanged)
                .collect(),
            unchanged: groups
                .unchanged
                .iter()
                .copied()
                .filter(is_unchanged)
                .collect(),
        };
        let commands = remaining.alternating();
        if !commands.is_empty() {
            return self.start_changes(commands, now);
        }
        let is_ready = |node: &usize| {
            matches!(
                self.nodes[*node].phase,
                NodePhase::Changed | NodePhase::Restarted | NodePhase::Abandoned
            )
        };
        if groups.changed.iter().chain(&groups.unchanged).all(is_ready) {
            self.start_baking(now);
        }
    }

    /// Starts the next commands of a stage, unless the fleet has a fault or the origin is overloaded.
    fn start_changes(&mut self, mut commands: Vec<(usize, CommandKind)>, now: Nanos) {
        if let Some(since) = self.health.fault_since {
            if now > since + self.plan.max_wait {
                let fault = self.describe_fleet_fault();
                self.start_rollback(format!("{fault}, for too long while nodes are changed"));
            }
            return;
        }
        if let Some(since) = self.health.overload_since {
            if now > since + self.plan.max_wait {
                self.start_rollback(
                    "more fetches than the origin can serve, for too long while nodes are changed"
                        .to_string(),
                );
            }
            return;
        }
        let last_transition_at = self.last_transition_at();
        if self.plan.changes_placement {
            // Nodes are changed one at a time, and the next one waits until the fetches reflect the last one: when
            // nodes were started together, all their keys missed before the overload was visible.
            let fetches_visible_at =
                last_transition_at + FETCHES_DELAY_INTERVALS * self.plan.sample_interval;
            if self.is_any_in_transition() || now < fetches_visible_at {
                return;
            }
            commands.truncate(1);
        }
        let has_started = self.start_commands(&commands, now);
        if !has_started && now > last_transition_at + self.plan.max_wait {
            let name = self.name(commands[0].0);
            self.start_rollback(format!(
                "{name} could not be taken down: other nodes are unavailable"
            ));
        }
    }

    /// Starts to watch the stage.
    fn start_baking(&mut self, now: Nanos) {
        self.phase = Phase::Baking {
            since: now,
            fault_since: None,
        };
        self.next_sample_at = now + self.plan.sample_interval;
        for node in &mut self.nodes {
            node.sampled_report = node.latest_report.clone();
        }
        let judge = self.judge.get_or_insert_with(|| {
            Judge::new(
                self.baseline.clone().unwrap_or_default(),
                self.nodes.len(),
                self.stage_sizes.len(),
                self.plan.min_harm,
                self.plan.false_stop_rate,
            )
        });
        judge.begin_stage();
    }
}
