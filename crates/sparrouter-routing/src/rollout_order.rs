//! Which servers take new weights next, and how many at a time.
//!
//! Servers whose version may be begun on for the shortest time go first: once its limit has passed, a server is of no use
//! until it has newer weights. So one that runs the version before the newest does not go ahead of one that runs an older.
use crate::{Nanos, Timestamp};

/// Servers that may be without service at a time, whatever else.
const LEAST_AT_ONCE: usize = 2;
/// Of the ready servers, one in so many may be without service at a time, unless that is less than `LEAST_AT_ONCE`.
const LARGEST_PART: usize = 3;
/// Shortest time that is reckoned with until a limit, in seconds: a limit that has passed asks for the most at once.
const SHORTEST_LEFT: f64 = 0.01;

/// A server that runs an older version than the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedServer {
    /// Its instance id.
    pub id: String,
    /// Until when a request may begin on what it runs.
    pub limit: Timestamp,
    /// It is taking new weights.
    pub is_loading: bool,
    /// All nodes were told that it takes new weights soon, and keep long generations away from it.
    pub is_announced: bool,
    /// Requests that it had running and waiting when it was asked.
    pub load: u32,
    /// Own requests in flight there.
    pub in_flight: u32,
}

/// What is to be done about the outdated servers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Servers that take new weights now.
    pub begin: Vec<String>,
    /// Servers that take new weights after those.
    pub announce: Vec<String>,
}

/// Decides the next step. `ready`: servers of the service that are ready, outdated or not; `seconds_each`: how long one
/// takes.
pub fn next_step(
    mut outdated: Vec<OutdatedServer>,
    ready: usize,
    seconds_each: f64,
    now: Nanos,
) -> RolloutStep {
    let most = most_at_once(&outdated, ready, seconds_each, now);
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
    let begin = most.saturating_sub(loading).min(outdated.len());
    let mut ids = outdated.into_iter().map(|server| server.id);
    RolloutStep {
        begin: ids.by_ref().take(begin).collect(),
        announce: ids.take(most).collect(),
    }
}

/// As many at a time as it takes for each to be done by its own limit, within bounds.
fn most_at_once(outdated: &[OutdatedServer], ready: usize, seconds_each: f64, now: Nanos) -> usize {
    let mut limits: Vec<Timestamp> = outdated.iter().map(|server| server.limit).collect();
    limits.sort_unstable();
    let needed = limits.iter().zip(1..).map(|(limit, servers)| {
        let left = (*limit as f64 - now as f64) / 1e9;
        f64::from(servers) * seconds_each / left.max(SHORTEST_LEFT)
    });
    let needed = needed.fold(0.0, f64::max).ceil() as usize;
    needed.min(ready.div_ceil(LARGEST_PART)).max(LEAST_AT_ONCE)
}
