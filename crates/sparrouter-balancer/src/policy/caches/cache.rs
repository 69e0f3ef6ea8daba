//! State of one cache server: its endpoint list entry, the outcomes of its forwards, and its limit of forwards in
//! flight.
use crate::policy::fading::decay_factor;
use crate::types::{CacheRecord, LifecycleState, Nanos};

/// Weight of one outcome in the recent outcomes of a cache server.
pub const OUTCOME_GAIN: f64 = 0.2;
/// Half-life of recent outcomes, in seconds.
const RECENT_HALF_LIFE_SECONDS: Nanos = 4;
/// Half-life of long-term outcomes, in seconds.
pub const LONG_TERM_HALF_LIFE_SECONDS: Nanos = 8;
/// Upper bound of the limit of forwards in flight.
const MAX_IN_FLIGHT_LIMIT: f64 = 16.0;
/// Badness of a rejection for lack of capacity; an answer that is too late has badness 1.
pub const REJECTION_BADNESS: f64 = 0.25;
/// Strength with which bad outcomes reduce the weight of a cache server in the rendezvous hash.
const HEALTH_GAIN: f64 = 6.0;

/// State of a cache server that is suspected to be down or unresponsive.
pub struct Suspicion {
    /// Time from which the next health check may be sent.
    pub next_check_at: Nanos,
    /// Delay between health checks, in nanoseconds; doubled with each failure.
    pub backoff: Nanos,
    /// Whether a health check was answered, so that one invocation may be sent to the cache server.
    pub allows_trial: bool,
}

/// Outcomes of forwards, decayed by age. `bad / total` is the mean badness.
///
/// Invariant: `0 <= bad <= total`.
#[derive(Clone, Copy, Default)]
pub struct OutcomeSums {
    /// Sum of the badness of the forwards, each from 0 (in time) to 1 (too late or never answered).
    pub bad: f64,
    /// Sum of the weights of the forwards.
    pub total: f64,
}

/// State of a cache server or of the origin.
#[derive(Default)]
pub struct Cache {
    /// Hash of the server's id; a different hash at the same index means a different server.
    pub id_hash: u64,
    /// Lifecycle state on which this node acts; can differ from the listed state if removal is advisory.
    pub state: LifecycleState,
    /// Whether the list shows the server as removed while removal is advisory, so that it may still receive forwards.
    /// Only set while `state` is ready.
    pub is_unlisted: bool,
    /// Index of the server's zone.
    pub zone: usize,
    /// The server's cell within its zone.
    pub cell: i64,
    /// Index of the server's kind.
    pub kind: usize,
    /// Relative capacity, above 0.
    pub weight: f64,
    /// When the server's process started; 0 if unknown or long ago. Never decreases.
    pub ready_at: Nanos,
    /// Number of this node's forwards to the server that are in flight.
    pub in_flight: u32,
    /// Whether a forward was ever sent to the server; until then it is excluded from the mean number of forwards in
    /// flight.
    pub is_used: bool,
    /// When the server last gave an answer other than a rejection for lack of capacity.
    pub last_answer_at: Nanos,
    /// Number of pieces of evidence of a failure since the last answer.
    pub consecutive_failures: u32,
    /// Whether connections to the server can't be established. Only set while it is suspected.
    pub is_unreachable: bool,
    /// Set while the server is suspected to be down or unresponsive.
    pub suspicion: Option<Suspicion>,
    /// Limit of this node's forwards in flight to the server, from 1 to [`MAX_IN_FLIGHT_LIMIT`].
    pub in_flight_limit: f64,
    /// Recent outcomes, observed by this node alone.
    pub recent: OutcomeSums,
    /// Outcomes over a longer time, including outcomes that peers reported.
    pub long_term: OutcomeSums,
    /// When `recent` and `long_term` were last updated.
    pub outcomes_at: Nanos,
    /// Number of forwards that may be sent now while the server is warming up.
    pub warm_up_tokens: f64,
    /// When `warm_up_tokens` was last updated.
    pub tokens_at: Nanos,
}

impl Cache {
    /// Creates the state of a cache server that appears in the list for the first time.
    pub fn new(record: &CacheRecord, now: Nanos) -> Cache {
        Cache {
            id_hash: record.id_hash,
            kind: record.kind,
            in_flight_limit: MAX_IN_FLIGHT_LIMIT / 2.0,
            last_answer_at: now,
            outcomes_at: now,
            ..Cache::default()
        }
    }

    /// Applies the state from the list. If removal is advisory, a cache server that disappears without draining stays
    /// ready until this node's own forwards show that it is unreachable, which guards against a wrong list.
    pub fn set_listed_state(&mut self, state: LifecycleState, is_advisory: bool) {
        let was_ready = self.state == LifecycleState::Ready;
        self.is_unlisted = is_advisory && state == LifecycleState::Left && was_ready;
        if !self.is_unlisted {
            self.state = state;
        }
    }

    /// Records that the server's process started at `ready_at`; `tokens` is the initial warm-up budget.
    pub fn start_warm_up(&mut self, ready_at: Nanos, now: Nanos, tokens: f64) {
        self.ready_at = ready_at.max(self.ready_at);
        self.warm_up_tokens = tokens;
        self.tokens_at = now;
    }

    /// Factor by which bad outcomes reduce the server's weight in the rendezvous hash. It follows from the long-term
    /// outcomes, which include peers' reports. Guards against long queues at a server to which no single node sends
    /// enough to notice. `prior` is the number of good outcomes assumed in advance.
    pub fn health_factor(&self, prior: f64, now: Nanos) -> f64 {
        let decay =
            decay_factor(now.saturating_sub(self.outcomes_at) / LONG_TERM_HALF_LIFE_SECONDS);
        1.0 / (1.0
            + HEALTH_GAIN * self.long_term.bad * decay / (self.long_term.total * decay + prior))
    }

    /// Records the outcome of a forward. `bad` is its badness, from 0 to 1; `slow` is the fraction of the latency
    /// target that it took, at most 1.
    pub fn learn(&mut self, bad: f64, slow: f64, now: Nanos) {
        // Additive increase, multiplicative decrease.
        self.in_flight_limit = if bad > 0.0 {
            self.in_flight_limit * (1.0 - bad / 2.0)
        } else {
            self.in_flight_limit + 0.5 / self.in_flight_limit
        };
        self.in_flight_limit = self.in_flight_limit.clamp(1.0, MAX_IN_FLIGHT_LIMIT);
        let age = now - self.outcomes_at;
        let decay = (1.0 - OUTCOME_GAIN) * decay_factor(age / RECENT_HALF_LIFE_SECONDS);
        self.recent.bad = decay * self.recent.bad + OUTCOME_GAIN * bad;
        self.recent.total = decay * self.recent.total + OUTCOME_GAIN;
        let decay = decay_factor(age / LONG_TERM_HALF_LIFE_SECONDS);
        self.long_term.bad = self.long_term.bad * decay + bad.max(slow * slow);
        self.long_term.total = self.long_term.total * decay + 1.0;
        self.outcomes_at = now;
    }

    /// Postpones the next health check by the backoff because one is sent now. Returns whether the server is
    /// suspected.
    pub fn postpone_check(&mut self, now: Nanos) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        suspicion.next_check_at = now + suspicion.backoff;
        true
    }
}
