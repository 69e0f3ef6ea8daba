//! Records of a run: requests and responses of the simulated clients, executions at the simulated servers, and operations
//! of the operator. The audit reads them.
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// The kind of a request: whether it is idempotent, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once; its response has a fixed length.
    Idempotent,
    /// It may run at most once; its response has a fixed length.
    NonIdempotent,
    /// It may run at most once; its response is a stream.
    Streaming,
    /// It may run more than once; its response is a stream that another server may resume.
    Resumable,
}

impl RequestKind {
    /// Returns whether the request may run at a second server.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Resumable)
    }
    /// Returns whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Streaming | RequestKind::Resumable)
    }
}

/// An attempt of a client to send a request. Each attempt has a unique id.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
    /// Index of the node that received the request.
    pub node: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// The response; `None` until the attempt has ended.
    pub response: Option<Response>,
}

/// The response that a client received, possibly incomplete.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Time at which the attempt ended.
    pub ended_at: Option<Instant>,
    /// HTTP status; 0 if no response head was received.
    pub status: u16,
    /// Seal of the run that produced the response.
    pub seal: String,
    /// Attempt id in the response's header.
    pub id: String,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the whole body was received, according to its HTTP framing.
    pub is_complete: bool,
    /// Whether the client stopped waiting for the response.
    pub abandoned: bool,
    /// The parse error if the received bytes are not a valid HTTP response.
    pub malformed: Option<String>,
}

/// An execution of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the attempt.
    pub id: String,
    /// Instance id of the server.
    pub instance: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
    /// Time at which the execution began.
    pub began_at: Instant,
    /// Version of the model's weights used.
    pub version: u64,
    /// The last event before the part of the stream that this run produces; 0 if it starts at the beginning.
    pub resumed: u64,
}

/// A version of the configuration. Version `n` adds the route `extra-n` and removes the route of version `n - 1`.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Number of the version.
    pub number: u64,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time at which the fleet acknowledged it; `None` if it has not.
    pub acknowledged: Option<Instant>,
}

/// A request to a server to load new model weights.
#[derive(Clone, Debug)]
pub struct Order {
    /// Instance id of the server.
    pub instance: String,
    /// Id of the lease holder that sent the order.
    pub lease_holder: String,
    /// Fencing token of the holder's lease.
    pub fencing_token: u64,
    /// Version of the weights to load.
    pub version: u64,
    /// Whether the order made the server load the version.
    pub loads: bool,
}

/// All records of one run of the lab.
#[derive(Default)]
pub struct Ledger {
    /// Attempts of clients by attempt id.
    pub attempts: RefCell<HashMap<String, Attempt>>,
    /// Executions at servers, in order of their start.
    pub runs: RefCell<Vec<Run>>,
    /// Orders to servers, in order of arrival.
    pub orders: RefCell<Vec<Order>>,
    /// Time at which the fleet acknowledged that a server drains, by instance id.
    pub drains: RefCell<HashMap<String, Instant>>,
    /// Instance ids of crashed servers.
    pub crashed: RefCell<HashSet<String>>,
    /// Versions of the configuration that the operator has sent.
    pub versions: RefCell<Vec<Version>>,
    /// Versions of the weights set by the operator, with the time at which the fleet acknowledged each.
    pub named: RefCell<Vec<(u64, Instant)>>,
    /// Rule violations detected during the run.
    pub violations: RefCell<Vec<String>>,
}

impl Ledger {
    /// Records an execution and returns its number, which the response contains.
    pub fn record_run(&self, run: Run) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        runs.len() - 1
    }

    /// Records that the operator sent a version of the configuration.
    pub fn record_sent_version(&self, number: u64) {
        let sent = Instant::now();
        self.versions.borrow_mut().push(Version {
            number,
            sent,
            acknowledged: None,
        });
    }

    /// Records that the fleet acknowledged a version of the configuration.
    ///
    /// # Panics
    ///
    /// If the version was not recorded as sent.
    pub fn record_acknowledged_version(&self, number: u64) {
        let mut versions = self.versions.borrow_mut();
        let version = versions.iter_mut().find(|v| v.number == number);
        version
            .expect("the version is recorded as sent")
            .acknowledged = Some(Instant::now());
    }

    /// Returns the configuration version with a number, if it was sent.
    pub fn version(&self, number: u64) -> Option<Version> {
        self.versions
            .borrow()
            .iter()
            .find(|v| v.number == number)
            .copied()
    }

    /// Records a rule violation.
    pub fn record_violation(&self, violation: impl Into<String>) {
        self.violations.borrow_mut().push(violation.into());
    }
}

/// Returns the text of one event in the stream that a run produces.
pub fn event_of(run: usize, event: u64) -> String {
    format!("id: {event}\ndata: run {run} event {event}\n\n")
}

/// Returns the response body of a run that does not produce a stream.
pub fn body_of(run: usize) -> String {
    format!("{{\"run\":{run}}}")
}

/// Returns the seal of a run, which identifies the run in a response header.
pub fn seal_of(run: usize) -> String {
    format!("{run:04x}.lab")
}
