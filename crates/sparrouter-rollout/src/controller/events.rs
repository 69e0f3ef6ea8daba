//! What happens to single nodes: commands that ended, reports, and time-outs.
use super::RolloutController;
use super::node::NodePhase;
use crate::Nanos;
use crate::controller::CommandError;
use crate::record::{CommandKind, Entry, Outcome};
use crate::report::Report;

/// A node without a report for so many intervals is unresponsive: no report is not taken for a good one.
const UNRESPONSIVE_INTERVALS: u64 = 5;

/// What a report says beside the node's earlier one and the plan.
struct ReportFacts {
    is_new_generation: bool,
    is_old_generation: bool,
    /// Another process wrote it than the report before.
    is_restarted: bool,
    /// An invariant violation since the report before.
    has_violation: bool,
    /// The process that a command ends wrote it.
    is_stale: bool,
    /// Keys have other cache servers than at unchanged nodes, which the plan does not allow.
    moves_keys: bool,
}

impl RolloutController {
    pub(super) fn on_command_ended(
        &mut self,
        node: usize,
        command: CommandKind,
        result: Result<(), CommandError>,
        now: Nanos,
    ) {
        if self.nodes[node].phase != NodePhase::RunningCommand(command) || self.is_finished() {
            return;
        }
        let name = self.name(node);
        self.log(Entry::CommandEnded {
            node: name.clone(),
            command,
            succeeded: result.is_ok(),
        });
        self.nodes[node].phase_since = now;
        match (command, result) {
            (_, Ok(())) => self.nodes[node].phase = NodePhase::AwaitingReport(command),
            (CommandKind::Change, Err(error)) => {
                // How far the change went is not known: it is taken back like the others.
                self.nodes[node].phase = NodePhase::Changed;
                self.start_rollback(format!("{name} could not be changed: {error}"));
            }
            (_, Err(error)) => self.abandon(node, &format!("{command} came to nothing: {error}")),
        }
    }

    fn abandon(&mut self, node: usize, reason: &str) {
        self.nodes[node].phase = NodePhase::Abandoned;
        let name = self.name(node);
        self.print(format!(
            "{name} is left as it is and counts as down: {reason}"
        ));
    }

    pub(super) fn on_report(&mut self, node: usize, report: Report, now: Nanos) {
        let facts = self.evaluate_report(node, &report, now);
        self.nodes[node].record_report(report, now);
        let name = self.name(node);
        let state = &mut self.nodes[node];
        match state.phase {
            NodePhase::AwaitingReport(CommandKind::Change) if facts.is_new_generation => {
                state.confirm(NodePhase::Changed, now);
                if facts.moves_keys {
                    self.start_rollback(format!(
                        "{name} places keys otherwise, which the plan does not allow"
                    ));
                }
            }
            NodePhase::AwaitingReport(CommandKind::RollBack) if facts.is_old_generation => {
                state.confirm(NodePhase::Unchanged, now);
            }
            NodePhase::AwaitingReport(CommandKind::Restart)
                if facts.is_old_generation && !facts.is_stale =>
            {
                state.confirm(NodePhase::Restarted, now);
            }
            NodePhase::Changed if facts.is_old_generation => {
                let generation = &self.plan.old_generation;
                self.finish(Outcome::Left(format!(
                    "{name} says {generation}, which was changed: somebody else's hand"
                )));
            }
            NodePhase::Unchanged | NodePhase::Restarted if facts.is_new_generation => {
                let generation = &self.plan.new_generation;
                self.finish(Outcome::Left(format!(
                    "{name} says {generation}, which was not changed yet"
                )));
            }
            NodePhase::Changed if facts.is_restarted => {
                self.start_rollback(format!("{name} crashed: it started anew by itself"));
            }
            NodePhase::Changed if facts.has_violation => {
                self.start_rollback(format!("{name} counts a breach of what must hold"));
            }
            _ => {}
        }
    }

    fn evaluate_report(&self, node: usize, report: &Report, now: Nanos) -> ReportFacts {
        let plan = &self.plan;
        let state = &self.nodes[node];
        let is_restarted = state
            .latest
            .as_ref()
            .is_some_and(|earlier| earlier.uptime_ms > report.uptime_ms);
        let known_violations = match &state.latest {
            Some(earlier) if !is_restarted => earlier.breaches,
            _ => 0,
        };
        // A process that is older than the command. With a restart under an earlier controller the moment is not known
        // here (0), and the log says that the restart succeeded.
        let uptime = report.uptime_ms.saturating_mul(1_000_000);
        let max_uptime = now.saturating_sub(state.phase_since) + 2 * plan.sample_interval;
        let placement = self.unchanged_placement();
        ReportFacts {
            is_new_generation: report.generation == plan.new_generation,
            is_old_generation: report.generation == plan.old_generation,
            is_restarted,
            has_violation: report.breaches > known_violations,
            is_stale: state.phase_since > 0 && uptime > max_uptime,
            moves_keys: !plan.changes_placement && placement.is_some_and(|p| p != report.placement),
        }
    }

    /// Where keys go by the first unchanged node that has reported.
    fn unchanged_placement(&self) -> Option<&str> {
        self.nodes
            .iter()
            .filter(|node| node.phase.is_unchanged())
            .find_map(|node| node.latest.as_ref())
            .map(|report| report.placement.as_str())
    }

    /// Whether a node has not reported for too long. The time counts from the controller's start, and for a changed
    /// node from its change.
    pub(super) fn is_unresponsive(&self, node: usize, now: Nanos) -> bool {
        let state = &self.nodes[node];
        let changed_at = if state.phase == NodePhase::Changed {
            state.phase_since
        } else {
            0
        };
        let since = state.reported_at.max(self.started_at(now)).max(changed_at);
        now > since + UNRESPONSIVE_INTERVALS * self.plan.sample_interval
    }

    /// Finds nodes that do not report as they should after a command, and changed ones that stopped to report.
    pub(super) fn check_timeouts(&mut self, now: Nanos) {
        for node in 0..self.nodes.len() {
            let since = self.nodes[node].phase_since.max(self.started_at(now));
            let is_overdue = now > since + self.plan.command_timeout;
            let name = self.name(node);
            match self.nodes[node].phase {
                NodePhase::AwaitingReport(CommandKind::Change) if is_overdue => {
                    self.nodes[node].phase = NodePhase::Changed;
                    let generation = &self.plan.new_generation;
                    self.start_rollback(format!(
                        "{name} was changed and never reported {generation}"
                    ));
                }
                NodePhase::AwaitingReport(command) if is_overdue => {
                    self.abandon(node, &format!("no report after its command ({command})"));
                }
                NodePhase::Changed if self.is_unresponsive(node, now) => {
                    self.start_rollback(format!("{name} was changed and fell silent"));
                }
                _ => {}
            }
        }
    }
}
