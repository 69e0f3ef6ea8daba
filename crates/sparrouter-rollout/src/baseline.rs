//! Baseline of the fleet before the change, and the measures by which nodes are compared.
//!
//! Nodes differ permanently (one serves the busiest client, for example), so each node is compared with its own mean
//! from before the change.
use crate::report::{BUCKETS, Operation, Report};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Measured values of a node over an interval, in the order of [`Baseline::measure_names`]. Each value is a fraction
/// between 0 and 1 that increases with harm; `None` if the node received no requests for that measure.
pub type Measurements = Vec<Option<f64>>;

/// A measure by which nodes are compared.
struct Measure {
    name: &'static str,
    /// Minimum harm of this measure that stops a rollout, as a multiple of the plan's `min_harm`. The factor is low for
    /// errors, because these are wrong answers: far fewer of them matter.
    harm_factor: f64,
}

const fn measure(name: &'static str, harm_factor: f64) -> Measure {
    Measure { name, harm_factor }
}

/// Measures of a whole node. From index [`FIRST_RESOURCE`] on they are resource usage, not results that clients get.
const NODE_MEASURES: [Measure; 9] = [
    measure("lost", 1.0),
    measure("errored", 0.1),
    measure("throttled", 2.0),
    measure("forwards", 1.0),
    measure("fetches", 4.0),
    measure("opened", 8.0),
    measure("cpu", 8.0),
    measure("memory", 2.0),
    measure("descriptors", 2.0),
];
const FIRST_RESOURCE: usize = 3;

/// Measures of each operation; they follow the measures of the node.
const OPERATION_MEASURES: [Measure; 4] = [
    measure("lost", 2.0),
    measure("errored", 0.1),
    measure("slow", 3.0),
    measure("latency", 0.4),
];

/// Name of the measure whose events are rare and occur in bursts.
const BURSTY_MEASURE: &str = "errored";
/// Fraction of the responses before the change that counts as slow.
const SLOW_FRACTION: f64 = 0.1;
/// Minimum baseline of connections per request and of fetches per request. With a baseline near 0, one additional
/// connection in an interval counted as harm, and a harmless change was rolled back.
const MIN_PER_REQUEST: f64 = 0.1;

/// Latency baseline of an operation. The log stores it as a pair of name and bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, usize)", into = "(String, usize)")]
pub struct OperationBaseline {
    /// Name of the operation.
    pub name: String,
    /// First latency bucket that counts as slow.
    pub slow_bucket: usize,
}

impl From<(String, usize)> for OperationBaseline {
    fn from((name, slow_bucket): (String, usize)) -> OperationBaseline {
        OperationBaseline { name, slow_bucket }
    }
}

impl From<OperationBaseline> for (String, usize) {
    fn from(operation: OperationBaseline) -> (String, usize) {
        (operation.name, operation.slow_bucket)
    }
}

/// Measurements of the fleet before the change. The field names are stored in the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// Operations, ordered by name.
    pub operations: Vec<OperationBaseline>,
    /// Requests forwarded per request received.
    pub forwards: f64,
    /// Requests to the origin per request received.
    pub fetches: f64,
    /// Connections opened per request received.
    pub opened: f64,
    /// Processor time in milliseconds per request received.
    pub cpu_ms: f64,
    /// Mean resident memory per node in KiB.
    pub memory_kib: f64,
    /// Mean number of open file descriptors per node.
    pub descriptors: f64,
    /// Mean of each measure at each node, indexed by node and then measure.
    pub means: Vec<Vec<f64>>,
    /// Loss of the whole fleet, as a fraction of the billed value.
    pub lost: f64,
}

/// Activity of a node over an interval, and its state at the end of the interval.
#[derive(Clone, Debug)]
pub struct NodeActivity {
    /// Increase of the node's counters over the interval.
    pub delta: Report,
    /// The node's report at the end of the interval.
    pub latest: Report,
}

impl NodeActivity {
    /// Returns the activity between two reports of a node.
    pub fn between(earlier: &Report, latest: &Report) -> NodeActivity {
        NodeActivity {
            delta: latest.since(earlier),
            latest: latest.clone(),
        }
    }
}

/// Returns `value / total`, clamped to [0, 1]; `None` if `total` is not positive.
fn fraction(value: f64, total: f64) -> Option<f64> {
    (total > 0.0).then(|| (value / total).clamp(0.0, 1.0))
}

/// Returns `value` as a fraction of four times its baseline, so that an increase by a quarter adds a sixteenth; `None` if
/// the baseline is not positive.
fn relative_to(baseline: f64, value: f64) -> Option<f64> {
    (baseline > 0.0).then(|| (value / (4.0 * baseline)).clamp(0.0, 1.0))
}

/// Returns the number of requests that a node received.
fn requests(report: &Report) -> f64 {
    report.operations.iter().map(|o| o.taken as f64).sum()
}

/// Returns the fraction of an operation's responses in `slow_bucket` or above.
fn slow_fraction(operation: &Operation, slow_bucket: usize) -> Option<f64> {
    let slow: u64 = operation.latency.iter().skip(slow_bucket).sum();
    fraction(slow as f64, operation.succeeded as f64)
}

/// Returns the mean latency bucket, as a fraction of the number of buckets. Two buckets double the latency: latency
/// that is a third higher moves the mean by 0.83 of a bucket, a tenth by 0.28.
fn mean_bucket(operation: &Operation) -> Option<f64> {
    let weighted: f64 = operation
        .latency
        .iter()
        .enumerate()
        .map(|(bucket, count)| bucket as f64 * *count as f64)
        .sum();
    fraction(weighted / BUCKETS as f64, operation.succeeded as f64)
}

/// Computes the slow bucket of each operation: the first bucket above all but the slowest [`SLOW_FRACTION`] of the
/// responses of all nodes.
fn learn_operations<'a>(reports: impl Iterator<Item = &'a Report>) -> Vec<OperationBaseline> {
    let mut histograms: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for operation in reports.flat_map(|report| &report.operations) {
        let histogram = histograms
            .entry(&operation.name)
            .or_insert_with(|| vec![0; BUCKETS]);
        for (sum, count) in histogram.iter_mut().zip(&operation.latency) {
            *sum += count;
        }
    }
    let learn = |(name, histogram): (&str, Vec<u64>)| {
        let total = histogram.iter().sum::<u64>() as f64;
        let mut answered = 0.0;
        let last_fast_bucket = histogram.iter().position(|&count| {
            answered += count as f64;
            answered > (1.0 - SLOW_FRACTION) * total
        });
        OperationBaseline {
            name: name.to_string(),
            slow_bucket: last_fast_bucket.map_or(BUCKETS, |bucket| bucket + 1),
        }
    };
    histograms.into_iter().map(learn).collect()
}

impl Baseline {
    /// Computes the baseline from the activity of each node before the change. A node without reports gets the mean of
    /// the other nodes.
    pub fn learn(nodes: &[Option<NodeActivity>]) -> Baseline {
        let known = || nodes.iter().flatten();
        let sum = |value: &dyn Fn(&NodeActivity) -> f64| known().map(value).sum::<f64>();
        let count = known().count().max(1) as f64;
        let requests = sum(&|n| requests(&n.delta)).max(1.0);
        let operations = || known().flat_map(|n| &n.delta.operations);
        let requested: f64 = operations().map(|o| o.asked).sum();
        let in_time: f64 = operations().map(|o| o.in_time).sum();
        let mut baseline = Baseline {
            operations: learn_operations(known().map(|n| &n.delta)),
            forwards: sum(&|n| n.delta.forwards as f64) / requests,
            fetches: (sum(&|n| n.delta.fetches as f64) / requests).max(MIN_PER_REQUEST),
            opened: (sum(&|n| n.delta.opened as f64) / requests).max(MIN_PER_REQUEST),
            cpu_ms: sum(&|n| n.delta.cpu_ms as f64) / requests,
            memory_kib: sum(&|n| n.latest.memory_kib as f64) / count,
            descriptors: sum(&|n| n.latest.descriptors as f64) / count,
            means: Vec::new(),
            lost: fraction(requested - in_time, requested).unwrap_or(0.0),
        };
        baseline.means = baseline.learn_means(nodes);
        baseline
    }

    /// Returns each node's own value of each measure, or the mean of the other nodes if it has none.
    fn learn_means(&self, nodes: &[Option<NodeActivity>]) -> Vec<Vec<f64>> {
        let own: Vec<Option<Measurements>> = nodes
            .iter()
            .map(|node| node.as_ref().map(|n| self.measure(n)))
            .collect();
        let fleet_mean = |measure: usize| {
            let known: Vec<f64> = own.iter().flatten().filter_map(|m| m[measure]).collect();
            known.iter().sum::<f64>() / known.len().max(1) as f64
        };
        let fleet_means: Vec<f64> = (0..self.measure_count()).map(fleet_mean).collect();
        let node_means = |own: &Option<Measurements>| -> Vec<f64> {
            fleet_means
                .iter()
                .enumerate()
                .map(|(measure, mean)| own.as_ref().and_then(|m| m[measure]).unwrap_or(*mean))
                .collect()
        };
        own.iter().map(node_means).collect()
    }

    /// Returns the number of measures.
    pub fn measure_count(&self) -> usize {
        NODE_MEASURES.len() + OPERATION_MEASURES.len() * self.operations.len()
    }

    /// Returns the names of all measures: first the measures of the node, then the measures of each operation.
    pub fn measure_names(&self) -> Vec<String> {
        let of_node = NODE_MEASURES.iter().map(|m| m.name.to_string());
        let of_operations = self.operations.iter().flat_map(|operation| {
            let name = |m: &Measure| format!("{} of {}", m.name, operation.name);
            OPERATION_MEASURES.iter().map(name)
        });
        of_node.chain(of_operations).collect()
    }

    /// Returns the minimum harm of a measure that stops a rollout, as a multiple of the plan's `min_harm`.
    pub(crate) fn harm_factor(measure: usize) -> f64 {
        match measure.checked_sub(NODE_MEASURES.len()) {
            None => NODE_MEASURES[measure].harm_factor,
            Some(index) => OPERATION_MEASURES[index % OPERATION_MEASURES.len()].harm_factor,
        }
    }

    /// Whether a measure is resource usage of a node, not a result that clients get.
    pub(crate) fn is_resource(measure: usize) -> bool {
        (FIRST_RESOURCE..NODE_MEASURES.len()).contains(&measure)
    }

    /// Whether a measure counts rare events that occur in bursts.
    pub(crate) fn is_bursty(measure: usize) -> bool {
        let name = match measure.checked_sub(NODE_MEASURES.len()) {
            None => NODE_MEASURES[measure].name,
            Some(index) => OPERATION_MEASURES[index % OPERATION_MEASURES.len()].name,
        };
        name == BURSTY_MEASURE
    }

    /// Computes the values of all measures for a node's activity.
    pub fn measure(&self, node: &NodeActivity) -> Measurements {
        let (delta, latest) = (&node.delta, &node.latest);
        let sum =
            |value: &dyn Fn(&Operation) -> f64| delta.operations.iter().map(value).sum::<f64>();
        let requested = sum(&|o| o.asked);
        let requests = requests(delta);
        let per_request = |count: u64, baseline: f64| {
            let served_fraction = fraction(count as f64, requests);
            served_fraction.and(relative_to(baseline, count as f64 / requests))
        };
        let mut values = vec![
            fraction(requested - sum(&|o| o.in_time), requested),
            fraction(sum(&|o| o.errored as f64), requests),
            fraction(sum(&|o| o.throttled as f64), requests),
            per_request(delta.forwards, self.forwards),
            per_request(delta.fetches, self.fetches),
            per_request(delta.opened, self.opened),
            per_request(delta.cpu_ms, self.cpu_ms),
            relative_to(self.memory_kib, latest.memory_kib as f64),
            relative_to(self.descriptors, latest.descriptors as f64),
        ];
        for baseline in &self.operations {
            let operation = delta.operations.iter().find(|o| o.name == baseline.name);
            values.extend([
                operation.and_then(|o| fraction(o.asked - o.in_time, o.asked)),
                operation.and_then(|o| fraction(o.errored as f64, o.taken as f64)),
                operation.and_then(|o| slow_fraction(o, baseline.slow_bucket)),
                operation.and_then(mean_bucket),
            ]);
        }
        values
    }
}
