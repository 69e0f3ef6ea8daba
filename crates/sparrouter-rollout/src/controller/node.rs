//! State of one node in a rollout.
use crate::Nanos;
use crate::record::CommandKind;
use crate::report::Report;

/// Phase of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum NodePhase {
    Unchanged,
    /// An earlier controller started a command whose result is unknown; the command is run again.
    Interrupted(CommandKind),
    /// The node's command runs.
    RunningCommand(CommandKind),
    /// The node's command has succeeded, and the report that confirms its effect is pending.
    AwaitingReport(CommandKind),
    Changed,
    /// The node is unchanged and was restarted in this stage.
    Restarted,
    /// A command failed or had no effect; the node counts as unavailable and is left to the operator.
    Abandoned,
}

impl NodePhase {
    /// Whether a command of this controller runs, or its effect is not confirmed yet.
    pub fn is_in_transition(self) -> bool {
        matches!(
            self,
            NodePhase::RunningCommand(_) | NodePhase::AwaitingReport(_)
        )
    }

    /// Whether the change is not applied to the node.
    pub fn is_unchanged(self) -> bool {
        matches!(self, NodePhase::Unchanged | NodePhase::Restarted)
    }
}

/// State of a node.
pub(super) struct NodeState {
    pub phase: NodePhase,
    /// Time at which the node entered its phase; 0 if an earlier controller recorded the phase.
    pub phase_since: Nanos,
    /// Latest report of the node.
    pub latest_report: Option<Report>,
    /// Time at which the latest report was received; 0 before the first report.
    pub reported_at: Nanos,
    /// First report that this controller received.
    pub first_report: Option<Report>,
    /// Report at the end of the last sample of the stage.
    pub sampled_report: Option<Report>,
    /// Report at the last observation of the whole fleet.
    pub observed_report: Option<Report>,
}

impl Default for NodeState {
    fn default() -> NodeState {
        NodeState {
            phase: NodePhase::Unchanged,
            phase_since: 0,
            latest_report: None,
            reported_at: 0,
            first_report: None,
            sampled_report: None,
            observed_report: None,
        }
    }
}

impl NodeState {
    /// Enters a phase at time `now`.
    pub fn enter(&mut self, phase: NodePhase, now: Nanos) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Enters a phase that a report has confirmed; the next sample starts from that report.
    pub fn confirm(&mut self, phase: NodePhase, now: Nanos) {
        self.enter(phase, now);
        self.sampled_report = self.latest_report.clone();
    }

    /// Stores a report as the latest one.
    pub fn record_report(&mut self, report: Report, now: Nanos) {
        self.reported_at = now;
        self.first_report.get_or_insert_with(|| report.clone());
        self.latest_report = Some(report);
    }
}
