//! A server's heartbeat: reading it, and where the server should send the next one.
use crate::control::Control;
use crate::node::Node;
use crate::platform::http::Response;
use miniserde::{Deserialize, json};
use sparrouter_membership::{LifecycleState, LoadedModel, NodeRecord, ServerRecord};
use sparrouter_rendezvous::{hash, order};
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest id, service, zone or address that is accepted, in bytes.
pub(super) const MAX_TEXT_BYTES: usize = 200;
/// Most models of a server that are recorded.
const MAX_MODELS: usize = 64;

#[derive(Deserialize)]
struct ModelHeartbeat {
    name: String,
    version: u64,
}

/// The body of a heartbeat; field names are PROTOCOL.md's.
#[derive(Deserialize)]
struct Heartbeat {
    service: String,
    address: String,
    zone: Option<String>,
    slot_count: Option<u32>,
    state: String,
    models: Option<Vec<ModelHeartbeat>>,
    call_sequence: u64,
}

/// The record that a heartbeat makes, without its registrar.
///
/// # Errors
///
/// The response to a heartbeat that cannot be accepted.
pub(super) fn read(id: &str, body: &[u8]) -> Result<ServerRecord, Response> {
    let refused = |reason: &str| Response::plain(400, reason);
    let text = std::str::from_utf8(body).unwrap_or_default();
    let heartbeat: Heartbeat = json::from_str(text).map_err(|_| {
        refused("a heartbeat is JSON with service, address, state and call_sequence")
    })?;
    let state = match heartbeat.state.as_str() {
        "ready" => LifecycleState::Ready,
        "draining" => LifecycleState::Draining,
        _ => return Err(refused("state is ready or draining")),
    };
    let is_short = |text: &str| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
    let has_address = heartbeat.address.parse::<SocketAddr>().is_ok();
    if !is_short(id) || !is_short(&heartbeat.service) || !has_address {
        return Err(refused(
            "id and service are short names, address is ip:port",
        ));
    }
    let models = heartbeat.models.unwrap_or_default();
    let loaded = |model: ModelHeartbeat| LoadedModel {
        name: model.name,
        version: model.version,
    };
    Ok(ServerRecord {
        id: id.to_owned(),
        service: heartbeat.service,
        address: heartbeat.address,
        zone: heartbeat.zone.unwrap_or_default(),
        slot_count: heartbeat.slot_count.unwrap_or(1),
        state,
        call_sequence: heartbeat.call_sequence,
        models: models.into_iter().take(MAX_MODELS).map(loaded).collect(),
        registrar: String::new(),
        unresponsive: false,
    })
}

/// The node that a server should send its heartbeats to.
pub(super) struct HeartbeatTarget {
    /// Name of the node.
    pub(super) name: String,
    /// Its control address.
    pub(super) address: String,
}

/// Where a server should send its later heartbeats: a node of the core, in its zone if there is one. `None`: to this node.
pub(super) fn target(
    node: &Node,
    control: Option<&Rc<Control>>,
    id: &str,
    zone: &str,
) -> Option<HeartbeatTarget> {
    if control.is_some_and(|c| c.is_member()) && !node.is_leaving() {
        return None;
    }
    let live = node.live_nodes();
    let candidates = live
        .control_records()
        .iter()
        .filter(|n| n.counts_toward_quorum && !n.unresponsive && !n.leaving)
        .map(|n| (hash(n.name.as_bytes()), n));
    let ranked: Vec<&NodeRecord> = order(candidates, hash(id.as_bytes()));
    let in_zone = ranked.iter().find(|n| n.zone == zone);
    let nearest = in_zone.or(ranked.first())?;
    Some(HeartbeatTarget {
        name: nearest.name.clone(),
        address: nearest.control_address.clone(),
    })
}
