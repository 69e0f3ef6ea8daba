//! Arithmetic that several decisions share: fading of old evidence, and the median.
use crate::types::{Nanos, SECOND};

/// What is left of knowledge of this age: half of it after a second.
pub fn fade(age: Nanos) -> f64 {
    0.5f64.powf(age as f64 / SECOND as f64)
}

/// The median, the upper of the two in the middle: of many reports, few false ones cannot move it.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
