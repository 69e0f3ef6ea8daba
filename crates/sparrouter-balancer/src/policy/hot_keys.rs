//! Detection of hot keys, and of keys whose invocations fail at every cache server.
//!
//! Invariant: immediately after the counts were scaled, each key has at least a thousandth of all arrivals, or 0.1 of
//! an arrival if that is less. Keys with fewer arrivals are removed, so that the table stays small.
use super::fading::decay_factor;
use crate::gossip::KeyRow;
use crate::types::{Nanos, SECOND};
use std::collections::HashMap;

/// Added to the total arrivals, so that the first arrivals of a key don't make it look hot.
const PRIOR_ARRIVALS: f64 = 12.0;
/// A hot key is spread over this multiple of its proportional share of the cache servers.
const SPREAD_GAIN: f64 = 6.0;
/// Counts are halved after this number of arrivals per cache server.
const ARRIVALS_PER_CACHE: f64 = 32.0;
/// Counts are halved after this time at the latest.
const MAX_HALVING_INTERVAL: Nanos = 24 * SECOND;
/// Half-life of a key's failures, in seconds.
const FAILURE_HALF_LIFE_SECONDS: Nanos = 4;
/// A key with fewer arrivals is removed. The value is low because small fractions from many peers add up.
const MIN_ARRIVALS: f64 = 0.1;

/// Statistics of one key.
#[derive(Clone, Copy, Default)]
pub struct KeyStats {
    /// Number of recent arrivals.
    pub arrivals: f64,
    /// Sum over the key's forwards of the fraction of the latency target that each took, at most 1 each.
    slowness: f64,
    /// Invocations that failed at every cache server since the last success of an invocation with this key, decayed
    /// until `failed_at`.
    failures: f64,
    failed_at: Nanos,
}

impl KeyStats {
    fn decayed_failures(&self, now: Nanos) -> f64 {
        self.failures * decay_factor(now.saturating_sub(self.failed_at) / FAILURE_HALF_LIFE_SECONDS)
    }

    /// Counts an invocation that failed at every cache server.
    pub fn record_failure(&mut self, now: Nanos) {
        self.failures = self.decayed_failures(now) + 1.0;
        self.failed_at = now;
    }

    /// Resets the failures, because an invocation succeeded or missed.
    pub fn clear_failures(&mut self) {
        self.failures = 0.0;
    }

    /// Probability with which an invocation is admitted. One failure doesn't lower it, since two cache servers may
    /// fail by chance; after that fewer and fewer invocations are admitted, and those detect the end of the failures.
    /// Guards against keys with a large fraction of the traffic that overload the few cache servers responsible for
    /// them.
    pub fn admission_chance(&self, now: Nanos) -> f64 {
        1.0 / self.decayed_failures(now).max(1.0)
    }
}

/// Arrivals by key. With gossip from peers, the fractions of the total approach those of the whole deployment.
#[derive(Default)]
pub struct KeyCounts {
    /// Statistics by the upper half of the key's hash.
    counts: HashMap<u32, KeyStats>,
    /// Arrivals of all keys.
    pub total: f64,
    halved_at: Nanos,
}

fn short_hash(key: u64) -> u32 {
    (key >> 32) as u32
}

impl KeyCounts {
    fn scale(&mut self, fraction: f64) {
        for stats in self.counts.values_mut() {
            stats.arrivals *= fraction;
            stats.slowness *= fraction;
        }
        self.total *= fraction;
        let min_arrivals = (self.total / 1000.0).min(MIN_ARRIVALS);
        self.counts.retain(|_, s| s.arrivals >= min_arrivals);
    }

    /// Counts an arrival at a node with `caches` ready cache servers. The counts are halved after a number of
    /// arrivals, or after a period if arrivals are rare.
    pub fn record_arrival(&mut self, key: u64, caches: usize, now: Nanos) {
        let max_total = ARRIVALS_PER_CACHE * caches.max(1) as f64;
        let stats = self.counts.entry(short_hash(key)).or_default();
        stats.arrivals += 1.0;
        self.total += 1.0;
        if self.total >= max_total || now > self.halved_at + MAX_HALVING_INTERVAL {
            self.scale(0.5);
            self.halved_at = now;
        }
    }

    /// Statistics of a key; `None` if the key has no recent arrivals.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut KeyStats> {
        self.counts.get_mut(&short_hash(key))
    }

    /// Records the fraction of its latency target that a forward of the key took.
    pub fn record_latency(&mut self, key: u64, target_fraction: f64) {
        if let Some(stats) = self.get_mut(key) {
            stats.slowness += target_fraction.min(1.0);
        }
    }

    /// Number of ready cache servers to spread the key over; 1 for nearly all keys. It grows with the key's fraction
    /// of the arrivals and with the latency of its answers: without congestion each replica only costs additional
    /// fetches.
    pub fn spread(&self, key: u64, caches: usize) -> usize {
        let known = self.counts.get(&short_hash(key));
        let stats = known.copied().unwrap_or_default();
        // The current arrival is excluded: this gives the mean fraction of a key that was seen this often if
        // popularity is proportional to 1/rank.
        let earlier_arrivals = stats.arrivals - 1.0;
        if earlier_arrivals <= 0.0 {
            return 1;
        }
        let slow = (stats.slowness / earlier_arrivals).min(1.0);
        let fraction = earlier_arrivals / (self.total + PRIOR_ARRIVALS);
        let spread = SPREAD_GAIN * slow * slow * caches as f64 * fraction;
        spread.ceil().clamp(1.0, caches.max(1) as f64) as usize
    }

    /// Returns rows for the `max_rows` most frequent keys, to send to `peers` peers. Push-sum (Kempe, Dobra, Gehrke
    /// 2003): each peer gets an equal part of all counts, and this node keeps one part. The fractions of the total
    /// stay correct, while a single node sees too few arrivals to recognise a hot key.
    pub fn split(&mut self, peers: usize, max_rows: usize) -> Vec<KeyRow> {
        self.scale(1.0 / (1 + peers) as f64);
        let row = |(&key_hash, stats): (&u32, &KeyStats)| KeyRow {
            key_hash,
            arrivals: stats.arrivals,
            slowness: stats.slowness,
        };
        let mut rows: Vec<KeyRow> = self.counts.iter().map(row).collect();
        rows.sort_unstable_by(|a, b| {
            let most_frequent_first = b.arrivals.total_cmp(&a.arrivals);
            most_frequent_first.then(a.key_hash.cmp(&b.key_hash))
        });
        rows.truncate(max_rows);
        rows
    }

    /// Adds a peer's part of the counts.
    pub fn merge(&mut self, total: f64, rows: &[KeyRow]) {
        self.total += total;
        for row in rows {
            let stats = self.counts.entry(row.key_hash).or_default();
            stats.arrivals += row.arrivals;
            stats.slowness += row.slowness;
        }
    }
}
