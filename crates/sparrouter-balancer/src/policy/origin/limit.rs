//! The limit of fetches in flight: it follows how far latency lies above that of an uncrowded origin (the gradient rule of
//! adaptive concurrency limits).
use super::OriginGuard;
use crate::policy::fading::fade;
use crate::types::{Nanos, Outcome};

/// What is left of the limit after a sign of a crowd.
const DECREASE: f64 = 0.7;
/// The limit stays within so many of the fetches in flight.
const HEADROOM: f64 = 3.0;

/// The weight of a new answer. The older (`age`, in nanoseconds) what is known, the more: with many nodes each sees few.
fn gain(base: f64, age: f64) -> f64 {
    base.max(1.0 - fade((age / base / 10.0) as Nanos))
}

fn smooth(mean: f64, latency: f64, gain: f64) -> f64 {
    if mean == 0.0 {
        return latency;
    }
    mean + gain * (latency - mean)
}

impl OriginGuard {
    /// Takes in the end of a forward to the origin that took `latency` nanoseconds.
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
            // An error is an answer, and a quick one. Guards against invocations that fail wherever they go: taken for signs
            // of a crowd, they would reduce the limit to nothing.
            Outcome::Withdrawn | Outcome::NotSent | Outcome::Miss | Outcome::Error => {}
            // A connection that broke, or timed out while others were answered, is no sign of a crowd.
            Outcome::Reset | Outcome::Broken => self.consecutive_failures += 1,
            Outcome::TimedOut if self.last_answer_at + latency as Nanos > now => {}
            Outcome::TimedOut | Outcome::Full | Outcome::Unavailable => {
                self.consecutive_failures += 1;
                self.limit = (self.limit * DECREASE).max(self.min_limit);
            }
        }
        // A limit of a fraction of one fetch: one is in flight for that fraction of the time.
        let pause = latency * (1.0 / self.limit - 1.0);
        self.paused_until = self.paused_until.max(now + pause.max(0.0) as Nanos);
    }

    fn learn_latency(&mut self, latency: f64, age: f64) {
        self.latency.learn(latency);
        let fast_gain = gain(0.1, age);
        self.fast_latency = smooth(self.fast_latency, latency, fast_gain);
        self.slow_latency = smooth(self.slow_latency, latency, gain(0.02, age));
        self.learn_uncrowded_latency(fast_gain, age);
        let good = self.tolerated_latency.max(2.0 * self.uncrowded_latency);
        let gradient = (good / self.fast_latency).clamp(0.5, 1.0);
        let goal = self.limit * gradient + self.growth.max(self.limit.min(1.0) / 4.0);
        self.limit += gain(0.4, age) * (goal - self.limit);
        let max_limit = self.in_flight as f64 + HEADROOM;
        self.limit = self.limit.clamp(self.min_limit, max_limit);
    }

    /// What a fetch takes uncrowded. It begins at half of what is tolerated and falls back to that, so that a crowd at the
    /// start does not pass for the usual latency for good. Long answers raise it the more, the lower the limit is: few
    /// fetches are no crowd.
    fn learn_uncrowded_latency(&mut self, fast_gain: f64, age: f64) {
        let usual = self.tolerated_latency / 2.0;
        if self.uncrowded_latency == 0.0 {
            self.uncrowded_latency = usual;
        }
        let emptiness = (self.min_limit / self.limit).min(1.0).powi(3);
        let rise_gain = 0.2 * gain(0.2, age) * emptiness;
        let rise = rise_gain * (self.slow_latency - self.uncrowded_latency).max(0.0);
        let fall_back = 0.01 * fast_gain * (usual - self.uncrowded_latency);
        self.uncrowded_latency = (self.uncrowded_latency + rise + fall_back).min(self.slow_latency);
    }
}
