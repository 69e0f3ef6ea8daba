//! Actions that the policy requests of the node, and counts of its decisions.
use super::{CacheIndex, InvocationIndex, Nanos};

/// An action for the node to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forwards an invocation to a server.
    Forward {
        /// Index of the invocation.
        inv: InvocationIndex,
        /// Destination: a cache server or the origin.
        cache: CacheIndex,
        /// Time-out of the forward, in nanoseconds.
        wait: Nanos,
        /// Time before which the request must be sent completely, otherwise it must not be sent: repeats are
        /// deduplicated only until then. `None` if there is no such limit.
        send_deadline: Option<Nanos>,
    },
    /// Withdraws a forward.
    Withdraw {
        /// Index of the invocation.
        inv: InvocationIndex,
        /// Index of the forward among the forwards of the invocation.
        forward_index: usize,
    },
    /// Answers an invocation with a throttling reply that asks the client to retry later.
    Throttle {
        /// Index of the invocation.
        inv: InvocationIndex,
        /// Advised delay before the client's retry, in nanoseconds.
        retry_after: Nanos,
    },
    /// Answers an invocation with an error, because it may have run.
    Error {
        /// Index of the invocation.
        inv: InvocationIndex,
    },
    /// Sets a timer.
    SetTimer {
        /// Delay until the timer fires, in nanoseconds.
        after: Nanos,
        /// Token to return in [`Event::TimerFired`](super::Event::TimerFired).
        token: u64,
    },
    /// Sends a health check to a cache server.
    CheckHealth {
        /// Index of the cache server.
        cache: CacheIndex,
    },
    /// Sends a gossip message to another node.
    SendGossip {
        /// Index of the peer that receives the message.
        peer: usize,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Subscribes to the list of cache servers.
    FollowList,
    /// Requests the list of cache servers once.
    RequestList,
}

/// Reason for throttling an invocation or answering it with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// Shed on arrival, because too many forwards fail over all cache servers.
    Overload,
    /// Every cache server is suspected, at its limit, or warming up with its budget exhausted.
    NoCapacity,
    /// The origin was full, unresponsive or too slow, or failed.
    Origin,
    /// The time until which an answer has value has passed.
    DeadlineExceeded,
    /// The safety rules don't permit another forward.
    ForbiddenByRules,
    /// The invocation failed at every cache server that it was sent to.
    FailsEverywhere,
}

/// Counts by [`ShedReason`], in the order of its variants.
pub type ShedCounts = [u64; 6];
/// Names of the reasons in log lines and metrics, in the order of [`ShedReason`]'s variants.
pub const SHED_REASONS: [&str; 6] = ["shed", "no_room", "origin", "late", "gate", "fails"];

/// Counts of a node's decisions since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct PolicyCounts {
    /// Number of invocations that were throttled or answered with an error.
    pub shed: ShedCounts,
    /// Fraction of the load that is shed now.
    pub shed_fraction: f64,
    /// Number of times that a cache server became suspected.
    pub suspicions: u64,
    /// Number of forwards to cache servers that were warming up.
    pub warm_up_forwards: u64,
}
