//! What the fleet was like before the change, and the measures by which nodes are compared with it.
//!
//! Nodes differ for good (one serves the busiest client), so each is compared with its own mean before the change.
use crate::report::{BUCKETS, Operation, Report};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A node's values in a time, one a measure in the order of [`Baseline::measure_names`], each a fraction between 0 and
/// 1 that grows with harm; `None` where nothing was requested.
pub type Measurements = Vec<Option<f64>>;

/// A measure by which nodes are compared.
struct Measure {
    name: &'static str,
    /// The least harm worth a stop, as a multiple of the least loss of billed value that is. Errors are wrong answers:
    /// far fewer of them matter.
    harm_factor: f64,
}

const fn measure(name: &'static str, harm_factor: f64) -> Measure {
    Measure { name, harm_factor }
}

/// Measures of a node as a whole. Those from [`FIRST_RESOURCE`] on are what a node uses, not what its clients get.
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

/// Measures of each operation, which follow those of the node.
const OPERATION_MEASURES: [Measure; 4] = [
    measure("lost", 2.0),
    measure("errored", 0.1),
    measure("slow", 3.0),
    measure("latency", 0.4),
];

/// A measure of events that are rare and come in bursts.
const BURSTY_MEASURE: &str = "errored";
/// Fraction of the answers before the change that counts as slow.
const SLOW_FRACTION: f64 = 0.1;
/// Connections and fetches a request below which a baseline counts as this. Beside a baseline of nearly nothing, one
/// connection more in an interval looked like harm, and a harmless change was rolled back.
const MIN_PER_REQUEST: f64 = 0.1;

/// Latencies of an operation before the change; in the log a pair of name and bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, usize)", into = "(String, usize)")]
pub struct OperationBaseline {
    /// Name of the operation.
    pub name: String,
    /// First bucket of latencies that counts as slow.
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

/// What the fleet was like before the change. Its field names stand in the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// Operations in order of their names.
    pub operations: Vec<OperationBaseline>,
    /// Requests forwarded per request received.
    pub forwards: f64,
    /// Requests to the origin per request received.
    pub fetches: f64,
    /// Connections opened per request received.
    pub opened: f64,
    /// Processor time in milliseconds per request received.
    pub cpu_ms: f64,
    /// Mean resident memory of a node in KiB.
    pub memory_kib: f64,
    /// Mean number of open file descriptors of a node.
    pub descriptors: f64,
    /// Mean of each measure at each node, by node and measure.
    pub means: Vec<Vec<f64>>,
    /// Fraction of the billed value that the whole fleet lost.
    pub lost: f64,
}

/// What a node did in a time, and its state at the end of it.
#[derive(Clone, Debug)]
pub struct NodeActivity {
    /// The difference of its counters.
    pub done: Report,
    /// Its latest report.
    pub latest: Report,
}

impl NodeActivity {
    /// The activity between two reports of a node.
    pub fn between(earlier: &Report, latest: &Report) -> NodeActivity {
        NodeActivity {
            done: latest.since(earlier),
            latest: latest.clone(),
        }
    }
}

/// `value` of `total`, within [0, 1]; `None` of nothing.
fn fraction(value: f64, total: f64) -> Option<f64> {
    (total > 0.0).then(|| (value / total).clamp(0.0, 1.0))
}

/// A value beside its baseline, as a fraction of four times that: a rise by a quarter is a sixteenth.
fn relative_to(baseline: f64, value: f64) -> Option<f64> {
    (baseline > 0.0).then(|| (value / (4.0 * baseline)).clamp(0.0, 1.0))
}

/// Requests that a node received.
fn requests(report: &Report) -> f64 {
    report.operations.iter().map(|o| o.taken as f64).sum()
}

/// Fraction of an operation's answers from the slow bucket on.
fn slow_fraction(operation: &Operation, slow_bucket: usize) -> Option<f64> {
    let slow: u64 = operation.latency.iter().skip(slow_bucket).sum();
    fraction(slow as f64, operation.succeeded as f64)
}

/// The mean latency bucket, as a fraction of all. Two buckets double the latency: a third slower is 0.83 of a bucket, a
/// tenth 0.28.
fn mean_bucket(operation: &Operation) -> Option<f64> {
    let weighted: f64 = operation
        .latency
        .iter()
        .enumerate()
        .map(|(bucket, count)| bucket as f64 * *count as f64)
        .sum();
    fraction(weighted / BUCKETS as f64, operation.succeeded as f64)
}

/// The slow bucket of each operation: the first above all but the slowest answers of all nodes.
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
        let last_fast = histogram.iter().position(|&count| {
            answered += count as f64;
            answered > (1.0 - SLOW_FRACTION) * total
        });
        OperationBaseline {
            name: name.to_string(),
            slow_bucket: last_fast.map_or(BUCKETS, |bucket| bucket + 1),
        }
    };
    histograms.into_iter().map(learn).collect()
}

impl Baseline {
    /// Learns the baseline from what each node did in the time before the change. A node that did not report is taken
    /// for the mean of the others.
    pub fn learn(nodes: &[Option<NodeActivity>]) -> Baseline {
        let known = || nodes.iter().flatten();
        let sum = |value: &dyn Fn(&NodeActivity) -> f64| known().map(value).sum::<f64>();
        let count = known().count().max(1) as f64;
        let requests = sum(&|n| requests(&n.done)).max(1.0);
        let operations = || known().flat_map(|n| &n.done.operations);
        let requested: f64 = operations().map(|o| o.asked).sum();
        let in_time: f64 = operations().map(|o| o.in_time).sum();
        let mut baseline = Baseline {
            operations: learn_operations(known().map(|n| &n.done)),
            forwards: sum(&|n| n.done.forwards as f64) / requests,
            fetches: (sum(&|n| n.done.fetches as f64) / requests).max(MIN_PER_REQUEST),
            opened: (sum(&|n| n.done.opened as f64) / requests).max(MIN_PER_REQUEST),
            cpu_ms: sum(&|n| n.done.cpu_ms as f64) / requests,
            memory_kib: sum(&|n| n.latest.memory_kib as f64) / count,
            descriptors: sum(&|n| n.latest.descriptors as f64) / count,
            means: Vec::new(),
            lost: fraction(requested - in_time, requested).unwrap_or(0.0),
        };
        baseline.means = baseline.learn_means(nodes);
        baseline
    }

    /// Each node's own value of each measure; the mean of the others where it has none.
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

    /// Number of measures.
    pub fn measure_count(&self) -> usize {
        NODE_MEASURES.len() + OPERATION_MEASURES.len() * self.operations.len()
    }

    /// Names of all measures: of the node as a whole, then of each operation.
    pub fn measure_names(&self) -> Vec<String> {
        let of_node = NODE_MEASURES.iter().map(|m| m.name.to_string());
        let of_operations = self.operations.iter().flat_map(|operation| {
            let name = |m: &Measure| format!("{} of {}", m.name, operation.name);
            OPERATION_MEASURES.iter().map(name)
        });
        of_node.chain(of_operations).collect()
    }

    /// A measure's least harm worth a stop, as a multiple of the least loss of billed value that is.
    pub(crate) fn harm_factor(measure: usize) -> f64 {
        match measure.checked_sub(NODE_MEASURES.len()) {
            None => NODE_MEASURES[measure].harm_factor,
            Some(index) => OPERATION_MEASURES[index % OPERATION_MEASURES.len()].harm_factor,
        }
    }

    /// Whether a measure is of resources that a node uses, not of what its clients get.
    pub(crate) fn is_resource(measure: usize) -> bool {
        (FIRST_RESOURCE..NODE_MEASURES.len()).contains(&measure)
    }

    /// Whether a measure counts rare events that come in bursts.
    pub(crate) fn is_bursty(measure: usize) -> bool {
        let name = match measure.checked_sub(NODE_MEASURES.len()) {
            None => NODE_MEASURES[measure].name,
            Some(index) => OPERATION_MEASURES[index % OPERATION_MEASURES.len()].name,
        };
        name == BURSTY_MEASURE
    }

    /// The values of all measures for what a node did in a time.
    pub fn measure(&self, node: &NodeActivity) -> Measurements {
        let (done, latest) = (&node.done, &node.latest);
        let sum =
            |value: &dyn Fn(&Operation) -> f64| done.operations.iter().map(value).sum::<f64>();
        let requested = sum(&|o| o.asked);
        let requests = requests(done);
        let per_request = |count: u64, baseline: f64| {
            let is_used = fraction(count as f64, requests);
            is_used.and(relative_to(baseline, count as f64 / requests))
        };
        let mut values = vec![
            fraction(requested - sum(&|o| o.in_time), requested),
            fraction(sum(&|o| o.errored as f64), requests),
            fraction(sum(&|o| o.throttled as f64), requests),
            per_request(done.forwards, self.forwards),
            per_request(done.fetches, self.fetches),
            per_request(done.opened, self.opened),
            per_request(done.cpu_ms, self.cpu_ms),
            relative_to(self.memory_kib, latest.memory_kib as f64),
            relative_to(self.descriptors, latest.descriptors as f64),
        ];
        for baseline in &self.operations {
            let operation = done.operations.iter().find(|o| o.name == baseline.name);
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
