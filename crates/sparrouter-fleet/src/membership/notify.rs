//! Sends changed records to the control nodes immediately, without waiting for their polls.
use crate::node::{ControlNode, Node};
use crate::peer::messages::{Call, Reply};
use sparrouter_membership::MembershipDelta;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Sends changed records to the other control nodes, on separate tasks. The receiver gets the name of each node that has
/// contact with a quorum and acknowledges them within `timeout`; it ends with the last reply.
pub fn notify(
    node: &Rc<Node>,
    delta: &MembershipDelta,
    timeout: Duration,
) -> mpsc::UnboundedReceiver<String> {
    let (sender, acknowledgements) = mpsc::unbounded_channel();
    let call = Rc::new(Call::Notify(delta.clone()));
    for to in responsive_control_nodes(node) {
        let (node, call, sender) = (node.clone(), call.clone(), sender.clone());
        spawn_local(async move {
            let reply = node.links.call(to.address, &call, timeout).await;
            if matches!(reply, Ok(Reply::Acknowledged)) {
                // The receiver may be dropped before the last acknowledgement.
                let _ = sender.send(to.name);
            }
        });
    }
    acknowledgements
}

/// The other control nodes that are responsive, or all of them if none is.
fn responsive_control_nodes(node: &Node) -> Vec<ControlNode> {
    let own_address = node.own_address();
    let mut others = node.control_nodes();
    others.retain(|control_node| control_node.address != own_address);
    let membership = node.membership.borrow();
    let is_responsive = |name: &str| membership.node(name).is_none_or(|n| !n.unresponsive);
    let responsive: Vec<ControlNode> = others
        .iter()
        .filter(|control_node| is_responsive(&control_node.name))
        .cloned()
        .collect();
    if responsive.is_empty() {
        return others;
    }
    responsive
}
