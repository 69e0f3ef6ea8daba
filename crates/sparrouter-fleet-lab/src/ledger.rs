//! What was asked, what ran, what came back, and when which trouble was: written by stand-ins, read by the audit.
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    NonIdempotent,
    Streaming,
    Resumable,
}

impl Kind {
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }
    pub fn streams(self) -> bool {
        matches!(self, Kind::Streaming | Kind::Resumable)
    }
}

/// One try of a client, under an id of its own.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub kind: Kind,
    pub path: String,
    pub body: String,
    pub node: usize,
    pub sent: Instant,
    pub ended: Option<Ended>,
}

/// What came on the client's connection.
#[derive(Clone, Debug, Default)]
pub struct Ended {
    pub at: Option<Instant>,
    /// 0: none.
    pub status: u16,
    pub seal: String,
    pub id: String,
    pub body: String,
    /// The end came as the protocol has it.
    pub whole: bool,
    /// The client gave up on it.
    pub abandoned: bool,
    /// Bytes that are no answer.
    pub bad: Option<String>,
}

/// A server began to work on a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub path: String,
    pub body: String,
    pub at: Instant,
    pub version: u64,
    /// The event that it goes on from.
    pub resumed: u64,
}

/// A version of the configuration. Version `n` brings the route `extra-n` and takes the one before away.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    pub number: u64,
    pub sent: Instant,
    pub acknowledged: Option<Instant>,
}

/// An order to a server.
#[derive(Clone, Debug)]
pub struct Order {
    pub instance: String,
    pub holder: String,
    pub fence: u64,
    pub version: u64,
    pub loads: bool,
}

#[derive(Default)]
pub struct Ledger {
    pub attempts: RefCell<HashMap<String, Attempt>>,
    pub runs: RefCell<Vec<Run>>,
    pub orders: RefCell<Vec<Order>>,
    /// When draining was acknowledged, by instance.
    pub drains: RefCell<HashMap<String, Instant>>,
    pub crashed: RefCell<HashSet<String>>,
    pub versions: RefCell<Vec<Version>>,
    /// Versions of weights, and when each was acknowledged.
    pub named: RefCell<Vec<(u64, Instant)>>,
    /// Whatever else went wrong.
    pub breaches: RefCell<Vec<String>>,
}

impl Ledger {
    /// The run's number, which its answer names.
    pub fn ran(&self, run: Run) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        runs.len() - 1
    }

    /// A version of the configuration leaves the operator.
    pub fn sends(&self, number: u64) {
        let sent = Instant::now();
        self.versions.borrow_mut().push(Version {
            number,
            sent,
            acknowledged: None,
        });
    }

    pub fn acknowledged(&self, number: u64) {
        let mut versions = self.versions.borrow_mut();
        let known = versions.iter_mut().find(|v| v.number == number);
        known.expect("it was sent").acknowledged = Some(Instant::now());
    }

    pub fn version(&self, number: u64) -> Option<Version> {
        self.versions
            .borrow()
            .iter()
            .find(|v| v.number == number)
            .copied()
    }

    pub fn breach(&self, what: impl Into<String>) {
        self.breaches.borrow_mut().push(what.into());
    }
}

/// One event of a run, and the whole body of one that is no stream.
pub fn event_of(run: usize, event: u64) -> String {
    format!("id: {event}\ndata: run {run} event {event}\n\n")
}

pub fn body_of(run: usize) -> String {
    format!("{{\"run\":{run}}}")
}

pub fn seal_of(run: usize) -> String {
    format!("{run:04x}.hay")
}
