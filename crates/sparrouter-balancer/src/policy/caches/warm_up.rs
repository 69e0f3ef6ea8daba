//! Slow start: capacity and budget of a cache server that has just started. Enforces rule 4: no cache server that is
//! warming up is sent more than a configured multiple of its capacity.
use super::CacheSet;
use crate::types::{CacheIndex, LifecycleState, Nanos, SECOND};

/// Fraction of the permitted rate that is used; the remainder absorbs random variation.
const BUDGET_UTILIZATION: f64 = 0.5;
/// Weight of one second of answers in the smoothed rate.
const RATE_GAIN: f64 = 0.3;

/// Rate of answers that this node gets per unit of weight at full capacity. It is used as an estimate of the capacity
/// of cache servers, which no server reports.
#[derive(Default)]
pub struct AnswerRate {
    /// Answers per second and unit of weight, smoothed; 0 before the first measurement.
    pub per_second: f64,
    /// Number of answers since `counted_at`.
    answers: f64,
    counted_at: Nanos,
}

/// Token bucket parameters of the forwards that this node may send to a cache server that is warming up.
struct WarmUpBudget {
    /// Forwards per second.
    per_second: f64,
    /// Maximum number of tokens, in forwards.
    max_saved: f64,
}

impl CacheSet {
    /// Minimum capacity of a cache server as a fraction of its full capacity, by the configured linear ramp; 1 once
    /// it is warm.
    pub fn capacity_fraction(&self, index: CacheIndex, now: Nanos) -> f64 {
        let ready_at = self.get(index).ready_at;
        if ready_at == 0 {
            return 1.0;
        }
        let start = self.rules.start_capacity;
        let age = now.saturating_sub(ready_at) as f64 / self.rules.warm_up_period.max(1) as f64;
        (start + (1.0 - start) * age).min(1.0)
    }

    /// Whether the cache server has not yet reached its full capacity.
    pub fn is_warming_up(&self, index: CacheIndex, now: Nanos) -> bool {
        self.capacity_fraction(index, now) < 1.0
    }

    /// Fraction of all keys that are won by cache servers that are warming up; NaN if no cache server is ready.
    pub fn warming_up_key_fraction(&self, now: Nanos) -> f64 {
        let weight = |c: CacheIndex| self.capacity_fraction(c, now) * self.get(c).weight;
        let all = || self.ready.iter().copied();
        let warming_up = all().filter(|&c| self.is_warming_up(c, now));
        warming_up.map(weight).sum::<f64>() / all().map(weight).sum::<f64>()
    }

    fn warm_up_budget(&self, index: CacheIndex, now: Nanos) -> WarmUpBudget {
        let per_weight = self.answer_rate.per_second;
        let capacity = per_weight * self.get(index).weight * self.capacity_fraction(index, now);
        let per_second = capacity * self.rules.fall_multiple * BUDGET_UTILIZATION;
        let window = self.rules.fall.max(SECOND) as f64 / SECOND as f64;
        WarmUpBudget {
            per_second,
            max_saved: (per_second * window / 2.0).max(1.0),
        }
    }

    /// Number of forwards that may be sent now to a cache server that is warming up. A budget far below one forward
    /// accumulates from a random initial phase, so that only few of hundreds of nodes send at the same time: one
    /// forward from each would be an overload.
    fn warm_up_tokens(&self, index: CacheIndex, now: Nanos) -> f64 {
        let budget = self.warm_up_budget(index, now);
        let cache = self.get(index);
        let age = now.saturating_sub(cache.tokens_at) as f64 / SECOND as f64;
        (cache.warm_up_tokens + budget.per_second * age).min(budget.max_saved)
    }

    /// Whether the warm-up budget permits another forward; always true for a server that is warm.
    pub fn has_warm_up_budget(&self, index: CacheIndex, now: Nanos) -> bool {
        !self.is_warming_up(index, now) || self.warm_up_tokens(index, now) >= 1.0
    }

    /// Counts a forward to a cache server, and deducts it from the budget while the server is warming up.
    pub fn record_forward(&mut self, index: CacheIndex, now: Nanos) {
        let is_warming_up = self.is_warming_up(index, now);
        let tokens = if is_warming_up {
            self.warm_up_tokens(index, now) - 1.0
        } else {
            0.0
        };
        self.warm_up_forwards += u64::from(is_warming_up);
        let cache = self.get_mut(index);
        cache.warm_up_tokens = tokens;
        cache.tokens_at = now;
        cache.in_flight += 1;
        cache.is_used = true;
    }

    /// Counts an answer. Answers are counted rather than forwards, because the rate of forwards says nothing about
    /// the capacity of cache servers.
    pub fn record_answer(&mut self, index: CacheIndex, now: Nanos) {
        let is_ready = self.get(index).state == LifecycleState::Ready;
        self.answer_rate.answers += f64::from(u8::from(is_ready));
        self.record_no_failure();
        if now > self.answer_rate.counted_at + SECOND {
            self.update_answer_rate(now);
        }
    }

    /// Updates the smoothed rate with the answers since the last update.
    ///
    /// It is also called before the list changes: the answers of many servers, divided among the few that remain,
    /// would give a budget far above the capacity of one. An interval shorter than a second is weighted by its
    /// length, because the first few answers within a moment are no reliable rate.
    pub(super) fn update_answer_rate(&mut self, now: Nanos) {
        let seconds = (now - self.answer_rate.counted_at) as f64 / SECOND as f64;
        let ready = self.ready.iter();
        let total_weight: f64 = ready
            .map(|&c| self.get(c).weight * self.capacity_fraction(c, now))
            .sum();
        let rate = &mut self.answer_rate;
        if seconds > 0.0 && total_weight > 0.0 {
            let per_second = rate.answers / seconds / total_weight;
            let gain = if rate.per_second == 0.0 {
                seconds.min(1.0)
            } else {
                RATE_GAIN * seconds.min(1.0)
            };
            rate.per_second += gain * (per_second - rate.per_second);
        }
        rate.answers = 0.0;
        rate.counted_at = now;
    }
}
