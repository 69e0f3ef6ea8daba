//! The endpoint set: the cache servers known to this node, and the state that it keeps of each.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `cache` | one cache server: its list entry, its outcomes, its limit of forwards in flight |
//! | `health` | outcomes over all cache servers, and outcomes that peers report |
//! | `suspicion` | failure detection and recovery of a cache server |
//! | `warm_up` | capacity and budget of a cache server that has just started |
//! | `election` | the ranking of cache servers for a key |
mod cache;
mod election;
mod health;
mod suspicion;
mod warm_up;

pub use cache::{Cache, REJECTION_BADNESS, Suspicion};
pub use suspicion::{FailureEvidence, SIGNIFICANCE_LEVEL};

use crate::types::{CacheIndex, CacheRecord, Environment, LifecycleState, ListKind, Nanos, Rules};
use warm_up::AnswerRate;

/// The endpoint set.
///
/// Invariant: `ready` and `origin` contain exactly the listed servers that are ready, in order of their index;
/// `origin` is the first server of the origin's kind, `ready` contains the servers of all other kinds.
#[derive(Default)]
pub struct CacheSet {
    caches: Vec<Option<Cache>>,
    /// Cache servers that may receive forwards, in order of their index.
    pub ready: Vec<CacheIndex>,
    /// The origin; `None` if no ready origin is listed.
    pub origin: Option<CacheIndex>,
    /// Parameters of the safety rules.
    pub rules: Rules,
    /// Kind of the origin; `None` if the cache servers fetch by themselves.
    pub origin_kind: Option<usize>,
    /// Whether listed weights follow the current load, in which case they are ignored.
    live_weights: bool,
    /// Initial delay before a suspected cache server is checked again, in nanoseconds: the shortest latency target.
    pub first_check_delay: Nanos,
    /// Draws the initial phase of warm-up budgets.
    rng: fastrand::Rng,
    /// Rate of answers per unit of weight, from which warm-up budgets are computed.
    pub answer_rate: AnswerRate,
    /// Fraction of the recent forwards that ended with evidence of a failure.
    failure_fraction: f64,
    /// Number of times that a cache server became suspected, since the start of the node.
    pub suspicions: u64,
    /// Number of forwards to cache servers that were warming up, since the start of the node.
    pub warm_up_forwards: u64,
}

impl CacheSet {
    /// Creates an empty set. `shortest_target` is the shortest latency target, in nanoseconds.
    pub fn new(
        environment: &Environment,
        rules: Rules,
        origin_kind: Option<usize>,
        shortest_target: Nanos,
    ) -> CacheSet {
        CacheSet {
            origin_kind,
            live_weights: environment.live_weights,
            first_check_delay: shortest_target,
            rules,
            // The seed differs from the policy's, so that the two random sequences differ.
            rng: fastrand::Rng::with_seed(environment.seed ^ 1),
            ..CacheSet::default()
        }
    }

    /// State of a cache server that was listed before.
    ///
    /// # Panics
    ///
    /// If the cache server was never listed.
    pub fn get(&self, cache: CacheIndex) -> &Cache {
        self.caches[cache].as_ref().expect("listed cache")
    }

    /// State of a cache server that was listed before.
    ///
    /// # Panics
    ///
    /// If the cache server was never listed.
    pub fn get_mut(&mut self, cache: CacheIndex) -> &mut Cache {
        self.find_mut(cache).expect("listed cache")
    }

    /// State of a cache server; `None` if it was never listed.
    pub fn find(&self, cache: CacheIndex) -> Option<&Cache> {
        self.caches.get(cache).and_then(|c| c.as_ref())
    }

    /// State of a cache server; `None` if it was never listed.
    pub fn find_mut(&mut self, cache: CacheIndex) -> Option<&mut Cache> {
        self.caches.get_mut(cache).and_then(|c| c.as_mut())
    }

    /// Whether the server is of the origin's kind.
    pub fn is_origin(&self, cache: CacheIndex) -> bool {
        self.origin_kind == Some(self.get(cache).kind)
    }

    /// Whether the server may receive forwards; with advisory removal this includes servers that are no longer
    /// listed.
    pub fn is_ready(&self, cache: CacheIndex) -> bool {
        self.find(cache)
            .is_some_and(|c| c.state == LifecycleState::Ready)
    }

    /// Applies a complete list of cache servers, or changes to it.
    pub fn apply_list(&mut self, kind: ListKind, records: &[CacheRecord], now: Nanos) {
        let is_advisory = self.rules.removal_is_advisory;
        // Answers so far came from the old members.
        self.update_answer_rate(now);
        if kind != ListKind::Changes {
            for cache in self.caches.iter_mut().flatten() {
                cache.set_listed_state(LifecycleState::Left, is_advisory);
            }
        }
        for record in records {
            self.apply_record(record, now);
        }
        self.update_members();
    }

    fn apply_record(&mut self, record: &CacheRecord, now: Nanos) {
        let index = record.cache;
        if self.caches.len() <= index {
            self.caches.resize_with(index + 1, || None);
        }
        // The index may have belonged to another server that was removed long ago.
        let known = self.caches[index].take();
        let known = known.filter(|c| c.id_hash == record.id_hash);
        let cache = known.unwrap_or_else(|| Cache::new(record, now));
        let cache = self.caches[index].insert(cache);
        if record.ready_at > cache.ready_at {
            // After a restart under the same id, evidence against the old process no longer applies.
            cache.suspicion = None;
            cache.consecutive_failures = 0;
            cache.is_unreachable = false;
            cache.start_warm_up(record.ready_at, now, self.rng.f64());
        }
        cache.set_listed_state(record.state, self.rules.removal_is_advisory);
        cache.weight = if self.live_weights || record.weight <= 0.0 {
            1.0
        } else {
            record.weight
        };
        cache.zone = record.zone;
        cache.cell = record.cell;
    }

    fn update_members(&mut self) {
        let all_ready = (0..self.caches.len()).filter(|&c| self.is_ready(c));
        let (origins, ready): (Vec<_>, _) = all_ready.partition(|&c| self.is_origin(c));
        self.origin = origins.first().copied();
        self.ready = ready;
    }
}
