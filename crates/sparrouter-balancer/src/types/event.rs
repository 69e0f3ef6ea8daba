//! Events that the node reports to the policy: endpoint lists, arrivals, outcomes of forwards, timers.
use super::{CacheIndex, InvocationIndex, Nanos};

/// Lifecycle state of a cache server: whether it may receive forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LifecycleState {
    /// The server accepts forwards.
    Ready,
    /// The server is shutting down and must get no new forwards.
    Draining,
    /// The server was removed.
    #[default]
    Left,
}

/// An entry of the list of cache servers.
#[derive(Clone, Debug)]
pub struct CacheRecord {
    /// Its index.
    pub cache: CacheIndex,
    /// Hash of the server's id; the same at every node.
    pub id_hash: u64,
    /// Lifecycle state of the server.
    pub state: LifecycleState,
    /// Index of the server's zone.
    pub zone: usize,
    /// The server's cell within its zone.
    pub cell: i64,
    /// Index of the server's kind, which distinguishes the origin from cache servers.
    pub kind: usize,
    /// Relative capacity of the server.
    pub weight: f64,
    /// When the server's process became ready, in nanoseconds; 0 if that isn't listed.
    pub ready_at: Nanos,
}

/// Scope of a list of cache servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All entries; servers without an entry were removed.
    Full,
    /// All entries, saved by an earlier incarnation of the node; may be outdated.
    Saved,
    /// A request failed or the subscription broke; the current list stays in use.
    Lost,
}

/// The way in which a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The cache server or the origin answered with success.
    Succeeded,
    /// The cache server answered with an error; the invocation may have run.
    Error,
    /// The cache server rejected the forward for lack of capacity.
    Full,
    /// No answer arrived in time.
    TimedOut,
    /// No connection was established: the process may be down.
    Unavailable,
    /// The connection broke; the invocation may have run.
    Reset,
    /// The node withdrew the forward.
    Withdrawn,
    /// The node didn't send the forward.
    NotSent,
    /// The cache server does not have the value.
    Miss,
    /// An open connection broke before the request was sent completely.
    Broken,
}

impl Outcome {
    /// Whether the outcome proves that the invocation didn't run at the cache server.
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

/// Whether the value was cached, as the cache server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// The value was cached.
    Hit,
    /// The value was not cached.
    Miss,
    /// The value was not cached, and another invocation was fetching it.
    MissWhileFetching,
}

/// A cache server's load report; a value is `None` if the server doesn't send it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of invocations in execution.
    pub active: Option<f64>,
    /// Number of invocations in the queue.
    pub waiting: Option<f64>,
}

/// An invocation as it arrives from a client.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its index.
    pub inv: InvocationIndex,
    /// Index of the operation.
    pub operation: usize,
    /// Index of the tenant; `None` if the invocation has no tenant.
    pub tenant: Option<usize>,
    /// Hash of the key, the same at every node; `None` if the invocation has no key.
    pub key: Option<u64>,
    /// Whether the invocation is a write.
    pub write: bool,
    /// Whether the client has sent the invocation before.
    pub repeat: bool,
    /// Announced work of the invocation, in nanoseconds; `None` if it isn't announced.
    pub work: Option<Nanos>,
    /// When the client times out, in nanoseconds.
    pub deadline: Nanos,
    /// Whether the invocation is within its tenant's quota if this was checked elsewhere; `None` if the policy checks
    /// it.
    pub is_within_quota: Option<bool>,
}

/// The end of a forward.
#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    /// Index of the invocation.
    pub inv: InvocationIndex,
    /// Index of the forward among the forwards of the invocation, from 0.
    pub forward_index: usize,
    /// Destination of the forward: a cache server or the origin.
    pub cache: CacheIndex,
    /// The way in which the forward ended.
    pub outcome: Outcome,
    /// Time since the forward was sent, in nanoseconds.
    pub latency: Nanos,
    /// Whether the invocation is completed, by this outcome or an earlier one.
    pub is_final: bool,
    /// Whether the value was cached; `None` if the cache server doesn't report it.
    pub cache_result: Option<CacheResult>,
    /// The cache server's load report; no decision depends on it. `None` if there is none.
    pub load: Option<Load>,
}

/// An event at a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of cache servers was received, or a request for it failed.
    Listed {
        /// Scope of the list.
        kind: ListKind,
        /// Entries of the list.
        records: Vec<CacheRecord>,
    },
    /// An invocation arrived.
    Arrived(Arrival),
    /// The first bytes of an answer were relayed to the client.
    ResponseStarted {
        /// Index of the invocation.
        inv: InvocationIndex,
        /// Index of the forward that answers.
        forward_index: usize,
    },
    /// A forward ended.
    ForwardEnded(ForwardOutcome),
    /// The client closed its connection.
    ClientLeft {
        /// Index of the invocation that the client waited for.
        inv: InvocationIndex,
    },
    /// A health check ended.
    HealthChecked {
        /// Index of the cache server.
        cache: CacheIndex,
        /// Whether the cache server answered.
        is_answered: bool,
        /// The cache server's load report; no decision depends on it. `None` if there is none.
        load: Option<Load>,
    },
    /// A gossip message from a peer was received.
    GossipReceived {
        /// Index of the sending peer.
        peer: usize,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// A timer that the policy set has fired.
    TimerFired {
        /// Token of the timer.
        token: u64,
    },
}
