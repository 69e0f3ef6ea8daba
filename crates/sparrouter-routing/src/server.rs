//! One record a server: what was told of it, what this node has in flight there, and what its own sends showed.
use crate::Nanos;
use sparrouter_membership::{ServerRow, Standing};
use std::net::SocketAddr;

pub type ServerIx = usize;

/// How a send ended, as far as the server's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It answered in the protocol, whatever it answered.
    Answered,
    /// It declined: full, or on its way out.
    Declined,
    /// Another server, or another version, has the address.
    Misdirected,
    /// No connection came up.
    Unreachable,
    /// The connection broke, or what came was no answer.
    Broke,
    /// The client left, or its time was over: says nothing of the server.
    Withdrawn,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slot_count: u32,
    pub(crate) hash: u64,
    pub(crate) standing: Standing,
    pub(crate) silent: bool,
    /// It is taking new weights, or is about to: nothing new to it.
    pub(crate) loading: bool,
    /// It will take new weights soon: long generations would hold it up.
    pub(crate) soon: bool,
    /// Model and version that it runs, as last heard of.
    pub(crate) models: Vec<(String, u64)>,
    /// The call sequence at which `models` was told: an answer read later may know better.
    pub(crate) told_at: u64,
    pub(crate) in_flight: u32,
    pub(crate) tokens: u64,
    /// Something was sent there; until then it counts at the mean of the others.
    pub(crate) used: bool,
    pub(crate) suspect: Option<Suspicion>,
    /// Full until then, by its own word and what it holds.
    pub(crate) full_until: Nanos,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) load_at: Nanos,
}

/// Own sends could not reach it; a probe that comes through ends this.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    pub next_probe: Nanos,
    pub wait: Nanos,
}

impl Server {
    pub(crate) fn new(row: &ServerRow, address: SocketAddr) -> Server {
        Server {
            id: row.id.clone(),
            service: row.service.clone(),
            address,
            zone: row.zone.clone(),
            slot_count: row.slot_count.max(1),
            hash: sparrouter_rendezvous::hash(row.id.as_bytes()),
            standing: row.standing,
            silent: row.silent,
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
        }
    }

    /// Of its id.
    pub fn hash(&self) -> u64 {
        self.hash
    }
    pub fn standing(&self) -> Standing {
        self.standing
    }
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
    /// Whether this node ever sent something there.
    pub fn used(&self) -> bool {
        self.used
    }
    pub fn suspected(&self) -> bool {
        self.suspect.is_some()
    }
    pub fn silent(&self) -> bool {
        self.silent
    }
    pub fn soon(&self) -> bool {
        self.soon
    }
    pub fn loading(&self) -> bool {
        self.loading
    }
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|m| m.0 == model).map(|m| m.1)
    }
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
