//! Replication of the records that an acknowledgement binds: that a server drains or has left. They must outlast the loss of
//! all processes, and of as many machines with their disks as the deployment tolerates, so they are on enough disks before
//! the server gets its acknowledgement.
use super::notify::notify;
use crate::control::{CONFIG, Control};
use crate::node::Node;
use crate::platform::defects::rules;
use sparrouter_membership::{MembershipDelta, NodeRecord};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Least number of control nodes that have a record before it is acknowledged, if there are as many: the node that
/// acknowledges it may be lost before its disk is back.
const MIN_REPLICAS: usize = 2;

/// On how many disks a record must be.
struct RequiredReplicas {
    /// Number of control nodes, 1 or more.
    machines: usize,
    /// Number of different zones.
    zones: usize,
    /// Number of different regions.
    regions: usize,
}

impl RequiredReplicas {
    /// One more than may be lost at a time, but not more than there are. A node that knows no control node yet can't
    /// replicate anything.
    fn of(node: &Node, control: Option<&Rc<Control>>) -> RequiredReplicas {
        let live = node.live_nodes();
        let control_nodes = live.control_records();
        let members = control.map_or(0, |control| control.members(CONFIG).len());
        let settings = node.settings.borrow();
        let beyond = |tolerated: u32| tolerated as usize + 1;
        RequiredReplicas {
            machines: beyond(settings.tolerated_machines)
                .max(MIN_REPLICAS)
                .min(control_nodes.len().max(members))
                .max(1),
            zones: beyond(settings.tolerated_zones).min(zones(control_nodes).len()),
            regions: beyond(settings.tolerated_regions).min(regions(control_nodes).len()),
        }
    }

    /// Whether the nodes of this deployment with these names are enough.
    fn are_met_by(&self, names: &BTreeSet<String>, node: &Node) -> bool {
        let live = node.live_nodes();
        let holders = live
            .control_records()
            .iter()
            .filter(|record| names.contains(&record.name));
        let holders: Vec<NodeRecord> = holders.cloned().collect();
        holders.len() >= self.machines
            && zones(&holders).len() >= self.zones
            && regions(&holders).len() >= self.regions
    }
}

fn zones(nodes: &[NodeRecord]) -> BTreeSet<&str> {
    nodes.iter().map(|node| node.zone.as_str()).collect()
}

fn regions(nodes: &[NodeRecord]) -> BTreeSet<&str> {
    nodes.iter().map(|node| node.region.as_str()).collect()
}

/// Sends records to the control nodes and waits until enough of them, this node included, have them on disk. Returns false
/// if that takes longer than `timeout`. Only nodes in contact with a quorum count, since the others get records from them.
pub(super) async fn replicate(
    node: &Rc<Node>,
    control: Option<&Rc<Control>>,
    delta: &MembershipDelta,
    timeout: Duration,
) -> bool {
    let deadline = tokio::time::Instant::now() + timeout;
    let required = RequiredReplicas::of(node, control);
    let mut acknowledgements = notify(node, delta, timeout);
    let stored_here = store_here(node, control);
    tokio::pin!(stored_here);
    let mut is_storing = true;
    let mut holders = BTreeSet::new();
    let replicated = async {
        loop {
            let holder = tokio::select! {
                biased;
                name = &mut stored_here, if is_storing => {
                    is_storing = false;
                    name
                }
                Some(name) = acknowledgements.recv() => Some(name),
                else => return false,
            };
            holders.extend(holder);
            if required.are_met_by(&holders, node) {
                return true;
            }
        }
    };
    timeout_at(deadline, replicated).await.unwrap_or(false)
}

/// Makes this node's records durable. Returns its name if they are on its disk and it has contact with a quorum; `None` also
/// if it keeps no control state.
async fn store_here(node: &Node, control: Option<&Rc<Control>>) -> Option<String> {
    let control = control?;
    if rules::departures_are_stored() && !control.store_membership().await {
        return None;
    }
    let name = node.own_record.borrow().name.clone();
    control.has_quorum_contact().then_some(name)
}
