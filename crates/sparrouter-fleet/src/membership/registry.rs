//! Registry of the servers that send their heartbeats to this node: handles heartbeats, draining and leaving, and
//! detects unresponsive servers.
use super::heartbeat::{self, HeartbeatTarget, MAX_TEXT_BYTES};
use super::notify::notify;
use super::replication;
use super::sources::has_recent_quorum_contact;
use crate::control::Control;
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

/// Number of consecutive missed heartbeats after which a server counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// A server is removed from the registry after this multiple of the time after which it counts as unresponsive.
const REMOVE_AFTER_TIMEOUTS: u64 = 10;
/// Time-out for other nodes to acknowledge a record. Servers wait 1 s for the reply to a heartbeat.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Retry delay for a server whose call is not acknowledged; in the meantime it calls another node.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The last heartbeat of a server that calls this node.
#[derive(Clone, Copy)]
struct LastHeartbeat {
    call_sequence: u64,
    received_at: Nanos,
    /// Whether enough control nodes have on disk that the server is draining.
    is_draining_replicated: bool,
}

/// The servers that send their heartbeats to this node. Borrows of its cells are not held across an `await`.
#[derive(Default)]
pub struct Registry {
    heartbeats: RefCell<BTreeMap<String, LastHeartbeat>>,
    /// Servers whose registrar is unresponsive or unknown, with the time at which this was first noticed.
    orphaned: RefCell<BTreeMap<String, Nanos>>,
}

impl Registry {
    /// Handles a server's heartbeat. A response with status 200 acknowledges it and names the node to call next.
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
        let effect = self.receive(node, record);
        // A draining heartbeat that is repeated after a rejection must be replicated too: what matters is whether other
        // nodes have the record, not whether the record is new here.
        let must_replicate = must_replicate
            && (effect == HeartbeatEffect::Merged || rules::repeated_drains_need_replica());
        let must_send = must_replicate || effect == HeartbeatEffect::Merged;
        if must_send && !self.replicate(node, control, id, must_replicate).await {
            return Response::retry_later(RETRY_AFTER);
        }
        if must_replicate {
            self.mark_draining_replicated(id);
        }
        // If this node is partitioned, its records reach no other node, so the server should call another one.
        let needs_contact = state == LifecycleState::Ready && rules::heartbeat_acks_need_contact();
        if needs_contact && !may_acknowledge(node, control) {
            return Response::retry_later(RETRY_AFTER);
        }
        acknowledgement(target)
    }

    /// Records a heartbeat and merges its record if the record has changed.
    fn receive(&self, node: &Node, record: ServerRecord) -> HeartbeatEffect {
        let is_outdated = !self.record_heartbeat(&record, node.now());
        #[cfg(feature = "injected-defects")]
        if is_outdated && !rules::late_heartbeats_ignored() {
            overwrite_record(node, &record);
        }
        if is_outdated {
            return HeartbeatEffect::Outdated;
        }
        if is_known(node, &record) {
            return HeartbeatEffect::Unchanged;
        }
        node.merge_records(MembershipDelta {
            servers: vec![record].into(),
            ..MembershipDelta::default()
        });
        HeartbeatEffect::Merged
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

    /// Records the time of a server's heartbeat. Returns false if a later heartbeat has already arrived.
    fn record_heartbeat(&self, record: &ServerRecord, now: Nanos) -> bool {
        let mut heartbeats = self.heartbeats.borrow_mut();
        let previous = heartbeats.get(&record.id).copied();
        if previous.is_some_and(|previous| previous.call_sequence > record.call_sequence) {
            return false;
        }
        let last = LastHeartbeat {
            call_sequence: record.call_sequence,
            received_at: now,
            is_draining_replicated: previous
                .is_some_and(|previous| previous.is_draining_replicated),
        };
        heartbeats.insert(record.id.clone(), last);
        true
    }

    /// Handles a server's notice that it leaves. A response with status 200 acknowledges it.
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

    /// Sends a server's record to the control nodes. If `must_be_acknowledged`, waits until enough of them have it on disk
    /// and returns false if that fails; otherwise returns true at once.
    async fn replicate(
        &self,
        node: &Rc<Node>,
        control: Option<&Rc<Control>>,
        id: &str,
        must_be_acknowledged: bool,
    ) -> bool {
        let Some(record) = node.membership.borrow().server(id).cloned() else {
            return true;
        };
        let delta = MembershipDelta {
            servers: vec![record].into(),
            ..MembershipDelta::default()
        };
        if must_be_acknowledged && rules::acks_need_replica() {
            return replication::replicate(node, control, &delta, REPLICATION_TIMEOUT).await;
        }
        let node = node.clone();
        spawn_local(async move {
            if !rules::acks_need_replica() {
                tokio::time::sleep(REPLICATION_TIMEOUT).await;
            }
            // If this message is lost, the record is replicated by the next heartbeat or the polls of other nodes.
            drop(notify(&node, &delta, REPLICATION_TIMEOUT));
        });
        true
    }

    /// Marks servers that have become unresponsive. `has_control_state`: whether this node also monitors servers whose
    /// registrar is unresponsive or unknown.
    pub fn check_liveness(&self, node: &Rc<Node>, has_control_state: bool) {
        let now = node.now();
        let timeout = nanos(node.settings.borrow().heartbeat * MAX_MISSED_HEARTBEATS);
        let unresponsive = {
            let check = LivenessCheck {
                membership: &node.membership.borrow(),
                own_name: &node.own_record.borrow().name,
                timeout,
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

    /// The servers that have this node as their registrar and whose heartbeats are overdue. Servers without a record,
    /// or without a heartbeat for `REMOVE_AFTER_TIMEOUTS` time-outs, are removed from the registry.
    fn overdue_heartbeats(&self, check: &LivenessCheck<'_>) -> Vec<String> {
        let LivenessCheck {
            membership,
            own_name,
            timeout,
            now,
        } = *check;
        let mut overdue = Vec::new();
        self.heartbeats.borrow_mut().retain(|id, last| {
            let elapsed = now.saturating_sub(last.received_at);
            let record = membership.server(id);
            if elapsed > timeout && record.is_some_and(|r| r.registrar == own_name) {
                overdue.push(id.clone());
            }
            record.is_some() && elapsed < timeout * REMOVE_AFTER_TIMEOUTS
        });
        overdue
    }

    /// The servers that have been without a responsive registrar for longer than the time-out.
    fn overdue_orphans(&self, check: &LivenessCheck<'_>) -> Vec<String> {
        let LivenessCheck {
            membership,
            own_name,
            timeout,
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
            let orphaned_at = *orphaned.entry(server.id.clone()).or_insert(now);
            if now.saturating_sub(orphaned_at) > timeout && !server.unresponsive {
                overdue.push(server.id.clone());
            }
        }
        orphaned.retain(|id, _| membership.server(id).is_some());
        overdue
    }
}

/// Parameters of a liveness check.
struct LivenessCheck<'a> {
    membership: &'a MembershipTable,
    own_name: &'a str,
    /// Maximum time without a heartbeat, or without a registrar, in nanoseconds.
    timeout: Nanos,
    now: Nanos,
}

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatEffect {
    /// The record has changed and was merged.
    Merged,
    /// The record is unchanged.
    Unchanged,
    /// The heartbeat is outdated: a later one has already arrived.
    Outdated,
}

/// Name of the server's registrar: the node that the server calls next. The server's first record already contains it,
/// so that the record doesn't change when the server moves to that node.
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

/// Injected fault: an outdated heartbeat overwrites a newer record.
#[cfg(feature = "injected-defects")]
fn overwrite_record(node: &Node, record: &ServerRecord) {
    let now = node.now();
    let mut membership = node.membership.borrow_mut();
    membership.overwrite(record.clone(), now);
    let mut server_table = node.server_table.borrow_mut();
    server_table.overwrite(&record.id, record.state);
}

/// Whether a record equals the known one apart from its call sequence.
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

/// Whether a record that a server reports to this node reaches the rest of the fleet. A member of the control group
/// needs contact with a quorum; any other node must recently have heard from a node that has such contact. A node that
/// has not joined the fleet yet acknowledges in any case.
fn may_acknowledge(node: &Node, control: Option<&Rc<Control>>) -> bool {
    match control.filter(|c| c.is_member()) {
        Some(control) => control.has_quorum_contact(),
        None => !node.fleet_contact.is_informed() || has_recent_quorum_contact(node),
    }
}
