//! Shared arithmetic: exponential decay of old evidence, and the median.
use crate::types::{Nanos, SECOND};

/// Factor by which evidence of this age has decayed, with a half-life of one second.
pub fn decay_factor(age: Nanos) -> f64 {
    0.5f64.powf(age as f64 / SECOND as f64)
}

/// Median of the values (the upper one of the two in the middle); `None` if there are no values. A few false reports
/// among many cannot move it.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
