//! Harm told from chance: changed nodes against unchanged ones that were restarted just as lately, in the same span
//! of time, the node as the unit.
//!
//! A sequential test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
//! betting", 2024): in each span a stake is laid on the changed ones doing worse than the others by more than a
//! margin. Where they do not, the stake's expected worth never grows, so that by Ville's inequality (1939) it
//! reaches 1/a in a part a of all sound changes at the most, however often one looks. Two groups of one size drawn by
//! hash may be swapped: their difference is as likely to be x as -x, also when cut to a range, so its mean is 0.
//! Nodes differ for good (one has the loud customer): each is held against its own past, and the margin holds
//! what the unchanged still differ by.
use crate::report::{BUCKETS, Report};
use serde::{Deserialize, Serialize};

/// What is compared of a node in a span, as parts of one; none where nothing was asked.
pub type Parts = Vec<Option<f64>>;

/// What the fleet was like before the change: what latency is slow, by operation, and each node's own means.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Past {
    /// Operations by name, with the first bucket of latencies that counts as slow.
    pub operations: Vec<(String, usize)>,
    pub forwards: f64,
    pub fetches: f64,
    pub opened: f64,
    pub cpu_ms: f64,
    pub memory_kib: f64,
    pub descriptors: f64,
    /// By node and measure.
    pub means: Vec<Vec<f64>>,
    /// Billed value not in time, of the whole fleet.
    pub lost: f64,
}

/// Part of the answers before the change that counts as slow.
const SLOW: f64 = 0.1;
/// Measures of all operations together, then of each.
const OF_ALL: [&str; 9] = [
    "lost",
    "errored",
    "throttled",
    "forwards",
    "fetches",
    "opened",
    "cpu",
    "memory",
    "descriptors",
];
const OF_EACH: [&str; 4] = ["lost", "errored", "slow", "latency"];
/// Least harm worth a stop, as multiples of the least loss of billed value. Errors are wrong answers: far fewer matter.
const LEAST_ALL: [f64; 9] = [1.0, 0.1, 2.0, 1.0, 4.0, 8.0, 8.0, 2.0, 2.0];
const LEAST_EACH: [f64; 4] = [2.0, 0.1, 3.0, 0.4];
/// Differences are cut to so many margins; those of what is rare, and then counts in lumps, to more.
const CUT: f64 = 3.0;
const CUT_RARE: f64 = 30.0;
const RARE: &str = "errored";

fn part(of: f64, all: f64) -> Option<f64> {
    (all > 0.0).then(|| (of / all).clamp(0.0, 1.0))
}

/// Connections and fetches an invocation, below which a past counts as this: beside next to none, one connection more
/// in a span passed for harm, and a sound change was taken back by it.
const FEW: f64 = 0.1;
/// Measures from here on up to those of each operation are what a node uses, not what its clients get.
const USED: std::ops::Range<usize> = 3..OF_ALL.len();

/// The middle of the two groups that lie closest: the lower of the middle ones of the changed, the upper one of the
/// unchanged. A node may come into a state by chance and stay there (links that it holds to be short-lived, say): then
/// spans are not a new draw each, and one such node had the whole change taken back.
fn apart(new: &[(usize, f64)], old: &[(usize, f64)]) -> Option<f64> {
    let sorted = |of: &[(usize, f64)]| {
        let mut all: Vec<f64> = of.iter().map(|x| x.1).collect();
        all.sort_by(f64::total_cmp);
        all
    };
    let (new, old) = (sorted(new), sorted(old));
    let two = new.len() > 1 && old.len() > 1;
    two.then(|| new[(new.len() - 1) / 2] - old[old.len() / 2])
}

/// Beside its past, as a part of four times that: a rise by a quarter is a sixteenth.
fn beside(now: f64, past: f64) -> Option<f64> {
    (past > 0.0).then(|| (now / (4.0 * past)).clamp(0.0, 1.0))
}

impl Past {
    /// From all that each node did in the time before the change, as one report of differences and the latest as
    /// it is. Nodes that did not report stand for the mean of the others.
    pub fn of(nodes: &[Option<(Report, Report)>]) -> Past {
        let (mut past, mut histograms) = (Past::default(), Vec::<(String, Vec<u64>)>::new());
        let heard = || nodes.iter().flatten();
        for op in heard().flat_map(|(d, _)| &d.operations) {
            let at = histograms
                .iter()
                .position(|h| h.0 == op.name)
                .unwrap_or_else(|| {
                    histograms.push((op.name.clone(), vec![0; BUCKETS]));
                    histograms.len() - 1
                });
            histograms[at]
                .1
                .iter_mut()
                .zip(&op.latency)
                .for_each(|(h, n)| *h += n);
        }
        histograms.sort();
        for (name, histogram) in histograms {
            let (all, mut seen) = (histogram.iter().sum::<u64>() as f64, 0.0);
            let slow = histogram.iter().position(|&n| {
                seen += n as f64;
                seen > (1.0 - SLOW) * all
            });
            past.operations
                .push((name, slow.map_or(BUCKETS, |s| s + 1)));
        }
        let count = heard().count().max(1) as f64;
        let taken = heard().map(|(d, _)| taken(d)).sum::<f64>().max(1.0);
        past.forwards = heard().map(|(d, _)| d.forwards as f64).sum::<f64>() / taken;
        past.fetches = (heard().map(|(d, _)| d.fetches as f64).sum::<f64>() / taken).max(FEW);
        past.opened = (heard().map(|(d, _)| d.opened as f64).sum::<f64>() / taken).max(FEW);
        past.cpu_ms = heard().map(|(d, _)| d.cpu_ms as f64).sum::<f64>() / taken;
        past.memory_kib = heard().map(|(_, r)| r.memory_kib as f64).sum::<f64>() / count;
        past.descriptors = heard().map(|(_, r)| r.descriptors as f64).sum::<f64>() / count;
        let asked: f64 = heard()
            .flat_map(|(d, _)| &d.operations)
            .map(|o| o.asked)
            .sum();
        let in_time: f64 = heard()
            .flat_map(|(d, _)| &d.operations)
            .map(|o| o.in_time)
            .sum();
        past.lost = part(asked - in_time, asked).unwrap_or(0.0);
        let own: Vec<Option<Parts>> = nodes
            .iter()
            .map(|n| n.as_ref().map(|(d, r)| past.parts(d, r)))
            .collect();
        let mean = |m: usize| {
            let known: Vec<f64> = own.iter().flatten().filter_map(|p| p[m]).collect();
            known.iter().sum::<f64>() / known.len().max(1) as f64
        };
        let means: Vec<f64> = (0..past.names().len()).map(mean).collect();
        let of = |p: &Option<Parts>, m: usize| p.as_ref().and_then(|p| p[m]).unwrap_or(means[m]);
        past.means = own
            .iter()
            .map(|p| (0..means.len()).map(|m| of(p, m)).collect())
            .collect();
        past
    }

    pub fn names(&self) -> Vec<String> {
        let each = self
            .operations
            .iter()
            .flat_map(|o| OF_EACH.map(|m| format!("{m} of {}", o.0)));
        OF_ALL.iter().map(|m| m.to_string()).chain(each).collect()
    }

    /// `done`: what the node did in a span; `as_is`: its latest report.
    pub fn parts(&self, done: &Report, as_is: &Report) -> Parts {
        let sum = |f: &dyn Fn(&crate::report::Operation) -> f64| {
            done.operations.iter().map(f).sum::<f64>()
        };
        let (asked, all) = (sum(&|o| o.asked), taken(done));
        let each = |n: u64, past: f64| part(n as f64, all).and(beside(n as f64 / all, past));
        let mut parts = vec![
            part(asked - sum(&|o| o.in_time), asked),
            part(sum(&|o| o.errored as f64), all),
            part(sum(&|o| o.throttled as f64), all),
            each(done.forwards, self.forwards),
            each(done.fetches, self.fetches),
            each(done.opened, self.opened),
            each(done.cpu_ms, self.cpu_ms),
            beside(as_is.memory_kib as f64, self.memory_kib),
            beside(as_is.descriptors as f64, self.descriptors),
        ];
        for (name, slow) in &self.operations {
            let op = done.operations.iter().find(|o| o.name == *name);
            parts.push(op.and_then(|o| part(o.asked - o.in_time, o.asked)));
            parts.push(op.and_then(|o| part(o.errored as f64, o.taken as f64)));
            parts.push(op.and_then(|o| {
                part(
                    o.latency.iter().skip(*slow).sum::<u64>() as f64,
                    o.succeeded as f64,
                )
            }));
            // The mean bucket: a third slower is 0.83 of one, a tenth 0.28.
            let weighed = |o: &crate::report::Operation| -> f64 {
                o.latency
                    .iter()
                    .enumerate()
                    .map(|(n, c)| n as f64 * *c as f64)
                    .sum()
            };
            parts.push(op.and_then(|o| part(weighed(o) / BUCKETS as f64, o.succeeded as f64)));
        }
        parts
    }
}

fn taken(r: &Report) -> f64 {
    r.operations.iter().map(|o| o.taken as f64).sum()
}

/// Stakes, as parts of the most that may be laid.
const STAKES: [f64; 3] = [0.9, 0.45, 0.15];
/// So many deviations of what unchanged nodes differ by belong to the margin.
const DEVIATIONS: f64 = 3.0;

#[derive(Clone, Debug, Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, x: f64) {
        (self.sum, self.count) = (self.sum + x, self.count + 1.0);
    }
    fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// One stage's test, for one set of changed nodes and one of unchanged.
pub struct Judge {
    past: Past,
    least: Vec<f64>,
    /// Worth of each stake by measure, of the test begun with each stage so far. They are averaged, those of stages to
    /// come at 1: evidence of earlier stages counts on, and a harm that begins late meets a stake that has not shrunk.
    worth: Vec<Vec<[f64; STAKES.len()]>>,
    stages: usize,
    /// By measure and node, what the unchanged differ from their own past by.
    differ: Vec<Vec<Mean>>,
    /// What the test must reach.
    wanted: f64,
    pub spans: usize,
}

/// The measure that did worst, what its stakes have grown to from 1, how far the test has come (1: harm), and the
/// difference in the last span.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub measure: String,
    pub worth: f64,
    pub reached: f64,
    pub worse: f64,
}

impl Judge {
    /// `least`: part of the billed value, harm up to which is not worth stopping for. `false_stops`: part of the
    /// sound changes that may be stopped, in all stages together.
    pub fn new(past: Past, nodes: usize, stages: usize, least: f64, false_stops: f64) -> Judge {
        let measures = past.names().len();
        let of = |m: usize| match m.checked_sub(OF_ALL.len()) {
            None => LEAST_ALL[m],
            Some(each) => LEAST_EACH[each % OF_EACH.len()],
        };
        Judge {
            least: (0..measures).map(|m| least * of(m)).collect(),
            worth: Vec::new(),
            stages: stages.max(1),
            differ: vec![vec![Mean::default(); nodes]; measures],
            wanted: measures as f64 / false_stops,
            past,
            spans: 0,
        }
    }

    /// A stage begins to be watched.
    pub fn stage(&mut self) {
        if self.worth.len() < self.stages {
            self.worth.push(vec![[1.0; STAKES.len()]; self.least.len()]);
        }
        self.spans = 0;
    }

    /// One span: what changed and unchanged nodes did in it. A span in which one group is empty tells nothing.
    pub fn span(
        &mut self,
        changed: &[(usize, Parts)],
        unchanged: &[(usize, Parts)],
    ) -> Option<Finding> {
        if changed.is_empty() || unchanged.is_empty() {
            return None;
        }
        self.spans += 1;
        let mut worst: Option<Finding> = None;
        for m in 0..self.least.len() {
            let own = |&(n, ref p): &(usize, Parts)| Some((n, p[m]? - self.past.means[n][m]));
            let (new, old): (Vec<_>, Vec<_>) = (
                changed.iter().filter_map(own).collect(),
                unchanged.iter().filter_map(own).collect(),
            );
            if new.is_empty() || old.is_empty() {
                continue;
            }
            // The margin by what was seen before this span: a stake may not know the outcome that it is laid on.
            let deviation = self.deviation(m);
            old.iter().for_each(|&(n, x)| self.differ[m][n].add(x));
            let mean = |of: &[(usize, f64)]| of.iter().map(|x| x.1).sum::<f64>() / of.len() as f64;
            let worse = match USED.contains(&m) {
                true => apart(&new, &old),
                false => Some(mean(&new) - mean(&old)),
            };
            let Some(worse) = worse else { continue };
            let each = 1.0 / new.len() as f64 + 1.0 / old.len() as f64;
            let margin = self.least[m] + DEVIATIONS * deviation * each.sqrt();
            let cut = if self.past.names()[m].starts_with(RARE) {
                CUT_RARE
            } else {
                CUT
            };
            let beyond = worse.clamp(-cut * margin, cut * margin) - margin;
            let most = 1.0 / ((cut + 1.0) * margin);
            for (worth, stake) in self
                .worth
                .iter_mut()
                .flat_map(|w| w[m].iter_mut().zip(STAKES))
            {
                *worth *= 1.0 + stake * most * beyond;
            }
            let begun: f64 =
                self.worth.iter().flat_map(|w| &w[m]).sum::<f64>() / STAKES.len() as f64;
            let worth = (begun + (self.stages - self.worth.len()) as f64) / self.stages as f64;
            if worst.as_ref().is_none_or(|w| w.worth < worth) {
                let (measure, reached) = (self.past.names()[m].clone(), worth / self.wanted);
                worst = Some(Finding {
                    measure,
                    worth,
                    reached,
                    worse,
                });
            }
        }
        worst
    }

    /// So many spans the clearest harm takes to be told.
    pub fn needed(&self) -> usize {
        let grows = 1.0 + STAKES[0] * (CUT - 1.0) / (CUT + 1.0);
        ((self.wanted * (STAKES.len() * self.stages) as f64).ln() / grows.ln()).ceil() as usize
    }

    /// Of the unchanged nodes' means; with less than two of them the least that is worth a stop stands for it.
    fn deviation(&self, m: usize) -> f64 {
        let means: Vec<f64> = self.differ[m].iter().filter_map(Mean::get).collect();
        if means.len() < 2 {
            return self.least[m];
        }
        let mean = means.iter().sum::<f64>() / means.len() as f64;
        (means.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (means.len() - 1) as f64).sqrt()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The 6th of all measures, connections opened, at these nodes; nothing else differs. How far the test came.
    fn reached(changed: &[f64], unchanged: &[f64]) -> f64 {
        let nodes = changed.len() + unchanged.len();
        let past = Past {
            means: vec![vec![0.0; OF_ALL.len()]; nodes],
            ..Past::default()
        };
        let mut judge = Judge::new(past, nodes, 2, 0.01, 0.01);
        judge.stage();
        let parts = |of: &[f64], from: usize| -> Vec<(usize, Parts)> {
            let each = |(n, x): (usize, &f64)| {
                let mut parts = vec![Some(0.0); OF_ALL.len()];
                parts[5] = Some(*x);
                (from + n, parts)
            };
            of.iter().enumerate().map(each).collect()
        };
        let (new, old) = (parts(changed, 0), parts(unchanged, changed.len()));
        (0..200)
            .filter_map(|_| judge.span(&new, &old))
            .map(|f| f.reached)
            .fold(0.0, f64::max)
    }

    /// A sound change was taken back as one node opened connections again and again: spans are no new draw each where a
    /// node stays in a state that it came into by chance.
    #[test]
    fn one_node_in_a_lasting_state_is_no_harm_of_the_change_and_all_of_them_are() {
        assert!(reached(&[1.0], &[0.0]) < 1.0);
        assert!(reached(&[1.0, 0.0], &[0.0, 0.0]) < 1.0);
        assert!(reached(&[1.0, 1.0], &[1.0, 0.0]) < 1.0);
        assert!(reached(&[1.0, 1.0], &[0.0, 0.0]) >= 1.0);
        assert!(reached(&[1.0, 1.0, 0.0], &[0.0, 0.0, 0.0]) >= 1.0);
    }
}
