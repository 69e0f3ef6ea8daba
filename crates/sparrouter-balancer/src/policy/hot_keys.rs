//! Hot keys, and keys whose invocations fail wherever they go.
//!
//! Invariant: right after the counts were scaled, each key has at least a thousandth of all arrivals, or 0.1 of an arrival
//! if that is less. Keys with fewer are forgotten, so that the table stays small.
use super::fading::fade;
use crate::gossip::KeyRow;
use crate::types::{Nanos, SECOND};
use std::collections::HashMap;

/// Counted besides all arrivals, so that the first arrivals of a key do not make it look hot.
const PRIOR_ARRIVALS: f64 = 12.0;
/// A hot key is spread over so many times its fair share of the cache servers.
const SPREAD_GAIN: f64 = 6.0;
/// Counts are halved after so many arrivals a cache server.
const ARRIVALS_PER_CACHE: f64 = 32.0;
/// Counts are halved after this time at the latest.
const MAX_AGE: Nanos = 24 * SECOND;
/// Failures of a key fade by half in so many seconds.
const FAILURE_HALVING_SECONDS: Nanos = 4;
/// A key with fewer arrivals is forgotten. Low, since small fractions from many peers add up.
const MIN_ARRIVALS: f64 = 0.1;

/// What is known of one key.
#[derive(Clone, Copy, Default)]
pub struct KeyStats {
    /// Recent arrivals.
    pub arrivals: f64,
    /// Sum of the fractions of their latency target that its forwards took, each at most 1.
    slowness: f64,
    /// Invocations that failed wherever they went since one with this key last succeeded, as of `failed_at`.
    failures: f64,
    failed_at: Nanos,
}

impl KeyStats {
    fn failures_left(&self, now: Nanos) -> f64 {
        self.failures * fade(now.saturating_sub(self.failed_at) / FAILURE_HALVING_SECONDS)
    }

    /// Counts an invocation that failed wherever it went.
    pub fn record_failure(&mut self, now: Nanos) {
        self.failures = self.failures_left(now) + 1.0;
        self.failed_at = now;
    }

    /// An invocation succeeded or missed: failures before it are void.
    pub fn clear_failures(&mut self) {
        self.failures = 0.0;
    }

    /// The chance with which an invocation is admitted. One failure is not enough to lower it, as two cache servers may fail
    /// by chance; then ever fewer are admitted, and those show when the failures are over. Guards against keys with a good
    /// part of all traffic that fill the few cache servers they belong to.
    pub fn admission_chance(&self, now: Nanos) -> f64 {
        1.0 / self.failures_left(now).max(1.0)
    }
}

/// Arrivals by key: with gossip from peers, fractions of the total as in the whole deployment.
#[derive(Default)]
pub struct KeyCounts {
    /// By the upper half of the key's hash.
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

    /// Counts an arrival at a node that knows so many ready cache servers. Old arrivals fade by half after a number of new
    /// ones, or after a time where few arrive.
    pub fn record_arrival(&mut self, key: u64, caches: usize, now: Nanos) {
        let max_total = ARRIVALS_PER_CACHE * caches.max(1) as f64;
        let stats = self.counts.entry(short_hash(key)).or_default();
        stats.arrivals += 1.0;
        self.total += 1.0;
        if self.total >= max_total || now > self.halved_at + MAX_AGE {
            self.scale(0.5);
            self.halved_at = now;
        }
    }

    /// What is known of a key.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut KeyStats> {
        self.counts.get_mut(&short_hash(key))
    }

    /// Takes in the fraction of its latency target that a forward of the key took.
    pub fn record_latency(&mut self, key: u64, target_fraction: f64) {
        if let Some(stats) = self.get_mut(key) {
            stats.slowness += target_fraction.min(1.0);
        }
    }

    /// Over how many of the ready cache servers the key is spread: by its fraction of the arrivals and by how slow its
    /// answers are, as where nothing is crowded each replica only costs fetches. 1 for nearly all keys.
    pub fn spread(&self, key: u64, caches: usize) -> usize {
        let known = self.counts.get(&short_hash(key));
        let stats = known.copied().unwrap_or_default();
        // Without the arrival at hand: that is the mean fraction of a key seen so often where popularity falls as one over
        // the rank.
        let others = stats.arrivals - 1.0;
        if others <= 0.0 {
            return 1;
        }
        let slow = (stats.slowness / others).min(1.0);
        let fraction = others / (self.total + PRIOR_ARRIVALS);
        let spread = SPREAD_GAIN * slow * slow * caches as f64 * fraction;
        spread.ceil().clamp(1.0, caches.max(1) as f64) as usize
    }

    /// The `max_rows` most frequent keys, for `peers` peers. Push-sum (Kempe, Dobra, Gehrke 2003): each peer gets an equal
    /// part of all counts, and this node keeps one. Fractions of the total stay right, while single nodes see too few
    /// arrivals to recognise a hot key.
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
