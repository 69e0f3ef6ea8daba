//! Which servers fail requests that others would serve, judged over all nodes.
//!
//! A server may fail part of its requests while its health check is good. One node sees too few of a server's requests to
//! tell this from chance, so each failure is reported to one node, the server's keeper, which adds them up. Failures fade
//! within seconds, and so does what follows from them: a server is avoided for [`AVOIDED`] after the last verdict, and
//! then gets requests again, whose failures are the next evidence.
//!
//! No server is blamed for what would have failed anywhere: a request that fails at every server has one key, and a
//! verdict takes failures under several keys, or requests that another server answered after this one had failed them. It
//! also takes a share of all of the server's requests, so that one that
//! fails now and then is left alone; the number of those that it answered is estimated from what the reporting nodes had
//! answered there, as the same mean is expected at all nodes.
//!
//! Source: outlier detection as in Envoy ("Outlier detection", Envoy documentation), here over a fleet, by share.
use crate::Nanos;
use std::collections::BTreeMap;

/// For so long after a verdict a server is avoided.
pub const EJECTION_PERIOD: Nanos = 3_000_000_000;

/// Seconds in which what was counted fades to a third, about.
const FADE: f64 = 4.0;
/// Least faded failures of a verdict: three of them within a second.
const LEAST_FAILURES: f64 = 2.5;
/// The same for a server that was avoided lately.
const LEAST_FAILURES_AGAIN: f64 = 1.5;
/// How long a server counts as avoided lately.
const LATELY: Nanos = 10_000_000_000;
/// Least different keys of the requests that failed.
const LEAST_KEYS: usize = 3;
/// Least faded requests that another server answered, in place of different keys.
const LEAST_SERVED_ELSEWHERE: f64 = 1.5;
/// Least share of a server's requests that fail.
const LEAST_SHARE: f64 = 0.25;
/// Most servers of which failures are kept.
const MOST: usize = 4_096;
/// Evidence of which so little is left is dropped.
const FORGOTTEN: f64 = 0.01;

/// A count that fades with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCount {
    value: f64,
    at: Nanos,
}

impl DecayingCount {
    /// What is left of it.
    pub fn value(&self, now: Nanos) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / 1e9;
        self.value * (-passed / FADE).exp()
    }

    /// Adds to it.
    pub fn add(&mut self, count: f64, now: Nanos) {
        *self = DecayingCount {
            value: self.value(now) + count,
            at: self.at.max(now),
        };
    }
}

/// A request that failed at a server, as the node reports it that sent it there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Hash of the server's id.
    pub server: u64,
    /// Key of the request's election.
    pub key: u64,
    /// Requests that this server answered to the reporting node lately; see [`DecayingCount`].
    pub answered: f64,
}

/// What is known of one server.
#[derive(Debug, Default)]
struct Evidence {
    failures: DecayingCount,
    /// Sum of what the reporting nodes had answered.
    answered: DecayingCount,
    /// Requests that failed here and were answered elsewhere.
    served_elsewhere: DecayingCount,
    /// The last different keys, the newest last.
    keys: Vec<u64>,
    avoided_at: Option<Nanos>,
}

impl Evidence {
    fn take(&mut self, failure: Failure, now: Nanos) {
        if self.failures.value(now) < FORGOTTEN {
            self.keys.clear();
        }
        self.failures.add(1.0, now);
        self.answered.add(failure.answered.max(0.0), now);
        self.keys.retain(|key| *key != failure.key);
        if self.keys.len() == LEAST_KEYS {
            self.keys.remove(0);
        }
        self.keys.push(failure.key);
    }

    /// Part of the server's requests that failed, where so many nodes send to it.
    fn share(&self, nodes: usize, now: Nanos) -> f64 {
        let failures = self.failures.value(now);
        let answered_per_node = self.answered.value(now) / failures.max(FORGOTTEN);
        failures / (failures + answered_per_node * nodes as f64)
    }

    fn is_outlier(&self, nodes: usize, now: Nanos) -> bool {
        let was_avoided = self
            .avoided_at
            .is_some_and(|at| now.saturating_sub(at) < LATELY);
        let least = if was_avoided {
            LEAST_FAILURES_AGAIN
        } else {
            LEAST_FAILURES
        };
        let is_its_own = self.keys.len() >= LEAST_KEYS
            || self.served_elsewhere.value(now) >= LEAST_SERVED_ELSEWHERE;
        is_its_own && self.failures.value(now) >= least && self.share(nodes, now) >= LEAST_SHARE
    }
}

/// Failures at the servers that one node keeps account of.
#[derive(Debug, Default)]
pub struct Outliers(BTreeMap<u64, Evidence>);

impl Outliers {
    /// Takes in that a request which failed at this server was answered by another.
    pub fn served_elsewhere(&mut self, server: u64, now: Nanos) {
        if let Some(evidence) = self.0.get_mut(&server) {
            evidence.served_elsewhere.add(1.0, now);
        }
    }

    /// Takes in a failure. `nodes`: how many nodes send requests to the server. Whether it is to be avoided now; true at
    /// most once in half of [`AVOIDED`] for a server.
    pub fn failed(&mut self, failure: Failure, nodes: usize, now: Nanos) -> bool {
        if self.0.len() >= MOST && !self.0.contains_key(&failure.server) {
            self.0.retain(|_, e| e.failures.value(now) >= FORGOTTEN);
        }
        if self.0.len() >= MOST {
            return false;
        }
        let evidence = self.0.entry(failure.server).or_default();
        evidence.take(failure, now);
        let is_told = evidence
            .avoided_at
            .is_some_and(|at| now.saturating_sub(at) < EJECTION_PERIOD / 2);
        let is_outlier = !is_told && evidence.is_outlier(nodes, now);
        if is_outlier {
            evidence.avoided_at = Some(now);
        }
        is_outlier
    }
}
