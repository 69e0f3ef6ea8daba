//! Stores all servers that this node knows, with maps by id, hash and service, and tracks this node's requests there.
use crate::membership_sync::SyncState;
use crate::service_servers::{LoadContribution, ServiceEntry, ServiceServers};
use crate::{Nanos, OutdatedVersionLimits, RequestOutcome, Server, ServerHandle, Versions};
use fastrand::Rng;
use slotmap::SlotMap;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};

/// All servers that this node knows.
pub struct ServerTable {
    pub(crate) servers: SlotMap<ServerHandle, Server>,
    /// By instance id. This map and the next two contain exactly the servers in `servers`.
    by_id: HashMap<String, ServerHandle>,
    /// By hash of the instance id.
    by_hash: HashMap<u64, ServerHandle>,
    /// By service name; no entry is empty.
    pub(crate) by_service: HashMap<String, ServiceServers>,
    /// All suspected servers; may contain servers that are no longer suspected, until health checks are next scheduled.
    pub(crate) suspected: BTreeSet<ServerHandle>,
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
            servers: SlotMap::new(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            suspected: BTreeSet::new(),
            changes: 0,
            records_visited: Cell::new(0),
            sync_state: SyncState::default(),
            versions: Versions::new(version_limits),
            rng,
        }
    }

    /// The server with this handle; `None` if it was removed.
    pub fn get(&self, handle: ServerHandle) -> Option<&Server> {
        self.servers.get(handle)
    }

    /// The handle of the server with this instance id.
    pub fn find(&self, id: &str) -> Option<ServerHandle> {
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

    /// All servers, in an order that is the same for equal changes of the table.
    pub fn iter(&self) -> impl Iterator<Item = (ServerHandle, &Server)> {
        self.servers.iter().inspect(|_| self.count_visited(1))
    }

    /// The servers of a service, in the order in which they were added.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ServerHandle, &'a Server)> {
        self.entries_of(service)
            .filter_map(|entry| Some((entry.server, self.get(entry.server)?)))
    }

    /// The hashes and handles of a service's servers, without a look-up of each server.
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
        if let Some(handle) = self.find(id) {
            self.update(handle, |server| server.state = state);
        }
    }

    /// Injected defect: the server that is stored in the place that the server with this handle had.
    #[cfg(feature = "injected-defects")]
    pub fn successor_of(&self, handle: ServerHandle) -> Option<ServerHandle> {
        use slotmap::Key;
        // The lower half of the number is the place, the upper half tells the servers apart that were stored there.
        let place = |handle: ServerHandle| handle.data().as_ffi() as u32;
        let mut handles = self.servers.keys();
        handles.find(|stored| place(*stored) == place(handle))
    }

    pub(crate) fn add(&mut self, server: Server) -> ServerHandle {
        self.changes += 1;
        let (id, hash, service) = (server.id.clone(), server.hash, server.service.clone());
        let handle = self.servers.insert(server);
        self.by_id.insert(id, handle);
        self.by_hash.insert(hash, handle);
        let service = self.by_service.entry(service).or_default();
        service.entries.push(ServiceEntry {
            hash,
            server: handle,
        });
        handle
    }

    pub(crate) fn remove(&mut self, handle: ServerHandle) {
        let Some(server) = self.servers.remove(handle) else {
            return;
        };
        self.changes += 1;
        self.suspected.remove(&handle);
        self.drop_sync_state(handle);
        self.by_id.remove(&server.id);
        self.by_hash.remove(&server.hash);
        if let Some(service) = self.by_service.get_mut(&server.service) {
            service.replace_load(LoadContribution::of(&server), LoadContribution::default());
            service.entries.retain(|entry| entry.server != handle);
            if service.entries.is_empty() {
                self.by_service.remove(&server.service);
            }
        }
    }

    /// Modifies a server and updates the load of its service. Changes of a server's state, requests in flight and first use
    /// must use this method.
    pub(crate) fn update(&mut self, handle: ServerHandle, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(handle) else {
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
    pub fn start_request(&mut self, handle: ServerHandle) {
        self.update(handle, |server| {
            server.in_flight += 1;
            server.has_been_used = true;
        });
    }

    /// Records the outcome of a request that [`ServerTable::start_request`] recorded.
    pub fn finish_request(&mut self, handle: ServerHandle, outcome: RequestOutcome, now: Nanos) {
        self.update(handle, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
        });
        match outcome {
            RequestOutcome::Answered => self.update(handle, |server| {
                server.suspicion = None;
                server.full_until = 0;
                server.answered.add(1.0, now);
            }),
            RequestOutcome::Unreachable => self.suspect(handle, now),
            RequestOutcome::Failed
            | RequestOutcome::Declined
            | RequestOutcome::Misdirected
            | RequestOutcome::ConnectionLost
            | RequestOutcome::Withdrawn => {}
        }
    }

    /// Records that the server reported that it is full: it gets no requests until `full_until`.
    pub fn mark_full(&mut self, handle: ServerHandle, full_until: Nanos) {
        if let Some(server) = self.servers.get_mut(handle) {
            server.full_until = full_until;
        }
    }

    /// Records the version of a model that the server reported in a response.
    pub fn record_loaded_version(&mut self, handle: ServerHandle, model: &str, version: u64) {
        if let Some(server) = self.servers.get_mut(handle) {
            server.record_version(model, version);
        }
    }
}
