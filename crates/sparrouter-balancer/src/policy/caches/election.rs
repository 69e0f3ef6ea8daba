//! Ranking of cache servers for a key by weighted rendezvous hashing, and the bound on the load of each server.
use super::CacheSet;
use crate::types::{CacheIndex, Nanos};

/// Lower limit of the load bound, in forwards in flight; see docs/design.md.
const MIN_LOAD_BOUND: f64 = 2.0;

impl CacheSet {
    /// Returns all ready cache servers, highest score first. Each server wins a fraction of the keys equal to its
    /// share of the total weight. While a server warms up, its weight is reduced to its current capacity, identically
    /// at every node. `peers` is the number of peers that report.
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

    /// Bounded load: a cache server with more of this node's forwards in flight than this is skipped. The bound is
    /// twice the mean over the cache servers that received a forward before.
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
