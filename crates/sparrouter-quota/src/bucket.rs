//! A token bucket.
use crate::limit::BucketShape;
use crate::peaks::Peaks;
use crate::{Nanos, SECOND};

/// Maximum retry delay of a refused request.
const MAX_RETRY_AFTER: Nanos = 1_000_000_000;
/// Rounding tolerance in tokens: a level at most this far below a whole number counts as that number, because sums of
/// fractions are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A token bucket.
///
/// Invariant: within any span `s` the bucket grants at most `tokens_per_s x s + capacity` tokens, less the returned
/// tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    shape: BucketShape,
    /// Tokens at `refilled_at`; from 0 to the capacity.
    level: f64,
    refilled_at: Nanos,
    /// When the current rate and capacity were set.
    shape_set_at: Nanos,
    /// The levels before tokens were taken, since the current rate and capacity were set.
    peaks: Peaks,
    /// When the next unreserved token becomes available; [`TokenBucket::retry_after`] reserves it.
    next_free_at: Nanos,
}

impl TokenBucket {
    /// Creates a bucket that is empty at `since` and refills from then on.
    pub fn empty(shape: BucketShape, since: Nanos) -> TokenBucket {
        TokenBucket {
            shape,
            level: 0.0,
            refilled_at: since,
            shape_set_at: since,
            peaks: Peaks::default(),
            next_free_at: since,
        }
    }

    /// The bucket's rate and capacity.
    pub fn shape(&self) -> BucketShape {
        self.shape
    }

    /// Tokens in the bucket at `now`.
    pub fn level(&self, now: Nanos) -> f64 {
        let gained = self.tokens_gained(now.saturating_sub(self.refilled_at));
        (self.level + gained).min(self.shape.capacity)
    }

    /// Changes rate and capacity. Until `now` the bucket refills at the old rate; tokens above the new capacity are
    /// dropped.
    pub fn reshape(&mut self, shape: BucketShape, now: Nanos) {
        self.refill(now);
        self.shape = shape;
        self.level = self.level.min(shape.capacity);
        self.shape_set_at = self.shape_set_at.max(now);
        self.peaks = Peaks::default();
        self.next_free_at = self.next_free_at.min(now);
    }

    /// Takes up to `wanted` tokens and returns the number taken.
    pub fn take(&mut self, wanted: u32, now: Nanos) -> u32 {
        self.refill(now);
        self.peaks.record(self.level, now);
        let taken = (self.level + ROUNDING_TOLERANCE)
            .floor()
            .min(f64::from(wanted));
        self.level = (self.level - taken).max(0.0);
        taken as u32
    }

    /// Returns unspent tokens that were taken at `taken_at`.
    ///
    /// The bucket then has the level that it would have if the tokens had never been taken: those that it would have
    /// lost since, as it was full, don't count. The call has no effect if the tokens were taken before the last change of
    /// rate or capacity.
    pub fn give_back(&mut self, count: u32, taken_at: Nanos, now: Nanos) {
        self.refill(now);
        if taken_at < self.shape_set_at {
            return;
        }
        let capacity = self.shape.capacity;
        let restored = self
            .peaks
            .raise_after(taken_at, f64::from(count), capacity, now);
        self.level = (self.level + restored).min(capacity);
    }

    /// The delay after which a refused request may be retried. Each call reserves the next token to become available, so
    /// that retries are spread at the rate of the tokens. A reservation never causes a refusal.
    pub fn retry_after(&mut self, now: Nanos) -> Nanos {
        let missing = (1.0 - self.level(now)).max(0.0);
        let first_free_at = now.saturating_add(self.time_to_gain(missing));
        let free_at = self
            .next_free_at
            .max(first_free_at)
            .min(now.saturating_add(MAX_RETRY_AFTER));
        self.next_free_at = free_at.saturating_add(self.time_to_gain(1.0));
        free_at - now
    }

    fn refill(&mut self, now: Nanos) {
        self.level = self.level(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn tokens_gained(&self, elapsed: Nanos) -> f64 {
        elapsed as f64 / SECOND * self.shape.tokens_per_s
    }

    fn time_to_gain(&self, tokens: f64) -> Nanos {
        (tokens / self.shape.tokens_per_s * SECOND) as Nanos
    }
}
