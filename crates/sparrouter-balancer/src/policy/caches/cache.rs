//! One cache server: its entry of the list, the outcomes of its forwards, and its limit of forwards in flight.
use crate::policy::fading::fade;
use crate::types::{CacheRecord, LifecycleState, Nanos};

/// What one outcome adds to what is known of a cache server lately.
pub const OUTCOME_GAIN: f64 = 0.2;
/// Recent outcomes fade by half in so many seconds.
const RECENT_HALVING_SECONDS: Nanos = 4;
/// Long-term outcomes fade by half in so many seconds.
pub const LONG_TERM_HALVING_SECONDS: Nanos = 8;
/// Highest limit of forwards in flight.
const MAX_IN_FLIGHT_LIMIT: f64 = 16.0;
/// How bad a rejection for want of capacity is, beside an answer that comes too late (1).
pub const FULL_BADNESS: f64 = 0.25;
/// How strongly bad outcomes reduce the weight of a cache server in the election.
const HEALTH_GAIN: f64 = 6.0;

/// A cache server that is suspected to be down or unresponsive.
pub struct Suspicion {
    /// When it may be checked again.
    pub next_check_at: Nanos,
    /// Wait between checks, in nanoseconds; doubled with each failure.
    pub backoff: Nanos,
    /// A health check was answered, so one invocation may be sent there.
    pub allows_trial: bool,
}

/// Outcomes of forwards, faded by age. `bad / total` is the mean badness.
///
/// Invariant: `0 <= bad <= total`.
#[derive(Clone, Copy, Default)]
pub struct OutcomeSums {
    /// Sum of badness, from 0 (in time) to 1 (too late or never) for each forward.
    pub bad: f64,
    /// Sum of weights of the forwards.
    pub total: f64,
}

/// A cache server, or the origin.
#[derive(Default)]
pub struct Cache {
    /// Hash of its id; another hash at the same index is another cache server.
    pub id_hash: u64,
    /// Whether it takes forwards, as far as this node goes by the list.
    pub state: LifecycleState,
    /// The list has it as removed, which is advisory here: it may still be sent to. Only while `state` is ready.
    pub is_unlisted: bool,
    /// Index of its zone.
    pub zone: usize,
    /// Its cell within the zone.
    pub cell: i64,
    /// Index of its kind.
    pub kind: usize,
    /// Its relative capacity, above 0.
    pub weight: f64,
    /// When it started, as far as is known; 0: long ago. Only rises.
    pub ready_at: Nanos,
    /// Forwards of this node that have not ended.
    pub in_flight: u32,
    /// Something was sent there; until then it does not count in the mean of forwards in flight.
    pub is_used: bool,
    /// When it last answered anything but a rejection for want of capacity.
    pub last_answer_at: Nanos,
    /// Pieces of evidence of a failure since it last answered.
    pub consecutive_failures: u32,
    /// Connections to it are not established. Only while it is suspected.
    pub is_unreachable: bool,
    /// Set while it is suspected.
    pub suspicion: Option<Suspicion>,
    /// How many forwards this node may have in flight there, from 1 to [`MAX_IN_FLIGHT_LIMIT`].
    pub in_flight_limit: f64,
    /// Outcomes of lately, seen by this node alone.
    pub recent: OutcomeSums,
    /// Outcomes over a longer time, with those that peers report.
    pub long_term: OutcomeSums,
    /// When `recent` and `long_term` were last updated.
    pub outcomes_at: Nanos,
    /// Forwards that may leave now while it warms up.
    pub warm_up_tokens: f64,
    /// When `warm_up_tokens` was last updated.
    pub tokens_at: Nanos,
}

impl Cache {
    /// A cache server that is listed for the first time.
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

    /// Takes over a state from the list. Guards against a list that is wrong: where removal is advisory, a cache server that
    /// never drained stays in the election until own forwards show that it cannot be reached.
    pub fn set_listed_state(&mut self, state: LifecycleState, is_advisory: bool) {
        let was_ready = self.state == LifecycleState::Ready;
        self.is_unlisted = is_advisory && state == LifecycleState::Left && was_ready;
        if !self.is_unlisted {
            self.state = state;
        }
    }

    /// Notes that its process started at `ready_at`; `tokens` is what its budget begins with.
    pub fn start_warm_up(&mut self, ready_at: Nanos, now: Nanos, tokens: f64) {
        self.ready_at = ready_at.max(self.ready_at);
        self.warm_up_tokens = tokens;
        self.tokens_at = now;
    }

    /// The fraction of its weight that it keeps in the election: less if its forwards end badly, by all that this node
    /// learnt and peers reported. Guards against deep queues that no single node feeds enough to see. `prior` is the
    /// number of good outcomes that are assumed beforehand.
    pub fn health_factor(&self, prior: f64, now: Nanos) -> f64 {
        let left = fade(now.saturating_sub(self.outcomes_at) / LONG_TERM_HALVING_SECONDS);
        1.0 / (1.0
            + HEALTH_GAIN * self.long_term.bad * left / (self.long_term.total * left + prior))
    }

    /// Takes in the outcome of a forward. `bad`: from 0 to 1; `slow`: the fraction of the latency target that it took, at
    /// most 1.
    pub fn learn(&mut self, bad: f64, slow: f64, now: Nanos) {
        // Additive increase, multiplicative decrease.
        self.in_flight_limit = if bad > 0.0 {
            self.in_flight_limit * (1.0 - bad / 2.0)
        } else {
            self.in_flight_limit + 0.5 / self.in_flight_limit
        };
        self.in_flight_limit = self.in_flight_limit.clamp(1.0, MAX_IN_FLIGHT_LIMIT);
        let age = now - self.outcomes_at;
        let left = (1.0 - OUTCOME_GAIN) * fade(age / RECENT_HALVING_SECONDS);
        self.recent.bad = left * self.recent.bad + OUTCOME_GAIN * bad;
        self.recent.total = left * self.recent.total + OUTCOME_GAIN;
        let left = fade(age / LONG_TERM_HALVING_SECONDS);
        self.long_term.bad = self.long_term.bad * left + bad.max(slow * slow);
        self.long_term.total = self.long_term.total * left + 1.0;
        self.outcomes_at = now;
    }

    /// Moves the next health check to the end of the backoff, since one is made now. Whether it is suspected at all.
    pub fn postpone_check(&mut self, now: Nanos) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        suspicion.next_check_at = now + suspicion.backoff;
        true
    }
}
