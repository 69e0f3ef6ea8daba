//! Events of single nodes: ended commands, reports and time-outs.
use super::RolloutController;
use super::node::NodePhase;
use crate::Nanos;
use crate::controller::CommandError;
use crate::record::{CommandKind, Entry, Outcome};
use crate::report::Report;

/// Number of sample intervals without a report after which a node is unresponsive. A missing report must not count as a
/// healthy one.
const UNRESPONSIVE_INTERVALS: u64 = 5;

/// Result of comparing a report with the node's previous report and the plan.
struct ReportEvaluation {
    is_new_generation: bool,
    is_old_generation: bool,
    /// Whether a different process wrote the report than the previous one.
    is_restarted: bool,
    /// Whether an invariant was violated since the previous report.
    has_violation: bool,
    /// Whether the report is from the process that the command was to replace.
    is_stale: bool,
    /// Whether the node maps keys to other cache servers than unchanged nodes do, and the plan does not allow this.
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
                // It is unknown whether the change was applied, so the node is rolled back like the others.
                self.nodes[node].phase = NodePhase::Changed;
                self.start_rollback(format!("{name} could not be changed: {error}"));
            }
            (_, Err(error)) => self.abandon(node, &format!("{command} failed: {error}")),
        }
    }

    fn abandon(&mut self, node: usize, reason: &str) {
        self.nodes[node].phase = NodePhase::Abandoned;
        let name = self.name(node);
        self.print(format!(
            "{name} is abandoned and counts as unavailable: {reason}"
        ));
    }

    pub(super) fn on_report(&mut self, node: usize, report: Report, now: Nanos) {
        let evaluation = self.evaluate_report(node, &report, now);
        self.nodes[node].record_report(report, now);
        let name = self.name(node);
        let state = &mut self.nodes[node];
        match state.phase {
            NodePhase::AwaitingReport(CommandKind::Change) if evaluation.is_new_generation => {
                state.confirm(NodePhase::Changed, now);
                if evaluation.moves_keys {
                    self.start_rollback(format!(
                        "{name} maps keys to other cache servers, which the plan does not allow"
                    ));
                }
            }
            NodePhase::AwaitingReport(CommandKind::RollBack) if evaluation.is_old_generation => {
                state.confirm(NodePhase::Unchanged, now);
            }
            NodePhase::AwaitingReport(CommandKind::Restart)
                if evaluation.is_old_generation && !evaluation.is_stale =>
            {
                state.confirm(NodePhase::Restarted, now);
            }
            NodePhase::Changed if evaluation.is_old_generation => {
                let generation = &self.plan.old_generation;
                self.finish(Outcome::LeftToOperator(format!(
                    "{name} was changed but reports {generation}: it was modified outside this rollout"
                )));
            }
            NodePhase::Unchanged | NodePhase::Restarted if evaluation.is_new_generation => {
                let generation = &self.plan.new_generation;
                self.finish(Outcome::LeftToOperator(format!(
                    "{name} reports {generation} but was not changed yet"
                )));
            }
            NodePhase::Changed if evaluation.is_restarted => {
                self.start_rollback(format!(
                    "{name} crashed: its process restarted without a command"
                ));
            }
            NodePhase::Changed if evaluation.has_violation => {
                self.start_rollback(format!("{name} reports an invariant violation"));
            }
            _ => {}
        }
    }

    fn evaluate_report(&self, node: usize, report: &Report, now: Nanos) -> ReportEvaluation {
        let plan = &self.plan;
        let state = &self.nodes[node];
        let is_restarted = state
            .latest_report
            .as_ref()
            .is_some_and(|earlier| earlier.uptime_ms > report.uptime_ms);
        let known_violations = match &state.latest_report {
            Some(earlier) if !is_restarted => earlier.breaches,
            _ => 0,
        };
        // A report is stale if its process started before the command. After a restart by an earlier controller the time
        // is unknown (0); the log confirms that the restart succeeded.
        let uptime = report.uptime_ms.saturating_mul(1_000_000);
        let max_uptime = now.saturating_sub(state.phase_since) + 2 * plan.sample_interval;
        let placement = self.unchanged_placement();
        ReportEvaluation {
            is_new_generation: report.generation == plan.new_generation,
            is_old_generation: report.generation == plan.old_generation,
            is_restarted,
            has_violation: report.breaches > known_violations,
            is_stale: state.phase_since > 0 && uptime > max_uptime,
            moves_keys: !plan.changes_placement && placement.is_some_and(|p| p != report.placement),
        }
    }

    /// Returns the key placement that the first unchanged node with a report uses.
    fn unchanged_placement(&self) -> Option<&str> {
        self.nodes
            .iter()
            .filter(|node| node.phase.is_unchanged())
            .find_map(|node| node.latest_report.as_ref())
            .map(|report| report.placement.as_str())
    }

    /// Whether a node has not reported for too long. The time counts at the earliest from the controller's start, and for
    /// a changed node from its change.
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

    /// Handles nodes without the expected report after a command, and changed nodes that have stopped reporting.
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
                        "{name} was changed but never reported {generation}"
                    ));
                }
                NodePhase::AwaitingReport(command) if is_overdue => {
                    self.abandon(
                        node,
                        &format!("no expected report after its command ({command})"),
                    );
                }
                NodePhase::Changed if self.is_unresponsive(node, now) => {
                    self.start_rollback(format!("{name} was changed and stopped reporting"));
                }
                _ => {}
            }
        }
    }
}
