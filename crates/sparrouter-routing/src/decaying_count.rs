//! A count that decays with time.
use crate::Nanos;

/// Time constant in seconds, after which a count has decayed to 1/e.
const DECAY_SECONDS: f64 = 4.0;

/// A count that decays exponentially, to 1/e in 4 seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCount {
    /// The count as of `updated_at`.
    value: f64,
    updated_at: Nanos,
}

impl DecayingCount {
    /// The count, decayed up to `now`.
    pub fn value(&self, now: Nanos) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.updated_at) as f64 / 1e9;
        self.value * (-elapsed_seconds / DECAY_SECONDS).exp()
    }

    /// Adds to the count as of `now`.
    pub fn add(&mut self, count: f64, now: Nanos) {
        *self = DecayingCount {
            value: self.value(now) + count,
            updated_at: self.updated_at.max(now),
        };
    }
}
