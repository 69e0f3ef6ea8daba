//! A long run, and what grows in it.
use crate::play::{Run, Sample};

/// Memory and descriptors of a node over the second half of a run, beside the first quarter after the
/// start: what leaks keeps growing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Growth {
    /// Number of the node.
    pub node: usize,
    /// Memory at the beginning and at the end, in MB.
    pub memory_mb: (f64, f64),
    /// Descriptors at the beginning and at the end.
    pub descriptors: (f64, f64),
}

impl Growth {
    /// More than a fifth and 4 MB, or a fifth and 32 descriptors.
    pub fn grows(&self) -> bool {
        let more = |(a, b): (f64, f64), least: f64| b > a * 1.2 && b - a > least;
        more(self.memory_mb, 4.0) || more(self.descriptors, 32.0)
    }
}

fn mean(samples: &[Sample], node: usize, of: fn(&(f64, f64, usize)) -> f64) -> f64 {
    samples.iter().map(|s| of(&s.nodes[node])).sum::<f64>() / samples.len().max(1) as f64
}

/// By node; nothing where there are too few samples to tell.
pub fn growth(run: &Run) -> Vec<Growth> {
    let n = run.samples.len();
    if n < 16 {
        return Vec::new();
    }
    let (early, late) = (&run.samples[n / 4..n / 2], &run.samples[n - n / 4..]);
    let nodes = run.samples[0].nodes.len();
    let pair = |node, of| (mean(early, node, of), mean(late, node, of));
    let one = |node| Growth {
        node,
        memory_mb: pair(node, |u| u.1),
        descriptors: pair(node, |u| u.2 as f64),
    };
    (0..nodes).map(one).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn steady_growth_is_distinguished_from_one_time_allocation() {
        let g = |a, b| Growth {
            node: 0,
            memory_mb: (a, b),
            descriptors: (50.0, 50.0),
        };
        assert!(g(20.0, 40.0).grows());
        assert!(!g(20.0, 22.0).grows());
        assert!(!g(2.0, 5.0).grows());
    }
}
