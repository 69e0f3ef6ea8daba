//! Learns the baseline, and changes the nodes of a stage.
use super::node::NodePhase;
use super::{Phase, RolloutController};
use crate::Nanos;
use crate::baseline::{Baseline, NodeActivity};
use crate::judge::Judge;
use crate::record::{CommandKind, Entry, Outcome};

/// So many intervals after a node's start its fetches show.
const FETCHES_SHOW_INTERVALS: u64 = 4;

/// The nodes that are compared in a stage.
pub(super) struct Groups {
    /// Those that the stage changes, in order.
    pub changed: Vec<usize>,
    /// As many of the last in the order, as far as there are, which stay unchanged.
    pub unchanged: Vec<usize>,
}

impl Groups {
    /// All nodes in alternation, so that both groups are as fresh when they are compared.
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
    /// The phase `LearningBaseline`: waits for the bake time and a report of each node.
    pub(super) fn learn_baseline(&mut self, now: Nanos) {
        let started_at = self.started_at(now);
        if now < started_at + self.plan.bake_time {
            return;
        }
        if self.nodes.iter().any(|node| node.latest.is_none()) {
            if now > started_at + self.plan.max_wait {
                let missing = self.names_where(|node| self.nodes[node].latest.is_none());
                self.finish(Outcome::Left(format!(
                    "nothing done: no report from {missing}"
                )));
            }
            return;
        }
        let activity = |node: &super::NodeState| {
            let (first, latest) = (node.first.as_ref()?, node.latest.as_ref()?);
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

    /// The phase `ChangingNodes`.
    pub(super) fn change_nodes(&mut self, now: Nanos) {
        let groups = self.groups();
        // What an earlier controller left interrupted goes first: it counts as unavailable.
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
        let wanted = remaining.alternating();
        if !wanted.is_empty() {
            return self.start_changes(wanted, now);
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

    /// Starts the next commands of a stage, unless the fleet or the origin suffers.
    fn start_changes(&mut self, mut wanted: Vec<(usize, CommandKind)>, now: Nanos) {
        if let Some(since) = self.health.fault_since {
            if now > since + self.plan.max_wait {
                let fault = self.describe_fleet_fault();
                self.start_rollback(format!("{fault}, while nodes are changed and for too long"));
            }
            return;
        }
        if let Some(since) = self.health.overload_since {
            if now > since + self.plan.max_wait {
                self.start_rollback(
                    "more fetches than the origin can bear while nodes are changed, and for too long"
                        .to_string(),
                );
            }
            return;
        }
        let last_transition_at = self.last_transition_at();
        if self.plan.changes_placement {
            // One node at a time, and its cost to the origin shows before the next: of nodes that were started together
            // all keys missed before any of it showed.
            let shows_at = last_transition_at + FETCHES_SHOW_INTERVALS * self.plan.sample_interval;
            if self.is_any_in_transition() || now < shows_at {
                return;
            }
            wanted.truncate(1);
        }
        let has_started = self.start_commands(&wanted, now);
        if !has_started && now > last_transition_at + self.plan.max_wait {
            let name = self.name(wanted[0].0);
            self.start_rollback(format!("{name} could not be taken down: others are"));
        }
    }

    /// Begins to watch the stage.
    fn start_baking(&mut self, now: Nanos) {
        self.phase = Phase::Baking {
            since: now,
            fault_since: None,
        };
        self.next_sample_at = now + self.plan.sample_interval;
        for node in &mut self.nodes {
            node.sampled = node.latest.clone();
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
