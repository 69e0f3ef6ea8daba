//! What happened, by one clock: each invocation's life from what clients and stand-ins saw, judged once
//! nothing more can come. No I/O here; records are handed in in any order.
pub mod audit;
pub mod figures;
pub mod slowest;

use crate::scenario::Scenario;
use crate::scenario::arrivals::operation_of;
use crate::scenario::schedule::Listed;
use crate::{MS, Nanos, SECOND};
use audit::{Audit, Verdict};
use figures::{Figures, Tally};
use slowest::Slowest;
use std::collections::{HashMap, VecDeque};

/// Where a forward went: a cache server's number, or this.
pub const ORIGIN: u32 = u32::MAX;

/// How an invocation ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// 200 with the body of this invocation.
    Succeeded,
    /// 200, with a body that is not of this invocation.
    Foreign,
    /// 429 or 503.
    Throttled,
    /// Another status.
    Errored,
    /// The connection ended with no whole answer.
    Closed,
    /// The client went away.
    Left,
    /// Nothing came, until long after the client timeout.
    TimedOut,
    /// No connection came up, so no node ever had it.
    Unconnected,
}

/// What a client saw of one try.
#[derive(Clone, Copy, Debug)]
pub struct ClientAttempt {
    /// Id of the attempt.
    pub id: u64,
    /// Index of its tenant.
    pub tenant: u8,
    /// Number of the node that it was sent to.
    pub node: u16,
    /// When the client's first try was due, and this one.
    pub first_scheduled_at: Nanos,
    /// When this attempt was due.
    pub scheduled_at: Nanos,
    /// When the lab dealt it out: later than due is the lab's own lateness.
    pub dispatched_at: Nanos,
    /// Its last byte was handed to the connection.
    pub written_at: Option<Nanos>,
    /// How it ended.
    pub outcome: ClientOutcome,
    /// When it ended.
    pub ended_at: Nanos,
    /// It may have been over for so long when the lab saw it.
    pub end_lag: Nanos,
}

/// What a stand-in did with a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// Answered with the value, or the effect is done.
    Done,
    /// An effect that it already had: the repeat was dropped.
    Repeat,
    /// The server does not store the value.
    Miss,
    /// Rejected before any of it ran.
    NotRun,
    /// An answer of status 5xx.
    Error,
    /// It broke the connection itself.
    Reset,
    /// The node closed before an answer.
    Withdrawn,
    /// Still out when the run ended.
    Open,
}

/// One forward, as its stand-in saw it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedForward {
    /// Id of the attempt that it belongs to.
    pub id: u64,
    /// Number of the cache server, or [`ORIGIN`].
    pub to: u32,
    /// When its first byte arrived.
    pub first_byte_at: Nanos,
    /// Its last byte came; none: it never came whole.
    pub complete_at: Option<Nanos>,
    /// When its stand-in read that byte: the system does not stamp the close of a connection, so another forward's
    /// withdrawal, which is seen as late as this, is compared with what was seen.
    pub read_at: Nanos,
    /// When it ended, as its stand-in saw it.
    pub ended_at: Nanos,
    /// It may have been there for so long when the lab saw it, and over for so long when that was seen.
    pub first_lag: Nanos,
    /// It may have ended so much earlier.
    pub end_lag: Nanos,
    /// How it ended.
    pub outcome: ForwardOutcome,
    /// An effect was carried out.
    pub ran: bool,
    /// The stand-in was cold.
    pub cold: bool,
    /// The node had gone away before the stand-in saw it, which then leaves it alone.
    pub withdrawn_unseen: bool,
}

impl ObservedForward {
    /// No earlier than this did it come, or end.
    pub fn earliest_first_byte_at(&self) -> Nanos {
        self.first_byte_at.saturating_sub(self.first_lag)
    }
    /// No earlier than this did it end.
    pub fn earliest_end_at(&self) -> Nanos {
        self.ended_at.saturating_sub(self.end_lag)
    }
    /// Its effect may have been carried out, as far as a node can know.
    pub fn may_have_run(&self) -> bool {
        self.complete_at.is_some()
            && !matches!(self.outcome, ForwardOutcome::NotRun | ForwardOutcome::Miss)
    }
}

/// One observation. `at` is the time since the run began.
#[derive(Clone, Copy, Debug)]
pub enum Record {
    /// An attempt of a client has ended.
    ClientAttempt(ClientAttempt),
    /// A forward has ended.
    ObservedForward(ObservedForward),
    /// Discovery came to know.
    Known {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Number of the cache server.
        cache: u32,
        /// Its state.
        listed: Listed,
    },
    /// Discovery has written it to the node.
    Notified {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Number of the node.
        node: u16,
        /// Number of the cache server.
        cache: u32,
        /// Its state.
        listed: Listed,
    },
    /// Discovery refuses calls from now on, or takes them again.
    DiscoveryAway {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Whether it refuses calls.
        away: bool,
    },
    /// A cache server was pushed over while cold.
    CacheFell {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Number of the cache server.
        cache: u32,
        /// Whether it was warming up.
        cold: bool,
    },
    /// The origin was overloaded and stopped.
    OriginStopped {
        /// When, in nanoseconds since the run began.
        at: Nanos,
    },
    /// The lab killed a node, or told it to stop.
    NodeDown {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Number of the node.
        node: u16,
        /// By SIGKILL.
        killed: bool,
    },
    /// A node ended that nobody had told to.
    NodeCrashed {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Number of the node.
        node: u16,
    },
    /// A node is ready again.
    NodeUp {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Number of the node.
        node: u16,
    },
    /// By the system's own account, a node that was ready to run waited for a processor for `waited` in this span.
    NodeStarved {
        /// Number of the node.
        node: u16,
        /// Beginning of the span.
        from: Nanos,
        /// End of the span.
        to: Nanos,
        /// Sum of the waits within it, in nanoseconds.
        waited: Nanos,
    },
    /// A cache server or the origin accepted a connection.
    Connected {
        /// When, in nanoseconds since the run began.
        at: Nanos,
    },
    /// Bytes came on a client's connection behind the answer of this invocation.
    ExtraBytes {
        /// When, in nanoseconds since the run began.
        at: Nanos,
        /// Id of the invocation.
        id: u64,
    },
    /// The last record of a run.
    EndOfRun,
}

#[derive(Default)]
pub(crate) struct Invocation {
    pub attempt: Option<ClientAttempt>,
    pub forwards: Vec<ObservedForward>,
}

/// Collects records by invocation and judges each invocation once nothing more can come for it.
pub struct InvocationLog {
    open_invocations: HashMap<u64, Invocation>,
    /// When a life may be judged, oldest first.
    due: VecDeque<(Nanos, u64)>,
    retention: Nanos,
    latest: Nanos,
    audit: Audit,
    figures: Figures,
    slowest: Slowest,
}

impl InvocationLog {
    /// An empty log for a scenario.
    pub fn new(s: &Scenario) -> InvocationLog {
        InvocationLog {
            open_invocations: HashMap::new(),
            due: VecDeque::new(),
            // A fetch may outlive its invocation by another client timeout.
            retention: 2 * s.max_client_timeout_ms() * MS + 5 * SECOND,
            latest: 0,
            audit: Audit::new(s),
            figures: Figures::new(s),
            slowest: Slowest::default(),
        }
    }

    /// Takes a record; judges the invocations that are complete by then.
    pub fn record(&mut self, record: Record) {
        match record {
            Record::ClientAttempt(asked) => {
                self.figures.asked(&asked, operation_of(asked.id));
                self.latest = self.latest.max(asked.ended_at);
                self.open_invocations.entry(asked.id).or_default().attempt = Some(asked);
                self.due
                    .push_back((asked.ended_at + self.retention, asked.id));
                while let Some((_, id)) = self.due.front().copied().filter(|d| d.0 < self.latest) {
                    self.due.pop_front();
                    if let Some(life) = self.open_invocations.remove(&id) {
                        self.audit.judge(id, &life);
                        self.slowest.add(id, &life);
                    }
                }
            }
            Record::ObservedForward(forward) => {
                self.figures.forwarded(&forward);
                self.audit.forwarded(&forward);
                self.open_invocations
                    .entry(forward.id)
                    .or_default()
                    .forwards
                    .push(forward);
            }
            Record::Connected { at } => self.figures.connected(at),
            other => self.audit.event(other),
        }
    }

    /// Lives not yet judged: bounded by the rate times `keep`.
    pub fn open_count(&self) -> usize {
        self.open_invocations.len()
    }

    /// Judges the remaining invocations and ends the log.
    pub fn finish(mut self) -> (Verdict, Tally) {
        let mut rest: Vec<(u64, Invocation)> = self.open_invocations.drain().collect();
        rest.sort_by_key(|(id, _)| *id);
        for (id, life) in &rest {
            self.audit.judge(*id, life);
            self.slowest.add(*id, life);
        }
        let mut tally = self.figures.tally();
        tally.slowest = self.slowest.lines();
        (self.audit.verdict(), tally)
    }
}
