//! Settings: operations, tenants, limits, safety rules, and the environment of the node.
use super::Nanos;

/// Scope of deduplication: the cache servers that drop a repeat of an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All cache servers.
    All,
    /// All cache servers of one zone.
    Zone,
    /// All cache servers of one cell.
    Cell,
}

/// Effect of executing an invocation more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The invocation may run any number of times.
    Idempotent,
    /// A repeat is dropped by the cache servers of `group` for `window` nanoseconds after the first forward.
    Deduplicated {
        /// The cache servers that deduplicate each other's invocations.
        group: Group,
        /// Time for which a repeat is dropped, in nanoseconds.
        window: Nanos,
    },
    /// The invocation must not run twice.
    NonIdempotent,
}

/// An operation that clients invoke.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Effect of executing an invocation of the operation more than once.
    pub effect: Effect,
    /// Latency target (SLO) of an invocation without announced work, in nanoseconds.
    pub latency_target: Nanos,
    /// Multiple of the invocation's announced work that is added to the latency target.
    pub stretch: f64,
    /// Time-out of the clients, in nanoseconds.
    pub client_timeout: Nanos,
    /// Billed value of one invocation.
    pub billed_value: f64,
    /// Fraction of the billed value that an answer after the latency target still earns.
    pub late_value_fraction: f64,
    /// Whether answers are streams.
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's share of the capacity, from 0 to 1.
    pub share: f64,
    /// The tenant's quota over all nodes, in invocations per second.
    pub quota_per_s: f64,
}

/// Limits on the forwards of one invocation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForwardLimits {
    /// Maximum number of forwards for one invocation.
    pub max_forwards: usize,
    /// Whether two forwards of one invocation may be in flight at the same time (hedged requests).
    pub allows_hedging: bool,
    /// Whether forwards may be withdrawn.
    pub withdraw: bool,
    /// Longest delay that a throttling reply may advise, in nanoseconds; `None` if replies carry no advice.
    pub max_retry_after: Option<Nanos>,
}

/// Parameters of the four safety rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time after a client's deadline within which its answer may still be sent, in nanoseconds.
    pub answer_slack: Nanos,
    /// Longest permitted interval between requests for the list of cache servers, in nanoseconds.
    pub poll_interval: Nanos,
    /// Capacity of a cache server at its start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Time in which the capacity rises from the initial to the full capacity, in nanoseconds.
    pub warm_up_period: Nanos,
    /// Multiple of its capacity above which a cache server that is warming up collapses.
    pub fall_multiple: f64,
    /// Time for which the load must stay above `fall_multiple` to make a cache server collapse, in nanoseconds.
    pub fall: Nanos,
    /// Whether removal from the list is advisory: only draining is binding, and a cache server that is listed as
    /// removed, or no longer listed, may still receive forwards.
    pub removal_is_advisory: bool,
}

/// Source of values that a cache server doesn't have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginMode {
    /// The cache servers fetch missing values themselves.
    Through,
    /// The node fetches from a list entry of this kind after a miss, and sends it the writes.
    Aside {
        /// Index of the origin's kind.
        kind: usize,
    },
}

/// The environment of this node.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Seed of all random draws of the node.
    pub seed: u64,
    /// Index of this node among all nodes.
    pub own_index: usize,
    /// Number of nodes in the deployment.
    pub nodes: usize,
    /// Whether health checks are allowed.
    pub allows_health_checks: bool,
    /// Whether nodes may send gossip to each other.
    pub peers: bool,
    /// Resolution of this node's timers, in nanoseconds.
    pub tick: Nanos,
    /// Whether the list of cache servers is sent only to nodes that request it.
    pub list_is_polled: bool,
    /// Whether listed weights follow the current load, so that they don't indicate the size of a server.
    pub live_weights: bool,
    /// Fraction of its value that an invocation above its tenant's quota earns.
    pub over_quota_value_fraction: f64,
    /// Fingerprint of the tenants' names in order: nodes with different fingerprints count arrivals for different
    /// tenants.
    pub tenants_fingerprint: u16,
}

/// Index of an operation under new settings, and its index under the old ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationMapping {
    /// Index under the new settings.
    pub new_index: usize,
    /// Index under the old settings; `None` for a new operation.
    pub old_index: Option<usize>,
}
