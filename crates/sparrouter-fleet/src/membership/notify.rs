//! Sends changed records to the control nodes immediately, without waiting for their polls.
use crate::node::Node;
use crate::peer::messages::{Call, Reply};
use sparrouter_membership::MembershipDelta;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Sends changed records to the other control nodes. Returns true as soon as one that has contact with a quorum
/// acknowledges them; the remaining nodes still receive them. Returns false if none acknowledges within `timeout`.
pub async fn notify(node: &Rc<Node>, delta: &MembershipDelta, timeout: Duration) -> bool {
    let control_nodes = responsive_control_nodes(node);
    if control_nodes.is_empty() {
        return false;
    }
    let (reply_sender, mut replies) = mpsc::channel(control_nodes.len());
    let call = Rc::new(Call::Notify(delta.clone()));
    for address in control_nodes {
        let (node, call, reply_sender) = (node.clone(), call.clone(), reply_sender.clone());
        spawn_local(async move {
            let reply = node.links.call(address, &call, timeout).await;
            let is_acknowledged = matches!(reply, Ok(Reply::Acknowledged));
            // The receiver is dropped after the first acknowledgement.
            let _ = reply_sender.send(is_acknowledged).await;
        });
    }
    drop(reply_sender);
    while let Some(is_acknowledged) = replies.recv().await {
        if is_acknowledged {
            return true;
        }
    }
    false
}

/// The internal addresses of the other control nodes that are responsive, or of all of them if none is.
fn responsive_control_nodes(node: &Node) -> Vec<SocketAddr> {
    let own_address = node.own_address();
    let mut others = node.control_nodes();
    others.retain(|control_node| control_node.address != own_address);
    let membership = node.membership.borrow();
    let is_responsive = |name: &str| membership.node(name).is_none_or(|n| !n.unresponsive);
    let responsive: Vec<SocketAddr> = others
        .iter()
        .filter(|control_node| is_responsive(&control_node.name))
        .map(|control_node| control_node.address)
        .collect();
    if responsive.is_empty() {
        return others.into_iter().map(|n| n.address).collect();
    }
    responsive
}
