//! What a node says of itself to an operator: one JSON object, the same fields every time.
use crate::control::Control;
use crate::node::Node;
use miniserde::{Serialize, json};
use std::rc::Rc;

#[derive(Serialize)]
struct ServerStatus {
    id: String,
    service: String,
    address: String,
    zone: String,
    standing: String,
    silent: bool,
    suspected: bool,
    loading: bool,
    in_flight: u32,
}

#[derive(Serialize)]
struct NodeStatus {
    name: String,
    internal: String,
    zone: String,
    counted: bool,
    leaving: bool,
    silent: bool,
}

#[derive(Serialize)]
struct Status {
    node: String,
    ready: bool,
    config_version: u64,
    member: bool,
    in_touch: bool,
    heard_ms_ago: u64,
    open_requests: u64,
    group: Vec<String>,
    nodes: Vec<NodeStatus>,
    servers: Vec<ServerStatus>,
}

pub fn show(node: &Rc<Node>, control: Option<&Rc<Control>>) -> String {
    let bed = node.bed.borrow();
    let rows = node.rows.borrow();
    let servers = rows.servers().map(|s| {
        let own = bed.find(&s.id).and_then(|ix| bed.get(ix));
        ServerStatus {
            id: s.id.clone(),
            service: s.service.clone(),
            address: s.address.clone(),
            zone: s.zone.clone(),
            standing: format!("{:?}", s.standing).to_lowercase(),
            silent: s.silent,
            suspected: own.is_some_and(|o| o.suspected()),
            loading: own.is_some_and(|o| o.loading()),
            in_flight: own.map_or(0, |o| o.in_flight()),
        }
    });
    let nodes = rows.nodes().map(|n| NodeStatus {
        name: n.name.clone(),
        internal: n.internal.clone(),
        zone: n.zone.clone(),
        counted: n.counted,
        leaving: n.leaving,
        silent: n.silent,
    });
    let group = control.map(|c| c.members(crate::control::CONFIG)).unwrap_or_default();
    json::to_string(&Status {
        node: node.me.borrow().name.clone(),
        ready: node.informed.get() && !node.leaving.get(),
        config_version: node.in_force().version,
        member: control.is_some_and(|c| c.is_member()),
        in_touch: control.is_some_and(|c| c.in_touch()),
        heard_ms_ago: node.now().saturating_sub(node.heard.get()) / 1_000_000,
        open_requests: node.open.get() as u64,
        group: group.into_iter().map(|m| m.name).collect(),
        nodes: nodes.collect(),
        servers: servers.collect(),
    })
}
