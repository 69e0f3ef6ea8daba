//! What is known of one server: its row, this node's requests in flight there, and how they ended.
use crate::{DecayingCount, Nanos};
use sparrouter_membership::{LifecycleState, ServerRecord};
use std::net::SocketAddr;

/// Index of a server in the server table. It is reused once the server is removed.
pub type ServerIndex = usize;

/// How a request sent to a server ended, as far as the server's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It answered, with whatever status but a failure of its own.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It declined: it is full or draining.
    Declined,
    /// Another server has the address, or it runs another version.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the answer was malformed.
    Broke,
    /// The client left or its deadline passed, which says nothing of the server.
    Withdrawn,
}

/// A server, as one node knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its instance id.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: String,
    /// Requests that it works on at a time, 1 or more.
    pub slot_count: u32,
    pub(crate) hash: u64,
    pub(crate) standing: LifecycleState,
    pub(crate) silent: bool,
    /// It is loading new weights, or will at once: it gets no new requests.
    pub(crate) loading: bool,
    /// It will load new weights soon, which long generations would delay.
    pub(crate) soon: bool,
    /// The models that it runs, with the version last reported.
    pub(crate) models: Vec<(String, u64)>,
    /// The call sequence of the heartbeat that `models` is from; answers read later may be newer.
    pub(crate) told_at: u64,
    pub(crate) in_flight: u32,
    pub(crate) tokens: u64,
    /// A request was sent there. Until then it counts as having the mean number in flight.
    pub(crate) used: bool,
    pub(crate) suspect: Option<Suspicion>,
    /// It reported that it is full, until then.
    pub(crate) full_until: Nanos,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) load_at: Nanos,
    /// Requests of this node that it answered lately.
    pub(crate) answered: DecayingCount,
    /// It fails requests that others would serve: others come first until then.
    pub(crate) avoided_until: Nanos,
}

/// A server that this node could not connect to, until a probe connects.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// When the next probe is due.
    pub next_probe: Nanos,
    /// The wait before that probe.
    pub wait: Nanos,
}

impl Server {
    pub(crate) fn new(row: &ServerRecord, address: SocketAddr) -> Server {
        Server {
            id: row.id.clone(),
            service: row.service.clone(),
            address,
            zone: row.zone.clone(),
            slot_count: row.slot_count.max(1),
            hash: sparrouter_rendezvous::hash(row.id.as_bytes()),
            standing: row.state,
            silent: row.unresponsive,
            loading: false,
            soon: false,
            models: row
                .models
                .iter()
                .map(|m| (m.name.clone(), m.version))
                .collect(),
            told_at: row.call_sequence,
            in_flight: 0,
            tokens: 0,
            used: false,
            suspect: None,
            full_until: 0,
            running: 0,
            waiting: 0,
            load_at: 0,
            answered: DecayingCount::default(),
            avoided_until: 0,
        }
    }

    /// Hash of its instance id.
    pub fn hash(&self) -> u64 {
        self.hash
    }
    /// Whether it takes requests, by its own heartbeats.
    pub fn state(&self) -> LifecycleState {
        self.standing
    }
    /// This node's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
    /// Whether this node ever sent something there.
    pub fn has_been_used(&self) -> bool {
        self.used
    }
    /// Whether own requests could not reach it, or could not until lately.
    pub fn is_suspected(&self) -> bool {
        self.suspect.is_some()
    }
    /// Its heartbeats stopped.
    pub fn is_unresponsive(&self) -> bool {
        self.silent
    }
    /// It will load new weights soon.
    pub fn will_load_soon(&self) -> bool {
        self.soon
    }
    /// Requests of this node that it answered lately.
    pub fn recent_answers(&self, now: Nanos) -> f64 {
        self.answered.value(now)
    }
    /// It fails requests that others would serve.
    pub fn is_ejected(&self, now: Nanos) -> bool {
        self.avoided_until > now
    }
    /// It is loading new weights, or will at once.
    pub fn is_loading(&self) -> bool {
        self.loading
    }
    /// The version that it runs of a model, if it reported one.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|m| m.0 == model).map(|m| m.1)
    }
    /// The models that it runs, with their versions.
    pub fn models(&self) -> &[(String, u64)] {
        &self.models
    }

    /// Takes in which version of a model it runs; a server never goes back in one life.
    pub(crate) fn runs(&mut self, model: &str, version: u64) {
        match self.models.iter_mut().find(|known| known.0 == model) {
            Some(known) => known.1 = known.1.max(version),
            None => self.models.push((model.to_owned(), version)),
        }
    }
}
