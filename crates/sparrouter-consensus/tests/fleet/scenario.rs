//! A plan from its first fault to its last check: faults, a calm in which all must work again, a last loss, and all again.
use super::monitor::Violation;
use super::network::NetworkConditions;
use super::node::Node;
use super::{CONTACT_TIMEOUT, Fleet, MILLISECOND, Nanos, SECOND};

/// From the end of all faults on until heartbeats, replacements and backoffs are over, and calls are answered.
const RECOVERY: Nanos = 6 * CONTACT_TIMEOUT;

impl Fleet {
    pub fn run_scenario(&mut self) -> Result<(), Violation> {
        self.run(self.faults_end)?;
        self.end_all_faults();
        self.run(self.now + RECOVERY)?;
        self.check_all_nodes_work("after the storm")?;
        self.run_to_acknowledgement_on_bad_network()?;
        self.lose_all_that_is_tolerated();
        self.run(self.now + SECOND + RECOVERY)?;
        self.check_all_nodes_work("after the last loss")
    }

    fn run_to_acknowledgement_on_bad_network(&mut self) -> Result<(), Violation> {
        self.network = NetworkConditions {
            loss: 80,
            duplication: 20,
            straying: 0,
            max_delay: 60 * MILLISECOND,
        };
        let (before, deadline) = (self.acknowledgements, self.now + 4 * SECOND);
        while self.acknowledgements == before && self.now < deadline {
            self.run(self.now + MILLISECOND)?;
        }
        self.network = NetworkConditions::calm();
        Ok(())
    }

    /// Wipes as many disks as a majority can spare, while all other nodes lose power.
    fn lose_all_that_is_tolerated(&mut self) {
        let group_size = self.monitor.newest_state().map_or(0, |s| s.members.len());
        let spare = group_size.saturating_sub(1) / 2;
        let mut order = self.present_nodes();
        self.rng.shuffle(&mut order);
        for (rank, &node) in order.iter().enumerate() {
            let delay = self.rng.u64(..1_000) * MILLISECOND;
            if rank < spare {
                self.wipe(node, delay);
            } else {
                self.lose_power(node, delay);
            }
        }
    }

    /// Every node runs as a member, a change is acknowledged, and the group is made of the nodes that are there.
    fn check_all_nodes_work(&mut self, when: &str) -> Result<(), Violation> {
        let before = self.acknowledgements;
        self.run(self.now + 4 * SECOND)?;
        if self.acknowledgements == before {
            return Err(Violation(format!("no change was acknowledged {when}")));
        }
        self.nodes
            .iter()
            .filter(|node| !node.is_gone)
            .try_for_each(|node| self.check_works(node, when))
    }

    fn check_works(&self, node: &Node, when: &str) -> Result<(), Violation> {
        let name = &node.member.name;
        let newest = self.monitor.newest_state().map(|s| &s.members);
        let violation = |text: String| Err(Violation(format!("{text} {when}: {newest:?}")));
        if node.is_leaving {
            return violation(format!("{name} still waits to leave"));
        }
        let Some(register) = &node.register else {
            return violation(format!("{name} is down"));
        };
        if !register.is_member() {
            return violation(format!("{name} is in no group"));
        }
        let mut members = register.members().iter();
        if members.any(|member| self.node_with_disk(member.disk_id).is_none()) {
            return violation("a lost disk is in the group".to_owned());
        }
        Ok(())
    }
}
