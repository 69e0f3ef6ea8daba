//! Takes the change back at all nodes that may be changed, the last changed first.
use super::node::NodePhase;
use super::{Phase, RolloutController};
use crate::Nanos;
use crate::record::{CommandKind, Outcome};

impl RolloutController {
    /// The phase `RollingBack`.
    pub(super) fn roll_back(&mut self, now: Nanos) {
        let Phase::RollingBack { reason } = &self.phase else {
            return;
        };
        let reason = reason.clone();
        let wanted = self.nodes_to_roll_back();
        if !wanted.is_empty() {
            if !self.start_commands(&wanted, now) && !self.is_any_in_transition() {
                self.finish_if_stuck(&reason, now);
            }
            return;
        }
        if self.is_any_in_transition() {
            return;
        }
        let abandoned = self.abandoned_names();
        self.finish(if abandoned.is_empty() {
            Outcome::Back(reason)
        } else {
            Outcome::Left(format!("{reason}; taken back but for {abandoned}"))
        });
    }

    /// Nodes that are changed or may be, those first that a command was interrupted at.
    fn nodes_to_roll_back(&self) -> Vec<(usize, CommandKind)> {
        let is_interrupted =
            |node: &usize| matches!(self.nodes[*node].phase, NodePhase::Interrupted(_));
        let is_changed = |node: &usize| self.nodes[*node].phase == NodePhase::Changed;
        let last_first = || self.order.iter().rev().copied();
        last_first()
            .filter(is_interrupted)
            .chain(last_first().filter(is_changed))
            .map(|node| (node, CommandKind::RollBack))
            .collect()
    }

    /// Ends a rollback that cannot go on: unresponsive nodes use up the disruption budget for too long, or abandoned
    /// nodes do, which count as unavailable for good.
    fn finish_if_stuck(&mut self, reason: &str, now: Nanos) {
        let changed = self.changed_count();
        let since = self.last_transition_at().max(self.started_at(now));
        if now > since + self.plan.max_wait {
            let unresponsive = self.unresponsive_names(now);
            return self.finish(Outcome::Left(format!(
                "{reason}; {changed} nodes are still changed, as no word comes from {unresponsive}"
            )));
        }
        let abandoned = self.abandoned_names();
        if !abandoned.is_empty() {
            self.finish(Outcome::Left(format!(
                "{reason}; {changed} nodes are still changed, as {abandoned} would not do as told"
            )));
        }
    }
}
