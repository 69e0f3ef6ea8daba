//! Membership of the shards' groups: finding a group, and the observations of other nodes.
use super::{Control, ShardMachine};
use crate::settings::nanos;
use sparrouter_consensus::{Member, NodeObservation, Register};
use sparrouter_membership::NodeRecord;
use std::rc::Rc;
use std::time::Duration;

/// Time between two observations of the other nodes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);

impl Control {
    /// Maintains the membership of the groups, and requests the groups that this node does not know from another node.
    pub(super) async fn maintain_groups(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.node.jitter(OBSERVATION_INTERVAL)).await;
            let now = self.node.now();
            if self.has_quorum_contact() {
                self.node.fleet_contact.record(now);
            }
            let mut window = self.observation_window.get();
            window.observe(nanos(self.node.settings.borrow().bounds.contact), now);
            self.observation_window.set(window);
            self.observe_nodes();
            self.carry_out_actions();
            self.report_conflicts();
        }
    }

    /// Reports slots for which two states were reported as chosen. Nodes that follow the protocol never cause one.
    fn report_conflicts(&self) {
        let conflicts = self.conflicts();
        if conflicts > self.reported_conflicts.replace(conflicts) {
            self.node.log_buffer.report_violation(&format!(
                "two states of one slot were called chosen, {conflicts} times so far: stop all changes, keep all disks of \
                 the control nodes and compare their records"
            ));
        }
    }

    /// Passes the observed nodes to the registers. A register with a group decides which nodes to add and remove; one
    /// without a group requests the state from another node.
    fn observe_nodes(&self) {
        let now = self.node.now();
        let observations = self.observations();
        let source = self.source_of_groups(&observations);
        for register in self.registers.borrow_mut().iter_mut() {
            if let Some(source) = source.as_ref().filter(|_| knows_no_group(register)) {
                register.request_state(source.clone(), now);
            }
            if register.is_member() {
                register.observe_nodes(&observations, now);
            }
        }
    }

    /// A random other node from which to request state; `None` if no other node is observed or every register
    /// here knows its group.
    fn source_of_groups(&self, observations: &[NodeObservation]) -> Option<Member> {
        let others: Vec<&Member> = observations
            .iter()
            .map(|observation| &observation.member)
            .filter(|member| member.disk_id != self.own_member.disk_id)
            .collect();
        if others.is_empty() || !self.registers.borrow().iter().any(knows_no_group) {
            return None;
        }
        let index = self.node.rng.borrow_mut().usize(..others.len());
        Some(others[index].clone())
    }

    /// The nodes that may keep control state, as this node observes them.
    fn observations(&self) -> Vec<NodeObservation> {
        let live = self.node.live_nodes();
        let now = self.node.now();
        let with_disk = live.control_records().iter().filter(|n| n.disk_id != 0);
        let observation = |node: &NodeRecord| NodeObservation {
            member: member_of(node),
            counts_toward_quorum: true,
            since_last_contact: self.since_last_contact(node, now),
            leaving: node.leaving,
        };
        with_disk.map(observation).collect()
    }

    /// Nanoseconds for which a node has been unresponsive to this one; `None` if this node has never heard from it.
    fn since_last_contact(&self, node: &NodeRecord, now: u64) -> Option<u64> {
        if node.disk_id == self.own_member.disk_id {
            return Some(0);
        }
        let contacted_at = self.last_contacts.borrow().get(&node.name).copied()?;
        let window = self.observation_window.get();
        Some(window.unresponsive_for(contacted_at, now))
    }
}

pub(super) fn knows_no_group(register: &Register<ShardMachine>) -> bool {
    register.members().is_empty()
}

pub(super) fn member_of(node: &NodeRecord) -> Member {
    Member {
        disk_id: node.disk_id,
        name: node.name.clone(),
        address: node.internal_address.clone(),
    }
}
