//! The servers that call this node: heartbeats, draining, leaving, and which have become unresponsive.
use super::heartbeat::{self, HeartbeatTarget, MAX_TEXT_BYTES};
use super::notify::notify;
use super::sources::has_recent_quorum_contact;
use crate::control::{CONFIG, Control};
use crate::node::Node;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::settings::nanos;
use sparrouter_membership::{LifecycleState, MembershipDelta, MembershipTable, ServerRecord};
use sparrouter_routing::Nanos;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Heartbeats in a row that may be missing before a server counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Servers are forgotten here after this many times the time after which they count as unresponsive.
const FORGET_AFTER: u64 = 10;
/// A caller waits a second; other nodes have this much of it to acknowledge a record that binds them.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);
/// A server whose call is not acknowledged goes on to another node, and may come back after this.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The last heartbeat of a server that calls this node.
#[derive(Clone, Copy)]
struct LastHeartbeat {
    call_sequence: u64,
    received_at: Nanos,
    /// A node with quorum contact has acknowledged that the server drains.
    is_draining_replicated: bool,
}

/// The servers that call this node. Borrows of its cells are not held across an `await`.
#[derive(Default)]
pub struct Registry {
    heartbeats: RefCell<BTreeMap<String, LastHeartbeat>>,
    /// Servers whose registrar is unresponsive or gone, and since when.
    orphaned: RefCell<BTreeMap<String, Nanos>>,
}

impl Registry {
    /// Handles a heartbeat of a server; a response with 200 acknowledges it and names the node to call next.
    pub async fn handle_heartbeat(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
        body: &[u8],
    ) -> Response {
        let record = match heartbeat::read(id, body) {
            Ok(record) => record,
            Err(refusal) => return refusal,
        };
        let target = heartbeat::target(node, control, id, &record.zone);
        let record = ServerRecord {
            registrar: registrar(node, target.as_ref()),
            ..record
        };
        let state = record.state;
        let must_replicate = state == LifecycleState::Draining && !self.is_draining_replicated(id);
        let reception = self.receive(node, record);
        // A draining heartbeat that is sent again after a refusal still binds: what counts is whether other nodes have
        // it, not whether it is new.
        let must_replicate = must_replicate
            && (reception == Reception::Merged || rules::repeated_drains_need_replica());
        let must_send = must_replicate || reception == Reception::Merged;
        if must_send && !self.replicate(node, control, id, must_replicate).await {
            return Response::retry_later(RETRY_AFTER);
        }
        if must_replicate {
            self.mark_draining_replicated(id);
        }
        // Records of a machine that is cut off reach nobody: the server should call another one.
        let needs_contact = state == LifecycleState::Ready && rules::heartbeat_acks_need_contact();
        if needs_contact && !may_acknowledge(node, control) {
            return Response::retry_later(RETRY_AFTER);
        }
        acknowledgement(target)
    }

    /// Records a heartbeat and merges what is new in it.
    fn receive(&self, node: &Node, record: ServerRecord) -> Reception {
        let is_late = !self.record_heartbeat(&record, node.now());
        #[cfg(feature = "injected-defects")]
        if is_late && !rules::late_heartbeats_ignored() {
            overwrite_record(node, &record);
        }
        if is_late {
            return Reception::Late;
        }
        if is_known(node, &record) {
            return Reception::Known;
        }
        node.merge_records(MembershipDelta {
            servers: vec![record].into(),
            ..MembershipDelta::default()
        });
        Reception::Merged
    }

    fn is_draining_replicated(&self, id: &str) -> bool {
        let heartbeats = self.heartbeats.borrow();
        heartbeats.get(id).is_some_and(|h| h.is_draining_replicated)
    }

    fn mark_draining_replicated(&self, id: &str) {
        if let Some(last) = self.heartbeats.borrow_mut().get_mut(id) {
            last.is_draining_replicated = true;
        }
    }

    /// Records that a server called; false where a later call of it has arrived before.
    fn record_heartbeat(&self, record: &ServerRecord, now: Nanos) -> bool {
        let mut heartbeats = self.heartbeats.borrow_mut();
        let known = heartbeats.get(&record.id).copied();
        if known.is_some_and(|known| known.call_sequence > record.call_sequence) {
            return false;
        }
        let last = LastHeartbeat {
            call_sequence: record.call_sequence,
            received_at: now,
            is_draining_replicated: known.is_some_and(|known| known.is_draining_replicated),
        };
        heartbeats.insert(record.id.clone(), last);
        true
    }

    /// Handles a server's call that it leaves; a response with 200 acknowledges it.
    pub async fn leave(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
    ) -> Response {
        if id.is_empty() || id.len() > MAX_TEXT_BYTES {
            return Response::plain(400, "no such id");
        }
        let now = node.now();
        let has_changed = node.membership.borrow_mut().mark_server_left(id, now);
        if has_changed {
            node.publish_changes();
        }
        self.heartbeats.borrow_mut().remove(id);
        if !self.replicate(node, control, id, true).await {
            return Response::retry_later(RETRY_AFTER);
        }
        Response::json(200, "{}")
    }

    /// Sends a server's record to the control nodes. Where it binds other nodes, it counts only once one that is in
    /// contact with a quorum has acknowledged it; false if none has.
    async fn replicate(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
        binds: bool,
    ) -> bool {
        let Some(record) = node.membership.borrow().server(id).cloned() else {
            return true;
        };
        let delta = MembershipDelta {
            servers: vec![record].into(),
            ..MembershipDelta::default()
        };
        if binds && rules::acks_need_replica() {
            let is_replicated = notify(node, &delta, REPLICATION_TIMEOUT).await;
            return is_replicated || is_only_member(control);
        }
        let node = node.clone();
        spawn_local(async move {
            if !rules::acks_need_replica() {
                tokio::time::sleep(REPLICATION_TIMEOUT).await;
            }
            // What is lost here comes with the next heartbeat or the polls of other nodes.
            notify(&node, &delta, REPLICATION_TIMEOUT).await;
        });
        true
    }

    /// Marks servers that became unresponsive. `has_control_state`: this node also watches servers whose registrar is
    /// gone.
    pub fn check_liveness(&self, node: &Rc<Node>, has_control_state: bool) {
        let now = node.now();
        let limit = nanos(node.settings.borrow().heartbeat * MAX_MISSED_HEARTBEATS);
        let unresponsive = {
            let check = LivenessCheck {
                membership: &node.membership.borrow(),
                own_name: &node.own_record.borrow().name,
                limit,
                now,
            };
            let mut ids = self.overdue_heartbeats(&check);
            if has_control_state {
                ids.extend(self.overdue_orphans(&check));
            }
            ids
        };
        let mut has_changed = false;
        for id in unresponsive {
            let mut membership = node.membership.borrow_mut();
            has_changed |= membership.mark_server_unresponsive(&id, now);
        }
        if has_changed {
            node.publish_changes();
        }
    }

    /// The servers that this node is the registrar of and that no longer call. Servers that call another node now, or are
    /// long gone, are forgotten.
    fn overdue_heartbeats(&self, check: &LivenessCheck<'_>) -> Vec<String> {
        let LivenessCheck {
            membership,
            own_name,
            limit,
            now,
        } = *check;
        let mut overdue = Vec::new();
        self.heartbeats.borrow_mut().retain(|id, last| {
            let elapsed = now.saturating_sub(last.received_at);
            let record = membership.server(id);
            if elapsed > limit && record.is_some_and(|r| r.registrar == own_name) {
                overdue.push(id.clone());
            }
            record.is_some() && elapsed < limit * FORGET_AFTER
        });
        overdue
    }

    /// The servers that have been without a registrar for too long.
    fn overdue_orphans(&self, check: &LivenessCheck<'_>) -> Vec<String> {
        let LivenessCheck {
            membership,
            own_name,
            limit,
            now,
        } = *check;
        let heartbeats = self.heartbeats.borrow();
        let mut orphaned = self.orphaned.borrow_mut();
        let is_orphan = |server: &ServerRecord| {
            if server.registrar == own_name {
                return !heartbeats.contains_key(&server.id);
            }
            let registrar = membership.node(&server.registrar);
            registrar.is_none_or(|n| n.unresponsive) && !server.unresponsive
        };
        let mut overdue = Vec::new();
        let present = membership
            .servers()
            .filter(|server| server.state != LifecycleState::Left);
        for server in present {
            if !is_orphan(server) {
                orphaned.remove(&server.id);
                continue;
            }
            let since = *orphaned.entry(server.id.clone()).or_insert(now);
            if now.saturating_sub(since) > limit && !server.unresponsive {
                overdue.push(server.id.clone());
            }
        }
        orphaned.retain(|id, _| membership.server(id).is_some());
        overdue
    }
}

/// What servers are checked against.
struct LivenessCheck<'a> {
    membership: &'a MembershipTable,
    own_name: &'a str,
    /// How long a server may be without a heartbeat, or without a registrar.
    limit: Nanos,
    now: Nanos,
}

/// What a heartbeat brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reception {
    /// Something new, which is merged.
    Merged,
    /// Nothing new.
    Known,
    /// Less than a later call that arrived before it.
    Late,
}

/// The node that looks after the server: the one that it calls next. It is in the server's first record already, so that
/// the move to it changes nothing.
fn registrar(node: &Node, target: Option<&HeartbeatTarget>) -> String {
    match target {
        Some(target) => target.name.clone(),
        None => node.own_record.borrow().name.clone(),
    }
}

/// The response that acknowledges a heartbeat.
fn acknowledgement(target: Option<HeartbeatTarget>) -> Response {
    let body = match target {
        Some(target) => format!("{{\"heartbeat_target\":\"{}\"}}", target.address),
        None => "{}".to_owned(),
    };
    Response::json(200, body)
}

/// Injected: a late heartbeat replaces a newer record.
#[cfg(feature = "injected-defects")]
fn overwrite_record(node: &Node, record: &ServerRecord) {
    let now = node.now();
    let mut membership = node.membership.borrow_mut();
    membership.overwrite(record.clone(), now);
    let mut server_table = node.server_table.borrow_mut();
    server_table.overwrite(&record.id, record.state);
}

/// Whether a record differs from the known one in nothing but its call sequence.
fn is_known(node: &Node, record: &ServerRecord) -> bool {
    let membership = node.membership.borrow();
    membership.server(&record.id).is_some_and(|known| {
        let same_sequence = ServerRecord {
            call_sequence: known.call_sequence,
            ..record.clone()
        };
        same_sequence == *known
    })
}

/// Whether this node is the only member: there is no other node to replicate to.
fn is_only_member(control: Option<&Rc<Control>>) -> bool {
    control.is_some_and(|c| c.members(CONFIG).len() == 1 && c.has_quorum_contact())
}

/// Whether what a server reports here reaches the rest of the fleet: a member needs quorum contact, any other node must
/// have heard from a node that has it. A node that has not found the fleet yet acknowledges until it has.
fn may_acknowledge(node: &Node, control: Option<&Rc<Control>>) -> bool {
    match control.filter(|c| c.is_member()) {
        Some(control) => control.has_quorum_contact(),
        None => !node.fleet_contact.is_informed() || has_recent_quorum_contact(node),
    }
}
