//! What clients sent, what servers ran and what came back: recorded by the stand-ins, read by the audit.
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// Whether a request may be repeated, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once.
    NonIdempotent,
    /// It may run once; its answer is a stream.
    Streaming,
    /// Its answer is a stream that another server may continue.
    Resumable,
}

impl RequestKind {
    /// Whether it may run at a second server.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Resumable)
    }
    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Streaming | RequestKind::Resumable)
    }
}

/// One attempt of a client, under an id of its own.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Whether it may be repeated.
    pub kind: RequestKind,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: String,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent: Instant,
    /// What came back; `None` until it has ended.
    pub response: Option<Response>,
}

/// What came back on the client's connection.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// When it ended.
    pub ended_at: Option<Instant>,
    /// HTTP status; 0: none came.
    pub status: u16,
    /// Seal of the run that made it.
    pub seal: String,
    /// Id of the attempt that it answers.
    pub id: String,
    /// The body, as far as it came.
    pub body: String,
    /// The body ended as its framing says.
    pub is_complete: bool,
    /// The client stopped waiting.
    pub abandoned: bool,
    /// What was wrong with bytes that are no HTTP answer.
    pub malformed: Option<String>,
}

/// A server began to work on a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the attempt.
    pub id: String,
    /// Id of the server.
    pub instance: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
    /// When it began.
    pub began_at: Instant,
    /// Version of the weights that it ran on.
    pub version: u64,
    /// The event after which it continues a stream; 0: from the beginning.
    pub resumed: u64,
}

/// A version of the configuration. Version `n` adds the route `extra-n` and removes the one before.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When it was acknowledged.
    pub acknowledged: Option<Instant>,
}

/// An order to a server to load new weights.
#[derive(Clone, Debug)]
pub struct Order {
    /// Id of the server.
    pub instance: String,
    /// The node that sent it.
    pub lease_holder: String,
    /// Fencing token of that node's lease.
    pub fencing_token: u64,
    /// Version of the weights.
    pub version: u64,
    /// The server had to load it.
    pub loads: bool,
}

/// All records of a run of the lab.
#[derive(Default)]
pub struct Ledger {
    /// Attempts of clients, by id.
    pub attempts: RefCell<HashMap<String, Attempt>>,
    /// Runs at servers, in order.
    pub runs: RefCell<Vec<Run>>,
    /// Orders to servers, in order.
    pub orders: RefCell<Vec<Order>>,
    /// When draining was acknowledged, by server.
    pub drains: RefCell<HashMap<String, Instant>>,
    /// Servers that crashed.
    pub crashed: RefCell<HashSet<String>>,
    /// Versions of the configuration.
    pub versions: RefCell<Vec<Version>>,
    /// Versions of weights, and when each was acknowledged.
    pub named: RefCell<Vec<(u64, Instant)>>,
    /// Violations of rules that were noticed during the run.
    pub violations: RefCell<Vec<String>>,
}

impl Ledger {
    /// Records a run; gives its number, which its answer contains.
    pub fn record_run(&self, run: Run) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        runs.len() - 1
    }

    /// Records that the operator sends a version of the configuration.
    pub fn record_sent_version(&self, number: u64) {
        let sent = Instant::now();
        self.versions.borrow_mut().push(Version {
            number,
            sent,
            acknowledged: None,
        });
    }

    /// Records that a version was acknowledged.
    ///
    /// # Panics
    ///
    /// If it was not recorded as sent.
    pub fn record_acknowledged_version(&self, number: u64) {
        let mut versions = self.versions.borrow_mut();
        let known = versions.iter_mut().find(|v| v.number == number);
        known.expect("it was sent").acknowledged = Some(Instant::now());
    }

    /// A version of the configuration, by its number.
    pub fn version(&self, number: u64) -> Option<Version> {
        self.versions
            .borrow()
            .iter()
            .find(|v| v.number == number)
            .copied()
    }

    /// Records a violation of a rule.
    pub fn record_violation(&self, what: impl Into<String>) {
        self.violations.borrow_mut().push(what.into());
    }
}

/// One event of a run whose answer is a stream.
pub fn event_of(run: usize, event: u64) -> String {
    format!("id: {event}\ndata: run {run} event {event}\n\n")
}

/// The answer's body of a run that is no stream.
pub fn body_of(run: usize) -> String {
    format!("{{\"run\":{run}}}")
}

/// The seal of a run.
pub fn seal_of(run: usize) -> String {
    format!("{run:04x}.lab")
}
