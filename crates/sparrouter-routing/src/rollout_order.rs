//! Which servers load new weights next, and how many at a time.
//!
//! Servers whose version is allowed for the shortest time go first: once its limit has passed, a server gets no requests
//! until it has newer weights. So one that runs the version before the newest does not precede one that runs an older.
use crate::{Nanos, Timestamp};

/// Number of servers that may load at a time, however few are ready.
const MIN_CONCURRENT: usize = 2;
/// Of the ready servers, one in so many may load at a time, unless that is less than [`MIN_CONCURRENT`].
const READY_PER_LOADING: usize = 3;
/// Shortest time in seconds that is assumed to remain until a limit: one that has passed requires the most at once.
const MIN_REMAINING_SECONDS: f64 = 0.01;

/// A server that runs an older version than the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedServer {
    /// Its instance id.
    pub id: String,
    /// Until when a request may begin on the version that it runs.
    pub limit: Timestamp,
    /// It is loading new weights.
    pub is_loading: bool,
    /// All nodes know that it loads new weights soon, and route long generations to other servers.
    pub is_announced: bool,
    /// Requests running and queued there when it last reported them.
    pub load: u32,
    /// This node's requests in flight there.
    pub in_flight: u32,
}

/// What is to be done about the outdated servers of one service. No server is in both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Ids of servers that begin to load now.
    pub begin: Vec<String>,
    /// Ids of servers that load after those.
    pub announce: Vec<String>,
}

/// Decides the next step. `ready`: how many servers of the service are ready, outdated or not; `seconds_each`: how long
/// loading takes per server, in seconds.
pub fn next_step(
    mut outdated: Vec<OutdatedServer>,
    ready: usize,
    seconds_each: f64,
    now: Nanos,
) -> RolloutStep {
    let max_loading = max_concurrent(&outdated, ready, seconds_each, now);
    let loading = outdated.iter().filter(|server| server.is_loading).count();
    outdated.retain(|server| !server.is_loading);
    // Among those of one version, the least busy are done soonest.
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

/// How many servers load at a time so that each has loaded by its own limit, within the bounds above.
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
