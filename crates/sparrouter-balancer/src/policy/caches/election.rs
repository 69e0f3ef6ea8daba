//! The order of cache servers for a key: rendezvous hashing with weights, and the bound on the load of each.
use super::CacheSet;
use crate::types::{CacheIndex, Nanos};

/// The lowest bound of forwards in flight; see docs/design.md.
const MIN_LOAD_BOUND: f64 = 2.0;

impl CacheSet {
    /// All ready cache servers, the highest score first. The fraction of the keys that one wins is its weight's fraction of
    /// the sum; one that warms up weighs as much as its capacity, alike at every node. `peers`: how many peers report.
    pub fn rank(&self, key: u64, peers: usize, now: Nanos) -> Vec<CacheIndex> {
        let prior = 1.0 / (1.0 + peers as f64);
        let score = |&index: &CacheIndex| {
            let cache = self.get(index);
            let capacity = self.capacity_fraction(index, now);
            let weight = cache.weight * capacity * cache.health_factor(prior, now);
            let score = sparrouter_rendezvous::score(cache.id_hash, key, weight);
            (score, index)
        };
        let mut scored: Vec<_> = self.ready.iter().map(score).collect();
        scored.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        scored.into_iter().map(|(_, index)| index).collect()
    }

    /// Bounded load: a cache server with more forwards of this node in flight than this is skipped. Twice the mean over
    /// those that were used.
    pub fn load_bound(&self) -> f64 {
        let ready = self.ready.iter().map(|&c| self.get(c));
        let mut in_flight = 0;
        let mut used = 0;
        for cache in ready.filter(|c| c.is_used) {
            in_flight += cache.in_flight;
            used += 1;
        }
        (2.0 * f64::from(in_flight) / f64::from(used.max(1))).max(MIN_LOAD_BOUND)
    }

    /// Whether no ready cache server has a forward of this node in flight.
    pub fn are_all_idle(&self) -> bool {
        let mut ready = self.ready.iter();
        ready.all(|&c| self.get(c).in_flight == 0)
    }
}
