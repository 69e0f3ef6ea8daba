//! Event counters of a process; `api::metrics` exports them, by the names that dashboards use.
use std::cell::Cell;

/// Event counters.
#[derive(Debug, Default)]
pub struct Counters {
    /// Changes of the core that this node saw; each restarts the time limits of versions.
    pub core_changes: Cell<u64>,
    /// Requests for which no server was ready: every server is loading weights, runs outdated ones, is full, or is
    /// unreachable.
    pub no_server_ready: Cell<u64>,
    /// Requests that were sent to a server whose weights are older than the newest version.
    pub sent_to_older_weights: Cell<u64>,
    /// Responses that began on outdated weights after the time limit of a newer version: each violates the rule VERSION
    /// of RULES.md.
    pub began_beyond_limit: Cell<u64>,
    /// Requests that waited at a server on outdated weights until they must not begin there any more.
    pub withdrawn_from_older_weights: Cell<u64>,
    /// Requests with API keys that were refused because the lease on the configuration had expired.
    pub refused_without_lease: Cell<u64>,
    /// Servers that this node reported as outliers: they fail requests which other servers complete.
    pub servers_avoided: Cell<u64>,
    /// Orders to load weights that servers accepted.
    pub orders_accepted: Cell<u64>,
    /// Orders to load weights that were declined.
    pub orders_declined: Cell<u64>,
    /// Orders to load weights that were not answered.
    pub orders_unanswered: Cell<u64>,
    /// Requests that were sent under a permit of their tenant's quota.
    pub permits_spent: Cell<u64>,
    /// Permits that expired before their request could be sent.
    pub permits_expired: Cell<u64>,
    /// Permits that were returned unspent.
    pub permits_returned: Cell<u64>,
    /// Requests that were refused because their tenant's quota is used up.
    pub quota_refused: Cell<u64>,
    /// Requests that were refused because no lease holder of their tenant's quota answered.
    pub quota_unavailable: Cell<u64>,
}

/// Increments a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
