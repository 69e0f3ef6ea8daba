//! Restores the controller's state from the log of an earlier one.
use super::node::{NodePhase, NodeState};
use super::{Phase, RolloutController};
use crate::record::{CommandKind, Entry};

impl RolloutController {
    /// Applies one entry of the log to the state.
    pub(super) fn restore(&mut self, entry: &Entry) {
        match entry {
            Entry::Plan { .. } | Entry::StagePassed { .. } => {}
            Entry::Baseline { baseline } => self.baseline = Some(baseline.clone()),
            Entry::Stage { stage } => {
                self.stage = *stage;
                self.phase = Phase::ChangingNodes;
                // Each stage restarts its unchanged nodes again.
                let restarted = NodePhase::AwaitingReport(CommandKind::Restart);
                for node in &mut self.nodes {
                    if node.phase == restarted {
                        node.phase = NodePhase::Unchanged;
                    }
                }
            }
            Entry::CommandStarted { node, command } => {
                if let Some(node) = self.node_named(node) {
                    node.phase = NodePhase::Interrupted(*command);
                }
            }
            Entry::CommandEnded {
                node,
                command,
                succeeded,
            } => {
                if let Some(node) = self.node_named(node) {
                    node.phase = match (command, succeeded) {
                        (CommandKind::Change, false) => NodePhase::Changed,
                        (_, false) => NodePhase::Abandoned,
                        (command, true) => NodePhase::AwaitingReport(*command),
                    };
                }
            }
            Entry::RollbackStarted { reason } => {
                let reason = reason.clone();
                self.phase = Phase::RollingBack { reason };
            }
            Entry::Finished { .. } => self.phase = Phase::Finished,
        }
    }

    fn node_named(&mut self, name: &str) -> Option<&mut NodeState> {
        let index = self.plan.nodes.iter().position(|node| node.name == name)?;
        self.nodes.get_mut(index)
    }
}
