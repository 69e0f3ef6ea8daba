//! Token bucket over a sliding window: in any window no more tokens are spent than were earned in that window.
//!
//! Tokens that are not spent expire with their window. If an idle bucket kept its tokens, all nodes together could admit
//! twice the limit in the first window after an idle one (measured: 1.38 times the limit in the second in which traffic
//! moved to other nodes).
use crate::{Nanos, SECOND};
use fastrand::Rng;

/// Number of slices per window. The sum over any window is exact up to one slice.
const SLICES: u64 = 32;

/// Tokens earned and spent in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    earned: f64,
    spent: f64,
}

/// A token bucket whose tokens expire after one window.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    slice_length: Nanos,
    /// Ring of the latest slices; slice number `n` is stored at index `n % SLICES`.
    slices: [Slice; SLICES as usize],
    /// Time up to which earned tokens have been added to the slices.
    filled_until: Nanos,
    /// Random fraction of a token, in [0, 1), that is added to the earned tokens and drawn again for each window. Of many
    /// small shares, the expected number that round up to one token equals their sum.
    rounding: f64,
    /// Number of the window for which `rounding` was drawn.
    rounding_window: u64,
    rng: Rng,
}

impl TokenBucket {
    /// Creates an empty bucket. `window` is the length of the sliding window; `rng` draws the rounding.
    pub fn new(window: Nanos, rng: Rng, now: Nanos) -> TokenBucket {
        TokenBucket {
            slice_length: (window / SLICES).max(1),
            slices: [Slice::default(); SLICES as usize],
            filled_until: now,
            rounding: 0.0,
            rounding_window: 0,
            rng,
        }
    }

    /// Adds the tokens earned since the last call at `per_s` tokens per second, the rate that was in force since then. Must
    /// be called before the rate changes.
    pub fn fill(&mut self, per_s: f64, now: Nanos) {
        let now = now.max(self.filled_until);
        let first = self.filled_until / self.slice_length;
        let last = now / self.slice_length;
        for number in first.max(last.saturating_sub(SLICES - 1))..=last {
            let from = self.filled_until.max(number * self.slice_length);
            let to = now.min((number + 1) * self.slice_length);
            let slice = &mut self.slices[(number % SLICES) as usize];
            if number > first {
                *slice = Slice::default();
            }
            slice.earned += per_s * to.saturating_sub(from) as f64 / SECOND as f64;
        }
        self.filled_until = now;
        let window = last / SLICES;
        if window != self.rounding_window {
            self.rounding = self.rng.f64();
            self.rounding_window = window;
        }
    }

    /// Spends one token if one is available, and returns whether it did.
    pub fn try_acquire(&mut self) -> bool {
        let earned = self.slices.iter().fold(0.0, |sum, s| sum + s.earned);
        let spent = self.slices.iter().fold(0.0, |sum, s| sum + s.spent);
        let admitted = spent + 1.0 <= earned + self.rounding;
        if admitted {
            let current = self.filled_until / self.slice_length % SLICES;
            self.slices[current as usize].spent += 1.0;
        }
        admitted
    }
}

#[cfg(test)]
mod tests {
    use super::{Nanos, SECOND, TokenBucket};
    use fastrand::Rng;
    use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

    const MS: Nanos = 1_000_000;

    /// 200 shares of 0.2 tokens per second each earn 40 per second together. After a long idle time they must not all
    /// admit a request at the same time.
    #[test]
    fn given_200_small_idle_shares_when_all_are_used_then_they_admit_about_their_sum() {
        let mut buckets: Vec<TokenBucket> = (0..200)
            .map(|n| TokenBucket::new(SECOND, Rng::with_seed(n), 0))
            .collect();
        for second in [100, 101, 102, 150] {
            let mut admitted = 0;
            for ms in (0..1000).step_by(10) {
                for bucket in &mut buckets {
                    bucket.fill(0.2, second * SECOND + ms * MS);
                    admitted += u32::from(bucket.try_acquire());
                }
            }
            assert!(
                (20..=65).contains(&admitted),
                "{admitted} admitted in second {second}"
            );
        }
    }

    /// A rate that was in force between two points in time.
    struct RatePeriod {
        from: Nanos,
        to: Nanos,
        per_s: f64,
    }

    impl RatePeriod {
        /// Returns the tokens earned by this rate in the window that ends at `end`.
        fn earned_in_window(&self, end: Nanos) -> f64 {
            let from = self.from.max(end.saturating_sub(SECOND));
            self.per_s * self.to.min(end).saturating_sub(from) as f64 / SECOND as f64
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]
        /// For any rates and any arrivals, no more tokens are spent in a window than were earned in it, up to one slice and
        /// the one token that rounding may add.
        #[test]
        fn given_any_rates_and_arrivals_when_spent_then_no_window_exceeds_its_earned_tokens(
            seed in any::<u64>(), steps in prop::collection::vec((1u64..200, 0.0..50.0f64, 0u32..30), 1..60),
        ) {
            let mut bucket = TokenBucket::new(SECOND, Rng::with_seed(seed), 0);
            let mut now = 0;
            let mut spent_at = Vec::new();
            let mut periods = Vec::new();
            for (ms, per_s, attempts) in steps {
                periods.push(RatePeriod { from: now, to: now + ms * MS, per_s });
                now += ms * MS;
                bucket.fill(per_s, now);
                for _ in 0..attempts {
                    if bucket.try_acquire() {
                        spent_at.push(now);
                    }
                }
            }
            for &end in &spent_at {
                let from = end.saturating_sub(SECOND - SECOND / 32);
                let spent = spent_at.iter().filter(|s| **s > from && **s <= end).count() as f64;
                let earned: f64 = periods.iter().map(|p| p.earned_in_window(end)).sum();
                prop_assert!(spent <= earned + 1.0 + 1e-6, "spent {} tokens of {} earned", spent, earned);
            }
        }
    }
}
