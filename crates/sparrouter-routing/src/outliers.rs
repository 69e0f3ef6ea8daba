//! Ejects servers that fail requests which other servers answer, by the failures that all nodes report.
//!
//! A server may fail part of its requests while its health check succeeds. One node sends too few requests to a server to
//! tell this from chance, so every failure is reported to one node, the server's owner, which counts them. Failures decay
//! within seconds, and ejections are short: an ejected server is avoided for [`EJECTION_PERIOD`] after the last decision,
//! then gets requests again, and further failures can eject it again.
//!
//! No server is ejected for requests that would fail at any server: such a request has one key, and an ejection requires
//! failures of several keys, or requests that failed here and were answered by another server. It also requires a minimum
//! failure rate, so that a server with rare failures is not ejected. The number of requests that the server answered is
//! estimated from the counts of the nodes that report failures, assuming the same mean on all nodes.
//!
//! Source: outlier detection as in Envoy ("Outlier detection", Envoy documentation), here over a fleet and by failure rate.
use crate::{DecayingCount, Nanos};
use std::collections::BTreeMap;

/// How long a server stays ejected after the decision to eject it.
pub const EJECTION_PERIOD: Nanos = 3_000_000_000;

/// Minimum decayed count of failures for an ejection: three failures within a second.
const MIN_FAILURES: f64 = 2.5;
/// Minimum decayed count of failures for a server that was ejected within the last [`REPEAT_PERIOD`].
const MIN_FAILURES_REPEATED: f64 = 1.5;
const REPEAT_PERIOD: Nanos = 10_000_000_000;
/// Minimum number of distinct keys of failed requests.
const MIN_KEYS: usize = 3;
/// Minimum decayed count of failed requests that another server answered, as an alternative to distinct keys.
const MIN_SERVED_ELSEWHERE: f64 = 1.5;
/// Minimum fraction of a server's requests that fail.
const MIN_FAILURE_RATE: f64 = 0.25;
/// Maximum number of servers whose failures are stored.
const MAX_SERVERS: usize = 4_096;
/// Decayed count of failures below which earlier failures are ignored.
const NEGLIGIBLE_FAILURES: f64 = 0.01;

/// A request that failed at a server, as reported by the node that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Hash of the server's id.
    pub server: u64,
    /// The key by which the request's server was selected.
    pub key: u64,
    /// Decayed count of the reporting node's requests that this server answered; see [`DecayingCount`].
    pub answered: f64,
}

/// The failures reported of one server.
#[derive(Debug, Default)]
struct ServerFailures {
    failures: DecayingCount,
    /// Decaying sum of [`Failure::answered`] over the reported failures.
    answered: DecayingCount,
    /// Requests that failed at this server and were answered by another one.
    served_elsewhere: DecayingCount,
    /// The most recent distinct keys of failed requests, the newest last; at most [`MIN_KEYS`].
    keys: Vec<u64>,
    ejected_at: Option<Nanos>,
}

impl ServerFailures {
    fn record_failure(&mut self, failure: Failure, now: Nanos) {
        if self.failures.value(now) < NEGLIGIBLE_FAILURES {
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
        let answered_per_node = self.answered.value(now) / failures.max(NEGLIGIBLE_FAILURES);
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

/// Failures at the servers that this node owns, by the hash of the server's id; at most 4,096 servers.
#[derive(Debug, Default)]
pub struct Outliers(BTreeMap<u64, ServerFailures>);

impl Outliers {
    /// Records that a request which failed at this server was answered by another server.
    pub fn record_served_elsewhere(&mut self, server: u64, now: Nanos) {
        if let Some(server_failures) = self.0.get_mut(&server) {
            server_failures.served_elsewhere.add(1.0, now);
        }
    }

    /// Records a failure, and returns whether the server is to be ejected now: at most once per half of
    /// [`EJECTION_PERIOD`] for each server. `nodes`: the number of nodes that send requests to the server.
    pub fn record_failure(&mut self, failure: Failure, nodes: usize, now: Nanos) -> bool {
        if self.0.len() >= MAX_SERVERS && !self.0.contains_key(&failure.server) {
            self.0.retain(|_, server_failures| {
                server_failures.failures.value(now) >= NEGLIGIBLE_FAILURES
            });
        }
        if self.0.len() >= MAX_SERVERS {
            return false;
        }
        let server_failures = self.0.entry(failure.server).or_default();
        server_failures.record_failure(failure, now);
        if server_failures.was_ejected_within(EJECTION_PERIOD / 2, now) {
            return false;
        }
        let is_outlier = server_failures.is_outlier(nodes, now);
        if is_outlier {
            server_failures.ejected_at = Some(now);
        }
        is_outlier
    }
}
