//! Phase `RollingBack`: rolls back all nodes that are or may be changed, in reverse order of the changes.
use super::node::NodePhase;
use super::{Phase, RolloutController};
use crate::Nanos;
use crate::record::{CommandKind, Outcome};

impl RolloutController {
    /// Runs one tick of the phase `RollingBack`.
    pub(super) fn roll_back(&mut self, now: Nanos) {
        let Phase::RollingBack { reason } = &self.phase else {
            return;
        };
        let reason = reason.clone();
        let commands = self.nodes_to_roll_back();
        if !commands.is_empty() {
            if !self.start_commands(&commands, now) && !self.is_any_in_transition() {
                self.finish_if_stuck(&reason, now);
            }
            return;
        }
        if self.is_any_in_transition() {
            return;
        }
        let abandoned = self.abandoned_names();
        self.finish(if abandoned.is_empty() {
            Outcome::RolledBack(reason)
        } else {
            Outcome::LeftToOperator(format!(
                "{reason}; every node is rolled back except {abandoned}"
            ))
        });
    }

    /// Returns the nodes that are or may be changed; nodes with an interrupted command come first.
    fn nodes_to_roll_back(&self) -> Vec<(usize, CommandKind)> {
        let is_interrupted =
            |node: &usize| matches!(self.nodes[*node].phase, NodePhase::Interrupted(_));
        let is_changed = |node: &usize| self.nodes[*node].phase == NodePhase::Changed;
        let reverse_order = || self.order.iter().rev().copied();
        reverse_order()
            .filter(is_interrupted)
            .chain(reverse_order().filter(is_changed))
            .map(|node| (node, CommandKind::RollBack))
            .collect()
    }

    /// Ends a rollback that cannot make progress: unresponsive nodes exhaust the disruption budget for too long, or
    /// abandoned nodes do, which stay unavailable permanently.
    fn finish_if_stuck(&mut self, reason: &str, now: Nanos) {
        let changed = self.changed_count();
        let since = self.last_transition_at().max(self.started_at(now));
        if now > since + self.plan.max_wait {
            let unresponsive = self.unresponsive_names(now);
            return self.finish(Outcome::LeftToOperator(format!(
                "{reason}; {changed} nodes are still changed, as no reports arrive from {unresponsive}"
            )));
        }
        let abandoned = self.abandoned_names();
        if !abandoned.is_empty() {
            self.finish(Outcome::LeftToOperator(format!(
                "{reason}; {changed} nodes are still changed, as commands failed at {abandoned}"
            )));
        }
    }
}
