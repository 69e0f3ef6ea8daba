//! A tenant's quota, as far as this node has it to spend.
use crate::types::{Nanos, SECOND};

/// Seconds of its quota that a tenant may save up, since small parts of its traffic come unevenly.
const MAX_SAVED_SECONDS: f64 = 5.0;
/// How far a second of counts moves this node's fraction of the traffic.
const FRACTION_GAIN: f64 = 0.3;

/// A token bucket for one tenant.
///
/// Invariant: `tokens` is at most [`MAX_SAVED_SECONDS`] of this node's part of the quota, and of one a second at least.
#[derive(Default)]
pub struct Quota {
    /// The tenant's quota over all nodes, invocations a second.
    pub per_s: f64,
    /// Invocations that are within the quota now.
    pub tokens: f64,
    /// When `tokens` was last updated.
    pub updated_at: Nanos,
    /// Arrivals since the last message to peers.
    pub arrivals: u16,
    /// This node's fraction of the tenant's traffic, as far as peers report theirs.
    pub fraction: f64,
}

impl Quota {
    /// The full bucket of a node that has this fraction of the tenant's traffic.
    pub fn new(per_s: f64, fraction: f64) -> Quota {
        Quota {
            per_s,
            tokens: per_s * fraction,
            fraction,
            ..Quota::default()
        }
    }

    /// Counts an arrival; whether it is within this node's part of the quota.
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

    /// Moves the node's fraction of the tenant's traffic towards what the counts since the last message say. `others`: the
    /// arrivals at the `reporting` peers that report theirs; `missing`: how many do not, each taken for the mean of the rest.
    pub fn update_fraction(&mut self, others: f64, reporting: usize, missing: f64) {
        let own = self.arrivals as f64;
        let all = own + others + missing * (own + others) / (1.0 + reporting as f64);
        if all > 0.0 {
            self.fraction += FRACTION_GAIN * (own / all - self.fraction);
        }
    }
}
