//! Parses a server's heartbeat and selects the node that the server should send the next one to.
use crate::control::Control;
use crate::node::Node;
use crate::platform::http::Response;
use miniserde::{Deserialize, json};
use sparrouter_membership::{LifecycleState, LoadedModel, NodeRecord, ServerRecord};
use sparrouter_rendezvous::{hash, order};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum length of an id, service, zone or address, in bytes.
pub(super) const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of models that are recorded for a server.
const MAX_MODELS: usize = 64;

#[derive(Deserialize)]
struct ModelHeartbeat {
    name: String,
    version: u64,
}

/// The JSON body of a heartbeat. Field names are defined in PROTOCOL.md.
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

/// Converts a heartbeat to a server record without a registrar.
///
/// # Errors
///
/// Returns the response to a malformed heartbeat.
pub(super) fn read(id: &str, body: &[u8]) -> Result<ServerRecord, Response> {
    let rejection = |reason: &str| Response::plain(400, reason);
    let text = std::str::from_utf8(body).unwrap_or_default();
    let heartbeat: Heartbeat = json::from_str(text).map_err(|_| {
        rejection("a heartbeat is JSON with service, address, state and call_sequence")
    })?;
    let state = match heartbeat.state.as_str() {
        "ready" => LifecycleState::Ready,
        "draining" => LifecycleState::Draining,
        _ => return Err(rejection("state is ready or draining")),
    };
    let is_valid_length = |text: &str| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
    let is_valid_address = heartbeat.address.parse::<SocketAddr>().is_ok();
    if !is_valid_length(id) || !is_valid_length(&heartbeat.service) || !is_valid_address {
        return Err(rejection(
            "id and service are short names, address is ip:port",
        ));
    }
    let models = heartbeat.models.unwrap_or_default();
    let to_loaded_model = |model: ModelHeartbeat| LoadedModel {
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
        models: models
            .into_iter()
            .take(MAX_MODELS)
            .map(to_loaded_model)
            .collect(),
        registrar: String::new(),
        unresponsive: false,
    })
}

/// The node to which a server should send its next heartbeats.
pub(super) struct HeartbeatTarget {
    /// Name of the node.
    pub(super) name: String,
    /// Control address of the node.
    pub(super) address: String,
}

/// The node to which a server should send its next heartbeats: a control node that counts toward the quorum, in the
/// server's zone if possible. `None` if the server should stay with this node, or if no such node is known.
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
