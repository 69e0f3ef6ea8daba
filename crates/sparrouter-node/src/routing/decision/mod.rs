//! The decision actor: the sole owner of `Policy`. It turns messages and timers into the policy's events and carries
//! out the policy's actions; it makes no routing decision itself.
//!
//! | module | contents |
//! | --- | --- |
//! | `invocations` | invocations in flight, from their arrival to the end of their last forward |
//! | `forwards` | forwards in flight, and the effect of their results on the invocation |
//! | `servers` | starts and ends the actors of cache servers according to the endpoint list |
//! | `actions` | carries out the policy's actions |
//! | `reconfigure` | applies new settings to a running node |
//! | `counts` | the log's line of counts |
mod actions;
mod counts;
mod forwards;
mod invocations;
mod reconfigure;
mod servers;

pub use reconfigure::{ConfigurationChange, ReporterChange};

use super::Message;
use super::clock::Clock;
use super::endpoint_list::{ListEvent, ListRequest};
use super::peer::{PeerEvent, PeerHandle};
use super::quota::TenantQuotas;
use crate::program::operator::QuotaShareConfig;
use crate::program::reporter::Reporter;
use crate::protocol::endpoint_list::ListUpdate;
use crate::transport::client::ClientEvent;
use crate::transport::gossip::{GossipEvent, GossipSocket};
use bytes::Bytes;
use counts::Counts;
use invocations::PendingInvocation;
use servers::Server;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::{
    Action, CacheIndex, Event, InvocationIndex, ListKind, Nanos, ShedCounts,
};
use sparrouter_settings::{NameTable, Settings};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Starts the actor of one peer.
pub type PeerStarter = Box<dyn Fn(CacheIndex, SocketAddr) -> PeerHandle>;

/// A timer of the policy: when it fires, and the policy's token for it.
type Timer = Reverse<(Nanos, u64)>;

/// Components of a decision actor.
pub struct Parameters {
    /// The routing policy.
    pub policy: Policy,
    /// Maps the names of the settings to the policy's indices.
    pub names: NameTable,
    /// The policy's clock.
    pub clock: Clock,
    /// Client timeouts, indexed by operation.
    pub timeouts: Vec<Nanos>,
    /// Starts the actor of a cache server.
    pub start_peer: PeerStarter,
    /// Mailbox of the endpoint list actor.
    pub list: mpsc::Sender<ListRequest>,
    /// The gossip socket; `None` if the node takes no part in gossip.
    pub gossip: Option<Rc<GossipSocket>>,
}

/// The decision actor's state, used only by the task that executes `run`.
pub struct DecisionActor {
    policy: Policy,
    names: NameTable,
    clock: Clock,
    /// Default client timeouts, indexed by operation, with an entry for each operation of the settings.
    timeouts: Vec<Nanos>,
    /// Invocations that are not answered or have a forward in flight.
    pending: HashMap<InvocationIndex, PendingInvocation>,
    /// The clients' request ids of the invocations in `pending`.
    pending_ids: HashSet<Bytes>,
    /// Servers, indexed by cache index; `None` after a server has left and its last forward has ended.
    servers: Vec<Option<Server>>,
    /// Times at which cache servers left the list. Their names are released once nothing can refer to them.
    left_at: HashMap<CacheIndex, Nanos>,
    start_peer: PeerStarter,
    list: mpsc::Sender<ListRequest>,
    gossip: Option<Rc<GossipSocket>>,
    timers: BinaryHeap<Timer>,
    /// Events that the actor's own actions produced; empty between two messages.
    queued_events: VecDeque<Event>,
    counts: Counts,
    /// The policy's counts of shed invocations at the previous line of counts.
    reported_shed: ShedCounts,
    reporter: Option<Reporter>,
    quotas: Option<TenantQuotas>,
    /// Index of the origin's kind in the settings; `None` if the node does not fetch from the origin itself.
    origin_kind: Option<usize>,
    /// Cache indices of the servers that are origins.
    origins: HashSet<CacheIndex>,
}

impl DecisionActor {
    /// Returns an actor without cache servers, reporter or quotas.
    pub fn new(parameters: Parameters) -> DecisionActor {
        DecisionActor {
            policy: parameters.policy,
            names: parameters.names,
            clock: parameters.clock,
            timeouts: parameters.timeouts,
            start_peer: parameters.start_peer,
            list: parameters.list,
            gossip: parameters.gossip,
            pending: HashMap::new(),
            pending_ids: HashSet::new(),
            servers: Vec::new(),
            left_at: HashMap::new(),
            timers: BinaryHeap::new(),
            queued_events: VecDeque::new(),
            counts: Counts::default(),
            reported_shed: ShedCounts::default(),
            reporter: None,
            quotas: None,
            origin_kind: None,
            origins: HashSet::new(),
        }
    }

    /// Adds a reporter. `origin_kind` is the index of the origin's kind in the settings.
    pub fn with_reporter(
        mut self,
        reporter: Option<Reporter>,
        origin_kind: Option<usize>,
    ) -> DecisionActor {
        (self.reporter, self.origin_kind) = (reporter, origin_kind);
        self
    }

    /// Enforces the tenants' quotas by leased shares, if the operator has configured them.
    pub fn with_quotas(
        mut self,
        config: Option<&QuotaShareConfig>,
        settings: &Settings,
        seed: u64,
    ) -> DecisionActor {
        self.quotas = config.map(|c| TenantQuotas::new(c, settings, seed, self.clock.now()));
        self
    }

    /// Runs until all senders of the mailbox are dropped. `known` is the last endpoint list that the
    /// node is known to have had, `counts_interval` the interval between lines of counts in the log.
    pub async fn run(
        mut self,
        known: ListUpdate,
        mut mailbox: mpsc::Receiver<Message>,
        counts_interval: Duration,
    ) {
        self.apply_list(ListKind::Saved, &known.targets);
        let mut next_counts = Instant::now() + counts_interval;
        loop {
            let wake_at = self.next_wake(next_counts);
            tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep_until(wake_at) => {}
            }
            // Runs after each message, so that a full mailbox can't keep timers from firing.
            self.fire_timers();
            self.tick_quotas();
            self.write_report();
            if Instant::now() >= next_counts {
                self.log_counts();
                next_counts = Instant::now() + counts_interval;
            }
        }
    }

    /// Returns the time of the next timer, tick or report line.
    fn next_wake(&self, next_counts: Instant) -> Instant {
        let report = self.reporter.as_ref().map(Reporter::next_line);
        let quotas = self
            .quotas
            .as_ref()
            .map(|q| self.clock.instant(q.next_tick()));
        let timer = self
            .timers
            .peek()
            .map(|Reverse((fires_at, _))| self.clock.instant(*fires_at));
        let all = [report, quotas, timer].into_iter().flatten();
        all.fold(next_counts, Instant::min)
    }

    fn write_report(&mut self) {
        let now = self.clock.now();
        if let Some(reporter) = self.reporter.as_mut().filter(|r| r.is_line_pending()) {
            let quotas = self.quotas.as_mut();
            let shares = quotas.map_or_else(Vec::new, |q| q.report(now));
            reporter.write(&self.policy.counts(), shares);
        }
    }

    /// Sends the quota messages that are due.
    fn tick_quotas(&mut self) {
        let now = self.clock.now();
        let Some(quotas) = self.quotas.as_mut().filter(|q| q.next_tick() <= now) else {
            return;
        };
        for message in quotas.tick(now) {
            self.send_gossip(message.peer, &message.text);
        }
    }

    fn send_gossip(&self, peer: usize, text: &[u8]) {
        if let Some(gossip) = &self.gossip {
            gossip.send(peer, text);
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((fires_at, token))) = self.timers.peek().copied() {
            if fires_at > now {
                return;
            }
            self.timers.pop();
            self.handle_event(Event::TimerFired { token });
        }
    }

    /// Passes an event to the policy and carries out its actions, then does the same for the events that the actions
    /// queue.
    fn handle_event(&mut self, event: Event) {
        self.queued_events.push_back(event);
        while let Some(event) = self.queued_events.pop_front() {
            let now = self.clock.now();
            self.policy.handle(now, event);
            let actions: Vec<Action> = self.policy.take_actions().collect();
            for action in actions {
                self.carry_out(now, action);
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Client(ClientEvent::Received {
                inv,
                invocation,
                received_at,
                answer,
            }) => self.on_invocation(inv, invocation, received_at, answer),
            Message::Client(ClientEvent::Left { inv }) => self.on_client_left(inv),
            Message::Gossip(event) => self.on_gossip(event),
            Message::List(event) => self.on_list_event(event),
            Message::Peer(PeerEvent::ForwardEnded { forward, result }) => {
                self.on_forward_ended(forward, result);
            }
            Message::Peer(PeerEvent::HealthChecked { cache, ok }) => {
                self.handle_event(Event::HealthChecked {
                    cache,
                    is_answered: ok,
                    load: None,
                });
            }
            Message::ConfigurationChanged(change) => self.apply_change(*change),
        }
    }

    fn on_gossip(&mut self, GossipEvent { peer, text }: GossipEvent) {
        if !TenantQuotas::is_quota_message(&text) {
            return self.handle_event(Event::GossipReceived {
                peer,
                message: text,
            });
        }
        let now = self.clock.now();
        let quotas = self.quotas.as_mut();
        if let Some(answer) = quotas.and_then(|q| q.receive(peer, &text, now)) {
            self.send_gossip(peer, &answer);
        }
    }

    fn on_list_event(&mut self, event: ListEvent) {
        match event {
            ListEvent::Failed => {
                self.counts.lists_lost += 1;
                self.handle_event(Event::Listed {
                    kind: ListKind::Lost,
                    records: Vec::new(),
                });
            }
            ListEvent::Updated(update) => {
                let kind = if update.all {
                    ListKind::Full
                } else {
                    ListKind::Changes
                };
                self.apply_list(kind, &update.targets);
            }
        }
    }
}
