//! The door between a protocol's adapter and the decisions: plain values, no I/O and no clock.
//!
//! Times are whole nanoseconds of a clock that only advances. An adapter maps the ids of its
//! protocol to small indices; a cache server's index may become another's only once it has been gone for
//! longer than any invocation is open, an invocation's index is never used twice.

pub type Nanos = u64;
pub type InvocationIndex = u32;
pub type CacheIndex = usize;
pub const MICRO: Nanos = 1_000;
pub const SECOND: Nanos = 1_000_000_000;

/// The cache servers that drop a repeat of a deduplicated invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated { group: Group, window: Nanos },
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct Operation {
    pub effect: Effect,
    pub latency_target: Nanos,
    /// The objective grows by this multiple of the invocation's own work.
    pub stretch: f64,
    pub client_timeout: Nanos,
    pub billed_value: f64,
    /// Part of the billed value that an answer past the objective still earns.
    pub late_value_fraction: f64,
    pub stream: bool,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub share: f64,
    pub quota_per_s: f64,
}

/// What one invocation may cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForwardLimits {
    pub max_forwards: usize,
    pub allows_hedging: bool,
    pub withdraw: bool,
    /// Longest wait that a throttling reply may advise; none where replies carry no advice.
    pub max_retry_after: Option<Nanos>,
}

/// The figures of the four rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub answer_slack: Nanos,
    pub poll_interval: Nanos,
    pub start_capacity: f64,
    pub warm_up_period: Nanos,
    pub fall_multiple: f64,
    pub fall: Nanos,
    /// Only draining binds: a cache server that is listed as gone, or no more, may still be sent to.
    pub removal_is_advisory: bool,
}

/// Where missing values come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginMode {
    /// The caches fetch by themselves.
    Through,
    /// The node fetches from a list entry of this kind after a miss and sends it the writes.
    Aside { kind: usize },
}

/// What the site says of this node's surroundings.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    pub seed: u64,
    pub own_index: usize,
    pub nodes: usize,
    pub allows_health_checks: bool,
    pub peers: bool,
    pub tick: Nanos,
    /// The list comes only to those who ask for it.
    pub list_is_polled: bool,
    /// Weights follow the load of the moment, so they say nothing lasting about size.
    pub live_weights: bool,
    pub over_quota_value_fraction: f64,
    /// A fingerprint of the tenants' names in their order: nodes that differ here count arrivals by other tenants.
    pub tenants_fingerprint: u16,
}

/// Where an operation of new settings stands, and where it stood under the old ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationMapping {
    pub new_index: usize,
    pub old_index: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LifecycleState {
    Ready,
    Draining,
    #[default]
    Left,
}

#[derive(Clone, Debug)]
pub struct CacheRecord {
    pub cache: CacheIndex,
    /// Same at every node for the same cache server.
    pub id_hash: u64,
    pub state: LifecycleState,
    pub zone: usize,
    pub cell: i64,
    pub kind: usize,
    pub weight: f64,
    pub ready_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Full,
    /// Held over from an earlier life of the node; may be old.
    Saved,
    /// A call came to nothing or the subscription broke; the list in hand stays.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// The cache server answered with an error; it may have run.
    Error,
    Full,
    TimedOut,
    /// No connection came up: the process may be gone.
    Unavailable,
    /// The connection broke; it may have run.
    Reset,
    Withdrawn,
    NotSent,
    Miss,
    /// An open connection broke before all was sent.
    Broken,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full
                | Outcome::Unavailable
                | Outcome::NotSent
                | Outcome::Miss
                | Outcome::Broken
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    Hit,
    Miss,
    MissWhileFetching,
}

/// A cache server's load report; values that a site does not send are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub active: Option<f64>,
    pub waiting: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub inv: InvocationIndex,
    pub operation: usize,
    pub tenant: Option<usize>,
    /// Hash of the key, the same at every node.
    pub key: Option<u64>,
    pub write: bool,
    pub repeat: bool,
    pub work: Option<Nanos>,
    pub deadline: Nanos,
    /// Whether it is within its tenant's quota, where that is kept by others; none: by the policy itself.
    pub is_within_quota: Option<bool>,
}

#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    pub inv: InvocationIndex,
    pub copy: usize,
    pub cache: CacheIndex,
    pub outcome: Outcome,
    pub latency: Nanos,
    /// The invocation is over, by this outcome or an earlier one.
    pub is_final: bool,
    pub cache_result: Option<CacheResult>,
    pub load: Option<Load>,
}

#[derive(Clone, Debug)]
pub enum Event {
    Listed {
        form: ListKind,
        records: Vec<CacheRecord>,
    },
    Arrived(Arrival),
    ResponseStarted {
        inv: InvocationIndex,
        copy: usize,
    },
    ForwardEnded(ForwardOutcome),
    ClientLeft {
        inv: InvocationIndex,
    },
    HealthChecked {
        cache: CacheIndex,
        ok: bool,
        load: Option<Load>,
    },
    GossipReceived {
        peer: usize,
        text: Vec<u8>,
    },
    TimerFired {
        token: u64,
    },
}

/// A forward has left whole `before` that time of the clock or never does, where repeats are dropped only so long.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Forward {
        inv: InvocationIndex,
        cache: CacheIndex,
        wait: Nanos,
        must_leave_before: Option<Nanos>,
    },
    Withdraw {
        inv: InvocationIndex,
        copy: usize,
    },
    Throttle {
        inv: InvocationIndex,
        retry_after: Nanos,
    },
    Error {
        inv: InvocationIndex,
    },
    SetTimer {
        after: Nanos,
        token: u64,
    },
    CheckHealth {
        cache: CacheIndex,
    },
    SendGossip {
        peer: usize,
        text: Vec<u8>,
    },
    FollowList,
    RequestList,
}

/// Why an invocation was given up: what an operator wants to know of those throttled and errored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// Turned away on arrival, as too much went badly over the whole fleet.
    Overload,
    /// Every cache server is doubted, at its limit, or cold with its part used up.
    NoCapacity,
    /// The origin was full, silent or too slow, or failed.
    Origin,
    /// Past what the client waits for.
    DeadlineExceeded,
    /// The rules allow no further forward.
    ForbiddenByRules,
    /// It erred wherever it was sent.
    FailsEverywhere,
}

/// Counts by `Why`.
pub type ShedCounts = [u64; 6];
pub const SHED_REASONS: [&str; 6] = ["shed", "no_room", "origin", "late", "gate", "fails"];

#[derive(Clone, Copy, Debug, Default)]
pub struct PolicyCounts {
    pub shed: ShedCounts,
    /// Part of the load that is turned away now.
    pub shed_fraction: f64,
    /// Times that a cache server came into doubt, and forwards to cold ones.
    pub suspicions: u64,
    pub warm_up_forwards: u64,
}
