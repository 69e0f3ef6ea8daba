//! Snapshot derived from all node records: owners of keys, control nodes, and the number of ingress nodes. It is
//! rebuilt only when a node record changes.
use super::Node;
use crate::platform::defects::rules;
use sparrouter_membership::{MembershipTable, NodeRecord};
use sparrouter_rendezvous::{Member, SlotTable};
use sparrouter_routing::SlackDivision;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Name and address of a node that keeps control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// Name of the node.
    pub name: String,
    /// Internal address of the node.
    pub address: SocketAddr,
}

/// The properties of a control node whose change is a change of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNodeState {
    name: String,
    process: u64,
    is_unresponsive: bool,
    is_leaving: bool,
}

/// Whether the core changed between two observations: a node joined, restarted, left, became unresponsive or responds
/// again. Forgetting the record of a node that had left or become unresponsive before is no change. `learns_existing`:
/// this process has just started, so that nodes which it sees for the first time were part of the core before.
pub(super) fn has_core_changed(
    before: &[ControlNodeState],
    after: &[ControlNodeState],
    learns_existing: bool,
) -> bool {
    let same_name =
        |all: &[ControlNodeState], name: &str| all.iter().find(|state| state.name == name).cloned();
    let is_changed = |state: &ControlNodeState| match same_name(before, &state.name) {
        Some(known) => known != *state,
        None => !learns_existing,
    };
    let is_missing = |state: &ControlNodeState| {
        let had_left = state.is_unresponsive || state.is_leaving;
        same_name(after, &state.name).is_none()
            && !(had_left && rules::forgotten_nodes_are_no_change())
    };
    after.iter().any(is_changed) || before.iter().any(is_missing)
}

/// The snapshot. It is immutable; a change of the node records creates another snapshot.
#[derive(Debug, Default)]
pub struct LiveNodes {
    /// `MembershipTable::node_changes` when the snapshot was made.
    node_changes: u64,
    /// Owners of keys: the nodes that take client requests and are neither unresponsive nor leaving.
    owners: Rc<SlotTable>,
    /// Internal addresses of the owners, in the order of the table's members; `None` for this node itself.
    owner_addresses: Vec<Option<SocketAddr>>,
    /// Number of nodes that take client requests, including unresponsive ones.
    proxy_count: usize,
    /// Number of these nodes that precede this node by name.
    proxy_rank: usize,
    /// Nodes that keep control state.
    control_nodes: Vec<ControlNode>,
    /// Records of the nodes that keep control state.
    control_records: Vec<NodeRecord>,
    /// For the nodes that count toward the quorum, the properties that decide whether the core changed.
    counted_states: Vec<ControlNodeState>,
}

impl LiveNodes {
    /// Builds the snapshot of these records. It reuses the previous snapshot's owner table for the members that stay
    /// the same.
    fn new(records: &MembershipTable, own_name: &str, before: &LiveNodes) -> LiveNodes {
        // The records are walked only once: there may be thousands of nodes, and each change of one builds a snapshot.
        let nodes: Vec<&NodeRecord> = records.nodes().collect();
        let (owners, owner_addresses) = key_owners(&nodes, own_name, before);
        let control_records = control_records(&nodes);
        LiveNodes {
            node_changes: records.node_changes(),
            owners,
            owner_addresses,
            proxy_count: nodes.iter().filter(|n| n.serves_clients).count(),
            proxy_rank: proxy_rank(&nodes, own_name),
            control_nodes: control_records
                .iter()
                .filter_map(|r| control_node(r))
                .collect(),
            counted_states: control_records
                .iter()
                .filter_map(|r| counted_state(r))
                .collect(),
            control_records: control_records.into_iter().cloned().collect(),
        }
    }

    /// The owner table of keys.
    pub fn owners(&self) -> &Rc<SlotTable> {
        &self.owners
    }

    /// Internal address of a key's owner; `None` if it is this node or no owner is known.
    pub fn owner_address(&self, key: u64) -> Option<SocketAddr> {
        self.owner_address_at(self.owners.owner_index(key)?)
    }

    /// Internal address of the owner at an index of [`LiveNodes::owners`]; `None` if it is this node.
    pub fn owner_address_at(&self, index: usize) -> Option<SocketAddr> {
        self.owner_addresses.get(index).copied().flatten()
    }

    /// Number of nodes that take client requests, including unresponsive ones.
    pub fn proxy_count(&self) -> usize {
        self.proxy_count
    }

    /// This node's index and the number of nodes among which the slack of retry budgets is divided: all nodes that take
    /// client requests. Unresponsive ones count too, since they may still spend their share.
    pub fn slack_division(&self) -> SlackDivision {
        SlackDivision {
            nodes: self.proxy_count.max(1),
            rank: self.proxy_rank,
        }
    }

    /// The known nodes that keep control state.
    pub fn control_nodes(&self) -> &[ControlNode] {
        &self.control_nodes
    }

    /// The records of the nodes that keep control state.
    pub fn control_records(&self) -> &[NodeRecord] {
        &self.control_records
    }

    /// For the nodes that count toward the quorum, the properties that decide whether the core changed.
    pub fn counted_states(&self) -> &[ControlNodeState] {
        &self.counted_states
    }
}

impl Node {
    /// Internal address of a key's owner among the nodes that take client requests; `None` if it is this node.
    pub fn owner(&self, key: u64) -> Option<SocketAddr> {
        self.live_nodes().owner_address(key)
    }

    /// Whether this node owns a key.
    pub fn keeps(&self, key: u64) -> bool {
        self.owner(key).is_none()
    }

    /// The snapshot of the current node records.
    pub fn live_nodes(&self) -> Rc<LiveNodes> {
        let records = self.membership.borrow();
        let mut live = self.live_nodes.borrow_mut();
        if live.node_changes != records.node_changes() {
            let newer = LiveNodes::new(&records, &self.own_name, &live);
            *live = Rc::new(newer);
        }
        live.clone()
    }
}

/// Number of nodes taking client requests that precede this one by name, an order that is the same on all nodes.
fn proxy_rank(nodes: &[&NodeRecord], own_name: &str) -> usize {
    let proxies = nodes.iter().filter(|record| record.serves_clients);
    proxies
        .filter(|record| record.name.as_str() < own_name)
        .count()
}

/// The owner table of keys, and the owners' addresses in the order of the table.
fn key_owners(
    nodes: &[&NodeRecord],
    own_name: &str,
    before: &LiveNodes,
) -> (Rc<SlotTable>, Vec<Option<SocketAddr>>) {
    let (mut owners, mut addresses) = (Vec::new(), HashMap::new());
    for record in nodes.iter().filter(|record| owns_keys(record)) {
        let name = sparrouter_rendezvous::hash(record.name.as_bytes());
        owners.push(Member {
            name,
            process: record.nonce,
        });
        let is_other = record.name != own_name;
        let address = is_other.then(|| record.internal_address.parse().ok());
        addresses.insert(name, address.flatten());
    }
    owners.sort_unstable();
    let table = if before.owners.members() == owners {
        before.owners.clone()
    } else {
        Rc::new(before.owners.with_members(owners))
    };
    let in_order = table
        .members()
        .iter()
        .map(|member| addresses.get(&member.name).copied().flatten())
        .collect();
    (table, in_order)
}

/// The nodes with control state. If any of them counts toward the quorum, the nodes that do not count are left out.
fn control_records<'a>(nodes: &[&'a NodeRecord]) -> Vec<&'a NodeRecord> {
    let mut control: Vec<&NodeRecord> = nodes
        .iter()
        .copied()
        .filter(|record| !record.control_address.is_empty())
        .collect();
    if control.iter().any(|record| record.counts_toward_quorum) {
        control.retain(|record| record.counts_toward_quorum);
    }
    control
}

/// Whether a node is an owner of keys: keys are divided among the nodes that take client requests.
fn owns_keys(record: &NodeRecord) -> bool {
    record.serves_clients && !record.unresponsive && !record.leaving
}

fn control_node(record: &NodeRecord) -> Option<ControlNode> {
    Some(ControlNode {
        name: record.name.clone(),
        address: record.internal_address.parse().ok()?,
    })
}

fn counted_state(record: &NodeRecord) -> Option<ControlNodeState> {
    record.counts_toward_quorum.then(|| ControlNodeState {
        name: record.name.clone(),
        process: record.nonce,
        is_unresponsive: record.unresponsive,
        is_leaving: record.leaving,
    })
}
