//! One server's membership record, this node's requests in flight there, and the outcomes of requests.
use crate::suspicion::Suspicion;
use crate::{DecayingCount, Nanos};
use sparrouter_membership::{LifecycleState, ServerRecord};
use std::net::SocketAddr;

/// Identifies a server in the server table. After the server is removed, its handle identifies no server, also where
/// another one is stored in its place: a request may keep the handle while it waits.
pub type ServerHandle = slotmap::DefaultKey;

/// How a request that was sent to a server ended, with regard to the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered with a status that is not a failure of the server.
    Answered,
    /// The server answered with a failure of its own.
    Failed,
    /// The server rejected the request because it is full or draining.
    Declined,
    /// Another server has the address, or the server runs another version.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the response was malformed.
    ConnectionLost,
    /// The client disconnected or its deadline passed; the server's health is unknown.
    Withdrawn,
}

/// A server, as this node sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Instance id of the server.
    pub id: String,
    /// Name of the server's service.
    pub service: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Name of the server's zone.
    pub zone: String,
    /// Number of requests that the server processes at the same time, 1 or more.
    pub slot_count: u32,
    /// Hash of the instance id.
    pub(crate) hash: u64,
    /// Lifecycle state; never returns to an earlier state in the order of [`LifecycleState`].
    pub(crate) state: LifecycleState,
    pub(crate) is_unresponsive: bool,
    /// Whether the server is loading new weights, or is about to: it gets no new requests.
    pub(crate) is_loading: bool,
    /// Whether the server will load new weights soon; long generations would delay the loading.
    pub(crate) will_load_soon: bool,
    /// The models that the server runs, each once, with the highest version reported so far.
    pub(crate) models: Vec<(String, u64)>,
    /// Call sequence of the latest heartbeat included in `models`; responses to requests may have reported newer versions.
    pub(crate) models_call_sequence: u64,
    /// This node's requests in flight at the server.
    pub(crate) in_flight: u32,
    /// Whether this node has sent a request to the server. An unused server is assumed to have the mean number in flight.
    pub(crate) has_been_used: bool,
    pub(crate) suspicion: Option<Suspicion>,
    /// The server reported that it is full, and gets no requests until this time.
    pub(crate) full_until: Nanos,
    /// Decayed count of this node's requests that the server answered.
    pub(crate) answered: DecayingCount,
    /// The server is an outlier, and other servers are preferred until this time.
    pub(crate) ejected_until: Nanos,
}

impl Server {
    pub(crate) fn new(record: &ServerRecord, address: SocketAddr) -> Server {
        Server {
            id: record.id.clone(),
            service: record.service.clone(),
            address,
            zone: record.zone.clone(),
            slot_count: record.slot_count.max(1),
            hash: sparrouter_rendezvous::hash(record.id.as_bytes()),
            state: record.state,
            is_unresponsive: record.unresponsive,
            is_loading: false,
            will_load_soon: false,
            models: record
                .models
                .iter()
                .map(|model| (model.name.clone(), model.version))
                .collect(),
            models_call_sequence: record.call_sequence,
            in_flight: 0,
            has_been_used: false,
            suspicion: None,
            full_until: 0,
            answered: DecayingCount::default(),
            ejected_until: 0,
        }
    }

    /// Hash of the server's instance id.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether the server is ready, draining or has left, by its own heartbeats.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// This node's requests in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether this node has sent a request to the server.
    pub fn has_been_used(&self) -> bool {
        self.has_been_used
    }

    /// Whether this node could not connect to the server, and no health check has connected since.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether the server's heartbeats have stopped.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Whether the server will load new weights soon.
    pub fn will_load_soon(&self) -> bool {
        self.will_load_soon
    }

    /// Decayed count of this node's requests that the server answered; see [`DecayingCount`].
    pub fn recent_answers(&self, now: Nanos) -> f64 {
        self.answered.value(now)
    }

    /// Whether the server is an outlier: it fails requests that other servers answer.
    pub fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }

    /// Whether the server is loading new weights, or is about to.
    pub fn is_loading(&self) -> bool {
        self.is_loading
    }

    /// The version of a model that the server runs, if reported.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let (_, version) = self.models.iter().find(|(name, _)| name == model)?;
        Some(*version)
    }

    /// The models that the server runs, with their versions.
    pub fn models(&self) -> &[(String, u64)] {
        &self.models
    }

    /// Records the version of a model that the server runs. A process never loads an older version, so the highest version
    /// is kept.
    pub(crate) fn record_version(&mut self, model: &str, version: u64) {
        match self.models.iter_mut().find(|(name, _)| name == model) {
            Some((_, highest)) => *highest = version.max(*highest),
            None => self.models.push((model.to_owned(), version)),
        }
    }
}
