//! The cache servers that this node knows: the endpoint set and what was learnt of each.
//!
//! | module | its one job |
//! | --- | --- |
//! | `cache` | one cache server: its entry, its outcomes, its limit of forwards in flight |
//! | `health` | outcomes over all cache servers, and those that peers report |
//! | `suspicion` | evidence that one cannot be reached, and the way back |
//! | `warm_up` | capacity and budget of one that has just started |
//! | `election` | the order of cache servers for a key |
mod cache;
mod election;
mod health;
mod suspicion;
mod warm_up;

pub use cache::{Cache, FULL_BADNESS, Suspicion};
pub use suspicion::{FailureEvidence, RARE};

use crate::types::{CacheIndex, CacheRecord, Environment, LifecycleState, ListKind, Nanos, Rules};
use warm_up::AnswerRate;

/// The endpoint set.
///
/// Invariant: `ready` and `origin` name the listed servers that are ready, in order of their index; `origin` is the first
/// of the origin's kind, `ready` has all of other kinds.
#[derive(Default)]
pub struct CacheSet {
    caches: Vec<Option<Cache>>,
    /// The members of the election.
    pub ready: Vec<CacheIndex>,
    /// The origin, if one is listed and ready.
    pub origin: Option<CacheIndex>,
    /// The figures of the safety rules.
    pub rules: Rules,
    /// The kind of the origin, if the node itself fetches from it.
    pub origin_kind: Option<usize>,
    /// Listed weights follow the load of the moment and are not used.
    live_weights: bool,
    /// First wait before a suspected cache server is checked again: the shortest latency target.
    pub first_check_delay: Nanos,
    /// Draws the phase of warm-up budgets.
    rng: fastrand::Rng,
    /// What a unit of weight answers this node; the warm-up budgets follow from it.
    pub answer_rate: AnswerRate,
    /// Fraction of the recent forwards that ended as evidence of a failure.
    failure_fraction: f64,
    /// How often a cache server came under suspicion, since the start.
    pub suspicions: u64,
    /// Forwards to cache servers that were warming up, since the start.
    pub warm_up_forwards: u64,
}

impl CacheSet {
    /// The set of a node that knows no cache server yet. `shortest_target`: the shortest latency target, in nanoseconds.
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
            // Another sequence than that of the node's other draws.
            rng: fastrand::Rng::with_seed(environment.seed ^ 1),
            ..CacheSet::default()
        }
    }

    /// A cache server that was listed.
    ///
    /// # Panics
    ///
    /// If it never was.
    pub fn get(&self, cache: CacheIndex) -> &Cache {
        self.caches[cache].as_ref().expect("listed cache")
    }

    /// A cache server that was listed.
    ///
    /// # Panics
    ///
    /// If it never was.
    pub fn get_mut(&mut self, cache: CacheIndex) -> &mut Cache {
        self.find_mut(cache).expect("listed cache")
    }

    /// A cache server, if it was ever listed.
    pub fn find(&self, cache: CacheIndex) -> Option<&Cache> {
        self.caches.get(cache).and_then(|c| c.as_ref())
    }

    /// A cache server, if it was ever listed.
    pub fn find_mut(&mut self, cache: CacheIndex) -> Option<&mut Cache> {
        self.caches.get_mut(cache).and_then(|c| c.as_mut())
    }

    /// Whether it is of the origin's kind.
    pub fn is_origin(&self, cache: CacheIndex) -> bool {
        self.origin_kind == Some(self.get(cache).kind)
    }

    /// Whether it may be sent to, whatever the list says.
    pub fn is_ready(&self, cache: CacheIndex) -> bool {
        self.find(cache)
            .is_some_and(|c| c.state == LifecycleState::Ready)
    }

    /// Applies a list of cache servers, or changes of it.
    pub fn apply_list(&mut self, kind: ListKind, records: &[CacheRecord], now: Nanos) {
        let is_advisory = self.rules.removal_is_advisory;
        // What was answered so far was answered by the old members.
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
        // The index may have been another's, which was removed long ago.
        let known = self.caches[index].take();
        let known = known.filter(|c| c.id_hash == record.id_hash);
        let cache = known.unwrap_or_else(|| Cache::new(record, now));
        let cache = self.caches[index].insert(cache);
        if record.ready_at > cache.ready_at {
            // A restart under the same id: evidence against the old process is void.
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
