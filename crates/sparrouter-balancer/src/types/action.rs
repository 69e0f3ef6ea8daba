//! What a node is to do, and the counts of what it decided.
use super::{CacheIndex, InvocationIndex, Nanos};

/// Something to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forwards an invocation.
    Forward {
        /// The invocation.
        inv: InvocationIndex,
        /// Where to.
        cache: CacheIndex,
        /// How long to wait for the answer, in nanoseconds.
        wait: Nanos,
        /// The request has left completely before this moment, or it never leaves: repeats are dropped only so long.
        must_leave_before: Option<Nanos>,
    },
    /// Withdraws a forward.
    Withdraw {
        /// The invocation.
        inv: InvocationIndex,
        /// Index of the forward among those of its invocation.
        copy: usize,
    },
    /// Answers an invocation that it may come again later.
    Throttle {
        /// The invocation.
        inv: InvocationIndex,
        /// After how long it may come again, in nanoseconds.
        retry_after: Nanos,
    },
    /// Answers an invocation with an error: it may have run.
    Error {
        /// The invocation.
        inv: InvocationIndex,
    },
    /// Sets a timer.
    SetTimer {
        /// After how long it fires, in nanoseconds.
        after: Nanos,
        /// What [`Event::TimerFired`](super::Event::TimerFired) gives back.
        token: u64,
    },
    /// Checks whether a cache server answers.
    CheckHealth {
        /// The cache server.
        cache: CacheIndex,
    },
    /// Sends a message to another node.
    SendGossip {
        /// Index of the other node.
        peer: usize,
        /// The message's bytes.
        text: Vec<u8>,
    },
    /// Subscribes to the list of cache servers.
    FollowList,
    /// Requests the list of cache servers once.
    RequestList,
}

/// Why an invocation was throttled or answered with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// Shed on arrival, since too many forwards end badly over all cache servers.
    Overload,
    /// Every cache server is suspected, at its limit, or warming up with its budget used up.
    NoCapacity,
    /// The origin was full, unresponsive or too slow, or failed.
    Origin,
    /// Past the time for which an answer is of use.
    DeadlineExceeded,
    /// The rules allow no further forward.
    ForbiddenByRules,
    /// It failed at every cache server that it was sent to.
    FailsEverywhere,
}

/// Counts by [`ShedReason`], in the order of its variants.
pub type ShedCounts = [u64; 6];
/// Names of the reasons in log lines and metrics, in the order of [`ShedReason`]'s variants.
pub const SHED_REASONS: [&str; 6] = ["shed", "no_room", "origin", "late", "gate", "fails"];

/// Counts of what a node decided since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct PolicyCounts {
    /// Invocations that were throttled or answered with an error.
    pub shed: ShedCounts,
    /// Fraction of the load that is shed now.
    pub shed_fraction: f64,
    /// How often a cache server came under suspicion.
    pub suspicions: u64,
    /// Forwards to cache servers that were warming up.
    pub warm_up_forwards: u64,
}
