//! Protection of the origin: an adaptive limit of fetches in flight, one fetch per key, and a short queue.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `limit` | the adaptive limit, from the outcomes of forwards to the origin |
//! | `queue` | invocations that wait for the origin or for another invocation's fetch |
mod limit;
mod queue;

use super::latency::LatencyEstimate;
use crate::types::{InvocationIndex, Nanos};
use std::collections::BTreeMap;

/// Initial limit of fetches in flight, over all nodes.
const INITIAL_LIMIT: f64 = 8.0;

/// An invocation that waits for the origin.
#[derive(Clone, Copy)]
pub struct QueuedFetch {
    /// Priority of the invocation; the highest is forwarded first.
    pub priority: f64,
    /// Index of the invocation.
    pub invocation: InvocationIndex,
}

/// State of the origin, and the invocations that wait for it.
///
/// Invariants: `warm_up_in_flight <= in_flight`; no invocation in `queue` is completed; each key in `fetches` has
/// exactly one invocation with `leads_fetch`.
#[derive(Default)]
pub struct OriginGuard {
    /// Limit of this node's fetches in flight; below 1, fetches are sent one after another with pauses.
    pub limit: f64,
    /// Maximum increase of the limit per step; lower with many nodes, which all increase their limits at the same
    /// time.
    pub growth: f64,
    /// Latency of a fetch that is always tolerated, in nanoseconds: a third of the shortest latency target.
    pub tolerated_latency: f64,
    /// Lower bound of the limit: all nodes together may always have one fetch in flight.
    pub min_limit: f64,
    /// When an outcome was last recorded.
    pub learnt_at: Nanos,
    /// When the origin last answered a fetch.
    pub last_answer_at: Nanos,
    /// Latency estimate of fetches.
    pub latency: LatencyEstimate,
    /// Number of forwards to the origin that are in flight.
    pub in_flight: usize,
    /// Number of forwards in flight that follow a miss at a cache server that was warming up.
    pub warm_up_in_flight: usize,
    /// Estimated latency of a fetch without congestion, in nanoseconds; 0 until the first answer.
    pub uncongested_latency: f64,
    /// Latency smoothed with a long time constant, in nanoseconds.
    pub slow_latency: f64,
    /// Latency smoothed with a short time constant, in nanoseconds.
    pub fast_latency: f64,
    /// Number of failures since the last answer.
    pub consecutive_failures: u32,
    /// Time before which nothing is sent to the origin.
    pub paused_until: Nanos,
    /// Invocations that wait for the origin.
    pub queue: Vec<QueuedFetch>,
    /// Invocations that wait for a fetch of this node, by the hash of the fetched key.
    pub fetches: BTreeMap<u64, Vec<InvocationIndex>>,
}

impl OriginGuard {
    /// Creates the guard of a node that sends the fraction `node_fraction` of all nodes' fetches. `shortest_target`
    /// is the shortest latency target, in nanoseconds.
    pub fn new(node_fraction: f64, shortest_target: Nanos) -> OriginGuard {
        OriginGuard {
            limit: (INITIAL_LIMIT * node_fraction).max(1.0),
            min_limit: node_fraction.min(1.0),
            growth: (4.0 * node_fraction).min(1.0),
            tolerated_latency: shortest_target as f64 / 3.0,
            ..OriginGuard::default()
        }
    }

    /// Takes over the constants of `new`, a guard for changed settings; `ratio` is the old number of nodes divided by
    /// the new one.
    pub fn apply_settings(&mut self, new: &OriginGuard, ratio: f64) {
        self.limit = (self.limit * ratio).max(1.0);
        self.min_limit = new.min_limit;
        self.growth = new.growth;
        self.tolerated_latency = new.tolerated_latency;
    }

    /// Whether a fetch may be sent now.
    pub fn has_capacity(&self, now: Nanos) -> bool {
        now >= self.paused_until && (self.in_flight as f64) < self.limit.max(1.0)
    }

    /// Expected time in the queue of an invocation of this priority, in nanoseconds: behind all of the same or a
    /// higher priority.
    pub fn queueing_time(&self, priority: f64) -> f64 {
        let ahead = self.queue.iter().filter(|q| q.priority >= priority).count();
        (ahead as f64 + 1.0) * self.fast_latency / self.limit
    }

    /// Removes and returns the first of the queue: the highest priority, and the oldest among equal priorities.
    pub fn pop(&mut self) -> Option<InvocationIndex> {
        let queue = &self.queue;
        let best = (0..queue.len()).min_by(|&a, &b| {
            let highest_first = queue[b].priority.total_cmp(&queue[a].priority);
            highest_first.then(a.cmp(&b))
        })?;
        Some(self.queue.remove(best).invocation)
    }
}
