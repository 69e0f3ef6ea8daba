//! Decides which servers load new weights next, and how many do so at the same time.
//!
//! Servers whose version has the earliest time limit load first, because after its limit a server gets no requests until
//! it has newer weights. A server on a newer outdated version therefore never precedes one on an older version.
use crate::{Nanos, Timestamp};

/// Number of servers that may load at the same time, however few are ready.
const MIN_CONCURRENT: usize = 2;
/// One server per this many ready servers, rounded up, may load at the same time, but at least
/// [`MIN_CONCURRENT`] servers.
const READY_PER_LOADING: usize = 3;
/// Minimum time in seconds that is assumed to remain until a limit. A limit that has passed therefore requires the most
/// servers at once.
const MIN_REMAINING_SECONDS: f64 = 0.01;

/// A server that runs an older version than the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedServer {
    /// The server's instance id.
    pub id: String,
    /// Time limit from which on no request may start on the server's version.
    pub limit: Timestamp,
    /// Whether the server is loading new weights.
    pub is_loading: bool,
    /// Whether all nodes know that the server will load new weights soon, and route long generations to other servers.
    pub is_announced: bool,
    /// Requests running and queued at the server, by its last report.
    pub load: u32,
    /// This node's requests in flight at the server.
    pub in_flight: u32,
}

/// The next actions for the outdated servers of one service. No server is in both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Ids of the servers that start loading now.
    pub begin: Vec<String>,
    /// Ids of the servers that load after those in `begin`.
    pub announce: Vec<String>,
}

/// Decides the next step. `ready`: the number of ready servers of the service, outdated or not; `seconds_each`: the
/// loading time per server in seconds.
pub fn next_step(
    mut outdated: Vec<OutdatedServer>,
    ready: usize,
    seconds_each: f64,
    now: Nanos,
) -> RolloutStep {
    let max_loading = max_concurrent(&outdated, ready, seconds_each, now);
    let loading = outdated.iter().filter(|server| server.is_loading).count();
    outdated.retain(|server| !server.is_loading);
    // Among servers with the same limit, announced ones load first, and then the least busy ones: loading waits for the
    // requests at a server to end.
    outdated.sort_by_key(|server| {
        (
            server.limit,
            !server.is_announced,
            server.load,
            server.in_flight,
        )
    });
    let begin = max_loading.saturating_sub(loading).min(outdated.len());
    let mut ids = outdated.into_iter().map(|server| server.id);
    RolloutStep {
        begin: ids.by_ref().take(begin).collect(),
        announce: ids.take(max_loading).collect(),
    }
}

/// Number of servers that must load at the same time so that each has loaded by its limit, within the bounds above.
fn max_concurrent(
    outdated: &[OutdatedServer],
    ready: usize,
    seconds_each: f64,
    now: Nanos,
) -> usize {
    let mut limits: Vec<Timestamp> = outdated.iter().map(|server| server.limit).collect();
    limits.sort_unstable();
    let required = limits.iter().zip(1..).map(|(limit, servers)| {
        let remaining_seconds = (*limit as f64 - now as f64) / 1e9;
        f64::from(servers) * seconds_each / remaining_seconds.max(MIN_REMAINING_SECONDS)
    });
    let required = required.fold(0.0, f64::max).ceil() as usize;
    required
        .min(ready.div_ceil(READY_PER_LOADING))
        .max(MIN_CONCURRENT)
}
