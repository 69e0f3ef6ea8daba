//! What a node says of itself to an operator: one JSON object, the same fields every time. The operators' client
//! reads it back.
use crate::control::Control;
use crate::node::Node;
use miniserde::{Deserialize, Serialize, json};
use std::rc::Rc;

/// A model and a version of its weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    pub name: String,
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub standing: String,
    pub silent: bool,
    pub suspected: bool,
    pub loading: bool,
    pub in_flight: u32,
    /// What it runs, as far as the asked node knows.
    pub models: Vec<ModelStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub name: String,
    pub internal: String,
    /// Where servers and operators reach it; empty: not there.
    pub control: String,
    pub zone: String,
    pub counted: bool,
    pub leaving: bool,
    pub silent: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub node: String,
    pub ready: bool,
    pub config_version: u64,
    /// Of the configuration's text, in hex: the same on all nodes that have the same. None from an older release.
    pub config_digest: Option<String>,
    pub member: bool,
    pub in_touch: bool,
    pub heard_ms_ago: u64,
    pub open_requests: u64,
    pub group: Vec<String>,
    /// Versions that were named.
    pub models: Vec<ModelStatus>,
    pub nodes: Vec<NodeStatus>,
    pub servers: Vec<ServerStatus>,
}

fn model(name: &str, version: u64) -> ModelStatus {
    ModelStatus {
        name: name.to_owned(),
        version,
    }
}

pub fn show(node: &Rc<Node>, control: Option<&Rc<Control>>) -> String {
    let server_table = node.server_table.borrow();
    let rows = node.rows.borrow();
    let servers = rows.servers().map(|s| {
        let own = server_table.find(&s.id).and_then(|ix| server_table.get(ix));
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
            models: s.models.iter().map(|m| model(&m.name, m.version)).collect(),
        }
    });
    let nodes = rows.nodes().map(|n| NodeStatus {
        name: n.name.clone(),
        internal: n.internal.clone(),
        control: n.control.clone(),
        zone: n.zone.clone(),
        counted: n.counted,
        leaving: n.leaving,
        silent: n.silent,
    });
    let group = control
        .map(|c| c.members(crate::control::CONFIG))
        .unwrap_or_default();
    json::to_string(&Status {
        node: node.me.borrow().name.clone(),
        ready: node.informed.get() && !node.leaving.get(),
        config_version: node.in_force().version,
        config_digest: Some(format!("{:016x}", node.in_force().digest)),
        member: control.is_some_and(|c| c.is_member()),
        in_touch: control.is_some_and(|c| c.has_quorum_contact()),
        heard_ms_ago: node.now().saturating_sub(node.heard.get()) / 1_000_000,
        open_requests: node.open.get() as u64,
        group: group.into_iter().map(|m| m.name).collect(),
        models: node
            .in_force()
            .models
            .iter()
            .map(|m| model(&m.0, m.1))
            .collect(),
        nodes: nodes.collect(),
        servers: servers.collect(),
    })
}
