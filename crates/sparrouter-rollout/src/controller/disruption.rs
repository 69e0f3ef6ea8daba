//! Disruption budget: how many nodes may be unavailable at the same time, and in which zones.
use super::node::NodePhase;
use super::{Action, RolloutController};
use crate::Nanos;
use crate::record::{CommandKind, Entry};

/// Nodes that are not available.
#[derive(Default)]
pub(super) struct Unavailable {
    /// Nodes with a command of this controller or an earlier one in progress.
    under_command: Vec<usize>,
    /// Nodes that are unresponsive or abandoned.
    faulty: Vec<usize>,
}

impl Unavailable {
    /// Returns the number of unavailable nodes.
    pub fn len(&self) -> usize {
        self.under_command.len() + self.faulty.len()
    }

    fn contains(&self, node: usize) -> bool {
        self.under_command.contains(&node) || self.faulty.contains(&node)
    }

    fn put_under_command(&mut self, node: usize) {
        self.faulty.retain(|&other| other != node);
        self.under_command.retain(|&other| other != node);
        self.under_command.push(node);
    }
}

impl RolloutController {
    pub(super) fn unavailable(&self, now: Nanos) -> Unavailable {
        let mut unavailable = Unavailable::default();
        for (node, state) in self.nodes.iter().enumerate() {
            match state.phase {
                NodePhase::Interrupted(_)
                | NodePhase::RunningCommand(_)
                | NodePhase::AwaitingReport(_) => unavailable.under_command.push(node),
                NodePhase::Abandoned => unavailable.faulty.push(node),
                _ if self.is_unresponsive(node, now) => unavailable.faulty.push(node),
                _ => {}
            }
        }
        unavailable
    }

    /// Whether a command may take a node down: no more nodes than the plan allows, and never in two zones.
    ///
    /// A command for a node that is already unavailable is not blocked by other unresponsive nodes: two changed nodes
    /// that had crashed in two zones blocked each other's rollback. Nodes with a command in progress always count, so
    /// that a partition that makes all nodes unresponsive does not lead to all of them being taken down.
    fn may_take_down(&self, node: usize, unavailable: &Unavailable) -> bool {
        let zone = |other: usize| &self.plan.nodes[other].zone;
        let in_zone = |nodes: &[usize]| nodes.iter().all(|&o| o == node || zone(o) == zone(node));
        let others = |nodes: &[usize]| nodes.iter().filter(|&&other| other != node).count();
        let max = self.plan.max_unavailable;
        let under_command = &unavailable.under_command;
        if unavailable.contains(node) {
            return others(under_command) < max && in_zone(under_command);
        }
        let all_others = others(under_command) + others(&unavailable.faulty);
        all_others < max && in_zone(under_command) && in_zone(&unavailable.faulty)
    }

    /// Starts as many of these commands as the disruption budget allows, in order, and returns whether any was started.
    /// Nodes in a zone other than the zone of the unavailable nodes are skipped: in strict order, nodes whose zones
    /// alternate were changed one at a time.
    pub(super) fn start_commands(&mut self, commands: &[(usize, CommandKind)], now: Nanos) -> bool {
        let mut unavailable = self.unavailable(now);
        let mut has_started = false;
        for &(node, command) in commands {
            // With an exhausted budget only a node whose command is in progress can get another command.
            let is_exhausted = unavailable.under_command.len() >= self.plan.max_unavailable;
            if is_exhausted && !unavailable.under_command.contains(&node) {
                continue;
            }
            if self.may_take_down(node, &unavailable) {
                self.start_command(node, command, now);
                unavailable.put_under_command(node);
                has_started = true;
            }
        }
        has_started
    }

    /// Logs and starts a command without checking the disruption budget.
    pub(super) fn start_command(&mut self, node: usize, command: CommandKind, now: Nanos) {
        self.nodes[node].enter(NodePhase::RunningCommand(command), now);
        let name = self.name(node);
        self.log(Entry::CommandStarted {
            node: name.clone(),
            command,
        });
        self.print(format!("{name}: {command}"));
        self.actions.push(Action::Run { node, command });
    }
}
