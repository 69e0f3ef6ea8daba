//! The state of one invocation and its forwards, from its arrival to its final answer.
use crate::types::{Arrival, CacheIndex, Nanos};

/// Whether a forward is in flight, and if not, whether the invocation may have run at the cache server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ForwardState {
    /// The forward has not ended.
    InFlight,
    /// The forward ended, and the invocation didn't run there.
    NeverRan,
    /// The forward ended, and the invocation may have run there.
    MayHaveRun,
}

/// Selects the decision that follows the end of a forward.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// The decision that follows a forward to a cache server.
    Cache,
    /// The decision that follows a forward to the origin.
    Origin,
}

/// A forward of an invocation.
pub struct Forward {
    /// Destination: a cache server or the origin.
    pub cache: CacheIndex,
    /// When the forward was sent.
    pub sent_at: Nanos,
    /// Whether the forward is in flight.
    pub state: ForwardState,
    /// Whether the connection broke. Only set after the end of the forward.
    pub connection_broke: bool,
    /// Whether the answer was an error. Only set after the end of the forward.
    pub failed: bool,
    /// Whether this is a fetch after a miss at a cache server that was warming up.
    pub is_warm_up_fetch: bool,
    /// The decision that follows the end of the forward.
    pub continuation: Continuation,
}

/// An invocation that has no final answer yet, or has forwards in flight.
///
/// Invariant: it is stored as long as `!is_completed || in_flight() > 0`.
#[derive(Default)]
pub struct Invocation {
    /// The invocation as it arrived.
    pub arrival: Arrival,
    /// Hash of the key; a random number if the invocation has no key.
    pub key: u64,
    /// Priority in the origin's queue: billed value, reduced if the tenant's quota is exceeded; writes come before
    /// reads.
    pub priority: f64,
    /// End of the latency target, or the client's deadline if that is earlier.
    pub target_deadline: Nanos,
    /// Time from which an answer has no value.
    pub answer_deadline: Nanos,
    /// The forwards; the index of a forward is the `forward_index` of events and actions.
    pub forwards: Vec<Forward>,
    /// Whether the invocation has its final answer or its client has disconnected.
    pub is_completed: bool,
    /// Whether the first bytes of an answer were relayed.
    pub has_response_started: bool,
    /// Whether the invocation fetches its key's value, so that others wait for that fetch.
    pub leads_fetch: bool,
    /// Whether a cache server that was warming up reported a miss for the invocation.
    pub missed_while_warming_up: bool,
}

impl Invocation {
    /// Number of forwards in flight.
    pub fn in_flight(&self) -> usize {
        let open = self.forwards.iter();
        open.filter(|f| f.state == ForwardState::InFlight).count()
    }

    /// Whether a final answer may still be given.
    pub fn is_unanswered(&self) -> bool {
        !self.is_completed && !self.has_response_started
    }

    /// The first forward that ran, may have run or may still run.
    pub fn first_effect(&self) -> Option<&Forward> {
        let mut forwards = self.forwards.iter();
        forwards.find(|f| f.state != ForwardState::NeverRan)
    }

    /// Whether the invocation failed at more than one cache server: the invocation is the cause, and no cache server
    /// is blamed.
    pub fn failed_at_several_servers(&self) -> bool {
        self.forwards.iter().filter(|f| f.failed).count() > 1
    }
}
