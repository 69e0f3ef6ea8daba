//! The highest levels of a token bucket, by which returned tokens are counted.
//!
//! Tokens that had stayed in the bucket would have been lost as far as the bucket was full in the meantime. The level of a
//! bucket falls only when tokens are taken, so the levels right before that tell how much room there was. They are those
//! of a bucket from which the tokens returned so far were never taken: each return raises the levels since its tokens
//! were taken.
use crate::Nanos;
use std::collections::VecDeque;

/// Maximum number of levels that are kept; beyond it the two oldest become one, which may count fewer returned tokens.
const MAX_PEAKS: usize = 64;

/// The level of a bucket right before tokens were taken.
#[derive(Clone, Copy, Debug)]
struct Peak {
    time: Nanos,
    /// In tokens.
    level: f64,
}

/// The highest levels of a bucket, the oldest first. A level below a later one is left out: whatever the bucket has room for
/// at the later one, it has room for at both.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peaks {
    peaks: VecDeque<Peak>,
    /// When tokens were last returned. A peak at the same moment follows the return, and counts for it.
    returned_at: Option<Nanos>,
}

impl Peaks {
    /// Records the level right before tokens are taken.
    pub fn record(&mut self, level: f64, now: Nanos) {
        while self.peaks.back().is_some_and(|peak| peak.level <= level) {
            self.peaks.pop_back();
        }
        let follows_return = self.returned_at == Some(now);
        let time = now.saturating_add(Nanos::from(follows_return));
        self.peaks.push_back(Peak { time, level });
        if self.peaks.len() > MAX_PEAKS {
            self.merge_oldest();
        }
    }

    /// Replaces the two oldest peaks by one with the higher level at the later time.
    fn merge_oldest(&mut self) {
        let Some(oldest) = self.peaks.pop_front() else {
            return;
        };
        if let Some(next) = self.peaks.front_mut() {
            next.level = next.level.max(oldest.level);
        }
    }

    /// Raises the levels since `taken_at` by the tokens that were taken then and are returned `now`, as far as the bucket
    /// had room for them. Returns the number of tokens for which it always had room.
    pub fn raise_after(&mut self, taken_at: Nanos, tokens: f64, capacity: f64, now: Nanos) -> f64 {
        self.returned_at = Some(now);
        let mut restored = tokens;
        for peak in self.peaks.iter_mut().filter(|peak| peak.time > taken_at) {
            restored = restored.min(capacity - peak.level).max(0.0);
            peak.level += restored;
        }
        restored
    }
}
