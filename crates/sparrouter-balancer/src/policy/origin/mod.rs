//! Protection of the origin: a learned limit of fetches in flight, one fetch a key, a short queue.
//!
//! | module | its one job |
//! | --- | --- |
//! | `limit` | the limit, by the origin's outcomes |
//! | `queue` | who waits for the origin, and who waits for another's fetch |
mod limit;
mod queue;

use super::latency::LatencyEstimate;
use crate::types::{InvocationIndex, Nanos};
use std::collections::BTreeMap;

/// Fetches that all nodes together may have in flight before anything is known of the origin.
const INITIAL_LIMIT: f64 = 8.0;

/// An invocation that waits for the origin.
#[derive(Clone, Copy)]
pub struct QueuedFetch {
    /// Its value; the highest goes first.
    pub priority: f64,
    /// The invocation.
    pub invocation: InvocationIndex,
}

/// What is known of the origin, and who waits for it.
///
/// Invariants: `warm_up_in_flight <= in_flight`; no invocation in `queue` is over; each key in `fetches` has just one
/// invocation with `leads_fetch`.
#[derive(Default)]
pub struct OriginGuard {
    /// How many fetches this node may have in flight; below 1, one after another with pauses.
    pub limit: f64,
    /// What the limit may grow by: less with many nodes, which all grow at once.
    pub growth: f64,
    /// A fetch may take so long in any case, in nanoseconds: a third of the shortest latency target.
    pub tolerated_latency: f64,
    /// The limit never falls below this: all nodes together may have one fetch in flight in any case.
    pub min_limit: f64,
    /// When an outcome was last taken in.
    pub learnt_at: Nanos,
    /// When it last answered a fetch.
    pub last_answer_at: Nanos,
    /// How long fetches usually take.
    pub latency: LatencyEstimate,
    /// Forwards to the origin that have not ended.
    pub in_flight: usize,
    /// Those of them that follow a miss at a cache server that was warming up.
    pub warm_up_in_flight: usize,
    /// What a fetch takes while the origin is not crowded, in nanoseconds; 0 until the first answer.
    pub uncrowded_latency: f64,
    /// Slowly smoothed latency, in nanoseconds.
    pub slow_latency: f64,
    /// Quickly smoothed latency, in nanoseconds.
    pub fast_latency: f64,
    /// Failures since it last answered.
    pub consecutive_failures: u32,
    /// Nothing goes there before this moment.
    pub paused_until: Nanos,
    /// Who waits for the origin.
    pub queue: Vec<QueuedFetch>,
    /// Keys that this node fetches, and who waits for each.
    pub fetches: BTreeMap<u64, Vec<InvocationIndex>>,
}

impl OriginGuard {
    /// The guard of a node that has this fraction of all nodes' fetches. `shortest_target`: the shortest latency target,
    /// in nanoseconds.
    pub fn new(node_fraction: f64, shortest_target: Nanos) -> OriginGuard {
        OriginGuard {
            limit: (INITIAL_LIMIT * node_fraction).max(1.0),
            min_limit: node_fraction.min(1.0),
            growth: (4.0 * node_fraction).min(1.0),
            tolerated_latency: shortest_target as f64 / 3.0,
            ..OriginGuard::default()
        }
    }

    /// Takes over the constants of a guard for other settings; `ratio`: old number of nodes over the new one.
    pub fn apply_settings(&mut self, new: &OriginGuard, ratio: f64) {
        self.limit = (self.limit * ratio).max(1.0);
        self.min_limit = new.min_limit;
        self.growth = new.growth;
        self.tolerated_latency = new.tolerated_latency;
    }

    /// Whether a fetch may leave now.
    pub fn has_capacity(&self, now: Nanos) -> bool {
        now >= self.paused_until && (self.in_flight as f64) < self.limit.max(1.0)
    }

    /// How long an invocation of this priority waits, in nanoseconds: behind those of as much priority or more.
    pub fn queueing_time(&self, priority: f64) -> f64 {
        let ahead = self.queue.iter().filter(|q| q.priority >= priority).count();
        (ahead as f64 + 1.0) * self.fast_latency / self.limit
    }

    /// Removes and gives the first of the queue: the highest priority, the eldest among equals.
    pub fn pop(&mut self) -> Option<InvocationIndex> {
        let queue = &self.queue;
        let best = (0..queue.len()).min_by(|&a, &b| {
            let highest_first = queue[b].priority.total_cmp(&queue[a].priority);
            highest_first.then(a.cmp(&b))
        })?;
        Some(self.queue.remove(best).invocation)
    }
}
