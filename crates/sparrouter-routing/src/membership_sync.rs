//! Brings the server table up to date with the membership table. Only servers whose records have changed are visited,
//! because a fleet of thousands of servers has a change every few milliseconds.
use crate::{EJECTION_PERIOD, Nanos, Server, ServerHandle, ServerTable};
use sparrouter_membership::{ChangedRecord, LifecycleState, MembershipTable, ServerRecord};
use std::collections::BTreeSet;

// Server directives have keys `KIND/SERVER/MODEL`. The kinds below are sent over the network and must not change.

/// The server is loading new weights; if withdrawn, it has loaded the version that the directive names.
const LOADING_DIRECTIVE: &str = "load";
/// The server will load new weights soon.
const LOADING_SOON_DIRECTIVE: &str = "soon";
/// The server is an outlier: it fails requests that other servers answer. The model in the key is empty. The directive
/// applies for [`EJECTION_PERIOD`] after its arrival, whether withdrawn or not.
const EJECTION_DIRECTIVE: &str = "avoid";

/// The state of the membership table at the last sync, and the servers that change without a change of their records.
#[derive(Debug, Default)]
pub(crate) struct SyncState {
    /// Identifies the membership table; 0 before the first sync.
    epoch: u64,
    /// The membership table's revision at the last sync.
    revision: u64,
    /// Number of servers that the membership table had dropped by the last sync.
    servers_dropped: u64,
    /// Servers with a directive to load weights, now or soon; these directives expire with time.
    under_directive: BTreeSet<ServerHandle>,
    /// Servers that have left but still have requests of this node in flight.
    left_with_requests: BTreeSet<ServerHandle>,
}

impl ServerTable {
    /// Applies the current membership table. A server that has left is kept until this node's last request there has ended.
    pub fn sync(&mut self, membership: &MembershipTable, now: Nanos) {
        let ids = self.ids_to_sync(membership);
        self.sync_state.epoch = membership.epoch();
        self.sync_state.revision = membership.revision();
        self.sync_state.servers_dropped = membership.servers_dropped();
        for id in ids {
            self.sync_server(membership, &id, now);
        }
    }

    /// Ids of servers whose records or directives have changed since the last sync, and of those that change with time.
    fn ids_to_sync(&self, membership: &MembershipTable) -> BTreeSet<String> {
        let state = &self.sync_state;
        // If servers were dropped since then, all servers are synced: dropped records have no revision number.
        let has_revisions_since = state.epoch == membership.epoch()
            && state.revision <= membership.revision()
            && state.servers_dropped == membership.servers_dropped();
        if !has_revisions_since {
            let in_table = self.iter().map(|(_, server)| server.id.clone());
            let recorded = membership.servers().map(|record| record.id.clone());
            return recorded.chain(in_table).collect();
        }
        let changed = membership
            .changed_since(state.revision)
            .filter_map(|record| match record {
                ChangedRecord::Server(id) => Some(id.to_owned()),
                ChangedRecord::Directive(key) => server_of_directive(key).map(str::to_owned),
                ChangedRecord::Node(_) => None,
            });
        let changing_with_time = state
            .under_directive
            .iter()
            .chain(&state.left_with_requests)
            .filter_map(|&handle| self.get(handle).map(|server| server.id.clone()));
        changed.chain(changing_with_time).collect()
    }

    fn sync_server(&mut self, membership: &MembershipTable, id: &str, now: Nanos) {
        let record = membership.server(id);
        if let Some(record) = record {
            self.add_if_new(record);
        }
        let Some(handle) = self.find(id) else {
            return;
        };
        if let Some(record) = record {
            self.apply_record(handle, record);
        }
        self.apply_directives(membership, handle, id, now);
        self.remove_if_left(handle, record);
    }

    fn add_if_new(&mut self, record: &ServerRecord) {
        let is_usable = record.state != LifecycleState::Left && !record.service.is_empty();
        if !is_usable || self.find(&record.id).is_some() {
            return;
        }
        if let Ok(address) = record.address.parse() {
            self.add(Server::new(record, address));
        }
    }

    fn apply_record(&mut self, handle: ServerHandle, record: &ServerRecord) {
        self.update(handle, |server| {
            server.state = server.state.max(record.state);
        });
        let Some(server) = self.servers.get_mut(handle) else {
            return;
        };
        if server.is_unresponsive && !record.unresponsive {
            server.suspicion = None;
        }
        if server.is_unresponsive != record.unresponsive {
            server.is_unresponsive = record.unresponsive;
            self.changes += 1;
        }
        if record.call_sequence > server.models_call_sequence {
            server.models_call_sequence = record.call_sequence;
            for model in &record.models {
                server.record_version(&model.name, model.version);
            }
        }
    }

    /// Applies the directives about one server. The rollout's lease holder announces that a server will load weights soon,
    /// then that it is loading them. When it withdraws the latter directive, it names the version that the server runs.
    fn apply_directives(
        &mut self,
        membership: &MembershipTable,
        handle: ServerHandle,
        id: &str,
        now: Nanos,
    ) {
        // The lease holder may have crashed, so no server is excluded for longer than loading can take.
        let max_age = self.versions.stretch_limit().saturating_mul(2);
        let applies = |is_withdrawn: bool, received_at: Nanos| {
            !is_withdrawn && now.saturating_sub(received_at) < max_age
        };
        let Some(server) = self.servers.get_mut(handle) else {
            return;
        };
        server.is_loading = false;
        let loading_prefix = format!("{LOADING_DIRECTIVE}/{id}/");
        for (directive, received_at) in membership.directives_with_prefix(&loading_prefix) {
            if directive.withdrawn && directive.version > 0 {
                let model = &directive.key[loading_prefix.len()..];
                server.record_version(model, directive.version);
            }
            server.is_loading |= applies(directive.withdrawn, received_at);
        }
        let soon_prefix = format!("{LOADING_SOON_DIRECTIVE}/{id}/");
        server.will_load_soon = membership
            .directives_with_prefix(&soon_prefix)
            .any(|(directive, received_at)| applies(directive.withdrawn, received_at));
        let ejection_prefix = format!("{EJECTION_DIRECTIVE}/{id}/");
        for (_, received_at) in membership.directives_with_prefix(&ejection_prefix) {
            let ejected_until = received_at.saturating_add(EJECTION_PERIOD);
            server.ejected_until = server.ejected_until.max(ejected_until);
        }
        if server.is_loading || server.will_load_soon {
            self.sync_state.under_directive.insert(handle);
        } else {
            self.sync_state.under_directive.remove(&handle);
        }
    }

    fn remove_if_left(&mut self, handle: ServerHandle, record: Option<&ServerRecord>) {
        let has_left = record.is_none_or(|record| record.state == LifecycleState::Left);
        let has_requests = self.get(handle).is_some_and(|server| server.in_flight > 0);
        if has_left && !has_requests {
            self.remove(handle);
        } else if has_left {
            self.sync_state.left_with_requests.insert(handle);
        }
    }

    /// Drops the sync state of a server that is removed, before its handle is reused.
    pub(crate) fn drop_sync_state(&mut self, handle: ServerHandle) {
        self.sync_state.under_directive.remove(&handle);
        self.sync_state.left_with_requests.remove(&handle);
    }
}

/// The server's id in a directive's key `KIND/SERVER/MODEL`; `None` if the directive is of another kind.
fn server_of_directive(key: &str) -> Option<&str> {
    let mut segments = key.splitn(3, '/');
    let (kind, id, _model) = (segments.next()?, segments.next()?, segments.next()?);
    [
        LOADING_DIRECTIVE,
        LOADING_SOON_DIRECTIVE,
        EJECTION_DIRECTIVE,
    ]
    .contains(&kind)
    .then_some(id)
}
