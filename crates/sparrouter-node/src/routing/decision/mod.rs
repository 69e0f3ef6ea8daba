//! The module's actor: the sole owner of `Policy`. It maps names to indices, hands events in and
//! carries actions out; it decides nothing.
use super::Message;
use super::clock::Clock;
use super::endpoint_list::{ListEvent, ListRequest};
use super::peer::{Forward, ForwardResult, PeerCommand, PeerEvent, PeerHandle};
use super::quota::TenantQuotas;
use crate::invariant;
use crate::program::operator::{Identity, Shares as Wanted};
use crate::program::reporter::Reporter;
use crate::protocol::endpoint_list::{ListUpdate, Target};
use crate::protocol::messages::{Answer, Invocation};
use crate::transport::budget::Reservation;
use crate::transport::client::{ClientEvent, ReservedAnswer};
use crate::transport::gossip::{GossipEvent, GossipSocket};
use bytes::Bytes;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;
use sparrouter_settings::{ListEntry, NameTable, Settings, hash};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// An invocation, until it is answered and all its forwards have ended.
struct Held {
    invocation: Rc<Invocation>,
    answer: Option<oneshot::Sender<ReservedAnswer>>,
    over: Rc<Cell<bool>>,
    forwards: Vec<CacheIndex>,
    out: usize,
    operation: usize,
    at: Instant,
}

impl Held {
    /// Gives the one final answer.
    fn conclude(&mut self, answer: Answer, reservations: Vec<Reservation>) {
        invariant!(!self.over.get(), "an invocation is answered once");
        self.over.set(true);
        if let Some(to) = self.answer.take() {
            // The client may have gone this moment; it will be told of.
            let _ = to.send((answer, reservations));
        }
    }
}

struct Door {
    peer: PeerHandle,
    endpoint: SocketAddr,
    out: usize,
    gone: bool,
    /// Listed as draining: that binds wherever gone is advice.
    drains: bool,
    /// Gone by the list, which is advice here: the module may still send there.
    missing: bool,
}

/// Other settings for a node at work, whole and checked.
pub struct ConfigurationChange {
    pub old: Settings,
    pub new: Settings,
    /// Made of the new ones.
    pub policy: Policy,
    pub operations: Vec<Operation>,
    pub nodes: Vec<SocketAddr>,
    /// Settings and nodes are as before.
    pub same: bool,
    pub reporter: ReporterChange,
    /// How common limits are kept, if by leases.
    pub shares: Option<Wanted>,
    pub seed: u64,
    pub print: u64,
}

/// What becomes of the report.
pub enum ReporterChange {
    As(Identity),
    /// To another file, or to none.
    To(Option<Box<Reporter>>),
}

/// Starts the actor of one peer.
pub type Starter = Box<dyn Fn(CacheIndex, SocketAddr) -> PeerHandle>;

pub struct DecisionActor {
    policy: Policy,
    names: NameTable,
    clock: Clock,
    /// By operation: how long a client waits that does not say so.
    timeouts: Vec<Nanos>,
    held: HashMap<InvocationIndex, Held>,
    /// The clients' ids of all that is held.
    open: HashSet<Bytes>,
    doors: Vec<Option<Door>>,
    /// Since when cache servers are gone; their names are let go once nothing can speak of them any more.
    gone_at: HashMap<CacheIndex, Nanos>,
    start_peer: Starter,
    list: mpsc::Sender<ListRequest>,
    datagrams: Option<Rc<GossipSocket>>,
    timers: BinaryHeap<Reverse<(Nanos, u64)>>,
    /// What the actor itself found out while it carried out actions.
    next: VecDeque<Event>,
    counts: Counts,
    told_before: ShedCounts,
    reporter: Option<Reporter>,
    parts: Option<TenantQuotas>,
    origin_kind: Option<usize>,
    origins: HashSet<CacheIndex>,
}

/// Since the last line of the log.
#[derive(Default, Debug)]
pub struct Counts {
    taken: u64,
    succeeded: u64,
    throttled: u64,
    errored: u64,
    gone: u64,
    forwards: u64,
    outcomes: [u64; 10],
    probes: u64,
    lists_lost: u64,
}

impl DecisionActor {
    pub fn new(
        policy: Policy,
        names: NameTable,
        clock: Clock,
        timeouts: Vec<Nanos>,
        start_peer: Starter,
        list: mpsc::Sender<ListRequest>,
        datagrams: Option<Rc<GossipSocket>>,
    ) -> DecisionActor {
        DecisionActor {
            policy,
            names,
            clock,
            timeouts,
            start_peer,
            list,
            datagrams,
            held: HashMap::new(),
            open: HashSet::new(),
            doors: Vec::new(),
            gone_at: HashMap::new(),
            timers: BinaryHeap::new(),
            next: VecDeque::new(),
            counts: Counts::default(),
            told_before: ShedCounts::default(),
            reporter: None,
            parts: None,
            origin_kind: None,
            origins: HashSet::new(),
        }
    }

    /// What it does is told to this as well.
    pub fn reporting(
        mut self,
        reporter: Option<Reporter>,
        origin_kind: Option<usize>,
    ) -> DecisionActor {
        (self.reporter, self.origin_kind) = (reporter, origin_kind);
        self
    }

    /// Common limits are kept by leases between the nodes.
    pub fn sharing(
        mut self,
        wanted: Option<&Wanted>,
        settings: &Settings,
        seed: u64,
    ) -> DecisionActor {
        self.parts = wanted.map(|w| TenantQuotas::new(w, settings, seed, self.clock.now()));
        self
    }

    /// `known`: the list as the node last had it. `every`: between lines of counts in the log.
    pub async fn run(
        mut self,
        known: ListUpdate,
        mut mailbox: mpsc::Receiver<Message>,
        every: Duration,
    ) {
        self.listed(ListKind::Saved, known.targets);
        let mut report = Instant::now() + every;
        loop {
            let look = self
                .reporter
                .as_ref()
                .map_or(report, |r| r.next().min(report));
            let look = self
                .parts
                .as_ref()
                .map_or(look, |p| self.clock.instant(p.next()).min(look));
            let due = self
                .timers
                .peek()
                .map_or(look, |Reverse((at, _))| self.clock.instant(*at).min(look));
            tokio::select! {
                biased;
                told = mailbox.recv() => match told {
                    Some(told) => self.told(told),
                    None => return,
                },
                () = sleep_until(due) => {}
            }
            // After each message, so that a full mailbox can't keep timers from firing.
            self.fire();
            self.share();
            let now = self.clock.now();
            if let Some(r) = self.reporter.as_mut().filter(|r| r.due()) {
                let shares = self
                    .parts
                    .as_mut()
                    .map_or_else(Vec::new, |p| p.told_of(now));
                r.write(self.policy.counts(), shares);
            }
            if Instant::now() >= report {
                self.report();
                report = Instant::now() + every;
            }
        }
    }

    fn report(&mut self) {
        self.sweep();
        let timers = self.timers.len();
        let told = self.policy.counts();
        let before = std::mem::replace(&mut self.told_before, told.shed);
        let [shed, no_room, origin, late, gate, fails] =
            std::array::from_fn(|n| told.shed[n].saturating_sub(before[n]));
        let excess = told.shed_fraction;
        let (counts, open) = (&self.counts, self.held.len());
        log::info!(
            "counts: {counts:?}, given up: shed {shed}, no room {no_room}, origin {origin}, late {late}, \
             gate {gate}, fails {fails}, turned away now {excess:.2}; open {open}, timers {timers}"
        );
        self.counts = Counts::default();
    }

    /// Notes on parts of common limits, when they are due.
    fn share(&mut self) {
        let now = self.clock.now();
        let Some(parts) = self.parts.as_mut().filter(|p| p.next() <= now) else {
            return;
        };
        for (peer, text) in parts.tick(now) {
            self.tell(peer, &text);
        }
    }
    fn tell(&self, peer: usize, text: &[u8]) {
        if let Some(datagrams) = &self.datagrams {
            datagrams.send(peer, text);
        }
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            self.handle(Event::TimerFired { token });
        }
    }

    fn handle(&mut self, event: Event) {
        self.next.push_back(event);
        while let Some(event) = self.next.pop_front() {
            let now = self.clock.now();
            self.policy.handle(now, event);
            let actions: Vec<Action> = self.policy.take_actions().collect();
            actions.into_iter().for_each(|action| self.act(now, action));
        }
    }

    fn told(&mut self, told: Message) {
        match told {
            Message::Client(ClientEvent::Received {
                inv,
                invocation,
                at,
                answer,
            }) => {
                self.taken(inv, invocation, at, answer);
            }
            Message::Client(ClientEvent::Left { inv }) => self.gone(inv),
            Message::Gossip(GossipEvent { peer, text }) if TenantQuotas::owns(&text) => {
                let now = self.clock.now();
                if let Some(answer) = self.parts.as_mut().and_then(|p| p.heard(peer, &text, now)) {
                    self.tell(peer, &answer);
                }
            }
            Message::Gossip(GossipEvent { peer, text }) => {
                self.handle(Event::GossipReceived { peer, text })
            }
            Message::List(ListEvent::Failed) => {
                self.counts.lists_lost += 1;
                self.handle(Event::Listed {
                    form: ListKind::Lost,
                    records: Vec::new(),
                });
            }
            Message::List(ListEvent::Updated(listing)) => {
                let form = if listing.all {
                    ListKind::Full
                } else {
                    ListKind::Changes
                };
                self.listed(form, listing.targets);
            }
            Message::Peer(PeerEvent::ForwardEnded {
                inv,
                copy,
                cache,
                how,
            }) => self.ended(inv, copy, cache, how),
            Message::ConfigurationChanged(change) => self.change(*change),
            Message::Peer(PeerEvent::HealthChecked { cache, ok }) => {
                self.handle(Event::HealthChecked {
                    cache,
                    ok,
                    load: None,
                });
            }
        }
    }

    /// All at once, between two events: what is in hand keeps its place and with it its operation's rules.
    fn change(&mut self, c: ConfigurationChange) {
        let held = &self.held;
        let up = self.names.apply_settings(&c.old, &c.new, |place| {
            held.values().any(|h| h.operation == place)
        });
        let places = up
            .operations
            .iter()
            .map(|t| t.new_index + 1)
            .max()
            .unwrap_or(0);
        self.timeouts.resize(self.timeouts.len().max(places), 0);
        for (taken, op) in up.operations.iter().zip(&c.operations) {
            self.timeouts[taken.new_index] = op.client_timeout;
        }
        let (names, identity) = (c.new.classes.iter().map(|o| o.name.clone()), c.reporter);
        let at = up.operations.iter().map(|t| t.new_index);
        let placed: Vec<_> = at.zip(names.zip(c.operations)).collect();
        match identity {
            ReporterChange::As(identity) => self
                .reporter
                .iter_mut()
                .for_each(|r| r.identify(identity.clone())),
            ReporterChange::To(other) => self.reporter = other.map(|r| *r),
        }
        self.reporter
            .iter_mut()
            .for_each(|r| r.place(c.print, &placed));
        let now = self.clock.now();
        self.parts =
            TenantQuotas::apply_settings(self.parts.take(), c.shares.as_ref(), &c.new, c.seed, now);
        if c.same {
            // Discovery or the operator's file alone: nothing that was learnt is touched.
            return;
        }
        self.policy
            .apply_settings(self.clock.now(), c.policy, &up.operations, &up.tenants);
        if let Some(datagrams) = &self.datagrams {
            datagrams.apply_settings(c.nodes);
        }
    }

    // -- what comes in --

    fn taken(
        &mut self,
        inv: InvocationIndex,
        invocation: Rc<Invocation>,
        at: Instant,
        answer: oneshot::Sender<ReservedAnswer>,
    ) {
        let Some(operation) = self.names.operation(&invocation.operation) else {
            let _ = answer.send((Answer::Bad("unknown X-Class"), Vec::new()));
            return;
        };
        // Guards against a second copy on its way under an id whose forward is still out.
        if !self.open.insert(invocation.id.clone()) {
            let _ = answer.send((Answer::Bad("X-Request-Id is open"), Vec::new()));
            return;
        }
        self.counts.taken += 1;
        // Whatever it says, no client waits for longer than the settings allow.
        let longest = self.timeouts[operation];
        let patience = invocation
            .patience_ms
            .map_or(longest, |ms| ms.saturating_mul(1_000_000).min(longest));
        let tenant = invocation
            .tenant
            .as_ref()
            .and_then(|t| self.names.tenant(t));
        let now = self.clock.now();
        let within = tenant.and_then(|t| self.parts.as_mut().and_then(|p| p.take(t, now)));
        let arrival = Arrival {
            inv,
            operation,
            tenant,
            is_within_quota: within,
            key: invocation.key().map(hash),
            write: invocation.writes(),
            repeat: invocation.repeat,
            work: None,
            deadline: self.clock.at(at) + patience,
        };
        self.reporter.iter_mut().for_each(|r| r.taken(operation));
        let (answer, forwards) = (Some(answer), Vec::new());
        let held = Held {
            invocation,
            answer,
            over: Rc::default(),
            forwards,
            out: 0,
            operation,
            at,
        };
        self.held.insert(inv, held);
        self.handle(Event::Arrived(arrival));
        self.forget(inv);
    }

    fn gone(&mut self, inv: InvocationIndex) {
        let Some(held) = self.held.get_mut(&inv).filter(|h| !h.over.get()) else {
            return;
        };
        // For a client that ended its side alone: never sent on, it may come again.
        let never_sent = held.forwards.is_empty();
        held.conclude(
            if never_sent {
                Answer::Throttled { retry_after: 0 }
            } else {
                Answer::Errored
            },
            Vec::new(),
        );
        self.counts.gone += 1;
        self.handle(Event::ClientLeft { inv });
        self.forget(inv);
    }

    fn ended(&mut self, inv: InvocationIndex, copy: usize, cache: CacheIndex, how: ForwardResult) {
        self.counts.outcomes[how.outcome as usize] += 1;
        if let Some(door) = self.doors[cache].as_mut() {
            door.out -= 1;
            if door.gone && door.out == 0 {
                self.doors[cache] = None;
            }
        }
        let held = self.held.get_mut(&inv);
        invariant!(
            held.is_some(),
            "a forward ends before its invocation is forgotten"
        );
        let Some(held) = held else { return };
        held.out -= 1;
        if how.outcome == Outcome::Succeeded && !held.over.get() {
            self.counts.succeeded += 1;
            let (operation, took) = (held.operation, held.at.elapsed());
            self.reporter
                .iter_mut()
                .for_each(|r| r.succeeded(operation, took));
            held.conclude(
                Answer::Succeeded {
                    kind: how.kind,
                    body: how.body.bytes,
                },
                how.body.reservations,
            );
        }
        let (last, lag) = (held.over.get(), how.lag.as_nanos() as Nanos);
        let (outcome, note) = (how.outcome, how.note);
        self.handle(Event::ForwardEnded(ForwardOutcome {
            inv,
            copy,
            cache,
            outcome,
            latency: lag,
            is_final: last,
            cache_result: note,
            load: None,
        }));
        self.forget(inv);
    }

    fn forget(&mut self, inv: InvocationIndex) {
        if self
            .held
            .get(&inv)
            .is_some_and(|h| h.over.get() && h.out == 0)
            && let Some(held) = self.held.remove(&inv)
        {
            self.open.remove(&held.invocation.id);
        }
    }

    fn listed(&mut self, form: ListKind, targets: Vec<Target>) {
        if form != ListKind::Changes {
            self.unlisted(&targets);
        }
        let mut rows = Vec::with_capacity(targets.len());
        for t in &targets {
            let (id, state, zone, kind) = (&t.uid, &t.state, &t.az, &t.model);
            if t.state == "terminated" && self.names.cache(&t.uid).is_none() {
                continue;
            }
            let ready_at = t.boot_ms.saturating_mul(1_000_000);
            let listed = ListEntry {
                id,
                state,
                zone,
                kind,
                cell: t.pod_group,
                weight: t.capacity_hint,
                ready_at,
            };
            match self.names.record(&listed) {
                Ok(row) => {
                    self.door(row.cache, t.endpoint, row.state);
                    if self.origin_kind == Some(row.kind) {
                        self.origins.insert(row.cache);
                    }
                    rows.push(row);
                }
                Err(error) => log::warn!("list: {} passed over: {error}", t.uid),
            }
        }
        if !rows.is_empty() {
            log::info!("list: {form:?}, {} entries", rows.len());
        }
        self.handle(Event::Listed {
            form,
            records: rows,
        });
        self.sweep();
    }

    /// Forgets the names of those that are gone for good: twice as long as any invocation lasts.
    fn sweep(&mut self) {
        for cache in 0..self.doors.len() {
            let missing = self.doors[cache]
                .as_ref()
                .filter(|d| d.missing)
                .map(|d| d.endpoint);
            if let Some(endpoint) = missing.filter(|_| !self.policy.has_record(cache)) {
                self.bind(cache, endpoint, LifecycleState::Left, false);
            }
        }
        let keep = 2 * self.timeouts.iter().max().copied().unwrap_or_default();
        let (now, names, doors) = (self.clock.now(), &mut self.names, &self.doors);
        let origins = &mut self.origins;
        let before = self.gone_at.len();
        self.gone_at.retain(|&cache, at| {
            let over = *at + keep < now && doors[cache].is_none();
            if over {
                names.release(cache);
                origins.remove(&cache);
            }
            !over
        });
        if before > self.gone_at.len() {
            log::info!(
                "list: {} names of gone cache servers let go",
                before - self.gone_at.len()
            );
        }
    }

    /// Whatever a whole list does not name is gone.
    fn unlisted(&mut self, targets: &[Target]) {
        let named: HashSet<CacheIndex> = targets
            .iter()
            .filter_map(|t| self.names.cache(&t.uid))
            .collect();
        for cache in 0..self.doors.len() {
            if let Some(endpoint) = self.doors[cache].as_ref().map(|d| d.endpoint)
                && !named.contains(&cache)
            {
                self.door(cache, endpoint, LifecycleState::Left);
            }
        }
    }

    fn door(&mut self, cache: CacheIndex, endpoint: SocketAddr, standing: LifecycleState) {
        if self.doors.len() <= cache {
            self.doors.resize_with(cache + 1, || None);
        }
        let open = self.doors[cache]
            .as_ref()
            .is_some_and(|d| !d.drains && !d.gone);
        self.bind(
            cache,
            endpoint,
            standing,
            self.policy.removal_is_advisory() && standing == LifecycleState::Left && open,
        );
    }

    fn bind(
        &mut self,
        cache: CacheIndex,
        endpoint: SocketAddr,
        standing: LifecycleState,
        missing: bool,
    ) {
        let gone = standing == LifecycleState::Left && !missing;
        if gone {
            let now = self.clock.now();
            self.gone_at.entry(cache).or_insert(now);
            if self.doors[cache].is_none() {
                return;
            }
        } else {
            self.gone_at.remove(&cache);
        }
        let start = &self.start_peer;
        let door = self.doors[cache].get_or_insert_with(|| Door {
            peer: start(cache, endpoint),
            endpoint,
            out: 0,
            gone,
            drains: false,
            missing,
        });
        (door.endpoint, door.gone, door.missing) = (endpoint, gone, missing);
        door.drains = standing == LifecycleState::Draining;
        door.peer
            .listed(endpoint, missing || standing == LifecycleState::Ready);
        if door.gone && door.out == 0 {
            self.doors[cache] = None;
        }
    }

    // -- what goes out --

    fn order(&mut self, cache: CacheIndex, order: PeerCommand) -> bool {
        let door = self.doors.get_mut(cache).and_then(|d| d.as_mut());
        door.is_some_and(|d| d.peer.order(order))
    }

    fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Forward {
                inv,
                cache,
                wait,
                must_leave_before: before,
            } => {
                let before = before.map(|at| self.clock.instant(at));
                self.forward(inv, cache, wait, before);
            }
            Action::Withdraw { inv, copy } => {
                let cache = self
                    .held
                    .get(&inv)
                    .and_then(|h| h.forwards.get(copy))
                    .copied();
                let sent = cache
                    .is_some_and(|cache| self.order(cache, PeerCommand::Withdraw { inv, copy }));
                invariant!(sent, "a forward that is withdrawn was sent");
            }
            Action::Throttle { inv, retry_after } => {
                self.counts.throttled += 1;
                self.conclude(inv, Answer::Throttled { retry_after });
            }
            Action::Error { inv } => {
                self.counts.errored += 1;
                self.conclude(inv, Answer::Errored);
            }
            Action::SetTimer { after, token } => self.timers.push(Reverse((now + after, token))),
            Action::CheckHealth { cache } => {
                self.counts.probes += 1;
                if !self.order(cache, PeerCommand::CheckHealth) {
                    self.next.push_back(Event::HealthChecked {
                        cache,
                        ok: false,
                        load: None,
                    });
                }
            }
            Action::SendGossip { peer, text } => self.tell(peer, &text),
            Action::FollowList => self.ask(ListRequest::Subscribe),
            Action::RequestList => self.ask(ListRequest::FetchFull),
        }
    }

    fn ask(&mut self, ask: ListRequest) {
        // A full mailbox holds such a call already.
        let _ = self.list.try_send(ask);
    }

    fn conclude(&mut self, inv: InvocationIndex, answer: Answer) {
        let held = self.held.get_mut(&inv);
        invariant!(held.is_some(), "an answer belongs to an invocation in hand");
        if let Some(held) = held {
            let (operation, throttled) =
                (held.operation, matches!(answer, Answer::Throttled { .. }));
            self.reporter
                .iter_mut()
                .for_each(|r| r.gave_up(operation, throttled));
            held.conclude(answer, Vec::new());
        }
        // Guards against keeping for good what had no forward out when it was answered: by a timer, or
        // since another's fetch failed.
        self.forget(inv);
    }

    fn forward(
        &mut self,
        inv: InvocationIndex,
        cache: CacheIndex,
        wait: Nanos,
        before: Option<Instant>,
    ) {
        let held = self.held.get_mut(&inv);
        invariant!(
            held.as_ref().is_some_and(|h| !h.over.get()),
            "nothing is sent for what is over"
        );
        let Some(held) = held else { return };
        let copy = held.forwards.len();
        held.forwards.push(cache);
        held.out += 1;
        self.counts.forwards += 1;
        let fetch = self.origins.contains(&cache);
        self.reporter.iter_mut().for_each(|r| r.forwarded(fetch));
        let (invocation, over) = (held.invocation.clone(), held.over.clone());
        let wait = Duration::from_nanos(wait);
        let forward = Forward {
            inv,
            copy,
            invocation,
            over,
            at: Instant::now(),
            wait,
            before,
        };
        if self.order(cache, PeerCommand::Forward(forward)) {
            if let Some(door) = self.doors[cache].as_mut() {
                door.out += 1;
            }
            return;
        }
        // Its mailbox is full, or it is gone: proved never to have run.
        if let Some(held) = self.held.get_mut(&inv) {
            held.out -= 1;
        }
        self.next.push_back(Event::ForwardEnded(ForwardOutcome {
            inv,
            copy,
            cache,
            outcome: Outcome::NotSent,
            latency: 0,
            is_final: false,
            cache_result: None,
            load: None,
        }));
    }
}
