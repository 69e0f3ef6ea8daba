//! What a node says of itself, a line of JSON each second. Counts only rise while a process lives, so that a lost
//! line costs nothing; a process that started anew begins at 0.
use serde::{Deserialize, Serialize};

/// Of one operation. Values are billed values; `latency` counts succeeded answers by half powers of two, in
/// microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Operation {
    pub name: String,
    pub asked: f64,
    pub in_time: f64,
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub latency: Vec<u64>,
}

/// A node's part of a limit that all nodes keep together, in units a second; `arrived` and `within` count since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Share {
    pub limit: String,
    /// Of all nodes together.
    pub per_s: f64,
    /// This node's part now, of which held of others; what it has lent; what it needs.
    pub part: f64,
    pub held: f64,
    pub lent: f64,
    pub need: f64,
    pub arrived: u64,
    pub within: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    pub name: String,
    pub version: String,
    pub generation: String,
    /// Of where sample keys go: two nodes that differ here disagree on a key's cache server.
    pub placement: String,
    /// Of the settings in force, the same at nodes that have the same.
    pub settings: String,
    /// Formats of notes that it reads.
    pub notes: Vec<u8>,
    pub uptime_ms: u64,
    /// By the machine's clock, for people and files; nothing is decided by it.
    pub unix_ms: u64,
    pub operations: Vec<Operation>,
    pub forwards: u64,
    pub fetches: u64,
    /// Connections opened to cache servers and the origin.
    pub opened: u64,
    /// Invocations that got no value, by the reason.
    pub given_up: std::collections::BTreeMap<String, u64>,
    /// Times that a cache server came into doubt, and forwards to cold ones.
    pub doubts: u64,
    pub cold_sends: u64,
    pub cpu_ms: u64,
    pub memory_kib: u64,
    pub descriptors: u64,
    /// Empty where common limits are not kept by leases.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<Share>,
    /// Times that something that must hold did not.
    pub breaches: u64,
}

pub const BUCKETS: usize = 64;

/// The bucket of a latency: 2 log2 of its microseconds.
pub fn bucket(us: u64) -> usize {
    ((us.max(1) as f64).log2() * 2.0) as usize % BUCKETS
}

impl Report {
    /// What came since an earlier report of the same process; all of it where the process is another.
    pub fn since(&self, old: &Report) -> Report {
        if old.uptime_ms > self.uptime_ms {
            return self.clone();
        }
        let mut new = self.clone();
        for (now, before) in [
            (&mut new.forwards, old.forwards),
            (&mut new.fetches, old.fetches),
            (&mut new.opened, old.opened),
            (&mut new.doubts, old.doubts),
            (&mut new.cold_sends, old.cold_sends),
            (&mut new.cpu_ms, old.cpu_ms),
        ] {
            *now = now.saturating_sub(before);
        }
        for (why, now) in &mut new.given_up {
            *now = now.saturating_sub(old.given_up.get(why).copied().unwrap_or(0));
        }
        for op in &mut new.operations {
            let Some(old) = old.operations.iter().find(|o| o.name == op.name) else {
                continue;
            };
            (op.asked, op.in_time) = (op.asked - old.asked, op.in_time - old.in_time);
            for (now, before) in [
                (&mut op.taken, old.taken),
                (&mut op.succeeded, old.succeeded),
                (&mut op.throttled, old.throttled),
                (&mut op.errored, old.errored),
            ] {
                *now = now.saturating_sub(before);
            }
            for (now, before) in op.latency.iter_mut().zip(&old.latency) {
                *now = now.saturating_sub(*before);
            }
        }
        new
    }
}
