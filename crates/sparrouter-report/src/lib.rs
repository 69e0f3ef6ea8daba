//! The report a node writes about itself: one JSON object a line, by default once a second.
//!
//! Counters start at 0 with each process and never decrease while it runs. A lost line therefore loses no events:
//! [`Report::since`] computes the difference between any two lines of one process. Field names are the JSON keys
//! that operators read (`docs/operating/shares.md`, `docs/operating/rollout.md`); they keep the terms of these pages.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counters of one operation since the process started.
///
/// `asked` and `in_time` are sums of billed values, not numbers of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Operation {
    /// Name of the operation in the node's configuration.
    pub name: String,
    /// Billed value of all requests received.
    pub asked: f64,
    /// Billed value earned, at most `asked`: a request answered within the latency target earns its full value, a later
    /// one a configured fraction of it.
    pub in_time: f64,
    /// Requests received.
    pub taken: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests rejected by a quota or shed.
    pub throttled: u64,
    /// Requests answered with an error.
    pub errored: u64,
    /// Succeeded requests by latency: a histogram of [`BUCKETS`] counts, indexed by [`bucket`].
    pub latency: Vec<u64>,
}

/// A node's quota share of one common limit. Rates are units a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Share {
    /// Name of the limit.
    pub limit: String,
    /// Rate limit of the whole fleet.
    pub per_s: f64,
    /// Rate that this node may use now: its own quota share minus `lent` plus `held`.
    pub part: f64,
    /// Rate borrowed from other nodes, included in `part`.
    pub held: f64,
    /// Rate loaned to other nodes.
    pub lent: f64,
    /// Rate that this node needs, estimated from its arrivals.
    pub need: f64,
    /// Units requested since the process started.
    pub arrived: u64,
    /// Units admitted under the limit since the process started; at most `arrived`.
    pub within: u64,
}

/// One line of a node's report file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The node's name.
    pub name: String,
    /// Version of the program.
    pub version: String,
    /// Operator's label for the deployed program and settings; a rollout uses it to distinguish updated nodes.
    pub generation: String,
    /// Digest of the cache servers chosen for sample keys: nodes with different digests place keys differently.
    pub placement: String,
    /// Digest of the settings in force: equal settings have equal digests.
    pub settings: String,
    /// Format versions of peer messages that this node can read.
    pub notes: Vec<u8>,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
    /// Wall-clock time in milliseconds since 1970, for people and files; no decision depends on it.
    pub unix_ms: u64,
    /// Counters of each operation.
    pub operations: Vec<Operation>,
    /// Requests forwarded to cache servers or the origin, each attempt counted.
    pub forwards: u64,
    /// Requests forwarded to the origin, included in `forwards`.
    pub fetches: u64,
    /// Connections opened to cache servers and the origin.
    pub opened: u64,
    /// Requests that earned no value, by the reason for rejecting or shedding them.
    pub given_up: BTreeMap<String, u64>,
    /// Number of times a cache server became suspected.
    pub doubts: u64,
    /// Requests forwarded to cache servers that were warming up.
    pub cold_sends: u64,
    /// CPU time used by the process, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory in KiB at the time of the report.
    pub memory_kib: u64,
    /// Open file descriptors at the time of the report.
    pub descriptors: u64,
    /// Quota shares; empty if common limits are not enforced through leases.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<Share>,
    /// Invariant violations.
    pub breaches: u64,
}

/// Number of buckets in a latency histogram.
pub const BUCKETS: usize = 64;

/// Returns the histogram bucket of a latency in microseconds: twice its binary logarithm, so the latency doubles every
/// two buckets.
///
/// The result is below [`BUCKETS`]; 0 µs counts as 1 µs.
pub fn bucket(latency_us: u64) -> usize {
    ((latency_us.max(1) as f64).log2() * 2.0) as usize % BUCKETS
}

/// Subtracts a counter's earlier value. A counter that decreased, which only a defect explains, counts as unchanged.
fn subtract(counter: &mut u64, earlier: u64) {
    *counter = counter.saturating_sub(earlier);
}

impl Operation {
    /// Subtracts the counters of an earlier report of the same process.
    fn subtract(&mut self, earlier: &Operation) {
        self.asked -= earlier.asked;
        self.in_time -= earlier.in_time;
        subtract(&mut self.taken, earlier.taken);
        subtract(&mut self.succeeded, earlier.succeeded);
        subtract(&mut self.throttled, earlier.throttled);
        subtract(&mut self.errored, earlier.errored);
        for (count, earlier) in self.latency.iter_mut().zip(&earlier.latency) {
            subtract(count, *earlier);
        }
    }
}

impl Report {
    /// Returns the difference between an earlier report of the same process and this one.
    ///
    /// Counters of requests, connections and processor time become differences; all other fields (name, memory,
    /// descriptors, quota shares, invariant violations) keep this report's values. If the uptime is shorter than in
    /// the earlier report, the process was restarted and its counters began at 0, so the whole report is returned.
    pub fn since(&self, earlier: &Report) -> Report {
        if earlier.uptime_ms > self.uptime_ms {
            return self.clone();
        }
        let mut difference = self.clone();
        difference.subtract_node_counters(earlier);
        for operation in &mut difference.operations {
            let same_name = |o: &&Operation| o.name == operation.name;
            if let Some(earlier) = earlier.operations.iter().find(same_name) {
                operation.subtract(earlier);
            }
        }
        difference
    }

    /// Subtracts the earlier values of the counters that are not kept per operation.
    fn subtract_node_counters(&mut self, earlier: &Report) {
        subtract(&mut self.forwards, earlier.forwards);
        subtract(&mut self.fetches, earlier.fetches);
        subtract(&mut self.opened, earlier.opened);
        subtract(&mut self.doubts, earlier.doubts);
        subtract(&mut self.cold_sends, earlier.cold_sends);
        subtract(&mut self.cpu_ms, earlier.cpu_ms);
        for (reason, count) in &mut self.given_up {
            subtract(count, earlier.given_up.get(reason).copied().unwrap_or(0));
        }
    }
}
