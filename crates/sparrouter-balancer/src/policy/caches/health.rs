//! Outcomes over all cache servers, and the exchange of long-term outcomes with peers.
use super::CacheSet;
use super::cache::{Cache, LONG_TERM_HALVING_SECONDS, OUTCOME_GAIN, OutcomeSums};
use crate::gossip::CacheRow;
use crate::policy::fading::fade;
use crate::types::{CacheIndex, Nanos};

/// Evidence of the badness of all cache servers grows stale so much faster than that of one.
const STALENESS: Nanos = 6;

impl CacheSet {
    /// Mean badness of the ready cache servers, from 0 to 1.
    ///
    /// Each counts once however much it gets, since a few crowded ones are no overload of all. Each counts by how fresh the
    /// latest evidence is, and one without evidence counts as neither good nor bad: in a large deployment most have not
    /// answered this node just now, and old evidence of many would outweigh all that has gone well since.
    pub fn mean_badness(&self, now: Nanos) -> f64 {
        let with_evidence = |c: &&Cache| c.suspicion.is_none() && c.recent.total > 0.0;
        let all = self.ready.iter().map(|&c| self.get(c));
        let mut sums = OutcomeSums::default();
        for cache in all.filter(with_evidence) {
            let age = now - cache.outcomes_at;
            let weight = (cache.recent.total * fade(STALENESS * age)).min(OUTCOME_GAIN);
            sums.bad += weight * cache.recent.bad / cache.recent.total;
            sums.total += weight;
        }
        sums.bad / (sums.total + OUTCOME_GAIN)
    }

    /// The `max_rows` worst cache servers by long-term outcomes, for `peers` peers. Push-sum (Kempe, Dobra, Gehrke 2003):
    /// each peer gets an equal part of the sums, and this node keeps one.
    pub fn split_outcomes(&mut self, peers: usize, max_rows: usize) -> Vec<CacheRow> {
        let fraction = 1.0 / (1 + peers) as f64;
        let badness = |c: CacheIndex| self.get(c).long_term.bad;
        let mut worst: Vec<CacheIndex> = self.ready.clone();
        worst.retain(|&c| badness(c) > 0.0);
        worst.sort_by(|&a, &b| badness(b).total_cmp(&badness(a)));
        worst.truncate(max_rows);
        let mut rows = Vec::with_capacity(worst.len());
        for index in worst {
            let cache = self.get_mut(index);
            cache.long_term.bad *= fraction;
            cache.long_term.total *= fraction;
            rows.push(CacheRow {
                id_hash: cache.id_hash as u32,
                bad: cache.long_term.bad,
                total: cache.long_term.total,
            });
        }
        rows
    }

    /// Adds a peer's part of the long-term outcomes of one cache server.
    pub fn merge_outcomes(&mut self, row: CacheRow, now: Nanos) {
        let mut known = self.caches.iter_mut().flatten();
        let Some(cache) = known.find(|c| c.id_hash as u32 == row.id_hash) else {
            return;
        };
        let age = now - cache.outcomes_at;
        let left = fade(age / LONG_TERM_HALVING_SECONDS);
        cache.long_term.bad = cache.long_term.bad * left + row.bad.min(row.total);
        cache.long_term.total = cache.long_term.total * left + row.total;
        let left = fade(age);
        cache.recent.bad *= left;
        cache.recent.total *= left;
        cache.outcomes_at = now;
    }
}
