//! State of one limit at one node: rate, leases, token bucket and demand estimate.
use super::{Limit, ShareCounts};
use crate::bucket::TokenBucket;
use crate::leases::{BorrowedShares, LoanedShares};
use crate::{Nanos, NodeIx, SECOND};
use std::collections::BTreeMap;

/// Headroom on top of the mean demand, as a fraction of it.
const HEADROOM: f64 = 0.05;
/// Headroom on top of the mean demand, in standard deviations of a Poisson count over the window.
const NEEDED_DEVIATIONS: f64 = 0.25;
/// Divisor of the lease length that gives the time constant of the short-term mean.
const SHORT_MEAN_DIVISOR: Nanos = 4;
/// Difference of the short-term mean that counts as a change of demand, in standard deviations of a Poisson count.
const CHANGE_DEVIATIONS: f64 = 3.0;

/// Latest request of a peer. Rates are in units per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct BorrowRequest {
    /// The rate that the peer may use now.
    pub in_use: f64,
    /// The rate that the peer needs.
    pub needed: f64,
    pub received_at: Nanos,
}

/// A computed rate, and the time from which it must be recomputed.
#[derive(Clone, Copy, Debug)]
struct CachedRate {
    per_s: f64,
    valid_until: Nanos,
}

/// State of one limit. Rates are in units per second.
pub(super) struct LimitState {
    pub limit: Limit,
    pub loaned: LoanedShares,
    pub borrowed: BorrowedShares,
    /// Latest request of each peer that has sent one within the last lease length.
    pub borrowers: BTreeMap<NodeIx, BorrowRequest>,
    pub arrived_since_tick: u64,
    bucket: TokenBucket,
    /// Exponentially weighted mean of the arrival rate, with a time constant of a fraction of a lease.
    short_term_rate: f64,
    /// Exponentially weighted mean of the arrival rate, with a time constant of two leases; the demand estimate.
    long_term_rate: f64,
    rate: CachedRate,
    arrived: u64,
    admitted: u64,
}

impl LimitState {
    /// Creates the state of a starting process, without loaned or borrowed shares and without a demand estimate.
    pub fn new(limit: Limit, rng: fastrand::Rng, now: Nanos) -> LimitState {
        LimitState {
            limit,
            loaned: LoanedShares::default(),
            borrowed: BorrowedShares::default(),
            borrowers: BTreeMap::new(),
            arrived_since_tick: 0,
            bucket: TokenBucket::new(limit.window, rng, now),
            short_term_rate: 0.0,
            long_term_rate: 0.0,
            rate: CachedRate {
                per_s: 0.0,
                valid_until: 0,
            },
            arrived: 0,
            admitted: 0,
        }
    }

    /// Returns the rate that this node needs: the mean demand, a small headroom, and a fraction of the random variation in
    /// a window. With the mean only, nodes with few arrivals rejected a sixth of them.
    pub fn needed_rate(&self) -> f64 {
        let window_s = self.limit.window.max(1) as f64 / SECOND as f64;
        self.long_term_rate * (1.0 + HEADROOM)
            + NEEDED_DEVIATIONS * (self.long_term_rate / window_s).sqrt()
    }

    /// Returns the latest computed rate, even if it is no longer valid.
    pub fn last_rate(&self) -> f64 {
        self.rate.per_s
    }

    /// Returns the latest computed rate; `None` if it is no longer valid.
    pub fn cached_rate(&self, now: Nanos) -> Option<f64> {
        (now < self.rate.valid_until).then_some(self.rate.per_s)
    }

    /// Invalidates the cached rate, so that it is recomputed when it is needed next.
    pub fn invalidate_rate(&mut self) {
        self.rate.valid_until = 0;
    }

    /// Computes the rate from the own share and the leases. The rate is valid until a borrowed lease expires, but for
    /// `max_age` at most.
    pub fn compute_rate(&mut self, own_share: f64, max_age: Nanos, now: Nanos) -> f64 {
        let unloaned = (own_share - self.loaned.reserved_total(now)).max(0.0);
        self.rate = CachedRate {
            per_s: unloaned + self.borrowed.total(now),
            valid_until: self.borrowed.next_expiry(now).min(now + max_age),
        };
        self.rate.per_s
    }

    /// Adds the tokens to the bucket that `per_s` has earned since the last call.
    pub fn fill_bucket(&mut self, per_s: f64, now: Nanos) {
        self.bucket.fill(per_s, now);
    }

    /// Counts one arrival, and spends a token for it if one is available.
    pub fn try_acquire(&mut self, per_s: f64, now: Nanos) -> bool {
        self.arrived_since_tick += 1;
        self.arrived += 1;
        self.bucket.fill(per_s, now);
        let admitted = self.bucket.try_acquire();
        self.admitted += u64::from(admitted);
        admitted
    }

    /// Returns the counters for reports; `rate` is the rate in force now.
    pub fn counts(&self, rate: f64, now: Nanos) -> ShareCounts {
        ShareCounts {
            per_s: self.limit.per_s,
            rate,
            borrowed: self.borrowed.total(now),
            loaned: self.loaned.reserved_total(now),
            needed: self.needed_rate(),
            arrived: self.arrived,
            admitted: self.admitted,
        }
    }

    /// Updates the demand estimate with the arrivals of the last `elapsed` nanoseconds.
    pub fn update_demand(&mut self, elapsed: Nanos, lease_length: Nanos) {
        let rate = self.arrived_since_tick as f64 * SECOND as f64 / elapsed as f64;
        let averaged = |mean: f64, time: Nanos| {
            let weight = 1.0 - (-(elapsed as f64) / time as f64).exp();
            mean + weight * (rate - mean)
        };
        let short_term = lease_length / SHORT_MEAN_DIVISOR;
        self.short_term_rate = averaged(self.short_term_rate, short_term);
        self.long_term_rate = averaged(self.long_term_rate, 2 * lease_length);
        // If the short-term mean differs by more than random variation explains, demand has changed and earlier arrivals
        // are discarded. Without the margin, random variation made nodes with few arrivals lend and borrow in
        // alternation.
        let short_term_s = short_term as f64 / SECOND as f64;
        let margin = CHANGE_DEVIATIONS * (self.long_term_rate / (2.0 * short_term_s)).sqrt()
            + 1.0 / short_term_s;
        if (self.short_term_rate - self.long_term_rate).abs() > margin {
            self.long_term_rate = self.short_term_rate;
        }
        self.arrived_since_tick = 0;
    }
}
