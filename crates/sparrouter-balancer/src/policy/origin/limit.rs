//! Adaptive limit of fetches in flight, by the gradient rule of adaptive concurrency limits: the limit decreases as
//! the latency rises above the origin's latency without congestion.
use super::OriginGuard;
use crate::policy::fading::decay_factor;
use crate::types::{Nanos, Outcome};

/// Factor by which a sign of congestion reduces the limit.
const DECREASE: f64 = 0.7;
/// Maximum difference between the limit and the number of fetches in flight.
const HEADROOM: f64 = 3.0;

/// Weight of a new answer. It increases with the `age` of the previous one, in nanoseconds: in a deployment of many
/// nodes each node sees few answers.
fn gain(base: f64, age: f64) -> f64 {
    base.max(1.0 - decay_factor((age / base / 10.0) as Nanos))
}

fn smooth(mean: f64, latency: f64, gain: f64) -> f64 {
    if mean == 0.0 {
        return latency;
    }
    mean + gain * (latency - mean)
}

impl OriginGuard {
    /// Records the end of a forward to the origin that took `latency` nanoseconds.
    pub fn learn(&mut self, outcome: Outcome, latency: Nanos, now: Nanos) {
        let latency = latency.max(1) as f64;
        let age = now.saturating_sub(self.learnt_at) as f64;
        self.learnt_at = now;
        match outcome {
            Outcome::Succeeded => {
                self.consecutive_failures = 0;
                self.last_answer_at = now;
                self.learn_latency(latency, age);
            }
            // An error is a fast answer, not a sign of congestion. Otherwise invocations that fail at every server
            // would reduce the limit to its minimum.
            Outcome::Withdrawn | Outcome::NotSent | Outcome::Miss | Outcome::Error => {}
            // A connection that broke, or timed out while others were answered, is no sign of congestion.
            Outcome::Reset | Outcome::Broken => self.consecutive_failures += 1,
            Outcome::TimedOut if self.last_answer_at + latency as Nanos > now => {}
            Outcome::TimedOut | Outcome::Full | Outcome::Unavailable => {
                self.consecutive_failures += 1;
                self.limit = (self.limit * DECREASE).max(self.min_limit);
            }
        }
        // For a limit below 1, one fetch is in flight for that fraction of the time.
        let pause = latency * (1.0 / self.limit - 1.0);
        self.paused_until = self.paused_until.max(now + pause.max(0.0) as Nanos);
    }

    fn learn_latency(&mut self, latency: f64, age: f64) {
        self.latency.learn(latency);
        let fast_gain = gain(0.1, age);
        self.fast_latency = smooth(self.fast_latency, latency, fast_gain);
        self.slow_latency = smooth(self.slow_latency, latency, gain(0.02, age));
        self.learn_uncongested_latency(fast_gain, age);
        let latency_limit = self.tolerated_latency.max(2.0 * self.uncongested_latency);
        let gradient = (latency_limit / self.fast_latency).clamp(0.5, 1.0);
        let goal = self.limit * gradient + self.growth.max(self.limit.min(1.0) / 4.0);
        self.limit += gain(0.4, age) * (goal - self.limit);
        let max_limit = self.in_flight as f64 + HEADROOM;
        self.limit = self.limit.clamp(self.min_limit, max_limit);
    }

    /// Updates the estimate of the latency without congestion. It starts at half of the tolerated latency and decays
    /// back to it, so that congestion at the start isn't permanently taken for the usual latency. Long answers raise
    /// the estimate more if the limit is low, because few fetches can't cause congestion.
    fn learn_uncongested_latency(&mut self, fast_gain: f64, age: f64) {
        let initial_estimate = self.tolerated_latency / 2.0;
        if self.uncongested_latency == 0.0 {
            self.uncongested_latency = initial_estimate;
        }
        let idleness = (self.min_limit / self.limit).min(1.0).powi(3);
        let rise_gain = 0.2 * gain(0.2, age) * idleness;
        let rise = rise_gain * (self.slow_latency - self.uncongested_latency).max(0.0);
        let decay_to_initial = 0.01 * fast_gain * (initial_estimate - self.uncongested_latency);
        self.uncongested_latency =
            (self.uncongested_latency + rise + decay_to_initial).min(self.slow_latency);
    }
}
