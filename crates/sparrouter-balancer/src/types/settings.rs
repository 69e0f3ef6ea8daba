//! What operators state: operations, tenants, limits, and the surroundings of the node.
use super::Nanos;

/// The cache servers that drop a repeat of a deduplicated invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All cache servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What it means to run an invocation twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// A repeat is dropped by the cache servers of `group` for `window` nanoseconds after the first forward.
    Deduplicated {
        /// The cache servers that know of each other's invocations.
        group: Group,
        /// How long a repeat is dropped, in nanoseconds.
        window: Nanos,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// An operation that clients invoke.
#[derive(Clone, Debug)]
pub struct Operation {
    /// What it means to run it twice.
    pub effect: Effect,
    /// Latency target (SLO) of an invocation without work of its own, in nanoseconds.
    pub latency_target: Nanos,
    /// The latency target grows by this multiple of the invocation's own work.
    pub stretch: f64,
    /// How long clients wait, in nanoseconds.
    pub client_timeout: Nanos,
    /// Billed value of one invocation.
    pub billed_value: f64,
    /// Fraction of the billed value that an answer past the latency target still earns.
    pub late_value_fraction: f64,
    /// Answers are streams.
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its share of the capacity, from 0 to 1.
    pub share: f64,
    /// Invocations a second that it may make, over all nodes.
    pub quota_per_s: f64,
}

/// What one invocation may cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForwardLimits {
    /// Most forwards for one invocation.
    pub max_forwards: usize,
    /// Two forwards of one invocation may be in flight at once (hedged requests).
    pub allows_hedging: bool,
    /// Forwards may be withdrawn.
    pub withdraw: bool,
    /// Longest wait that a throttling reply may advise, in nanoseconds; none where replies carry no advice.
    pub max_retry_after: Option<Nanos>,
}

/// The figures of the four safety rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// How long after a client's deadline its answer may still come, in nanoseconds.
    pub answer_slack: Nanos,
    /// How often the list of cache servers has to be requested at least, in nanoseconds.
    pub poll_interval: Nanos,
    /// Capacity of a cache server at its start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Time in which the capacity rises from the start to full, in nanoseconds.
    pub warm_up_period: Nanos,
    /// Multiple of its capacity above which a cache server that warms up collapses.
    pub fall_multiple: f64,
    /// How long the load must stay above that multiple, in nanoseconds.
    pub fall: Nanos,
    /// Only draining binds: a cache server that is listed as removed, or no more, may still get forwards.
    pub removal_is_advisory: bool,
}

/// Where missing values come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginMode {
    /// The cache servers fetch by themselves.
    Through,
    /// The node fetches from a list entry of this kind after a miss, and sends it the writes.
    Aside {
        /// Index of the origin's kind.
        kind: usize,
    },
}

/// What is stated of this node's surroundings.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Seed of all random draws of the node.
    pub seed: u64,
    /// Index of this node among all nodes.
    pub own_index: usize,
    /// How many nodes the deployment has.
    pub nodes: usize,
    /// Health checks are allowed.
    pub allows_health_checks: bool,
    /// Nodes may send gossip to each other.
    pub peers: bool,
    /// The finest time that this node can tell apart, in nanoseconds.
    pub tick: Nanos,
    /// The list of cache servers comes only to nodes that request it.
    pub list_is_polled: bool,
    /// Listed weights follow the load of the moment, so they say nothing lasting about size.
    pub live_weights: bool,
    /// Fraction of its value that an invocation beyond its tenant's quota earns.
    pub over_quota_value_fraction: f64,
    /// A fingerprint of the tenants' names in their order: nodes that differ here count arrivals by other tenants.
    pub tenants_fingerprint: u16,
}

/// The index of an operation under new settings, and its index under the old ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationMapping {
    /// Its index from now on.
    pub new_index: usize,
    /// Its index so far; `None` for a new operation.
    pub old_index: Option<usize>,
}
