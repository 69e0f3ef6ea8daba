//! Slow start: capacity and budget of a cache server that has just started. Keeps rule 4 (no cache server that warms up is
//! sent more than a stated multiple of its capacity).
use super::CacheSet;
use crate::types::{CacheIndex, LifecycleState, Nanos, SECOND};

/// The fraction of the budget that is used; the rest is for chance.
const BUDGET_MARGIN: f64 = 0.5;
/// What a second of answers adds to the smoothed rate.
const RATE_GAIN: f64 = 0.3;

/// Answers that this node gets from a unit of weight at full capacity. It stands for the capacity of cache servers, which
/// nobody reports.
#[derive(Default)]
pub struct AnswerRate {
    /// Answers a second and unit of weight, smoothed; 0 until the first are counted.
    pub per_second: f64,
    /// Answers since `counted_at`.
    answers: f64,
    counted_at: Nanos,
}

/// What this node may send to a cache server that warms up.
struct WarmUpBudget {
    /// Forwards a second.
    per_second: f64,
    /// Forwards that may be saved up.
    max_saved: f64,
}

impl CacheSet {
    /// The fraction of its full capacity that a cache server has at least, by the stated climb; 1 once it is warm.
    pub fn capacity_fraction(&self, index: CacheIndex, now: Nanos) -> f64 {
        let ready_at = self.get(index).ready_at;
        if ready_at == 0 {
            return 1.0;
        }
        let start = self.rules.start_capacity;
        let age = now.saturating_sub(ready_at) as f64 / self.rules.warm_up_period.max(1) as f64;
        (start + (1.0 - start) * age).min(1.0)
    }

    /// Whether it has not reached its full capacity yet.
    pub fn is_warming_up(&self, index: CacheIndex, now: Nanos) -> bool {
        self.capacity_fraction(index, now) < 1.0
    }

    /// The fraction of all keys that cache servers win while they warm up; NaN if none is ready.
    pub fn warming_up_key_fraction(&self, now: Nanos) -> f64 {
        let weight = |c: CacheIndex| self.capacity_fraction(c, now) * self.get(c).weight;
        let all = || self.ready.iter().copied();
        let warming_up = all().filter(|&c| self.is_warming_up(c, now));
        warming_up.map(weight).sum::<f64>() / all().map(weight).sum::<f64>()
    }

    fn warm_up_budget(&self, index: CacheIndex, now: Nanos) -> WarmUpBudget {
        let per_weight = self.answer_rate.per_second;
        let capacity = per_weight * self.get(index).weight * self.capacity_fraction(index, now);
        let per_second = capacity * self.rules.fall_multiple * BUDGET_MARGIN;
        let window = self.rules.fall.max(SECOND) as f64 / SECOND as f64;
        WarmUpBudget {
            per_second,
            max_saved: (per_second * window / 2.0).max(1.0),
        }
    }

    /// Forwards that may leave now to a cache server that warms up. A budget far below one forward is saved up from a
    /// randomly drawn start, so that of hundreds of nodes few send at once: one forward from each is an overload.
    fn warm_up_tokens(&self, index: CacheIndex, now: Nanos) -> f64 {
        let budget = self.warm_up_budget(index, now);
        let cache = self.get(index);
        let age = now.saturating_sub(cache.tokens_at) as f64 / SECOND as f64;
        (cache.warm_up_tokens + budget.per_second * age).min(budget.max_saved)
    }

    /// Whether the budget of a cache server that warms up has a forward left; true for one that is warm.
    pub fn has_warm_up_budget(&self, index: CacheIndex, now: Nanos) -> bool {
        !self.is_warming_up(index, now) || self.warm_up_tokens(index, now) >= 1.0
    }

    /// Counts a forward to a cache server, and takes it from its budget while it warms up.
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

    /// Counts an answer: a rate of forwards would say nothing of what cache servers can do.
    pub fn record_answer(&mut self, index: CacheIndex, now: Nanos) {
        let is_ready = self.get(index).state == LifecycleState::Ready;
        self.answer_rate.answers += f64::from(u8::from(is_ready));
        self.record_no_failure();
        if now > self.answer_rate.counted_at + SECOND {
            self.update_answer_rate(now);
        }
    }

    /// Takes the answers since the last update into the smoothed rate. Called before the list changes as well: the answers
    /// of many, divided among the few that remain, would be a budget far above what one can do. A time below a second
    /// counts by its length, since the first few answers within a moment are no rate.
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
