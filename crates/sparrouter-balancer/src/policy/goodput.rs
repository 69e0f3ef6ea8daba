//! What was lately answered in time: a lower bound on what can be done, whatever older evidence of an overload says.
use crate::types::{Nanos, SECOND};

/// Time constant of the rate of arrivals, in seconds.
const ARRIVAL_TIME_CONSTANT: f64 = 1.0;
/// Time constant of the rate of answers in time, in seconds.
const ANSWER_TIME_CONSTANT: f64 = 2.0;
/// Time in which the peak rate of answers in time halves, in seconds.
const PEAK_HALVING_SECONDS: f64 = 60.0;
/// So many times the peak rate is admitted.
const ADMITTED_MULTIPLE: f64 = 1.5;
/// What one late answer takes off the peak rate, as a fraction of the way to the present rate.
const DECREASE: f64 = 0.1;

/// Rates of arrivals and of answers in time.
///
/// Invariant: all rates are those of `updated_at`, a second, and not negative.
#[derive(Default)]
pub struct Goodput {
    arrivals_per_s: f64,
    in_time_per_s: f64,
    /// The highest rate of answers in time not long ago.
    peak_per_s: f64,
    updated_at: Nanos,
    /// Since when the peak rate has held back load shedding.
    limits_shedding_since: Option<Nanos>,
}

impl Goodput {
    fn advance(&mut self, now: Nanos) {
        let seconds = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        let left = |time_constant: f64| (-seconds / time_constant).exp();
        self.arrivals_per_s *= left(ARRIVAL_TIME_CONSTANT);
        self.in_time_per_s *= left(ANSWER_TIME_CONSTANT);
        self.updated_at = now;
        self.peak_per_s *= 0.5f64.powf(seconds / PEAK_HALVING_SECONDS);
    }

    /// Counts an arrival; gives `wanted`, the fraction of the load to shed, as far as the peak rate allows it. Guards
    /// against shedding nearly everything for as long as old evidence lasts.
    pub fn limit_shedding(&mut self, wanted: f64, now: Nanos) -> f64 {
        self.advance(now);
        self.arrivals_per_s += 1.0 / ARRIVAL_TIME_CONSTANT;
        let admitted = ADMITTED_MULTIPLE * self.peak_per_s / self.arrivals_per_s;
        let allowed = (1.0 - admitted).clamp(0.0, 1.0);
        let since = self.limits_shedding_since.unwrap_or(now);
        self.limits_shedding_since = (wanted > allowed).then_some(since);
        wanted.min(allowed)
    }

    /// Counts an answer within its latency target.
    pub fn record_in_time(&mut self, now: Nanos) {
        self.advance(now);
        self.in_time_per_s += 1.0 / ANSWER_TIME_CONSTANT;
        self.peak_per_s = self.peak_per_s.max(self.in_time_per_s);
    }

    /// Takes in a forward that ended late. If it left after no more had been admitted for a latency target's time, what was
    /// done at the peak cannot be done now, and the peak falls towards the present rate.
    pub fn record_late(&mut self, sent_at: Nanos, latency_target: Nanos) {
        let limits_since = self.limits_shedding_since;
        if limits_since.is_some_and(|since| sent_at > since + latency_target) {
            let goal = self.in_time_per_s.min(self.peak_per_s);
            self.peak_per_s += DECREASE * (goal - self.peak_per_s);
        }
    }
}
