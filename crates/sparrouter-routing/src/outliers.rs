//! Ejects servers that fail requests which others would serve, judged over all nodes.
//!
//! A server may fail part of its requests while its health check succeeds. One node sees too few of a server's requests
//! to tell this from chance, so each failure is reported to one node, the server's owner, which adds them up. Failures
//! decay within seconds, and so does what follows from them: an ejected server is avoided for [`EJECTION_PERIOD`] after
//! the last verdict, and then gets requests again, whose failures are the next evidence.
//!
//! No server is ejected for requests that would fail anywhere: a request that fails at every server has one key, and a
//! verdict requires failures under several keys, or requests that another server answered after this one had failed them.
//! It also requires a minimal failure rate, so that a server with rare failures stays. The number of requests that the
//! server answered is estimated from what the reporting nodes had answered there, as the same mean is expected at all
//! nodes.
//!
//! Source: outlier detection as in Envoy ("Outlier detection", Envoy documentation), here over a fleet and by failure rate.
use crate::{DecayingCount, Nanos};
use std::collections::BTreeMap;

/// How long a server stays ejected after a verdict.
pub const EJECTION_PERIOD: Nanos = 3_000_000_000;

/// Smallest decayed count of failures for a verdict: three of them within a second.
const MIN_FAILURES: f64 = 2.5;
/// The same for a server that was ejected within the last [`REPEAT_PERIOD`].
const MIN_FAILURES_REPEATED: f64 = 1.5;
const REPEAT_PERIOD: Nanos = 10_000_000_000;
/// Smallest number of different keys among the requests that failed.
const MIN_KEYS: usize = 3;
/// Smallest decayed count of requests that another server answered, in place of different keys.
const MIN_SERVED_ELSEWHERE: f64 = 1.5;
/// Smallest fraction of a server's requests that fail.
const MIN_FAILURE_RATE: f64 = 0.25;
/// Largest number of servers whose failures are stored.
const MAX_SERVERS: usize = 4_096;
/// A decayed count of failures below this is no evidence any more.
const NEGLIGIBLE: f64 = 0.01;

/// A request that failed at a server, as the node reports it that sent it there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Hash of the server's id.
    pub server: u64,
    /// Key that the request's server was selected by.
    pub key: u64,
    /// Decayed count of requests that this server answered to the reporting node; see [`DecayingCount`].
    pub answered: f64,
}

/// What was reported of one server.
#[derive(Debug, Default)]
struct Evidence {
    failures: DecayingCount,
    /// Sum of what the reporting nodes had answered, one summand per failure.
    answered: DecayingCount,
    /// Requests that failed here and were answered elsewhere.
    served_elsewhere: DecayingCount,
    /// The last different keys of failed requests, the newest last; at most [`MIN_KEYS`].
    keys: Vec<u64>,
    ejected_at: Option<Nanos>,
}

impl Evidence {
    fn record_failure(&mut self, failure: Failure, now: Nanos) {
        if self.failures.value(now) < NEGLIGIBLE {
            self.keys.clear();
        }
        self.failures.add(1.0, now);
        self.answered.add(failure.answered.max(0.0), now);
        self.keys.retain(|key| *key != failure.key);
        if self.keys.len() == MIN_KEYS {
            self.keys.remove(0);
        }
        self.keys.push(failure.key);
    }

    /// Estimated fraction of the server's requests that fail, if `nodes` nodes send requests to it.
    fn failure_rate(&self, nodes: usize, now: Nanos) -> f64 {
        let failures = self.failures.value(now);
        let answered_per_node = self.answered.value(now) / failures.max(NEGLIGIBLE);
        failures / (failures + answered_per_node * nodes as f64)
    }

    fn was_ejected_within(&self, period: Nanos, now: Nanos) -> bool {
        self.ejected_at
            .is_some_and(|ejected_at| now.saturating_sub(ejected_at) < period)
    }

    fn is_outlier(&self, nodes: usize, now: Nanos) -> bool {
        let min_failures = if self.was_ejected_within(REPEAT_PERIOD, now) {
            MIN_FAILURES_REPEATED
        } else {
            MIN_FAILURES
        };
        let is_server_at_fault =
            self.keys.len() >= MIN_KEYS || self.served_elsewhere.value(now) >= MIN_SERVED_ELSEWHERE;
        is_server_at_fault
            && self.failures.value(now) >= min_failures
            && self.failure_rate(nodes, now) >= MIN_FAILURE_RATE
    }
}

/// Failures at the servers that one node owns, by the hash of the server's id; at most 4,096 servers.
#[derive(Debug, Default)]
pub struct Outliers(BTreeMap<u64, Evidence>);

impl Outliers {
    /// Records that a request which failed at this server was answered by another one.
    pub fn record_served_elsewhere(&mut self, server: u64, now: Nanos) {
        if let Some(evidence) = self.0.get_mut(&server) {
            evidence.served_elsewhere.add(1.0, now);
        }
    }

    /// Records a failure, and returns whether the server is to be ejected now; true at most once in half of
    /// [`EJECTION_PERIOD`] for a server. `nodes`: how many nodes send requests to the server.
    pub fn record_failure(&mut self, failure: Failure, nodes: usize, now: Nanos) -> bool {
        if self.0.len() >= MAX_SERVERS && !self.0.contains_key(&failure.server) {
            self.0
                .retain(|_, evidence| evidence.failures.value(now) >= NEGLIGIBLE);
        }
        if self.0.len() >= MAX_SERVERS {
            return false;
        }
        let evidence = self.0.entry(failure.server).or_default();
        evidence.record_failure(failure, now);
        if evidence.was_ejected_within(EJECTION_PERIOD / 2, now) {
            return false;
        }
        let is_outlier = evidence.is_outlier(nodes, now);
        if is_outlier {
            evidence.ejected_at = Some(now);
        }
        is_outlier
    }
}
