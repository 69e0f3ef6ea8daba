//! The disruption budget: how many nodes may be down at once, and where.
use super::node::NodePhase;
use super::{Action, RolloutController};
use crate::Nanos;
use crate::record::{CommandKind, Entry};

/// Nodes that are not available.
#[derive(Default)]
pub(super) struct Unavailable {
    /// Under a command of this controller or an earlier one.
    under_command: Vec<usize>,
    /// Unresponsive or abandoned.
    other: Vec<usize>,
}

impl Unavailable {
    /// Number of nodes that are not available.
    pub fn len(&self) -> usize {
        self.under_command.len() + self.other.len()
    }

    fn contains(&self, node: usize) -> bool {
        self.under_command.contains(&node) || self.other.contains(&node)
    }

    fn put_under_command(&mut self, node: usize) {
        self.other.retain(|&other| other != node);
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
                NodePhase::Abandoned => unavailable.other.push(node),
                _ if self.is_unresponsive(node, now) => unavailable.other.push(node),
                _ => {}
            }
        }
        unavailable
    }

    /// Whether a command may take a node down: never more than the plan allows, never in two zones.
    ///
    /// A node that is unavailable already may get a command whatever other unresponsive nodes there are: two changed
    /// nodes that had died in two zones kept each other from being rolled back. Nodes under a command count in any case:
    /// where all nodes became unresponsive at once, as in a partition, they are not all taken down.
    fn may_take_down(&self, node: usize, unavailable: &Unavailable) -> bool {
        let zone = |other: usize| &self.plan.nodes[other].zone;
        let in_zone = |nodes: &[usize]| nodes.iter().all(|&o| o == node || zone(o) == zone(node));
        let others = |nodes: &[usize]| nodes.iter().filter(|&&other| other != node).count();
        let max = self.plan.max_unavailable;
        let under_command = &unavailable.under_command;
        if unavailable.contains(node) {
            return others(under_command) < max && in_zone(under_command);
        }
        let all_others = others(under_command) + others(&unavailable.other);
        all_others < max && in_zone(under_command) && in_zone(&unavailable.other)
    }

    /// Starts as many of these commands as the disruption budget allows, in this order, and returns whether it started
    /// any. Nodes in another zone than those that are down are passed over: taken strictly in order, nodes whose zones
    /// alternate were changed one by one.
    pub(super) fn start_commands(&mut self, wanted: &[(usize, CommandKind)], now: Nanos) -> bool {
        let mut unavailable = self.unavailable(now);
        let mut has_started = false;
        for &(node, command) in wanted {
            // With a full budget only a node under a command can get another one.
            let is_full = unavailable.under_command.len() >= self.plan.max_unavailable;
            if is_full && !unavailable.under_command.contains(&node) {
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

    /// Logs and starts a command, whatever the disruption budget says.
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
