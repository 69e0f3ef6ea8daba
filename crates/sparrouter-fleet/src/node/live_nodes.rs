//! What a node works out from all node rows at once, held as a snapshot that is made anew only when one of them changes:
//! who owns which keys, who keeps the control state, how many take clients.
use super::Node;
use sparrouter_membership::{MembershipTable, NodeRecord};
use sparrouter_rendezvous::{Member, SlotTable};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A node that keeps control state, as it was last told of: what decides whether something befell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNodeState {
    name: String,
    process: u64,
    silent: bool,
    leaving: bool,
}

/// Whether something befell the core between two looks at it: a node joined, started anew, left, fell silent or was heard
/// of again. Not that a row was forgotten of one that had left or fallen silent long before. `first_looks`: this process
/// has just started and learns for the first time of nodes that have been there all along.
pub(super) fn has_core_changed(
    before: &[ControlNodeState],
    after: &[ControlNodeState],
    first_looks: bool,
) -> bool {
    let same_name =
        |all: &[ControlNodeState], name: &str| all.iter().find(|state| state.name == name).cloned();
    let is_event = |state: &ControlNodeState| match same_name(before, &state.name) {
        Some(known) => known != *state,
        None => !first_looks,
    };
    let is_gone = |state: &ControlNodeState| {
        same_name(after, &state.name).is_none() && !state.silent && !state.leaving
    };
    after.iter().any(is_event) || before.iter().any(is_gone)
}

/// The snapshot. Never changed: other node rows are another one.
#[derive(Debug, Default)]
pub struct LiveNodes {
    /// [`Rows::node_changes`] when it was made.
    node_changes: u64,
    /// Owners of keys: the nodes that take clients and are neither silent nor leaving.
    owners: Rc<SlotTable>,
    /// Where the owners are, in the order of the table's members; None for this node itself.
    owner_addresses: Vec<Option<SocketAddr>>,
    /// Nodes that take clients, silent ones included.
    front_count: usize,
    /// Nodes that keep control state: name and internal address.
    control_nodes: Vec<(String, SocketAddr)>,
    /// The same nodes' rows.
    control_rows: Vec<NodeRecord>,
    /// Of the counted ones, what decides whether something befell them.
    counted_states: Vec<ControlNodeState>,
}

impl LiveNodes {
    /// Made from the rows and from the snapshot before, whose owners it keeps as far as they are the same.
    fn made_from(rows: &MembershipTable, own_name: &str, before: &LiveNodes) -> LiveNodes {
        let (mut owners, mut addresses) = (Vec::new(), HashMap::new());
        let mut front_count = 0;
        let mut control_rows: Vec<&NodeRecord> = Vec::new();
        for row in rows.nodes() {
            front_count += usize::from(row.serves_clients);
            if owns_keys(row) {
                let name = sparrouter_rendezvous::hash(row.name.as_bytes());
                owners.push(Member {
                    name,
                    process: row.nonce,
                });
                let remote = row.name != own_name;
                addresses.insert(
                    name,
                    remote.then(|| row.internal_address.parse().ok()).flatten(),
                );
            }
            if !row.control_address.is_empty() {
                control_rows.push(row);
            }
        }
        if control_rows.iter().any(|row| row.counts_toward_quorum) {
            control_rows.retain(|row| row.counts_toward_quorum);
        }
        owners.sort_unstable();
        let owners = if before.owners.members() == owners {
            before.owners.clone()
        } else {
            Rc::new(before.owners.with_members(owners))
        };
        let owner_addresses = owners
            .members()
            .iter()
            .map(|member| addresses.get(&member.name).copied().flatten())
            .collect();
        LiveNodes {
            node_changes: rows.node_changes(),
            owners,
            owner_addresses,
            front_count,
            control_nodes: control_rows.iter().filter_map(|r| address_of(r)).collect(),
            counted_states: control_rows
                .iter()
                .filter_map(|r| counted_state(r))
                .collect(),
            control_rows: control_rows.into_iter().cloned().collect(),
        }
    }

    /// Owners of keys, as a table.
    pub fn owners(&self) -> &Rc<SlotTable> {
        &self.owners
    }

    /// Where the owner of a key is; None for this node itself, and where no owner is known.
    pub fn owner_address(&self, key: u64) -> Option<SocketAddr> {
        self.address_at(self.owners.owner_index(key)?)
    }

    /// Where the owner at a place of [`LiveNodes::owners`] is; None for this node itself.
    pub fn address_at(&self, place: usize) -> Option<SocketAddr> {
        self.owner_addresses.get(place).copied().flatten()
    }

    /// Nodes that take clients, those not heard of for a while too.
    pub fn front_count(&self) -> usize {
        self.front_count
    }

    /// Nodes that keep the control state, as far as they are known: name and internal address.
    pub fn control_nodes(&self) -> &[(String, SocketAddr)] {
        &self.control_nodes
    }

    /// The rows of the nodes that keep the control state.
    pub fn control_rows(&self) -> &[NodeRecord] {
        &self.control_rows
    }

    /// What decides whether something befell the counted ones.
    pub fn counted_states(&self) -> &[ControlNodeState] {
        &self.counted_states
    }
}

impl Node {
    /// The node that owns a key among those that take clients: None for this one itself.
    pub fn owner(&self, key: u64) -> Option<SocketAddr> {
        self.live_nodes().owner_address(key)
    }

    /// Whether a key falls to this node.
    pub fn keeps(&self, key: u64) -> bool {
        self.owner(key).is_none()
    }

    /// The snapshot of the node rows as they are now.
    pub fn live_nodes(&self) -> Rc<LiveNodes> {
        let rows = self.membership.borrow();
        let mut live = self.live_nodes.borrow_mut();
        if live.node_changes != rows.node_changes() {
            let made = LiveNodes::made_from(&rows, &self.own_name, &live);
            *live = Rc::new(made);
        }
        live.clone()
    }
}

/// Keys are divided among the nodes that take clients.
fn owns_keys(row: &NodeRecord) -> bool {
    row.serves_clients && !row.unresponsive && !row.leaving
}

fn address_of(row: &NodeRecord) -> Option<(String, SocketAddr)> {
    Some((row.name.clone(), row.internal_address.parse().ok()?))
}

fn counted_state(row: &NodeRecord) -> Option<ControlNodeState> {
    row.counts_toward_quorum.then(|| ControlNodeState {
        name: row.name.clone(),
        process: row.nonce,
        silent: row.unresponsive,
        leaving: row.leaving,
    })
}
