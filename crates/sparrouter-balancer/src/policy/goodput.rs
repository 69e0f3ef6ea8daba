//! Goodput: the recent rate of answers in time. It is a lower bound on the load that can be served, regardless of
//! older evidence of an overload.
use crate::types::{Nanos, SECOND};

/// Time constant of the smoothed rate of arrivals, in seconds.
const ARRIVAL_TIME_CONSTANT: f64 = 1.0;
/// Time constant of the smoothed rate of answers in time, in seconds.
const ANSWER_TIME_CONSTANT: f64 = 2.0;
/// Half-life of the peak rate of answers in time, in seconds.
const PEAK_HALF_LIFE_SECONDS: f64 = 60.0;
/// Load that is always admitted, as a multiple of the peak rate.
const ADMITTED_MULTIPLE: f64 = 1.5;
/// Fraction of the distance to the present rate by which one late answer reduces the peak rate.
const DECREASE: f64 = 0.1;

/// Smoothed rates of arrivals and of answers in time.
///
/// Invariant: all rates are per second, refer to the time `updated_at`, and are not negative.
#[derive(Default)]
pub struct Goodput {
    arrivals_per_s: f64,
    in_time_per_s: f64,
    /// Recent maximum of the rate of answers in time.
    peak_per_s: f64,
    updated_at: Nanos,
    /// Time since which the peak rate has limited load shedding; `None` if it doesn't limit it now.
    limits_shedding_since: Option<Nanos>,
}

impl Goodput {
    fn advance(&mut self, now: Nanos) {
        let seconds = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        let decay = |time_constant: f64| (-seconds / time_constant).exp();
        self.arrivals_per_s *= decay(ARRIVAL_TIME_CONSTANT);
        self.in_time_per_s *= decay(ANSWER_TIME_CONSTANT);
        self.updated_at = now;
        self.peak_per_s *= 0.5f64.powf(seconds / PEAK_HALF_LIFE_SECONDS);
    }

    /// Counts an arrival and returns `wanted`, the fraction of the load to shed, limited to the fraction that the
    /// peak rate permits. Guards against shedding nearly all load for as long as old evidence lasts.
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

    /// Records a forward that ended late. If it was sent after load shedding had been limited for longer than a
    /// latency target, the peak rate can't be achieved any more, and it is reduced towards the present rate.
    pub fn record_late(&mut self, sent_at: Nanos, latency_target: Nanos) {
        let limits_since = self.limits_shedding_since;
        if limits_since.is_some_and(|since| sent_at > since + latency_target) {
            let goal = self.in_time_per_s.min(self.peak_per_s);
            self.peak_per_s += DECREASE * (goal - self.peak_per_s);
        }
    }
}
