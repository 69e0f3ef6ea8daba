//! One invocation from its arrival to its final answer, and its forwards.
use crate::types::{Arrival, CacheIndex, Nanos};

/// Whether a forward is out, and if not, whether the invocation may have run there.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ForwardState {
    /// It has not ended.
    InFlight,
    /// It ended, and the invocation did not run there.
    NeverRan,
    /// It ended, and the invocation may have run there.
    MayHaveRun,
}

/// Which decision follows the end of a forward.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// That for the answer of a cache server.
    Cache,
    /// That for the answer of the origin.
    Origin,
}

/// A forward of an invocation.
pub struct Forward {
    /// Where it went.
    pub cache: CacheIndex,
    /// When it left.
    pub sent_at: Nanos,
    /// Whether it is out.
    pub state: ForwardState,
    /// Its connection broke. Only once it has ended.
    pub connection_broke: bool,
    /// It was answered with an error. Only once it has ended.
    pub failed: bool,
    /// A fetch after a miss at a cache server that was warming up.
    pub is_warm_up_fetch: bool,
    /// What follows its end.
    pub continuation: Continuation,
}

/// An invocation that has no final answer yet, or forwards in flight.
///
/// Invariant: it is stored as long as `!is_over || in_flight() > 0`.
#[derive(Default)]
pub struct Invocation {
    /// As it arrived.
    pub arrival: Arrival,
    /// Hash of its key; drawn if it has none.
    pub key: u64,
    /// Its value in the origin's queue: billed value, reduced beyond quota; writes before reads.
    pub priority: f64,
    /// End of its latency target, and of the time for which the client waits if that is earlier.
    pub target_deadline: Nanos,
    /// From when on an answer is of no use.
    pub useful_until: Nanos,
    /// Its forwards; their index is the `copy` of events and actions.
    pub forwards: Vec<Forward>,
    /// It has its final answer, or its client has left.
    pub is_over: bool,
    /// The first bytes of an answer were relayed.
    pub has_response_started: bool,
    /// It fetches its key's value, and others wait for it.
    pub leads_fetch: bool,
    /// A cache server that was warming up missed for it.
    pub missed_while_warming_up: bool,
}

impl Invocation {
    /// Number of its forwards that have not ended.
    pub fn in_flight(&self) -> usize {
        let open = self.forwards.iter();
        open.filter(|f| f.state == ForwardState::InFlight).count()
    }

    /// Whether a final answer may still be given.
    pub fn is_unanswered(&self) -> bool {
        !self.is_over && !self.has_response_started
    }

    /// The first forward that ran, may have run or may still run.
    pub fn first_effect(&self) -> Option<&Forward> {
        let mut forwards = self.forwards.iter();
        forwards.find(|f| f.state != ForwardState::NeverRan)
    }

    /// Whether it failed at more than one cache server: it fails by itself, and no cache server is blamed.
    pub fn fails_by_itself(&self) -> bool {
        self.forwards.iter().filter(|f| f.failed).count() > 1
    }
}
