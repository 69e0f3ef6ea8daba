//! Every decision of one node.
//!
//! [`Policy::new`] takes the settings, or `sparrouter-settings` makes one; then [`Policy::handle`] is called once an event,
//! in order of arrival, and [`Policy::take_actions`] gives the actions to carry out, in order. Nothing else goes in or out:
//! no I/O, no clock, no randomness but that of seeded generators, so that the same events lead to the same actions.
//!
//! # The way of one invocation
//!
//! 1. `arrival` computes its deadlines and its value; `quota` says whether it is within its tenant's quota, `admission` with
//!    what chance it is shed, and `hot_keys` whether its key fails everywhere. A timer is set for the moment from which on an
//!    answer is of no use.
//! 2. `forwarding` sends a read to the cache server that `selection` chooses: the first in the key's rendezvous order
//!    (`caches/election`) against which nothing speaks: suspicion, load, its budget while it warms up, and the rules of
//!    `gate`. Writes go to the origin if there is one. A read whose key is being fetched waits for that fetch.
//! 3. `overdue` looks at a forward that is out for longer than usual: it sends a hedged request, or withdraws the forward.
//! 4. `outcome` takes in the end of a forward: what it says of the cache server (`caches/suspicion`, `caches/cache`), of the
//!    key (`hot_keys`), of what the node can do (`goodput`) and of the origin (`origin/limit`).
//! 5. `retry` decides what follows: a miss is fetched from the origin (`origin/queue`), a failure is retried at the next
//!    cache server or sheds the invocation.
//! 6. `completion` gives the final answer if the node itself gives it, withdraws what is still out, and releases those that
//!    wait for the fetch. The invocation is forgotten once no forward of it is in flight.
//!
//! Besides, `endpoint_list` follows the list of cache servers, `peers` exchanges gossip, `settings` builds a policy and
//! applies changed settings, and `timer` names the timers.
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

/// An operation: its settings, and what was learnt of it.
#[derive(Clone)]
struct OperationState {
    settings: Operation,
    limits: ForwardLimits,
    /// How long cache servers usually take.
    latency: LatencyEstimate,
}

/// The decisions of one node.
///
/// Invariants: `now` never decreases; an invocation is in `invocations` from its arrival until it is over and none of its
/// forwards is in flight; at most one final answer is given for it.
#[derive(Default)]
pub struct Policy {
    now: Nanos,
    /// What is to be carried out, in order.
    actions: Vec<Action>,
    rng: fastrand::Rng,
    environment: Environment,
    /// By index of the operation. Operations of earlier settings stay for the invocations that came under them.
    operations: Vec<OperationState>,
    invocations: HashMap<InvocationIndex, Invocation>,
    caches: CacheSet,
    origin: OriginGuard,
    keys: KeyCounts,
    admission: Admission,
    /// The latest report of each peer that has reported lately.
    peers: BTreeMap<usize, PeerReport>,
    /// Wait before the list is requested again, doubled with each failure; 0 after a success.
    list_backoff: Nanos,
    /// When to request the list again; 0 while no request is pending.
    list_request_at: Nanos,
    /// Hedged requests that may be sent: a fraction of the arrivals.
    hedge_tokens: f64,
    /// The fraction of the failed forwards whose invocation the next cache server answered, smoothed.
    retry_success: f64,
    /// Invocations that were throttled or answered with an error, since the start.
    shed_counts: ShedCounts,
}

impl Policy {
    /// Decides what follows from an event at `now`, in nanoseconds; never earlier than the event before.
    pub fn handle(&mut self, now: Nanos, event: Event) {
        self.now = now;
        match event {
            Event::Listed { form, records } => self.on_list(form, &records),
            Event::Arrived(arrival) => self.on_arrival(arrival),
            Event::ResponseStarted { inv, copy } => self.on_response_started(inv, copy),
            Event::ForwardEnded(outcome) => self.on_forward_ended(&outcome),
            Event::ClientLeft { inv } => self.on_client_left(inv),
            Event::HealthChecked { cache, ok, .. } => self.on_health_checked(cache, ok),
            Event::GossipReceived { peer, text } => self.on_gossip(peer, &text),
            Event::TimerFired { token } => self.on_timer(token),
        }
    }

    /// Takes the actions that are to be carried out, in order.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// What was decided since the start.
    pub fn counts(&self) -> PolicyCounts {
        PolicyCounts {
            shed: self.shed_counts,
            shed_fraction: self.admission.shed_fraction,
            suspicions: self.caches.suspicions,
            warm_up_forwards: self.caches.warm_up_forwards,
        }
    }

    /// Whether a cache server that is listed as removed, or no more, may still get forwards.
    pub fn removal_is_advisory(&self) -> bool {
        self.caches.rules.removal_is_advisory
    }

    /// Whether this cache server may still be sent to, whatever the list says.
    pub fn has_record(&self, cache: CacheIndex) -> bool {
        self.caches.is_ready(cache)
    }

    fn on_timer(&mut self, token: u64) {
        match Timer::from_token(token) {
            Some(Timer::UselessAnswer { invocation }) => self.on_useless_answer(invocation),
            Some(Timer::Overdue { invocation, copy }) => self.on_overdue(invocation, copy),
            Some(Timer::ListRequest) => self.on_list_timer(),
            Some(Timer::Gossip) => self.send_gossip(),
            Some(Timer::Origin) => self.pump_origin_queue(),
            None => {}
        }
    }

    /// Sets a timer for a moment, at the earliest a nanosecond from now.
    fn set_timer(&mut self, at: Nanos, timer: Timer) {
        let after = at.saturating_sub(self.now).max(1);
        let token = timer.token();
        self.actions.push(Action::SetTimer { after, token });
    }
}
