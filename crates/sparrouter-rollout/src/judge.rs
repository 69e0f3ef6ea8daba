//! Sequential test that distinguishes harm from random variation. It compares changed nodes with unchanged nodes that
//! were restarted at about the same time, over the same intervals; the unit of observation is the node.
//!
//! The method is a sequential test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
//! betting", 2024). In each interval the test bets that the changed nodes are worse than the unchanged ones by more than
//! a margin. If they are not, the expected wealth never grows, and by Ville's inequality (1939) the wealth reaches 1/a
//! for at most a fraction a of all harmless changes, however often the test is evaluated.
//!
//! Two groups of the same size selected by hash are exchangeable: without harm their difference is as likely to be x as
//! -x, also when clamped to a range, so its mean is 0. Nodes differ permanently, so each node is compared with its own
//! baseline, and the margin covers the remaining differences among unchanged nodes.
use crate::baseline::{Baseline, Measurements};

/// Stakes of the bets, as fractions of the maximum stake.
const STAKES: [f64; 3] = [0.9, 0.45, 0.15];
/// Width of the margin beyond `min_harm`, in standard deviations of the differences among unchanged nodes.
const MARGIN_DEVIATIONS: f64 = 3.0;
/// Multiple of the margin to which differences are clamped.
const CLAMP_MARGINS: f64 = 3.0;
/// Multiple of the margin to which differences of bursty measures are clamped.
const BURSTY_CLAMP_MARGINS: f64 = 30.0;

/// Measurements of a node in one interval.
#[derive(Clone, Debug)]
pub struct NodeSample {
    /// Index of the node.
    pub node: usize,
    /// The node's value of each measure.
    pub values: Measurements,
}

/// The measure with the strongest evidence of harm.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Name of the measure.
    pub measure: String,
    /// Wealth of the bets on this measure, initially 1.
    pub wealth: f64,
    /// The wealth as a fraction of the required wealth; 1 or more means harm.
    pub evidence: f64,
    /// Amount by which changed nodes were worse in the last interval, as a fraction.
    pub difference: f64,
}

/// Deviation of a node's value of one measure from its baseline.
#[derive(Clone, Copy)]
struct Deviation {
    node: usize,
    value: f64,
}

/// Comparison of the changed and the unchanged nodes in one interval by one measure.
struct Comparison {
    /// Amount by which the changed nodes are worse.
    difference: f64,
    /// Minimum difference that counts as harm.
    margin: f64,
}

/// A running mean.
#[derive(Clone, Debug, Default)]
struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

fn mean(deviations: &[Deviation]) -> f64 {
    deviations.iter().map(|d| d.value).sum::<f64>() / deviations.len() as f64
}

fn ascending(deviations: &[Deviation]) -> Vec<f64> {
    let mut values: Vec<f64> = deviations.iter().map(|d| d.value).collect();
    values.sort_by(f64::total_cmp);
    values
}

/// Returns the lower median of the changed nodes minus the upper median of the unchanged nodes, the closest pair of
/// medians; `None` if a group has fewer than two nodes.
///
/// Medians are used because a node may enter a state by chance and stay in it (it treats its connections as short-lived,
/// for example). Intervals are not independent then, and with means one such node caused the whole change to be rolled
/// back.
fn median_difference(changed: &[Deviation], unchanged: &[Deviation]) -> Option<f64> {
    let (changed, unchanged) = (ascending(changed), ascending(unchanged));
    let are_groups = changed.len() > 1 && unchanged.len() > 1;
    are_groups.then(|| changed[(changed.len() - 1) / 2] - unchanged[unchanged.len() / 2])
}

/// The sequential test of one rollout.
pub struct Judge {
    baseline: Baseline,
    measure_names: Vec<String>,
    /// Harm up to which a change is not stopped, by measure.
    min_harm: Vec<f64>,
    /// Wealth of each stake, by stage and measure; a new test starts with each stage. The wealth of all stages is
    /// averaged, where future stages count as 1. Evidence from earlier stages thus still counts, and for harm that starts
    /// late there is a test whose wealth has not shrunk.
    wealth: Vec<Vec<[f64; STAKES.len()]>>,
    stages: usize,
    /// Mean deviation of unchanged nodes from their baseline, by measure and node.
    unchanged_means: Vec<Vec<RunningMean>>,
    /// Wealth from which a change counts as harmful.
    required_wealth: f64,
    /// Number of intervals of this stage in which both groups were compared.
    compared_intervals: usize,
}

impl Judge {
    /// Creates a test before its first stage.
    ///
    /// `min_harm` is the harm up to which a change is not stopped, as a fraction of the billed value. `false_stop_rate` is
    /// the maximum fraction of harmless changes that are stopped, over all `stages` together.
    pub fn new(
        baseline: Baseline,
        nodes: usize,
        stages: usize,
        min_harm: f64,
        false_stop_rate: f64,
    ) -> Judge {
        let measure_names = baseline.measure_names();
        let measures = measure_names.len();
        Judge {
            min_harm: (0..measures)
                .map(|measure| min_harm * Baseline::harm_factor(measure))
                .collect(),
            wealth: Vec::new(),
            stages: stages.max(1),
            unchanged_means: vec![vec![RunningMean::default(); nodes]; measures],
            required_wealth: measures as f64 / false_stop_rate,
            measure_names,
            baseline,
            compared_intervals: 0,
        }
    }

    /// Starts the test of a stage.
    pub fn begin_stage(&mut self) {
        if self.wealth.len() < self.stages {
            let measures = self.min_harm.len();
            self.wealth.push(vec![[1.0; STAKES.len()]; measures]);
        }
        self.compared_intervals = 0;
    }

    /// Returns the number of intervals of this stage in which both groups were compared.
    pub fn compared_intervals(&self) -> usize {
        self.compared_intervals
    }

    /// Compares the samples of changed and unchanged nodes of one interval, and returns the measure with the strongest
    /// evidence. An interval in which a group is empty is ignored.
    pub fn compare(&mut self, changed: &[NodeSample], unchanged: &[NodeSample]) -> Option<Finding> {
        if changed.is_empty() || unchanged.is_empty() {
            return None;
        }
        self.compared_intervals += 1;
        let mut worst: Option<Finding> = None;
        for measure in 0..self.min_harm.len() {
            let Some(comparison) = self.compare_measure(measure, changed, unchanged) else {
                continue;
            };
            self.bet(measure, &comparison);
            let wealth = self.mean_wealth(measure);
            if worst.as_ref().is_none_or(|worst| worst.wealth < wealth) {
                worst = Some(Finding {
                    measure: self.measure_names[measure].clone(),
                    wealth,
                    evidence: wealth / self.required_wealth,
                    difference: comparison.difference,
                });
            }
        }
        worst
    }

    fn deviations(&self, measure: usize, samples: &[NodeSample]) -> Vec<Deviation> {
        let deviation = |sample: &NodeSample| {
            Some(Deviation {
                node: sample.node,
                value: sample.values[measure]? - self.baseline.means[sample.node][measure],
            })
        };
        samples.iter().filter_map(deviation).collect()
    }

    fn compare_measure(
        &mut self,
        measure: usize,
        changed: &[NodeSample],
        unchanged: &[NodeSample],
    ) -> Option<Comparison> {
        let changed = self.deviations(measure, changed);
        let unchanged = self.deviations(measure, unchanged);
        if changed.is_empty() || unchanged.is_empty() {
            return None;
        }
        // The margin depends only on earlier intervals: a bet must not depend on the outcome that it bets on.
        let standard_deviation = self.standard_deviation(measure);
        for deviation in &unchanged {
            self.unchanged_means[measure][deviation.node].add(deviation.value);
        }
        let difference = if Baseline::is_resource(measure) {
            median_difference(&changed, &unchanged)?
        } else {
            mean(&changed) - mean(&unchanged)
        };
        let variance_factor = 1.0 / changed.len() as f64 + 1.0 / unchanged.len() as f64;
        let margin = self.min_harm[measure]
            + MARGIN_DEVIATIONS * standard_deviation * variance_factor.sqrt();
        Some(Comparison { difference, margin })
    }

    /// Bets each stake of each stage's test that the difference exceeds the margin.
    fn bet(&mut self, measure: usize, comparison: &Comparison) {
        let Comparison { difference, margin } = *comparison;
        let clamp = if Baseline::is_bursty(measure) {
            BURSTY_CLAMP_MARGINS
        } else {
            CLAMP_MARGINS
        };
        let excess = difference.clamp(-clamp * margin, clamp * margin) - margin;
        // With a larger stake the wealth could become negative.
        let max_stake = 1.0 / ((clamp + 1.0) * margin);
        for stage in &mut self.wealth {
            for (wealth, stake) in stage[measure].iter_mut().zip(STAKES) {
                *wealth *= 1.0 + stake * max_stake * excess;
            }
        }
    }

    /// Returns the wealth of a measure, averaged over stakes and stages; future stages count as 1.
    fn mean_wealth(&self, measure: usize) -> f64 {
        let started = self.wealth.iter().flat_map(|stage| &stage[measure]);
        let started = started.sum::<f64>() / STAKES.len() as f64;
        let future = (self.stages - self.wealth.len()) as f64;
        (started + future) / self.stages as f64
    }

    /// Returns the number of intervals after which the strongest possible harm is detected.
    pub fn min_intervals(&self) -> usize {
        let growth = 1.0 + STAKES[0] * (CLAMP_MARGINS - 1.0) / (CLAMP_MARGINS + 1.0);
        let required = self.required_wealth * (STAKES.len() * self.stages) as f64;
        (required.ln() / growth.ln()).ceil() as usize
    }

    /// Returns the standard deviation of the unchanged nodes' means, or `min_harm` of the measure with fewer than two
    /// nodes.
    fn standard_deviation(&self, measure: usize) -> f64 {
        let means: Vec<f64> = self.unchanged_means[measure]
            .iter()
            .filter_map(RunningMean::get)
            .collect();
        if means.len() < 2 {
            return self.min_harm[measure];
        }
        let mean = means.iter().sum::<f64>() / means.len() as f64;
        let squares = means.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
        (squares / (means.len() - 1) as f64).sqrt()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Index of the measure `opened` (connections opened).
    const OPENED: usize = 5;

    /// Returns the highest evidence over 200 intervals in which the nodes have these values of `opened` and 0 for all
    /// other measures.
    fn max_evidence(changed: &[f64], unchanged: &[f64]) -> f64 {
        let nodes = changed.len() + unchanged.len();
        let measures = Baseline::default().measure_count();
        let baseline = Baseline {
            means: vec![vec![0.0; measures]; nodes],
            ..Baseline::default()
        };
        let mut judge = Judge::new(baseline, nodes, 2, 0.01, 0.01);
        judge.begin_stage();
        let samples = |opened: &[f64], first: usize| -> Vec<NodeSample> {
            let sample = |(index, opened): (usize, &f64)| {
                let mut values = vec![Some(0.0); measures];
                values[OPENED] = Some(*opened);
                NodeSample {
                    node: first + index,
                    values,
                }
            };
            opened.iter().enumerate().map(sample).collect()
        };
        let changed_samples = samples(changed, 0);
        let unchanged_samples = samples(unchanged, changed.len());
        (0..200)
            .filter_map(|_| judge.compare(&changed_samples, &unchanged_samples))
            .map(|finding| finding.evidence)
            .fold(0.0, f64::max)
    }

    /// Guards against the rollback of a harmless change because one node keeps opening connections: intervals are not
    /// independent if a node stays in a state that it entered by chance.
    #[test]
    fn given_an_outlier_node_when_compared_then_it_is_not_harm_but_outliers_at_all_changed_nodes_are()
     {
        assert!(max_evidence(&[1.0], &[0.0]) < 1.0);
        assert!(max_evidence(&[1.0, 0.0], &[0.0, 0.0]) < 1.0);
        assert!(max_evidence(&[1.0, 1.0], &[1.0, 0.0]) < 1.0);
        assert!(max_evidence(&[1.0, 1.0], &[0.0, 0.0]) >= 1.0);
        assert!(max_evidence(&[1.0, 1.0, 0.0], &[0.0, 0.0, 0.0]) >= 1.0);
    }
}
