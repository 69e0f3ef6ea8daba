//! Starts, updates and ends the actors of cache servers and the origin according to the endpoint list.
use super::DecisionActor;
use crate::protocol::endpoint_list::Target;
use crate::routing::peer::PeerHandle;
use sparrouter_balancer::types::{CacheIndex, Event, LifecycleState, ListKind};
use sparrouter_settings::ListEntry;
use std::collections::HashSet;
use std::net::SocketAddr;

/// A cache server or the origin, from its first listing until it has left and its last forward has ended.
pub struct Server {
    pub peer: PeerHandle,
    endpoint: SocketAddr,
    /// Number of forwards that the actor has accepted and whose end it has not reported.
    pub forwards_out: usize,
    /// Whether the server has left permanently. Never set together with `is_missing`.
    pub has_left: bool,
    /// Whether the server is listed as draining, which is binding even if removal from the list is only advisory.
    is_draining: bool,
    /// Whether the server is removed from a list whose removals are advisory: the policy may still send to it.
    is_missing: bool,
}

impl DecisionActor {
    /// Applies a full list or changes to it, and reports them to the policy.
    pub(super) fn apply_list(&mut self, kind: ListKind, targets: &[Target]) {
        if kind != ListKind::Changes {
            self.remove_unlisted(targets);
        }
        let mut records = Vec::with_capacity(targets.len());
        for target in targets {
            if target.state == "terminated" && self.names.cache(&target.uid).is_none() {
                continue;
            }
            let entry = ListEntry {
                id: &target.uid,
                state: &target.state,
                zone: &target.az,
                kind: &target.model,
                cell: target.pod_group,
                weight: target.capacity_hint,
                ready_at: target.boot_ms.saturating_mul(1_000_000),
            };
            match self.names.record(&entry) {
                Ok(record) => {
                    self.set_state(record.cache, target.endpoint, record.state);
                    if self.origin_kind == Some(record.kind) {
                        self.origins.insert(record.cache);
                    }
                    records.push(record);
                }
                Err(error) => log::warn!("list: {} passed over: {error}", target.uid),
            }
        }
        if !records.is_empty() {
            log::info!("list: {kind:?}, {} entries", records.len());
        }
        self.handle_event(Event::Listed { kind, records });
        self.release_departed();
    }

    /// Applies `LifecycleState::Left` to all servers that the full list does not contain.
    fn remove_unlisted(&mut self, targets: &[Target]) {
        let listed: HashSet<CacheIndex> = targets
            .iter()
            .filter_map(|t| self.names.cache(&t.uid))
            .collect();
        for cache in 0..self.servers.len() {
            if let Some(endpoint) = self.servers[cache].as_ref().map(|s| s.endpoint)
                && !listed.contains(&cache)
            {
                self.set_state(cache, endpoint, LifecycleState::Left);
            }
        }
    }

    /// Applies the listed state of a cache server.
    fn set_state(&mut self, cache: CacheIndex, endpoint: SocketAddr, state: LifecycleState) {
        if self.servers.len() <= cache {
            self.servers.resize_with(cache + 1, || None);
        }
        let is_in_use = self.servers[cache]
            .as_ref()
            .is_some_and(|s| !s.is_draining && !s.has_left);
        let is_missing =
            self.policy.removal_is_advisory() && state == LifecycleState::Left && is_in_use;
        self.update_server(cache, endpoint, state, is_missing);
    }

    /// Starts the server's actor if necessary, updates its state, and ends it if it is no longer needed.
    fn update_server(
        &mut self,
        cache: CacheIndex,
        endpoint: SocketAddr,
        state: LifecycleState,
        is_missing: bool,
    ) {
        let has_left = state == LifecycleState::Left && !is_missing;
        if has_left {
            let now = self.clock.now();
            self.left_at.entry(cache).or_insert(now);
            if self.servers[cache].is_none() {
                return;
            }
        } else {
            self.left_at.remove(&cache);
        }
        let start_peer = &self.start_peer;
        let server = self.servers[cache].get_or_insert_with(|| Server {
            peer: start_peer(cache, endpoint),
            endpoint,
            forwards_out: 0,
            has_left,
            is_draining: false,
            is_missing,
        });
        server.endpoint = endpoint;
        server.has_left = has_left;
        server.is_missing = is_missing;
        server.is_draining = state == LifecycleState::Draining;
        let accepts_forwards = is_missing || state == LifecycleState::Ready;
        server.peer.update(endpoint, accepts_forwards);
        if server.has_left && server.forwards_out == 0 {
            self.servers[cache] = None;
        }
    }

    /// Ends the actors of servers that the policy has dropped. Releases the names of servers that left more than twice
    /// the longest invocation time ago, since nothing can refer to them.
    pub(super) fn release_departed(&mut self) {
        for cache in 0..self.servers.len() {
            let server = self.servers[cache].as_ref().filter(|s| s.is_missing);
            let endpoint = server.map(|s| s.endpoint);
            if let Some(endpoint) = endpoint.filter(|_| !self.policy.may_receive_forwards(cache)) {
                self.update_server(cache, endpoint, LifecycleState::Left, false);
            }
        }
        let retention = 2 * self.timeouts.iter().max().copied().unwrap_or_default();
        let now = self.clock.now();
        let (names, servers, origins) = (&mut self.names, &self.servers, &mut self.origins);
        let count = self.left_at.len();
        self.left_at.retain(|&cache, left_at| {
            let is_over = *left_at + retention < now && servers[cache].is_none();
            if is_over {
                names.release(cache);
                origins.remove(&cache);
            }
            !is_over
        });
        let released = count - self.left_at.len();
        if released > 0 {
            log::info!("list: {released} names of gone cache servers let go");
        }
    }
}
