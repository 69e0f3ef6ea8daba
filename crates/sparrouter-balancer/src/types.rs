//! The door between a protocol's adapter and the decisions: plain values, no I/O and no clock.
//!
//! Times are whole nanoseconds of a clock that only advances. An adapter maps the ids of its
//! protocol to small indices; a cache server's index may become another's only once it has been gone for
//! longer than any invocation is open, an invocation's index is never used twice.

pub type Nanos = u64;
pub type InvIx = u32;
pub type CacheIx = usize;
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
    pub objective: Nanos,
    /// The objective grows by this multiple of the invocation's own work.
    pub stretch: f64,
    pub client_timeout: Nanos,
    pub billed_value: f64,
    /// Part of the billed value that an answer past the objective still earns.
    pub late_part: f64,
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
    pub second_copies: bool,
    pub withdraw: bool,
    /// Longest wait that a throttling reply may advise; none where replies carry no advice.
    pub max_retry_after: Option<Nanos>,
}

/// The figures of the four rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub answer_slack: Nanos,
    pub ask_every: Nanos,
    pub start_capacity: f64,
    pub cold: Nanos,
    pub fall_multiple: f64,
    pub fall: Nanos,
    /// Only draining binds: a cache server that is listed as gone, or no more, may still be sent to.
    pub gone_is_advice: bool,
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
pub struct Surroundings {
    pub seed: u64,
    pub own_index: usize,
    pub nodes: usize,
    pub may_probe: bool,
    pub peers: bool,
    pub tick: Nanos,
    /// The list comes only to those who ask for it.
    pub must_ask: bool,
    /// Weights follow the load of the moment, so they say nothing lasting about size.
    pub live_weights: bool,
    pub over_share_part: f64,
    /// A fingerprint of the tenants' names in their order: nodes that differ here count arrivals by other tenants.
    pub tenants: u16,
}

/// Where an operation of new settings stands, and where it stood under the old ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    pub at: usize,
    pub from: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LifecycleState {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Debug)]
pub struct Row {
    pub cache: CacheIx,
    /// Same at every node for the same cache server.
    pub id_hash: u64,
    pub standing: LifecycleState,
    pub zone: usize,
    pub cell: i64,
    pub kind: usize,
    pub weight: f64,
    pub ready_at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
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
pub enum Note {
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
    pub inv: InvIx,
    pub operation: usize,
    pub tenant: Option<usize>,
    /// Hash of the key, the same at every node.
    pub key: Option<u64>,
    pub write: bool,
    pub repeat: bool,
    pub work: Option<Nanos>,
    pub due: Nanos,
    /// Whether it is within its tenant's quota, where that is kept by others; none: by the policy itself.
    pub within: Option<bool>,
}

#[derive(Clone, Debug)]
pub struct Ending {
    pub inv: InvIx,
    pub copy: usize,
    pub cache: CacheIx,
    pub outcome: Outcome,
    pub lag: Nanos,
    /// The invocation is over, by this outcome or an earlier one.
    pub last: bool,
    pub note: Option<Note>,
    pub load: Option<Load>,
}

#[derive(Clone, Debug)]
pub enum Event {
    Listed {
        form: Form,
        rows: Vec<Row>,
    },
    Arrived(Arrival),
    Begun {
        inv: InvIx,
        copy: usize,
    },
    Ended(Ending),
    Left {
        inv: InvIx,
    },
    Probed {
        cache: CacheIx,
        ok: bool,
        load: Option<Load>,
    },
    Told {
        peer: usize,
        text: Vec<u8>,
    },
    Woke {
        token: u64,
    },
}

/// A forward has left whole `before` that time of the clock or never does, where repeats are dropped only so long.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Forward {
        inv: InvIx,
        cache: CacheIx,
        wait: Nanos,
        before: Option<Nanos>,
    },
    Withdraw {
        inv: InvIx,
        copy: usize,
    },
    Throttle {
        inv: InvIx,
        retry_after: Nanos,
    },
    Error {
        inv: InvIx,
    },
    Wake {
        after: Nanos,
        token: u64,
    },
    Probe {
        cache: CacheIx,
    },
    Tell {
        peer: usize,
        text: Vec<u8>,
    },
    Follow,
    AskList,
}

/// Why an invocation was given up: what an operator wants to know of those throttled and errored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Turned away on arrival, as too much went badly over the whole fleet.
    Shed,
    /// Every cache server is doubted, at its limit, or cold with its part used up.
    NoRoom,
    /// The origin was full, silent or too slow, or failed.
    Origin,
    /// Past what the client waits for.
    Late,
    /// The rules allow no further forward.
    Gate,
    /// It erred wherever it was sent.
    Fails,
}

/// Counts by `Why`.
pub type GivenUp = [u64; 6];
pub const WHY: [&str; 6] = ["shed", "no_room", "origin", "late", "gate", "fails"];

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub given_up: GivenUp,
    /// Part of the load that is turned away now.
    pub turned_away: f64,
    /// Times that a cache server came into doubt, and forwards to cold ones.
    pub doubts: u64,
    pub cold_sends: u64,
}
