//! Membership of the shards' groups: the first groups, finding a group, and the observations of other nodes.
use super::{Control, LEASE_SHARDS, ShardMachine, open_register};
use crate::control::disk::WriteRequest;
use crate::node::Node;
use crate::peer::messages::{Call, Reply};
use crate::settings::nanos;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Member, NodeObservation, Record, Register};
use sparrouter_membership::{MembershipTable, NodeRecord};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Time between two observations of the other nodes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// The first group is formed once its candidates have been the same for this long, and either a node that counts toward
/// the quorum is known or [`MAX_WAIT_FOR_COUNTED`] has passed.
const STABLE_FOR: Duration = Duration::from_millis(900);
/// Longest time after the start to wait for a node that counts toward the quorum before the first group is formed.
const MAX_WAIT_FOR_COUNTED: Duration = Duration::from_millis(4_000);
/// Time between two checks of the candidates for the first group.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of members of the first group.
const MAX_FIRST_MEMBERS: usize = 9;
/// Number of attempts to send the first records to a member. Each attempt has the time-out [`BOOTSTRAP_TIMEOUT`], and
/// [`BOOTSTRAP_RETRY`] is the mean delay between two.
const BOOTSTRAP_ATTEMPTS: usize = 200;
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(500);
const BOOTSTRAP_RETRY: Duration = Duration::from_millis(50);

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

    /// Accepts the first groups' records, one for each shard. Returns false if the records do not make this node a
    /// member of each group. Returns true also if this node already has a group.
    pub fn accept_bootstrap(&self, records: &[Blob]) -> bool {
        if self.is_bootstrapped.get() {
            return true;
        }
        let Some(registers) = self.registers_of(records) else {
            return false;
        };
        *self.registers.borrow_mut() = registers;
        self.is_bootstrapped.set(true);
        for (shard, record) in (0..).zip(records) {
            // The bootstrap record is on disk before any later record, since writes are carried out in order.
            self.disk.submit(WriteRequest::Bootstrap {
                shard,
                bytes: record.0.clone(),
            });
        }
        self.wake.notify_one();
        true
    }

    /// Opens the registers with these records; `None` unless each record makes this node a member.
    fn registers_of(&self, records: &[Blob]) -> Option<Vec<Register<ShardMachine>>> {
        if records.len() != usize::from(LEASE_SHARDS) + 1 {
            return None;
        }
        let now = self.node.now();
        let mut registers = Vec::new();
        for (shard, record) in (0..).zip(records) {
            let opened = open_register(&self.node, &self.own_member, shard, Some(record), now);
            registers.push(opened.ok().filter(Register::is_member)?);
        }
        Some(registers)
    }
}

fn knows_no_group(register: &Register<ShardMachine>) -> bool {
    register.members().is_empty()
}

fn member_of(node: &NodeRecord) -> Member {
    Member {
        disk_id: node.disk_id,
        name: node.name.clone(),
        address: node.internal_address.clone(),
    }
}

/// Forms the first groups at the first start of the whole system. Only the first of the seeds does so, so that there
/// are never two first groups.
pub async fn bootstrap(node: Rc<Node>) {
    let members = stable_candidates(&node).await;
    let record = Record::bootstrap(members.clone(), Vec::new()).encode();
    let records: Vec<Blob> = (0..=LEASE_SHARDS).map(|_| Blob(record.clone())).collect();
    log::info!("control state is bootstrapped: members={}", members.len());
    let call = Rc::new(Call::Bootstrap {
        records: records.into(),
    });
    for member in members {
        if let Ok(address) = member.address.parse() {
            spawn_local(send_bootstrap(node.clone(), address, call.clone()));
        }
    }
}

/// Waits until the candidates for the first groups have been the same for [`STABLE_FOR`].
async fn stable_candidates(node: &Node) -> Vec<Member> {
    let started = Instant::now();
    let mut candidates: Vec<Member> = Vec::new();
    let mut unchanged_since = Instant::now();
    loop {
        tokio::time::sleep(BOOTSTRAP_INTERVAL).await;
        let membership = node.membership.borrow();
        let current = candidates_in(&membership);
        if current != candidates {
            (candidates, unchanged_since) = (current, Instant::now());
        }
        let any_counted = membership.nodes().any(|n| n.counts_toward_quorum);
        let is_stable = unchanged_since.elapsed() >= STABLE_FOR;
        let has_waited = any_counted || started.elapsed() >= MAX_WAIT_FOR_COUNTED;
        if is_stable && has_waited && !candidates.is_empty() {
            candidates.truncate(MAX_FIRST_MEMBERS);
            return candidates;
        }
    }
}

/// The control nodes with a disk. If any control node counts toward the quorum, the nodes that do not count are left
/// out.
fn candidates_in(membership: &MembershipTable) -> Vec<Member> {
    let is_control = |n: &&NodeRecord| !n.control_address.is_empty();
    let any_counted = membership
        .nodes()
        .any(|n| is_control(&n) && n.counts_toward_quorum);
    membership
        .nodes()
        .filter(is_control)
        .filter(|n| n.disk_id != 0 && (n.counts_toward_quorum || !any_counted))
        .map(member_of)
        .collect()
}

/// Sends the first records to a member until it acknowledges them, since it is needed for the first quorum.
async fn send_bootstrap(node: Rc<Node>, address: SocketAddr, call: Rc<Call>) {
    for _ in 0..BOOTSTRAP_ATTEMPTS {
        let reply = node.links.call(address, &call, BOOTSTRAP_TIMEOUT).await;
        if matches!(reply, Ok(Reply::Acknowledged)) {
            return;
        }
        tokio::time::sleep(node.jitter(BOOTSTRAP_RETRY)).await;
    }
}
