//! Latency estimate of one operation or of the origin.
use crate::types::Nanos;

/// Weight of one answer in the estimate.
const GAIN: f64 = 0.05;

/// Smoothed mean and deviation of latencies, in nanoseconds, similar to TCP's estimate of the round-trip time (RFC
/// 6298).
///
/// Invariant: both are 0 until the first latency is recorded.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    /// Smoothed mean, in nanoseconds.
    pub mean: f64,
    /// Smoothed mean deviation, in nanoseconds.
    pub deviation: f64,
}

impl LatencyEstimate {
    /// Latency that nearly all answers don't exceed, in nanoseconds; at least the node's `tick`. If answers take
    /// microseconds, a pause of the node itself must not make a server look overdue.
    pub fn upper_bound(&self, tick: Nanos) -> Nanos {
        ((self.mean + 4.0 * self.deviation) as Nanos).max(tick)
    }

    /// Updates the estimate with one latency, in nanoseconds.
    pub fn learn(&mut self, latency: f64) {
        if self.mean == 0.0 {
            self.mean = latency;
            self.deviation = latency / 2.0;
        }
        self.deviation += GAIN * ((latency - self.mean).abs() - self.deviation);
        self.mean += GAIN * (latency - self.mean);
    }
}
