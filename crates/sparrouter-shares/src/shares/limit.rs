//! State of one limit at one node: its rate, its loans, its token bucket, and the estimate of its demand.
use super::{Limit, ShareCounts};
use crate::bucket::TokenBucket;
use crate::leases::{BorrowedShares, LoanedShares};
use crate::{Nanos, NodeIx, SECOND};
use std::collections::BTreeMap;

/// Fraction of the mean demand that is needed on top of it.
const HEADROOM: f64 = 0.05;
/// Deviations of a Poisson count over the window that are needed on top of the mean.
const NEEDED_DEVIATIONS: f64 = 0.25;
/// The short-term mean goes over one part in this many of a lease.
const SHORT_MEAN_DIVISOR: Nanos = 4;
/// Deviations of a Poisson count by which the short-term mean must differ for demand to count as changed.
const CHANGE_DEVIATIONS: f64 = 3.0;

/// What a peer requested last. Rates are units a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct BorrowRequest {
    /// The rate that the peer may use.
    pub in_use: f64,
    /// The rate that it needs.
    pub needed: f64,
    pub received_at: Nanos,
}

/// A computed rate and the moment from which it must be computed anew.
#[derive(Clone, Copy, Debug)]
struct CachedRate {
    per_s: f64,
    valid_until: Nanos,
}

/// State of one limit. Rates are units a second.
pub(super) struct LimitState {
    pub limit: Limit,
    pub loaned: LoanedShares,
    pub borrowed: BorrowedShares,
    /// Peers that sent a request within a lease, with their latest one.
    pub borrowers: BTreeMap<NodeIx, BorrowRequest>,
    pub arrived_since_tick: u64,
    bucket: TokenBucket,
    /// Exponentially weighted mean of the arrival rate over a part of a lease.
    short_term_rate: f64,
    /// The same over two leases; the estimate of the demand.
    long_term_rate: f64,
    rate: CachedRate,
    arrived: u64,
    admitted: u64,
}

impl LimitState {
    /// State of a process that starts: nothing loaned, borrowed or known of the demand.
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

    /// The rate that this node needs: the mean demand, a little more, and a part of what arrives beyond it by chance in
    /// a window. With the mean alone, nodes of few arrivals rejected a sixth of them.
    pub fn needed_rate(&self) -> f64 {
        let window_s = self.limit.window.max(1) as f64 / SECOND as f64;
        self.long_term_rate * (1.0 + HEADROOM)
            + NEEDED_DEVIATIONS * (self.long_term_rate / window_s).sqrt()
    }

    /// The rate computed last, whether or not it is still valid.
    pub fn last_rate(&self) -> f64 {
        self.rate.per_s
    }

    /// The rate computed last, while it is valid.
    pub fn cached_rate(&self, now: Nanos) -> Option<f64> {
        (now < self.rate.valid_until).then_some(self.rate.per_s)
    }

    /// Has the rate computed anew when it is needed next.
    pub fn invalidate_rate(&mut self) {
        self.rate.valid_until = 0;
    }

    /// Computes the rate from the own share and the loans; it stays valid until a borrowed lease expires, and no
    /// longer than `max_age`.
    pub fn compute_rate(&mut self, own_share: f64, max_age: Nanos, now: Nanos) -> f64 {
        let unloaned = (own_share - self.loaned.reserved_total(now)).max(0.0);
        self.rate = CachedRate {
            per_s: unloaned + self.borrowed.total(now),
            valid_until: self.borrowed.next_expiry(now).min(now + max_age),
        };
        self.rate.per_s
    }

    /// Adds to the bucket what `per_s` earned since the last time.
    pub fn fill_bucket(&mut self, per_s: f64, now: Nanos) {
        self.bucket.fill(per_s, now);
    }

    /// Counts one arrival and takes a token for it, if there is one.
    pub fn try_acquire(&mut self, per_s: f64, now: Nanos) -> bool {
        self.arrived_since_tick += 1;
        self.arrived += 1;
        self.bucket.fill(per_s, now);
        let admitted = self.bucket.try_acquire();
        self.admitted += u64::from(admitted);
        admitted
    }

    /// State for reports; `rate` is the rate in force now.
    pub fn counts(&self, rate: f64, now: Nanos) -> ShareCounts {
        ShareCounts {
            per_s: self.limit.per_s,
            part: rate,
            held: self.borrowed.total(now),
            lent: self.loaned.reserved_total(now),
            need: self.needed_rate(),
            arrived: self.arrived,
            within: self.admitted,
        }
    }

    /// Updates the demand estimate by the arrivals of the last `elapsed` nanoseconds.
    pub fn update_demand(&mut self, elapsed: Nanos, lease_length: Nanos) {
        let rate = self.arrived_since_tick as f64 * SECOND as f64 / elapsed as f64;
        let averaged = |mean: f64, time: Nanos| {
            let weight = 1.0 - (-(elapsed as f64) / time as f64).exp();
            mean + weight * (rate - mean)
        };
        let short_term = lease_length / SHORT_MEAN_DIVISOR;
        self.short_term_rate = averaged(self.short_term_rate, short_term);
        self.long_term_rate = averaged(self.long_term_rate, 2 * lease_length);
        // Where the short-term mean is further off than chance explains, demand has changed, and what was before counts
        // for nothing. Without the margin, chance had nodes of few arrivals lend and borrow back in alternation.
        let short_term_s = short_term as f64 / SECOND as f64;
        let margin = CHANGE_DEVIATIONS * (self.long_term_rate / (2.0 * short_term_s)).sqrt()
            + 1.0 / short_term_s;
        if (self.short_term_rate - self.long_term_rate).abs() > margin {
            self.long_term_rate = self.short_term_rate;
        }
        self.arrived_since_tick = 0;
    }
}
