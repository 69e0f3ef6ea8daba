//! Stores all servers that this node knows, with indices by id, hash and service, and tracks this node's requests there.
use crate::membership_sync::SyncState;
use crate::service_servers::{LoadContribution, ServiceEntry, ServiceServers};
use crate::{Nanos, OutdatedVersionLimits, RequestOutcome, Server, ServerIndex, Versions};
use fastrand::Rng;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};

/// All servers that this node knows.
pub struct ServerTable {
    /// By [`ServerIndex`]; the slots in `free` are `None`.
    pub(crate) servers: Vec<Option<Server>>,
    /// By instance id. This map and the next two contain exactly the servers in `servers`.
    by_id: HashMap<String, ServerIndex>,
    /// By hash of the instance id.
    by_hash: HashMap<u64, ServerIndex>,
    /// By service name; no entry is empty.
    pub(crate) by_service: HashMap<String, ServiceServers>,
    /// Unused indices of `servers`; the lowest is reused first.
    free: BTreeSet<ServerIndex>,
    /// All suspected servers; may contain servers that are no longer suspected, until health checks are next scheduled.
    pub(crate) suspected: BTreeSet<ServerIndex>,
    /// See [`ServerTable::changes`].
    pub(crate) changes: u64,
    /// See [`ServerTable::records_visited`].
    records_visited: Cell<u64>,
    pub(crate) sync_state: SyncState,
    /// The versions of weights that requests may start on.
    pub versions: Versions,
    pub(crate) rng: Rng,
}

impl ServerTable {
    /// Creates an empty table. `version_limits`: see [`Versions::new`]; `rng` draws the jitter of health checks.
    pub fn new(version_limits: OutdatedVersionLimits, rng: Rng) -> ServerTable {
        ServerTable {
            servers: Vec::new(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            free: BTreeSet::new(),
            suspected: BTreeSet::new(),
            changes: 0,
            records_visited: Cell::new(0),
            sync_state: SyncState::default(),
            versions: Versions::new(version_limits),
            rng,
        }
    }

    /// The server with this index.
    pub fn get(&self, index: ServerIndex) -> Option<&Server> {
        self.servers.get(index)?.as_ref()
    }

    /// The index of the server with this instance id.
    pub fn find(&self, id: &str) -> Option<ServerIndex> {
        self.by_id.get(id).copied()
    }

    /// The server whose instance id has this hash.
    pub fn by_id_hash(&self, hash: u64) -> Option<&Server> {
        self.get(*self.by_hash.get(&hash)?)
    }

    /// Number of changes so far: it increases when a server is added, removed, becomes unresponsive or responds again.
    /// Values derived from the set of servers are valid while it stays the same.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// All servers, ordered by index.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &Server)> {
        self.servers
            .iter()
            .enumerate()
            .filter_map(|(index, server)| Some((index, server.as_ref()?)))
            .inspect(|_| self.count_visited(1))
    }

    /// The servers of a service, in the order in which they were added.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ServerIndex, &'a Server)> {
        self.entries_of(service)
            .filter_map(|entry| Some((entry.server, self.get(entry.server)?)))
    }

    /// The hashes and indices of a service's servers, without a look-up of each server.
    pub(crate) fn entries_of(&self, service: &str) -> impl Iterator<Item = ServiceEntry> {
        let service = self.by_service.get(service);
        let entries = service
            .map(|servers| servers.entries.as_slice())
            .unwrap_or_default();
        self.count_visited(entries.len() as u64);
        entries.iter().copied()
    }

    /// Number of servers visited so far by iterations over all servers or over those of a service. Tests use it to check
    /// that work does not grow with the size of the fleet.
    pub fn records_visited(&self) -> u64 {
        self.records_visited.get()
    }

    fn count_visited(&self, servers: u64) {
        self.records_visited
            .set(self.records_visited.get() + servers);
    }

    /// Injected defect: overwrites a server's state, even with an earlier one, which [`ServerTable::sync`] never does.
    #[cfg(feature = "injected-defects")]
    pub fn overwrite(&mut self, id: &str, state: sparrouter_membership::LifecycleState) {
        if let Some(index) = self.find(id) {
            self.update(index, |server| server.state = state);
        }
    }

    pub(crate) fn add(&mut self, server: Server) -> ServerIndex {
        self.changes += 1;
        let index = self.free.pop_first().unwrap_or(self.servers.len());
        self.by_id.insert(server.id.clone(), index);
        self.by_hash.insert(server.hash, index);
        let service = self.by_service.entry(server.service.clone()).or_default();
        service.entries.push(ServiceEntry {
            hash: server.hash,
            server: index,
        });
        if index == self.servers.len() {
            self.servers.push(Some(server));
        } else {
            self.servers[index] = Some(server);
        }
        index
    }

    pub(crate) fn remove(&mut self, index: ServerIndex) {
        let Some(server) = self.servers[index].take() else {
            return;
        };
        self.changes += 1;
        self.free.insert(index);
        self.suspected.remove(&index);
        self.drop_sync_state(index);
        self.by_id.remove(&server.id);
        self.by_hash.remove(&server.hash);
        if let Some(service) = self.by_service.get_mut(&server.service) {
            service.replace_load(LoadContribution::of(&server), LoadContribution::default());
            service.entries.retain(|entry| entry.server != index);
            if service.entries.is_empty() {
                self.by_service.remove(&server.service);
            }
        }
    }

    /// Modifies a server and updates the load of its service. Changes of a server's state, requests in flight and first use
    /// must use this method.
    pub(crate) fn update(&mut self, index: ServerIndex, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        let before = LoadContribution::of(server);
        change(server);
        let after = LoadContribution::of(server);
        if before != after
            && let Some(service) = self.by_service.get_mut(&server.service)
        {
            service.replace_load(before, after);
        }
    }

    /// Records that a request was sent to the server.
    pub fn start_request(&mut self, index: ServerIndex) {
        self.update(index, |server| {
            server.in_flight += 1;
            server.has_been_used = true;
        });
    }

    /// Records the outcome of a request that [`ServerTable::start_request`] recorded.
    pub fn finish_request(&mut self, index: ServerIndex, outcome: RequestOutcome, now: Nanos) {
        self.update(index, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
        });
        match outcome {
            RequestOutcome::Answered => self.update(index, |server| {
                server.suspicion = None;
                server.full_until = 0;
                server.answered.add(1.0, now);
            }),
            RequestOutcome::Unreachable => self.suspect(index, now),
            RequestOutcome::Failed
            | RequestOutcome::Declined
            | RequestOutcome::Misdirected
            | RequestOutcome::ConnectionLost
            | RequestOutcome::Withdrawn => {}
        }
    }

    /// Records that the server reported that it is full: it gets no requests until `full_until`.
    pub fn mark_full(&mut self, index: ServerIndex, full_until: Nanos) {
        if let Some(Some(server)) = self.servers.get_mut(index) {
            server.full_until = full_until;
        }
    }

    /// Records the version of a model that the server reported in a response.
    pub fn record_loaded_version(&mut self, index: ServerIndex, model: &str, version: u64) {
        if let Some(Some(server)) = self.servers.get_mut(index) {
            server.record_version(model, version);
        }
    }
}
