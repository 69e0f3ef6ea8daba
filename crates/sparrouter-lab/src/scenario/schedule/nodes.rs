//! Faults of the nodes under test: restarts and pauses.
use super::Action;
use super::builder::ScheduleBuilder;
use rand::seq::SliceRandom;

impl ScheduleBuilder<'_> {
    /// A random part of the nodes, at least one.
    fn pick_nodes(&mut self, part: f64) -> Vec<usize> {
        let count = self.scenario.nodes.count;
        let picked = (part * count as f64).round() as usize;
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut self.rng);
        all.truncate(picked.max(1));
        all
    }

    /// One after another over `length_s`; each starts again after `down_s`.
    pub(super) fn restart_nodes(
        &mut self,
        from: f64,
        length_s: f64,
        part: f64,
        down_s: f64,
        killed: bool,
    ) {
        let nodes = self.pick_nodes(part);
        let picked = nodes.len() as f64;
        for (n, node) in nodes.into_iter().enumerate() {
            let at_s = from + length_s * n as f64 / picked;
            let end = if killed {
                Action::NodeKill(node)
            } else {
                Action::NodeStop(node)
            };
            self.push(at_s, end);
            self.push(at_s + down_s, Action::NodeStart(node));
        }
    }

    pub(super) fn pause_nodes(&mut self, from: f64, to: f64, part: f64) {
        for node in self.pick_nodes(part) {
            self.during(
                from,
                to,
                Action::NodePause(node, true),
                Action::NodePause(node, false),
            );
        }
    }
}
