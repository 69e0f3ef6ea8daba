//! Plays everything around a node on 127.0.0.0/8: cache servers, origin, discovery, links, clients. It
//! starts real nodes, switches faults by a scenario, keeps a ledger of every invocation and judges the
//! four rules from it.
//!
//! By folder: `scenario` (what is to happen, read and drawn ahead; no I/O), `stand_ins` (what a node meets),
//! `clients` (load), `ledger` (lives of invocations and the audit; no I/O), `play` (one run),
//! `rollout` (a change of the nodes while all goes on),
//! `experiment` (several runs compared), `report` (run.json and report.html), `scripted` (stand-ins for plain
//! tests, one act a forward).
pub mod arrival;
pub mod clients;
pub mod experiment;
pub mod http;
pub mod ledger;
pub mod play;
pub mod report;
pub mod rollout;
pub mod scenario;
pub mod scripted;
pub mod stand_ins;
pub mod workers;

/// Nanoseconds since the run began, or a span of them.
pub type Nanos = u64;
/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;

/// Seconds of a scenario as nanoseconds; negative ones count as none.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * 1e9) as Nanos
}
