//! The phases of a simulation: random faults, a recovery without faults, an acknowledged change on a lossy network, the
//! maximum tolerated loss of disks, and another recovery.
use super::monitor::Violation;
use super::network::NetworkConditions;
use super::node::Node;
use super::{CONTACT_TIMEOUT, Fleet, MILLISECOND, Nanos, SECOND};

/// Duration after the end of all faults within which members are replaced, backoffs end and calls are answered again.
const RECOVERY_DURATION: Nanos = 6 * CONTACT_TIMEOUT;

impl Fleet {
    pub fn run_scenario(&mut self) -> Result<(), Violation> {
        self.run(self.faults_end)?;
        self.end_all_faults();
        self.run(self.now + RECOVERY_DURATION)?;
        self.check_all_nodes_recovered("after the faults")?;
        self.run_to_acknowledgement_on_bad_network()?;
        self.lose_max_tolerated_disks();
        self.run(self.now + SECOND + RECOVERY_DURATION)?;
        self.check_all_nodes_recovered("after the loss of disks")
    }

    fn run_to_acknowledgement_on_bad_network(&mut self) -> Result<(), Violation> {
        self.network = NetworkConditions {
            loss: 80,
            duplication: 20,
            long_delay: 0,
            max_delay: 60 * MILLISECOND,
        };
        let (before, deadline) = (self.acknowledgements, self.now + 4 * SECOND);
        while self.acknowledgements == before && self.now < deadline {
            self.run(self.now + MILLISECOND)?;
        }
        self.network = NetworkConditions::reliable();
        Ok(())
    }

    /// Wipes as many disks as the group tolerates, while all other nodes lose power.
    fn lose_max_tolerated_disks(&mut self) {
        let group_size = self.monitor.newest_state().map_or(0, |s| s.members.len());
        let tolerated_losses = group_size.saturating_sub(1) / 2;
        let mut order = self.present_nodes();
        self.rng.shuffle(&mut order);
        for (rank, &node) in order.iter().enumerate() {
            let delay = self.rng.u64(..1_000) * MILLISECOND;
            if rank < tolerated_losses {
                self.wipe(node, delay);
            } else {
                self.lose_power(node, delay);
            }
        }
    }

    /// Checks that a change is acknowledged, that every node runs as a member, and that the group contains no lost
    /// disk.
    fn check_all_nodes_recovered(&mut self, phase: &str) -> Result<(), Violation> {
        let before = self.acknowledgements;
        self.run(self.now + 4 * SECOND)?;
        if self.acknowledgements == before {
            return Err(Violation(format!("no change was acknowledged {phase}")));
        }
        self.nodes
            .iter()
            .filter(|node| !node.is_removed)
            .try_for_each(|node| self.check_recovered(node, phase))
    }

    fn check_recovered(&self, node: &Node, phase: &str) -> Result<(), Violation> {
        let name = &node.member.name;
        let newest = self.monitor.newest_state().map(|s| &s.members);
        let violation = |text: String| Err(Violation(format!("{text} {phase}: {newest:?}")));
        if node.is_leaving {
            return violation(format!("{name} is leaving but has not shut down"));
        }
        let Some(register) = &node.register else {
            return violation(format!("{name} is down"));
        };
        if !register.is_member() {
            return violation(format!("{name} is not a member of the group"));
        }
        let mut members = register.members().iter();
        if members.any(|member| self.node_with_disk(member.disk_id).is_none()) {
            return violation("a lost disk is in the group".to_owned());
        }
        Ok(())
    }
}
