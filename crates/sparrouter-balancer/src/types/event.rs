//! What happens to a node: entries of the list, arrivals, outcomes of forwards, timers.
use super::{CacheIndex, InvocationIndex, Nanos};

/// Whether a cache server takes forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LifecycleState {
    /// It takes forwards.
    Ready,
    /// It shuts down and must get nothing new.
    Draining,
    /// It was removed.
    #[default]
    Left,
}

/// An entry of the list of cache servers.
#[derive(Clone, Debug)]
pub struct CacheRecord {
    /// Its index.
    pub cache: CacheIndex,
    /// Hash of its id; the same at every node for the same cache server.
    pub id_hash: u64,
    /// Whether it takes forwards.
    pub state: LifecycleState,
    /// Index of its zone.
    pub zone: usize,
    /// Its cell within the zone.
    pub cell: i64,
    /// Index of its kind, which distinguishes the origin from cache servers.
    pub kind: usize,
    /// Its relative capacity.
    pub weight: f64,
    /// When its process became ready, in nanoseconds; 0 if that is not listed.
    pub ready_at: Nanos,
}

/// What a list of cache servers covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Changes,
    /// All entries; what is not in it was removed.
    Full,
    /// All entries, saved by an earlier incarnation of the node; may be old.
    Saved,
    /// A request failed or the subscription broke; the present list stays.
    Lost,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer with success.
    Succeeded,
    /// The cache server answered with an error; the invocation may have run.
    Error,
    /// The cache server rejected it for want of capacity.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection was established: the process may be down.
    Unavailable,
    /// The connection broke; the invocation may have run.
    Reset,
    /// The node withdrew it.
    Withdrawn,
    /// The node did not send it.
    NotSent,
    /// The cache server does not have the value.
    Miss,
    /// An open connection broke before the request was sent completely.
    Broken,
}

impl Outcome {
    /// Whether it proves that the invocation did not run at this cache server.
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

/// What a cache server says of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// The value was cached.
    Hit,
    /// The value was not cached.
    Miss,
    /// The value was not cached, and another invocation was fetching it.
    MissWhileFetching,
}

/// A cache server's load report; values that it does not send are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Invocations that it works on.
    pub active: Option<f64>,
    /// Invocations in its queue.
    pub waiting: Option<f64>,
}

/// An invocation as it arrives from a client.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its index.
    pub inv: InvocationIndex,
    /// Index of its operation.
    pub operation: usize,
    /// Index of its tenant, if it has one.
    pub tenant: Option<usize>,
    /// Hash of the key, the same at every node.
    pub key: Option<u64>,
    /// It writes.
    pub write: bool,
    /// The client has sent it before.
    pub repeat: bool,
    /// Work of its own that is foreseen, in nanoseconds.
    pub work: Option<Nanos>,
    /// When the client stops to wait, in nanoseconds.
    pub deadline: Nanos,
    /// Whether it is within its tenant's quota, if others count that; `None` if the policy itself does.
    pub is_within_quota: Option<bool>,
}

/// The end of a forward.
#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    /// The invocation.
    pub inv: InvocationIndex,
    /// Index of the forward among those of its invocation, from 0.
    pub copy: usize,
    /// Where the forward went.
    pub cache: CacheIndex,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the forward left, in nanoseconds.
    pub latency: Nanos,
    /// The invocation is over, by this outcome or an earlier one.
    pub is_final: bool,
    /// What the cache server says of its cache.
    pub cache_result: Option<CacheResult>,
    /// The cache server's load report; no decision depends on it.
    pub load: Option<Load>,
}

/// Something that happened to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of cache servers came, or failed to come.
    Listed {
        /// What it covers.
        form: ListKind,
        /// Its entries.
        records: Vec<CacheRecord>,
    },
    /// An invocation arrived.
    Arrived(Arrival),
    /// The first bytes of an answer were relayed to the client.
    ResponseStarted {
        /// The invocation.
        inv: InvocationIndex,
        /// Index of the forward that answers.
        copy: usize,
    },
    /// A forward ended.
    ForwardEnded(ForwardOutcome),
    /// The client closed its connection.
    ClientLeft {
        /// The invocation that it waited for.
        inv: InvocationIndex,
    },
    /// A health check ended.
    HealthChecked {
        /// The cache server.
        cache: CacheIndex,
        /// It answered.
        ok: bool,
        /// Its load report; no decision depends on it.
        load: Option<Load>,
    },
    /// Another node's message came.
    GossipReceived {
        /// Index of the other node.
        peer: usize,
        /// The message's bytes.
        text: Vec<u8>,
    },
    /// A timer that the decisions set fired.
    TimerFired {
        /// Its token.
        token: u64,
    },
}
