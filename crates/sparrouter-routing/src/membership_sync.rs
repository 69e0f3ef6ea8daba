//! Brings the server table up to date with the rows: only servers whose rows changed are looked at, since a fleet of
//! thousands of servers has a change every few milliseconds.
use crate::{EJECTION_PERIOD, Nanos, Server, ServerIndex, ServerTable};
use sparrouter_membership::{ChangedRecord, LifecycleState, MembershipTable, ServerRecord};
use std::collections::BTreeSet;

/// A directive under `load/SERVER/MODEL`: the server takes new weights, or (over) runs what is named.
const LOAD: &str = "load";
/// A directive under `soon/SERVER/MODEL`: the server will take new weights soon.
const SOON: &str = "soon";

/// A notice under `avoid/SERVER/`: the server fails requests that others would serve. It holds by its age alone.
const AVOID: &str = "avoid";

/// What the table has taken in of the rows, and which servers have to be looked at without a change of theirs.
#[derive(Debug, Default)]
pub(crate) struct SyncState {
    /// Names the `Rows`; 0 before the first look.
    epoch: u64,
    revision: u64,
    servers_dropped: u64,
    /// Servers under a directive, which runs out with time.
    directed: BTreeSet<ServerIndex>,
    /// Servers that are gone, with requests in flight.
    leaving: BTreeSet<ServerIndex>,
}

impl ServerTable {
    /// What the rows say now. Servers that are gone stay until their last request has ended.
    pub fn sync(&mut self, rows: &MembershipTable, now: Nanos) {
        let ids = self.ids_to_look_at(rows);
        self.sync_state.epoch = rows.epoch();
        self.sync_state.revision = rows.revision();
        self.sync_state.servers_dropped = rows.servers_dropped();
        for id in ids {
            self.sync_server(rows, &id, now);
        }
    }

    /// Ids of servers whose rows or directives changed since the last look, and of those that time may change.
    fn ids_to_look_at(&self, rows: &MembershipTable) -> BTreeSet<String> {
        let state = &self.sync_state;
        let same_rows = state.epoch == rows.epoch()
            && state.revision <= rows.revision()
            && state.servers_dropped == rows.servers_dropped();
        if !same_rows {
            let known = self.iter().map(|(_, server)| server.id.clone());
            return rows
                .servers()
                .map(|row| row.id.clone())
                .chain(known)
                .collect();
        }
        let changed = rows
            .changed_since(state.revision)
            .filter_map(|row| match row {
                ChangedRecord::Server(id) => Some(id.to_owned()),
                ChangedRecord::Directive(key) => server_of_directive(key).map(str::to_owned),
                ChangedRecord::Node(_) => None,
            });
        let by_time = state.directed.iter().chain(&state.leaving);
        let by_time = by_time.filter_map(|&ix| self.get(ix).map(|server| server.id.clone()));
        changed.chain(by_time).collect()
    }

    fn sync_server(&mut self, rows: &MembershipTable, id: &str, now: Nanos) {
        let row = rows.server(id);
        if let Some(row) = row {
            self.add_if_new(row);
        }
        let Some(ix) = self.find(id) else {
            return;
        };
        if let Some(row) = row {
            self.take_row(ix, row);
        }
        self.take_directives(rows, ix, id, now);
        self.remove_if_over(ix, row);
    }

    fn add_if_new(&mut self, row: &ServerRecord) {
        let over = row.state == LifecycleState::Left || row.service.is_empty();
        if over || self.find(&row.id).is_some() {
            return;
        }
        if let Ok(address) = row.address.parse() {
            self.add(Server::new(row, address));
        }
    }

    fn take_row(&mut self, ix: ServerIndex, row: &ServerRecord) {
        self.update(ix, |server| {
            server.standing = server.standing.max(row.state);
        });
        let Some(server) = self.servers[ix].as_mut() else {
            return;
        };
        if server.silent && !row.unresponsive {
            server.suspect = None;
        }
        if server.silent != row.unresponsive {
            server.silent = row.unresponsive;
            self.changes += 1;
        }
        if row.call_sequence > server.told_at {
            server.told_at = row.call_sequence;
            for model in &row.models {
                server.runs(&model.name, model.version);
            }
        }
    }

    /// The holder of the rollout lease announces `soon/SERVER/MODEL`, then `load/SERVER/MODEL` while the server loads; the
    /// latter ends with the version that the server runs.
    fn take_directives(&mut self, rows: &MembershipTable, ix: ServerIndex, id: &str, now: Nanos) {
        let lasts = self.versions.stretch_limit().saturating_mul(2);
        let Some(server) = self.servers[ix].as_mut() else {
            return;
        };
        // The holder may have died, so no server is excluded for longer than loading can take.
        let stands = |over: bool, at: Nanos| !over && now.saturating_sub(at) < lasts;
        server.loading = false;
        let load = format!("{LOAD}/{id}/");
        for (note, at) in rows.directives_with_prefix(&load) {
            if note.withdrawn && note.version > 0 {
                server.runs(&note.key[load.len()..], note.version);
            }
            server.loading |= stands(note.withdrawn, at);
        }
        let soon = format!("{SOON}/{id}/");
        server.soon = rows
            .directives_with_prefix(&soon)
            .any(|(note, at)| stands(note.withdrawn, at));
        let avoid = format!("{AVOID}/{id}/");
        for (_, at) in rows.directives_with_prefix(&avoid) {
            server.avoided_until = server.avoided_until.max(at.saturating_add(EJECTION_PERIOD));
        }
        if server.loading || server.soon {
            self.sync_state.directed.insert(ix);
        } else {
            self.sync_state.directed.remove(&ix);
        }
    }

    fn remove_if_over(&mut self, ix: ServerIndex, row: Option<&ServerRecord>) {
        let gone = row.is_none_or(|row| row.state == LifecycleState::Left);
        let in_flight = self.get(ix).is_some_and(|server| server.in_flight > 0);
        if gone && !in_flight {
            self.remove(ix);
        } else if gone {
            self.sync_state.leaving.insert(ix);
        }
    }

    /// Forgets what was kept of a place in the table whose server was removed.
    pub(crate) fn forget_sync_state(&mut self, ix: ServerIndex) {
        self.sync_state.directed.remove(&ix);
        self.sync_state.leaving.remove(&ix);
    }
}

/// The id in a directive's key `KIND/SERVER/MODEL`; None for other notes.
fn server_of_directive(key: &str) -> Option<&str> {
    let mut words = key.splitn(3, '/');
    let (kind, id, _model) = (words.next()?, words.next()?, words.next()?);
    [LOAD, SOON, AVOID].contains(&kind).then_some(id)
}
