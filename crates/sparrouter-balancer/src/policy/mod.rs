//! All decisions of one node.
//!
//! [`Policy::new`] takes the settings, or `sparrouter-settings` builds a policy from a configuration.
//! [`Policy::handle`] is then called once per event, in order of arrival, and [`Policy::take_actions`] returns the
//! actions to carry out, in order. There are no other inputs or outputs: no I/O, no clock, and no randomness except
//! that of seeded generators, so that the same events lead to the same actions.
//!
//! # Life cycle of an invocation
//!
//! 1. `arrival` computes the deadlines and the value of the invocation; `quota` decides whether it is within its tenant's
//!    quota, `admission` the probability with which it is shed, and `hot_keys` whether its key fails at every cache
//!    server. A timer is set for the time from which an answer has no value.
//! 2. `forwarding` sends a read to the cache server that `selection` chooses: the first in the key's rendezvous order
//!    (`caches/election`) that isn't excluded by suspicion, load, its warm-up budget or the rules of `gate`. Writes are
//!    sent to the origin if there is one. A read whose key is being fetched waits for that fetch.
//! 3. `overdue` checks a forward that takes longer than usual: it sends a hedged request, or withdraws the forward.
//! 4. `outcome` handles the end of a forward: it updates the state of the cache server (`caches/suspicion`,
//!    `caches/cache`), of the key (`hot_keys`), the goodput of the node (`goodput`) and the state of the origin
//!    (`origin/limit`).
//! 5. `retry` decides the next step: a miss is fetched from the origin (`origin/queue`), a failure is retried at the
//!    next cache server or the invocation is shed.
//! 6. `completion` gives the final answer if the node itself has to give it, withdraws forwards in flight, and releases
//!    the invocations that wait for the fetch. The invocation is removed once none of its forwards is in flight.
//!
//! In addition, `endpoint_list` follows the list of cache servers, `peers` exchanges gossip, `settings` builds a
//! policy and applies changed settings, and `timer` defines the timers.
mod admission;
mod arrival;
mod caches;
mod completion;
mod endpoint_list;
mod fading;
mod forwarding;
mod gate;
mod goodput;
mod hot_keys;
mod invocation;
mod latency;
mod origin;
mod outcome;
mod overdue;
mod peers;
mod quota;
mod retry;
mod selection;
mod settings;
mod timer;

use crate::types::{
    Action, CacheIndex, Environment, Event, ForwardLimits, InvocationIndex, Nanos, Operation,
    PolicyCounts, ShedCounts,
};
use admission::Admission;
use caches::CacheSet;
use hot_keys::KeyCounts;
use invocation::Invocation;
use latency::LatencyEstimate;
use origin::OriginGuard;
use peers::PeerReport;
use std::collections::{BTreeMap, HashMap};
use timer::Timer;

/// An operation: its settings, and its latency estimate.
#[derive(Clone)]
struct OperationState {
    settings: Operation,
    limits: ForwardLimits,
    /// Usual latency of the cache servers.
    latency: LatencyEstimate,
}

/// The routing policy of one node.
///
/// Invariants: `now` never decreases; an invocation is in `invocations` from its arrival until it is completed and
/// none of its forwards is in flight; at most one final answer is given for it.
#[derive(Default)]
pub struct Policy {
    now: Nanos,
    /// Actions to carry out, in order.
    actions: Vec<Action>,
    rng: fastrand::Rng,
    environment: Environment,
    /// Operations, by index. Operations of earlier settings stay for the invocations that arrived under them.
    operations: Vec<OperationState>,
    invocations: HashMap<InvocationIndex, Invocation>,
    caches: CacheSet,
    origin: OriginGuard,
    keys: KeyCounts,
    admission: Admission,
    /// The latest report of each peer that reported recently, by the index of the peer.
    peers: BTreeMap<usize, PeerReport>,
    /// Delay before the list is requested again, in nanoseconds; doubled with each failure, 0 after a success.
    list_backoff: Nanos,
    /// When to request the list again; 0 while no request is pending.
    list_request_at: Nanos,
    /// Number of hedged requests that may be sent: a fraction of the arrivals.
    hedge_tokens: f64,
    /// Fraction of the failed forwards whose invocation was answered by the next cache server, smoothed.
    retry_success: f64,
    /// Number of invocations that were throttled or answered with an error, since the start.
    shed_counts: ShedCounts,
}

impl Policy {
    /// Handles an event at the time `now`, in nanoseconds. Times must not decrease from one event to the next.
    pub fn handle(&mut self, now: Nanos, event: Event) {
        self.now = now;
        match event {
            Event::Listed { kind, records } => self.on_list(kind, &records),
            Event::Arrived(arrival) => self.on_arrival(arrival),
            Event::ResponseStarted { inv, forward_index } => {
                self.on_response_started(inv, forward_index)
            }
            Event::ForwardEnded(outcome) => self.on_forward_ended(&outcome),
            Event::ClientLeft { inv } => self.on_client_left(inv),
            Event::HealthChecked {
                cache, is_answered, ..
            } => self.on_health_checked(cache, is_answered),
            Event::GossipReceived { peer, message } => self.on_gossip(peer, &message),
            Event::TimerFired { token } => self.on_timer(token),
        }
    }

    /// Takes the actions to carry out, in order.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Counts of decisions since the start.
    pub fn counts(&self) -> PolicyCounts {
        PolicyCounts {
            shed: self.shed_counts,
            shed_fraction: self.admission.shed_fraction,
            suspicions: self.caches.suspicions,
            warm_up_forwards: self.caches.warm_up_forwards,
        }
    }

    /// Whether a cache server that is listed as removed, or no longer listed, may still receive forwards.
    pub fn removal_is_advisory(&self) -> bool {
        self.caches.rules.removal_is_advisory
    }

    /// Whether the cache server may still receive forwards, even if it is no longer listed.
    pub fn may_receive_forwards(&self, cache: CacheIndex) -> bool {
        self.caches.is_ready(cache)
    }

    fn on_timer(&mut self, token: u64) {
        match Timer::from_token(token) {
            Some(Timer::AnswerDeadline { invocation }) => self.on_answer_deadline(invocation),
            Some(Timer::Overdue {
                invocation,
                forward_index,
            }) => self.on_overdue(invocation, forward_index),
            Some(Timer::ListRequest) => self.on_list_timer(),
            Some(Timer::Gossip) => self.send_gossip(),
            Some(Timer::Origin) => self.pump_origin_queue(),
            None => {}
        }
    }

    /// Sets a timer that fires at `at`, or after a nanosecond if `at` has passed.
    fn set_timer(&mut self, at: Nanos, timer: Timer) {
        let after = at.saturating_sub(self.now).max(1);
        let token = timer.token();
        self.actions.push(Action::SetTimer { after, token });
    }
}
