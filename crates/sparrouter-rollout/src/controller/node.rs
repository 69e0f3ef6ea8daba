//! State of one node in a rollout.
use crate::Nanos;
use crate::record::CommandKind;
use crate::report::Report;

/// Phase of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum NodePhase {
    Unchanged,
    /// An earlier controller started a command, and its end is not known: it is run again.
    Interrupted(CommandKind),
    /// Its command runs.
    RunningCommand(CommandKind),
    /// Its command has succeeded, and it has yet to report as it should.
    AwaitingReport(CommandKind),
    Changed,
    /// Unchanged, and restarted in this stage.
    Restarted,
    /// A command failed or had no effect: the node counts as unavailable and is left to the operator.
    Abandoned,
}

impl NodePhase {
    /// Whether a command of this controller runs, or its effect is awaited.
    pub fn is_in_transition(self) -> bool {
        matches!(
            self,
            NodePhase::RunningCommand(_) | NodePhase::AwaitingReport(_)
        )
    }

    /// Whether the node runs what it ran before the change.
    pub fn is_unchanged(self) -> bool {
        matches!(self, NodePhase::Unchanged | NodePhase::Restarted)
    }
}

/// State of a node.
pub(super) struct NodeState {
    pub phase: NodePhase,
    /// When it entered its phase; 0 for one from an earlier controller.
    pub phase_since: Nanos,
    /// Its latest report.
    pub latest: Option<Report>,
    /// When the latest report came; 0 before the first.
    pub reported_at: Nanos,
    /// Its first report to this controller.
    pub first: Option<Report>,
    /// Its report at the end of the last sample of the stage.
    pub sampled: Option<Report>,
    /// Its report at the last observation of the whole fleet.
    pub observed: Option<Report>,
}

impl Default for NodeState {
    fn default() -> NodeState {
        NodeState {
            phase: NodePhase::Unchanged,
            phase_since: 0,
            latest: None,
            reported_at: 0,
            first: None,
            sampled: None,
            observed: None,
        }
    }
}

impl NodeState {
    /// Enters a phase at a moment of this controller.
    pub fn enter(&mut self, phase: NodePhase, now: Nanos) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Enters a phase that a report has confirmed; samples start from that report.
    pub fn confirm(&mut self, phase: NodePhase, now: Nanos) {
        self.enter(phase, now);
        self.sampled = self.latest.clone();
    }

    /// Keeps a report as the latest one.
    pub fn record_report(&mut self, report: Report, now: Nanos) {
        self.reported_at = now;
        self.first.get_or_insert_with(|| report.clone());
        self.latest = Some(report);
    }
}
