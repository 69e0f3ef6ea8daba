//! How long answers of one operation, or of the origin, usually take.
use crate::types::Nanos;

/// What one answer adds to the estimate.
const GAIN: f64 = 0.05;

/// Smoothed mean and deviation of latencies, in nanoseconds, in the manner of TCP's estimate of the round-trip time (RFC 6298).
///
/// Invariant: both are 0 until the first latency is taken in.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    /// Smoothed mean.
    pub mean: f64,
    /// Smoothed mean deviation.
    pub deviation: f64,
}

impl LatencyEstimate {
    /// What nearly all answers take no longer than, in nanoseconds, but never less than the node's `tick`: where answers
    /// take microseconds, a pause of the node itself must not look like an overdue server.
    pub fn upper_bound(&self, tick: Nanos) -> Nanos {
        ((self.mean + 4.0 * self.deviation) as Nanos).max(tick)
    }

    /// Takes in one latency, in nanoseconds.
    pub fn learn(&mut self, latency: f64) {
        if self.mean == 0.0 {
            self.mean = latency;
            self.deviation = latency / 2.0;
        }
        self.deviation += GAIN * ((latency - self.mean).abs() - self.deviation);
        self.mean += GAIN * (latency - self.mean);
    }
}
