//! Counts, rates and latencies of a run, by time.
use super::{ClientAttempt, ClientOutcome, ForwardOutcome, ORIGIN, ObservedForward};
use crate::scenario::Scenario;
use crate::scenario::arrivals::root;
use crate::{MS, Nanos, SECOND};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pieces that a run's time is cut into, at the most.
const MAX_SLICES: u64 = 240;
/// Longest latency told apart, in µs.
const LONGEST: u64 = 120_000_000;

/// Invocations by their outcome.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// All of them.
    pub asked: u64,
    /// Answered within the latency target.
    pub in_objective: u64,
    /// Answered later than the latency target.
    pub past_objective: u64,
    /// Rejected: 429 or 503.
    pub throttled: u64,
    /// Answered with another status.
    pub errored: u64,
    /// Closed without an answer, silent, or never connected.
    pub unanswered: u64,
    /// Left by their client first.
    pub left: u64,
}

/// Latencies in ms, from when an invocation was due to the end of its answer.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

/// One piece of the run's time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TimeSlice {
    /// Its beginning, in seconds from the first arrival.
    pub at_s: f64,
    /// Invocations that were due in it.
    pub counts: Counts,
    /// Their latencies.
    pub latency_ms: Quantiles,
    /// Forwards to the origin.
    pub fetches: u64,
    /// Connections that servers accepted.
    pub connected: u64,
    /// Forwards by cache server.
    pub forwards: BTreeMap<u32, u64>,
}

/// The figures of a whole run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Counted by first tries; a retry that is in time makes its first try good.
    pub total: Counts,
    /// By the operation's name.
    pub by_operation: BTreeMap<String, Counts>,
    /// By the tenant's name.
    pub by_tenant: BTreeMap<String, Counts>,
    /// Billed value answered within the objective, over that asked for.
    pub value: f64,
    /// Latencies of all answers.
    pub latency_ms: Quantiles,
    /// Forwards to cache servers and the origin.
    pub forwards: u64,
    /// Those of them to the origin.
    pub fetches: u64,
    /// Connections that servers accepted.
    pub connected: u64,
    /// Forwards by their outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Length of a slice, in seconds.
    pub piece_s: f64,
    /// The run in slices of time.
    pub pieces: Vec<TimeSlice>,
    /// The lab's own lateness.
    pub late_ms: Quantiles,
    /// The lateness (p99) past which the run is not valid.
    pub late_bound_ms: f64,
    /// The lives of the slowest, one a line.
    #[serde(default)]
    pub slowest: Vec<String>,
}

impl Tally {
    /// The lab dealt arrivals out in time, so that latencies speak of the node.
    pub fn valid(&self) -> bool {
        self.late_ms.p99 <= self.late_bound_ms
    }
    /// Part of the invocations that were answered within the latency objective.
    pub fn good(&self) -> f64 {
        self.total.in_objective as f64 / self.total.asked.max(1) as f64
    }
}

struct SliceFigures {
    piece: TimeSlice,
    latency: Histogram<u64>,
}

/// Collects the figures of a run as records come.
pub struct Figures {
    objectives: Vec<Nanos>,
    values: Vec<f64>,
    operations: Vec<String>,
    tenants: Vec<String>,
    tally: Tally,
    piece: Nanos,
    slices: BTreeMap<u64, SliceFigures>,
    latency: Histogram<u64>,
    late: Histogram<u64>,
    asked_value: f64,
    good_value: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 2).expect("these bounds are allowed")
}

fn quantiles(h: &Histogram<u64>) -> Quantiles {
    if h.is_empty() {
        return Quantiles::default();
    }
    let at = |q| h.value_at_quantile(q) as f64 / 1e3;
    Quantiles {
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        max: h.max() as f64 / 1e3,
    }
}

impl Figures {
    /// Empty figures for a scenario's operations and tenants.
    pub fn new(s: &Scenario) -> Figures {
        let piece = (s.length_s / MAX_SLICES as f64).max(0.25);
        Figures {
            objectives: s.operation.iter().map(|o| o.objective_ms * MS).collect(),
            values: s.operation.iter().map(|o| o.billed_value).collect(),
            operations: s.operation.iter().map(|o| o.name.clone()).collect(),
            tenants: s.tenant.iter().map(|t| t.name.clone()).collect(),
            tally: Tally {
                seconds: s.length_s,
                piece_s: piece,
                late_bound_ms: s.load.late_ms,
                ..Tally::default()
            },
            piece: (piece * 1e9) as Nanos,
            slices: BTreeMap::new(),
            latency: histogram(),
            late: histogram(),
            asked_value: 0.0,
            good_value: 0.0,
        }
    }

    fn slice(&mut self, at: Nanos) -> &mut SliceFigures {
        let n = at / self.piece;
        let at_s = (n * self.piece) as f64 / SECOND as f64;
        let fresh = || SliceFigures {
            piece: TimeSlice {
                at_s,
                ..TimeSlice::default()
            },
            latency: histogram(),
        };
        self.slices.entry(n).or_insert_with(fresh)
    }

    /// Counts a client's attempt.
    pub fn asked(&mut self, a: &ClientAttempt, operation: u8) {
        let op = usize::from(operation).min(self.objectives.len() - 1);
        let first = a.id == root(a.id);
        let took = a.ended_at.saturating_sub(a.first_scheduled_at);
        let good = a.outcome == ClientOutcome::Succeeded && took <= self.objectives[op];
        let us = (took / 1000).clamp(1, LONGEST);
        if first {
            self.late.saturating_record(
                (a.dispatched_at.saturating_sub(a.scheduled_at) / 1000).clamp(1, LONGEST),
            );
            self.asked_value += self.values[op];
        }
        if good {
            self.good_value += self.values[op];
        }
        if a.outcome == ClientOutcome::Succeeded {
            self.latency.saturating_record(us);
        }
        let count = |c: &mut Counts| {
            c.asked += u64::from(first);
            match a.outcome {
                ClientOutcome::Succeeded if good => c.in_objective += 1,
                ClientOutcome::Succeeded => c.past_objective += 1,
                ClientOutcome::Throttled => c.throttled += 1,
                ClientOutcome::Errored | ClientOutcome::Foreign => c.errored += 1,
                ClientOutcome::Closed | ClientOutcome::TimedOut | ClientOutcome::Unconnected => {
                    c.unanswered += 1
                }
                ClientOutcome::Left => c.left += 1,
            }
        };
        count(&mut self.tally.total);
        count(
            self.tally
                .by_operation
                .entry(self.operations[op].clone())
                .or_default(),
        );
        let tenant = usize::from(a.tenant).min(self.tenants.len() - 1);
        count(
            self.tally
                .by_tenant
                .entry(self.tenants[tenant].clone())
                .or_default(),
        );
        let slice = self.slice(a.first_scheduled_at);
        count(&mut slice.piece.counts);
        if a.outcome == ClientOutcome::Succeeded {
            slice.latency.saturating_record(us);
        }
    }

    /// Counts a forward.
    pub fn forwarded(&mut self, f: &ObservedForward) {
        let how = match f.outcome {
            ForwardOutcome::Done => "done",
            ForwardOutcome::Repeat => "repeat",
            ForwardOutcome::Miss => "miss",
            ForwardOutcome::NotRun => "not run",
            ForwardOutcome::Error => "error",
            ForwardOutcome::Reset => "reset",
            ForwardOutcome::Withdrawn => "withdrawn",
            ForwardOutcome::Open => "open",
        };
        match self.tally.outcomes.get_mut(how) {
            Some(count) => *count += 1,
            None => drop(self.tally.outcomes.insert(how.into(), 1)),
        }
        let slice = self.slice(f.first_byte_at);
        if f.to == ORIGIN {
            slice.piece.fetches += 1;
            self.tally.fetches += 1;
        } else {
            *slice.piece.forwards.entry(f.to).or_default() += 1;
            self.tally.forwards += 1;
        }
    }

    /// Counts a connection to a cache server or the origin.
    pub fn connected(&mut self, at: Nanos) {
        self.tally.connected += 1;
        self.slice(at).piece.connected += 1;
    }

    /// Ends the collection.
    pub fn tally(mut self) -> Tally {
        self.tally.value = self.good_value / self.asked_value.max(1e-9);
        self.tally.latency_ms = quantiles(&self.latency);
        self.tally.late_ms = quantiles(&self.late);
        let piece = |s: SliceFigures| TimeSlice {
            latency_ms: quantiles(&s.latency),
            ..s.piece
        };
        self.tally.pieces = self.slices.into_values().map(piece).collect();
        self.tally
    }
}
