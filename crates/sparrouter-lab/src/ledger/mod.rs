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
pub enum End {
    Succeeded,
    /// 200, with a body that is not of this invocation.
    Foreign,
    Throttled,
    Errored,
    /// The connection ended with no whole answer.
    Closed,
    /// The client went away.
    Left,
    /// Nothing came, until long after the client timeout.
    Silent,
    /// No connection came up, so no node ever had it.
    Unconnected,
}

/// What a client saw of one try.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub id: u64,
    pub tenant: u8,
    pub node: u16,
    /// When the client's first try was due, and this one.
    pub first_due: Nanos,
    pub due: Nanos,
    /// When the lab dealt it out: later than due is the lab's own lateness.
    pub dealt: Nanos,
    /// Its last byte was handed to the connection.
    pub written: Option<Nanos>,
    pub end: End,
    pub ended: Nanos,
    /// It may have been over for so long when the lab saw it.
    pub end_lag: Nanos,
}

/// What a stand-in did with a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Answered with the value, or the effect is done.
    Done,
    /// An effect that it already had: the repeat was dropped.
    Repeat,
    Miss,
    /// Turned away unseen.
    NotRun,
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
pub struct Forwarded {
    pub id: u64,
    pub to: u32,
    pub first: Nanos,
    /// Its last byte came; none: it never came whole.
    pub whole: Option<Nanos>,
    pub ended: Nanos,
    /// It may have been there for so long when the lab saw it, and over for so long when that was seen.
    pub first_lag: Nanos,
    pub end_lag: Nanos,
    pub how: How,
    /// An effect was carried out.
    pub ran: bool,
    /// The stand-in was cold.
    pub cold: bool,
    /// The node had gone away before the stand-in saw it, which then leaves it alone.
    pub unseen: bool,
}

impl Forwarded {
    /// No earlier than this did it come, or end.
    pub fn first_since(&self) -> Nanos {
        self.first.saturating_sub(self.first_lag)
    }
    pub fn ended_since(&self) -> Nanos {
        self.ended.saturating_sub(self.end_lag)
    }
    pub fn may_have_run(&self) -> bool {
        self.whole.is_some() && !matches!(self.how, How::NotRun | How::Miss)
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Record {
    Asked(Asked),
    Forwarded(Forwarded),
    /// Discovery came to know.
    Known {
        at: Nanos,
        cache: u32,
        listed: Listed,
    },
    /// Discovery has written it to the node.
    Told {
        at: Nanos,
        node: u16,
        cache: u32,
        listed: Listed,
    },
    /// Discovery refuses calls from now on, or takes them again.
    Away {
        at: Nanos,
        away: bool,
    },
    /// A cache server was pushed over while cold.
    Fell {
        at: Nanos,
        cache: u32,
        cold: bool,
    },
    OriginStopped {
        at: Nanos,
    },
    /// The lab killed a node, or told it to stop.
    NodeDown {
        at: Nanos,
        node: u16,
        killed: bool,
    },
    /// A node ended that nobody had told to.
    NodeCrashed {
        at: Nanos,
        node: u16,
    },
    NodeUp {
        at: Nanos,
        node: u16,
    },
    Connected {
        at: Nanos,
    },
    /// Bytes came on a client's connection behind the answer of this invocation.
    More {
        at: Nanos,
        id: u64,
    },
    /// Nothing more will be told.
    Over,
}

#[derive(Default)]
pub(crate) struct Life {
    pub asked: Option<Asked>,
    pub forwards: Vec<Forwarded>,
}

pub struct Ledger {
    lives: HashMap<u64, Life>,
    /// When a life may be judged, oldest first.
    due: VecDeque<(Nanos, u64)>,
    keep: Nanos,
    latest: Nanos,
    audit: Audit,
    figures: Figures,
    slowest: Slowest,
}

impl Ledger {
    pub fn new(s: &Scenario) -> Ledger {
        Ledger {
            lives: HashMap::new(),
            due: VecDeque::new(),
            // A fetch may outlive its invocation by another client timeout.
            keep: 2 * s.longest_ms() * MS + 5 * SECOND,
            latest: 0,
            audit: Audit::new(s),
            figures: Figures::new(s),
            slowest: Slowest::default(),
        }
    }

    pub fn take(&mut self, record: Record) {
        match record {
            Record::Asked(asked) => {
                self.figures.asked(&asked, operation_of(asked.id));
                self.latest = self.latest.max(asked.ended);
                self.lives.entry(asked.id).or_default().asked = Some(asked);
                self.due.push_back((asked.ended + self.keep, asked.id));
                while let Some((_, id)) = self.due.front().copied().filter(|d| d.0 < self.latest) {
                    self.due.pop_front();
                    if let Some(life) = self.lives.remove(&id) {
                        self.audit.judge(id, &life);
                        self.slowest.see(id, &life);
                    }
                }
            }
            Record::Forwarded(forward) => {
                self.figures.forwarded(&forward);
                self.audit.forwarded(&forward);
                self.lives
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
    pub fn open(&self) -> usize {
        self.lives.len()
    }

    pub fn finish(mut self) -> (Verdict, Tally) {
        let mut rest: Vec<(u64, Life)> = self.lives.drain().collect();
        rest.sort_by_key(|(id, _)| *id);
        for (id, life) in &rest {
            self.audit.judge(*id, life);
            self.slowest.see(*id, life);
        }
        let mut tally = self.figures.tally();
        tally.slowest = self.slowest.lines();
        (self.audit.verdict(), tally)
    }
}
