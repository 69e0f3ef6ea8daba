//! Tells harm from chance: changed nodes against unchanged ones that were restarted just as lately, in the same
//! intervals, with the node as the unit.
//!
//! A sequential test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting",
//! 2024): in each interval a stake is laid on the changed nodes doing worse than the others by more than a margin.
//! Where they do not, the expected wealth never grows, so that by Ville's inequality (1939) it reaches 1/a for at most a
//! fraction a of all harmless changes, however often one looks. Two groups of one size drawn by hash may be swapped:
//! their difference is as likely to be x as -x, also when clamped to a range, so its mean is 0. Nodes differ for good:
//! each is compared with its own baseline, and the margin holds what the unchanged still differ by.
use crate::baseline::{Baseline, Measurements};

/// Stakes, as fractions of the most that may be laid.
const STAKES: [f64; 3] = [0.9, 0.45, 0.15];
/// The margin holds so many standard deviations of what unchanged nodes differ by.
const MARGIN_DEVIATIONS: f64 = 3.0;
/// Differences are clamped to so many margins.
const CLAMP: f64 = 3.0;
/// The same for measures of rare events, which come in bursts.
const BURSTY_CLAMP: f64 = 30.0;

/// A node's measurements in one interval.
#[derive(Clone, Debug)]
pub struct NodeSample {
    /// Index of the node.
    pub node: usize,
    /// Its values.
    pub values: Measurements,
}

/// The measure that speaks most for harm.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its name.
    pub measure: String,
    /// What its stakes have grown to from 1.
    pub wealth: f64,
    /// The wealth as a fraction of what the test requires: from 1 on it is harm.
    pub evidence: f64,
    /// By how much changed nodes were worse in the last interval.
    pub difference: f64,
}

/// How a node's value of one measure differs from its baseline.
#[derive(Clone, Copy)]
struct Deviation {
    node: usize,
    value: f64,
}

/// The changed and the unchanged nodes in one interval, by one measure.
struct Comparison {
    /// By how much the changed ones are worse.
    difference: f64,
    /// What the difference has to exceed to count as harm.
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

/// The difference of the two groups' medians, those that lie closest: the lower median of the changed, the upper one of
/// the unchanged. A node may enter a state by chance and stay there (connections that it takes for short-lived, for
/// example): then intervals are not independent, and one such node had the whole change rolled back.
fn median_difference(changed: &[Deviation], unchanged: &[Deviation]) -> Option<f64> {
    let (changed, unchanged) = (ascending(changed), ascending(unchanged));
    let are_groups = changed.len() > 1 && unchanged.len() > 1;
    are_groups.then(|| changed[(changed.len() - 1) / 2] - unchanged[unchanged.len() / 2])
}

/// The test of one rollout.
pub struct Judge {
    baseline: Baseline,
    measure_names: Vec<String>,
    /// By measure, the harm up to which a change is not stopped.
    min_harm: Vec<f64>,
    /// By stage so far and measure, the wealth of each stake of the test begun with that stage. They are averaged, with
    /// those of stages to come at 1: evidence of earlier stages counts on, and harm that begins late meets a stake that
    /// has not shrunk.
    wealth: Vec<Vec<[f64; STAKES.len()]>>,
    stages: usize,
    /// By measure and node, the mean difference of unchanged nodes from their baseline.
    unchanged_means: Vec<Vec<RunningMean>>,
    /// The wealth that the test requires.
    required_wealth: f64,
    /// Intervals of this stage in which both groups were compared.
    compared_intervals: usize,
}

impl Judge {
    /// A test before its first stage.
    ///
    /// `min_harm`: fraction of the billed value up to which harm is not worth a stop. `false_stop_rate`: fraction of the
    /// harmless changes that may be stopped, in all `stages` together.
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

    /// Begins the test of a stage.
    pub fn begin_stage(&mut self) {
        if self.wealth.len() < self.stages {
            let measures = self.min_harm.len();
            self.wealth.push(vec![[1.0; STAKES.len()]; measures]);
        }
        self.compared_intervals = 0;
    }

    /// Intervals of this stage in which both groups were compared.
    pub fn compared_intervals(&self) -> usize {
        self.compared_intervals
    }

    /// Takes what changed and unchanged nodes did in one interval. One in which a group is empty says nothing.
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
        // The margin by what was seen before this interval: a stake may not know the outcome that it is laid on.
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

    /// Lays each stake of each stage's test on the difference exceeding the margin.
    fn bet(&mut self, measure: usize, comparison: &Comparison) {
        let Comparison { difference, margin } = *comparison;
        let clamp = if Baseline::is_bursty(measure) {
            BURSTY_CLAMP
        } else {
            CLAMP
        };
        let excess = difference.clamp(-clamp * margin, clamp * margin) - margin;
        // With a larger stake the wealth could fall below 0.
        let max_stake = 1.0 / ((clamp + 1.0) * margin);
        for stage in &mut self.wealth {
            for (wealth, stake) in stage[measure].iter_mut().zip(STAKES) {
                *wealth *= 1.0 + stake * max_stake * excess;
            }
        }
    }

    /// The wealth of a measure, averaged over stakes and stages; stages to come count as 1.
    fn mean_wealth(&self, measure: usize) -> f64 {
        let begun = self.wealth.iter().flat_map(|stage| &stage[measure]);
        let begun = begun.sum::<f64>() / STAKES.len() as f64;
        let to_come = (self.stages - self.wealth.len()) as f64;
        (begun + to_come) / self.stages as f64
    }

    /// The intervals that the clearest harm takes to be found.
    pub fn min_intervals(&self) -> usize {
        let growth = 1.0 + STAKES[0] * (CLAMP - 1.0) / (CLAMP + 1.0);
        let required = self.required_wealth * (STAKES.len() * self.stages) as f64;
        (required.ln() / growth.ln()).ceil() as usize
    }

    /// Standard deviation of the unchanged nodes' means; with fewer than two of them the least harm worth a stop.
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

    /// Index of the measure of connections opened.
    const OPENED: usize = 5;

    /// The highest evidence in 200 intervals with these values of connections opened; nothing else differs.
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

    /// A harmless change was rolled back as one node opened connections again and again: intervals are not independent
    /// where a node stays in a state that it entered by chance.
    #[test]
    fn one_node_in_a_lasting_state_is_no_harm_and_all_of_them_are() {
        assert!(max_evidence(&[1.0], &[0.0]) < 1.0);
        assert!(max_evidence(&[1.0, 0.0], &[0.0, 0.0]) < 1.0);
        assert!(max_evidence(&[1.0, 1.0], &[1.0, 0.0]) < 1.0);
        assert!(max_evidence(&[1.0, 1.0], &[0.0, 0.0]) >= 1.0);
        assert!(max_evidence(&[1.0, 1.0, 0.0], &[0.0, 0.0, 0.0]) >= 1.0);
    }
}
