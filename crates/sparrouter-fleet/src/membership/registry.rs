//! What servers say of themselves: beats, draining, leaving, and who falls silent.
use crate::control::{CONFIG, Control};
use crate::membership::polls;
use crate::node::Node;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::settings::nanos;
use miniserde::{Deserialize, json};
use sparrouter_membership::{LifecycleState, LoadedModel, MembershipDelta, ServerRecord};
use sparrouter_rendezvous::{hash, order};
use sparrouter_routing::Nanos;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Beats that may stay away before a server counts as silent.
const MISSED: u32 = 3;
/// A caller waits a second; the spreading of what binds has this much of it.
const SPREAD: Duration = Duration::from_millis(700);
/// A server whose call is not acknowledged goes on to another node, and may come back after this.
const TRY_ANOTHER: Duration = Duration::from_millis(100);
/// Longest id, name or address that is taken, bytes.
const MOST_TEXT: usize = 200;
/// Models of a server that are taken.
const MOST_MODELS: usize = 64;

#[derive(Deserialize)]
struct ModelBeat {
    name: String,
    version: u64,
}

#[derive(Deserialize)]
struct Beat {
    service: String,
    address: String,
    zone: Option<String>,
    slot_count: Option<u32>,
    state: String,
    models: Option<Vec<ModelBeat>>,
    call_sequence: u64,
}

#[derive(Clone, Copy)]
struct Heard {
    call_sequence: u64,
    at: u64,
    /// A node with quorum contact was told here that the server drains.
    draining_told: bool,
}

/// The servers that call this node.
#[derive(Default)]
pub struct Registry {
    heard: RefCell<BTreeMap<String, Heard>>,
    /// Servers whose registrar is not heard of, and since when.
    orphaned: RefCell<BTreeMap<String, u64>>,
}

impl Registry {
    /// A heartbeat of a server; the answer acknowledges it.
    pub async fn handle_heartbeat(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
        body: &[u8],
    ) -> Response {
        let row = match read_heartbeat(id, body) {
            Ok(row) => row,
            Err(refusal) => return refusal,
        };
        // Whom it will call next looks after it; named in its first row already, so that the move is no news.
        let target = target(node, control, id, &row.zone);
        let registrar = target
            .as_ref()
            .map_or_else(|| node.own_record.borrow().name.clone(), |t| t.0.clone());
        let row = ServerRecord { registrar, ..row };
        let standing = row.state;
        let told_before = self
            .heard
            .borrow()
            .get(id)
            .is_some_and(|heard| heard.draining_told);
        let late = !self.record_heard(&row, node.now());
        #[cfg(feature = "injected-defects")]
        if late && !rules::late_heartbeats_ignored() {
            node.membership
                .borrow_mut()
                .overwrite(row.clone(), node.now());
            node.server_table.borrow_mut().overwrite(id, row.state);
        }
        let same = says_nothing_new(node, &row);
        let is_news = !late && !same;
        if is_news {
            node.merge_records(MembershipDelta {
                servers: vec![row].into(),
                ..MembershipDelta::default()
            });
        }
        let told_before = told_before || (!rules::repeated_drains_need_replica() && (same || late));
        // Sent again after a refusal it still binds: what counts is whether others were told, not whether it is news.
        let must_spread = standing == LifecycleState::Draining && !told_before;
        if (must_spread || is_news) && !self.spread(node, control, id, must_spread).await {
            return Response::retry_later(TRY_ANOTHER);
        }
        if must_spread && let Some(heard) = self.heard.borrow_mut().get_mut(id) {
            heard.draining_told = true;
        }
        // Rows of a machine that is cut off reach nobody: another one should look after the server.
        let cut_off = standing == LifecycleState::Ready && !may_acknowledge(node, control);
        if cut_off && rules::heartbeat_acks_need_contact() {
            return Response::retry_later(TRY_ANOTHER);
        }
        let told = |(_, at): (String, String)| format!("{{\"heartbeat_target\":\"{at}\"}}");
        Response::json(200, target.map_or("{}".to_owned(), told))
    }

    /// Records that a server called; false where a later call of it came before.
    fn record_heard(&self, row: &ServerRecord, now: Nanos) -> bool {
        let mut heard = self.heard.borrow_mut();
        let known = heard.get(&row.id).copied();
        if known.is_some_and(|known| known.call_sequence > row.call_sequence) {
            return false;
        }
        let latest = Heard {
            call_sequence: row.call_sequence,
            at: now,
            draining_told: known.is_some_and(|known| known.draining_told),
        };
        heard.insert(row.id.clone(), latest);
        true
    }

    /// The server leaves.
    pub async fn leave(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
    ) -> Response {
        if id.is_empty() || id.len() > MOST_TEXT {
            return Response::plain(400, "no such id");
        }
        let now = node.now();
        let changed = node.membership.borrow_mut().mark_server_left(id, now);
        if changed {
            node.stir();
        }
        self.heard.borrow_mut().remove(id);
        if !self.spread(node, control, id, true).await {
            return Response::retry_later(TRY_ANOTHER);
        }
        Response::json(200, "{}")
    }

    /// Tells the sources; where it binds others, only what one of them has that is in contact with a quorum is
    /// acknowledged.
    async fn spread(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
        binds: bool,
    ) -> bool {
        let Some(row) = node.membership.borrow().server(id).cloned() else {
            return true;
        };
        let delta = MembershipDelta {
            servers: vec![row].into(),
            ..MembershipDelta::default()
        };
        if binds && rules::acks_need_replica() {
            let told = polls::notify(node, &delta, SPREAD).await;
            // Where this node is the only member there is nobody else to tell.
            let only_member =
                || control.is_some_and(|c| c.members(CONFIG).len() == 1 && c.has_quorum_contact());
            return told || only_member();
        }
        let node = node.clone();
        spawn_local(async move {
            if !rules::acks_need_replica() {
                tokio::time::sleep(SPREAD).await;
            }
            // What is lost here the next beat brings, or the sources' own polls.
            polls::notify(&node, &delta, SPREAD).await;
        });
        true
    }

    /// Notices who fell silent. `core`: this node also looks after servers whose registrar is gone.
    pub fn check_liveness(&self, node: &Rc<Node>, core: bool) {
        let now = node.now();
        let limit = nanos(node.settings.borrow().heartbeat * MISSED);
        let own = node.own_record.borrow().name.clone();
        let mut silent = Vec::new();
        {
            let rows = node.membership.borrow();
            self.heard.borrow_mut().retain(|id, heard| {
                let mine = rows.server(id).is_some_and(|r| r.registrar == own);
                if mine && now.saturating_sub(heard.at) > limit {
                    silent.push(id.clone());
                }
                // Another has it now, or it is long gone.
                rows.server(id).is_some() && now.saturating_sub(heard.at) < limit * 10
            });
            if core {
                let mut orphaned = self.orphaned.borrow_mut();
                let lost = |r: &ServerRecord| {
                    r.registrar != own
                        && rows.node(&r.registrar).is_none_or(|n| n.unresponsive)
                        && !r.unresponsive
                };
                for row in rows.servers().filter(|r| r.state != LifecycleState::Left) {
                    if lost(row)
                        || (row.registrar == own && !self.heard.borrow().contains_key(&row.id))
                    {
                        let since = *orphaned.entry(row.id.clone()).or_insert(now);
                        if now.saturating_sub(since) > limit && !row.unresponsive {
                            silent.push(row.id.clone());
                        }
                    } else {
                        orphaned.remove(&row.id);
                    }
                }
                orphaned.retain(|id, _| rows.server(id).is_some());
            }
        }
        let mut changed = false;
        for id in silent {
            changed |= node
                .membership
                .borrow_mut()
                .mark_server_unresponsive(&id, now);
        }
        if changed {
            node.stir();
        }
    }
}

/// The row that a heartbeat makes, without its registrar; else the refusal.
fn read_heartbeat(id: &str, body: &[u8]) -> Result<ServerRecord, Response> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let beat: Beat = json::from_str(text).map_err(|_| {
        Response::plain(
            400,
            "a beat is JSON with service, address, state and call_sequence",
        )
    })?;
    let standing = match beat.state.as_str() {
        "ready" => LifecycleState::Ready,
        "draining" => LifecycleState::Draining,
        _ => return Err(Response::plain(400, "state is ready or draining")),
    };
    let is_short = |text: &str| !text.is_empty() && text.len() <= MOST_TEXT;
    let has_address = beat.address.parse::<std::net::SocketAddr>().is_ok();
    if !is_short(id) || !is_short(&beat.service) || !has_address {
        let why = "id and service are short names, address is ip:port";
        return Err(Response::plain(400, why));
    }
    let models = beat
        .models
        .unwrap_or_default()
        .into_iter()
        .take(MOST_MODELS);
    let model = |m: ModelBeat| LoadedModel {
        name: m.name,
        version: m.version,
    };
    Ok(ServerRecord {
        id: id.to_owned(),
        service: beat.service,
        address: beat.address,
        zone: beat.zone.unwrap_or_default(),
        slot_count: beat.slot_count.unwrap_or(1),
        state: standing,
        call_sequence: beat.call_sequence,
        models: models.map(model).collect(),
        registrar: String::new(),
        unresponsive: false,
    })
}

/// Whether a row differs from the known one in nothing but its call sequence: then it is news to nobody.
fn says_nothing_new(node: &Node, row: &ServerRecord) -> bool {
    let rows = node.membership.borrow();
    rows.server(&row.id).is_some_and(|known| {
        ServerRecord {
            call_sequence: known.call_sequence,
            ..row.clone()
        } == *known
    })
}

/// Whether what a server says here reaches the rest of the fleet: a member needs quorum contact, any other node has to
/// hear of a node that has it. A node that has not found the fleet yet takes what servers say until it has.
fn may_acknowledge(node: &Node, control: Option<&Rc<Control>>) -> bool {
    match control.filter(|c| c.is_member()) {
        Some(control) => control.has_quorum_contact(),
        None => !node.informed.get() || polls::has_recent_quorum_contact(node),
    }
}

/// Where the server may send its later beats, name and address: a node of the core, in its zone if there is one. None
/// where it should stay.
fn target(
    node: &Rc<Node>,
    control: Option<&Rc<Control>>,
    id: &str,
    zone: &str,
) -> Option<(String, String)> {
    let leaving = node.leaving.get();
    if control.is_some_and(|c| c.is_member()) && !leaving {
        return None;
    }
    let live = node.live_nodes();
    let fit = live
        .control_rows()
        .iter()
        .filter(|n| n.counts_toward_quorum && !n.unresponsive && !n.leaving);
    let ranked: Vec<(&str, &str, &str)> = order(
        fit.map(|n| {
            (
                hash(n.name.as_bytes()),
                (n.zone.as_str(), n.name.as_str(), n.control_address.as_str()),
            )
        }),
        hash(id.as_bytes()),
    );
    let near = ranked.iter().find(|n| n.0 == zone).or(ranked.first())?;
    Some((near.1.to_owned(), near.2.to_owned()))
}
