//! A tenant's quota: the part that this node may admit.
use crate::types::{Nanos, SECOND};

/// Size of the token bucket, in seconds of quota. Small parts of a tenant's traffic arrive unevenly.
const MAX_SAVED_SECONDS: f64 = 5.0;
/// Weight of one second of counts in this node's fraction of the traffic.
const FRACTION_GAIN: f64 = 0.3;

/// A token bucket for one tenant.
///
/// Invariant: `tokens` is at most [`MAX_SAVED_SECONDS`] times this node's part of the quota, or times one invocation
/// per second if that is more.
#[derive(Default)]
pub struct Quota {
    /// The tenant's quota over all nodes, in invocations per second.
    pub per_s: f64,
    /// Number of invocations that are within the quota now.
    pub tokens: f64,
    /// When `tokens` was last updated.
    pub updated_at: Nanos,
    /// Number of arrivals since the last gossip message.
    pub arrivals: u16,
    /// This node's fraction of the tenant's traffic, estimated from the peers' reports.
    pub fraction: f64,
}

impl Quota {
    /// Creates the bucket of a node that gets this fraction of the tenant's traffic, filled with one second of its
    /// quota.
    pub fn new(per_s: f64, fraction: f64) -> Quota {
        Quota {
            per_s,
            tokens: per_s * fraction,
            fraction,
            ..Quota::default()
        }
    }

    /// Counts an arrival and returns whether it is within this node's part of the quota.
    pub fn record_arrival(&mut self, now: Nanos) -> bool {
        self.arrivals = self.arrivals.saturating_add(1);
        let rate = self.per_s * self.fraction;
        let refill = now.saturating_sub(self.updated_at) as f64 / SECOND as f64 * rate;
        self.tokens = (self.tokens + refill).min(MAX_SAVED_SECONDS * rate.max(1.0));
        self.updated_at = now;
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        }
        is_within
    }

    /// Updates the node's fraction of the tenant's traffic from the counts since the last message. `others` is the
    /// number of arrivals at the `reporting` peers; `missing` is the number of peers without a report, each assumed
    /// to have the mean arrivals of the rest.
    pub fn update_fraction(&mut self, others: f64, reporting: usize, missing: f64) {
        let own = self.arrivals as f64;
        let total = own + others + missing * (own + others) / (1.0 + reporting as f64);
        if total > 0.0 {
            self.fraction += FRACTION_GAIN * (own / total - self.fraction);
        }
    }
}
