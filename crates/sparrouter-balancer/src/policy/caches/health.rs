//! Outcomes aggregated over all cache servers, and the exchange of long-term outcomes with peers.
use super::CacheSet;
use super::cache::{Cache, LONG_TERM_HALF_LIFE_SECONDS, OUTCOME_GAIN, OutcomeSums};
use crate::gossip::CacheRow;
use crate::policy::fading::decay_factor;
use crate::types::{CacheIndex, Nanos};

/// Factor by which evidence ages faster in the mean over all cache servers than in the state of one.
const STALENESS: Nanos = 6;

impl CacheSet {
    /// Mean badness of the ready cache servers, from 0 to 1.
    ///
    /// Each server counts once regardless of its number of forwards, because a few overloaded servers are no overload
    /// of the whole deployment. A server's weight decreases with the age of its latest evidence, and a server without
    /// evidence counts as neither good nor bad: in a large deployment most servers have not answered this node
    /// recently, and old evidence from many servers would outweigh all more recent successes.
    pub fn mean_badness(&self, now: Nanos) -> f64 {
        let with_evidence = |c: &&Cache| c.suspicion.is_none() && c.recent.total > 0.0;
        let all = self.ready.iter().map(|&c| self.get(c));
        let mut sums = OutcomeSums::default();
        for cache in all.filter(with_evidence) {
            let age = now - cache.outcomes_at;
            let weight = (cache.recent.total * decay_factor(STALENESS * age)).min(OUTCOME_GAIN);
            sums.bad += weight * cache.recent.bad / cache.recent.total;
            sums.total += weight;
        }
        sums.bad / (sums.total + OUTCOME_GAIN)
    }

    /// Returns rows for the `max_rows` cache servers with the worst long-term outcomes, to send to `peers` peers.
    /// Push-sum (Kempe, Dobra, Gehrke 2003): each peer gets an equal part of the sums, and this node keeps one part.
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
        let decay = decay_factor(age / LONG_TERM_HALF_LIFE_SECONDS);
        cache.long_term.bad = cache.long_term.bad * decay + row.bad.min(row.total);
        cache.long_term.total = cache.long_term.total * decay + row.total;
        let decay = decay_factor(age);
        cache.recent.bad *= decay;
        cache.recent.total *= decay;
        cache.outcomes_at = now;
    }
}
