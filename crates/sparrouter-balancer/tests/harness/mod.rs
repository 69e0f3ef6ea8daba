//! A legal environment for one node: it plays clients, cache servers, the list and the clock, and checks every action as it
//! comes against a model of the safety rules.
#![allow(dead_code, reason = "each test file uses a part of the harness")]
#![allow(unused_imports, reason = "each test file uses a part of the harness")]
mod model;
mod setup;

pub use setup::*;

use model::{Model, ModelForward, ModelInvocation};
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;

pub const MS: Nanos = 1_000_000;

/// What a client asks for.
#[derive(Clone, Copy)]
pub struct Request {
    pub operation: usize,
    pub key: Option<u64>,
    pub is_write: bool,
    pub timeout: Nanos,
}

impl Request {
    /// A read by operation 0 with a timeout of a second.
    pub fn read(key: u64) -> Request {
        Request {
            operation: 0,
            key: Some(key),
            is_write: false,
            timeout: SECOND,
        }
    }
    /// A write by operation 1 with a timeout of a second.
    pub fn write(key: u64) -> Request {
        Request {
            operation: 1,
            is_write: true,
            ..Request::read(key)
        }
    }
    pub fn timeout(self, timeout: Nanos) -> Request {
        Request { timeout, ..self }
    }
    pub fn operation(self, operation: usize) -> Request {
        Request { operation, ..self }
    }
}

/// What cache server 0 saw of [`Harness::play_reads`].
pub struct CacheZeroRun {
    /// Time until it first answered with success.
    pub first_success: Option<Nanos>,
    /// First forwards that it got and answered.
    pub forwards: usize,
}

/// A node under test and everything around it.
pub struct Harness {
    pub setup: Setup,
    /// Index of the first operation of the settings that apply now.
    pub first_operation: usize,
    pub policy: Policy,
    pub now: Nanos,
    model: Model,
    /// When each timer fires, and its token.
    timers: Vec<(Nanos, u64)>,
    /// Forwards that end as withdrawn at the next tick.
    withdrawals: Vec<(InvocationIndex, usize)>,
    health_checks: Vec<CacheIndex>,
    next_invocation: InvocationIndex,
    pub has_requested_list: bool,
    /// How many keys [`Harness::new_key`] gave.
    pub new_keys: u64,
    /// What every outcome and health check reports.
    pub load: Option<Load>,
    /// All actions so far.
    pub log: Vec<Action>,
}

impl Harness {
    /// A node that has just started, with this saved list.
    pub fn new(setup: Setup, records: Vec<CacheRecord>) -> Harness {
        let mut harness = Harness {
            policy: setup.policy(),
            setup,
            first_operation: 0,
            now: 100 * SECOND,
            model: Model::default(),
            timers: vec![],
            withdrawals: vec![],
            health_checks: vec![],
            next_invocation: 0,
            has_requested_list: false,
            new_keys: 0,
            load: None,
            log: vec![],
        };
        harness.list(ListKind::Saved, records);
        harness
    }

    /// Other settings. Each operation gets a new index, so that invocations at hand keep their rules.
    pub fn apply_settings(
        &mut self,
        operations: Vec<Operation>,
        limits: ForwardLimits,
        nodes: usize,
    ) {
        let mut fresh = self.setup.clone().nodes(nodes);
        fresh.operations = operations;
        fresh.limits = limits;
        let count = self.setup.operations.len();
        let old_index = |n: usize| Some(self.first_operation + n).filter(|&old| old < count);
        let mapping = |n: usize| OperationMapping {
            new_index: count + n,
            old_index: old_index(n),
        };
        let mappings: Vec<OperationMapping> = (0..fresh.operations.len()).map(mapping).collect();
        let tenants: Vec<Option<usize>> = (0..self.setup.tenants.len()).map(Some).collect();
        let policy = fresh.policy();
        self.policy
            .apply_settings(self.now, policy, &mappings, &tenants);
        self.setup.operations.extend(fresh.operations);
        self.first_operation = count;
        self.setup.limits = limits;
        self.setup.environment = fresh.environment;
    }

    /// The node gets a list.
    pub fn list(&mut self, kind: ListKind, records: Vec<CacheRecord>) {
        let is_advisory = self.setup.rules.removal_is_advisory;
        self.model.apply_list(kind, &records, is_advisory);
        self.handle(Event::Listed {
            form: kind,
            records,
        });
    }

    /// A client's request arrives. Tenants take turns.
    pub fn arrive(&mut self, request: Request) -> InvocationIndex {
        let index = self.next_invocation;
        self.next_invocation += 1;
        let deadline = self.now + request.timeout;
        let invocation = ModelInvocation {
            operation: request.operation,
            limits: self.setup.limits,
            deadline,
            forwards: vec![],
            is_answered: false,
            has_response_started: false,
        };
        self.model.invocations.insert(index, invocation);
        let tenants = self.setup.tenants.len();
        let tenant = (tenants > 0).then(|| index as usize % tenants);
        self.handle(Event::Arrived(Arrival {
            inv: index,
            operation: request.operation,
            tenant,
            key: request.key,
            write: request.is_write,
            deadline,
            ..Arrival::default()
        }));
        index
    }

    /// A read by operation 0 arrives.
    pub fn read(&mut self, key: u64) -> InvocationIndex {
        self.arrive(Request::read(key))
    }

    /// A write by operation 1 arrives.
    pub fn write(&mut self, key: u64) -> InvocationIndex {
        self.arrive(Request::write(key))
    }

    /// A key that no read had before.
    pub fn new_key(&mut self) -> u64 {
        self.new_keys += 1;
        key_hash(self.new_keys)
    }

    /// Reads of new keys at 50 a second for a time; `outcome_of` says how a forward to a cache server ends, `None` that it
    /// is not answered.
    pub fn play_reads(
        &mut self,
        time: Nanos,
        outcome_of: &dyn Fn(CacheIndex) -> Option<Outcome>,
    ) -> CacheZeroRun {
        let start = self.now;
        let mut run = CacheZeroRun {
            first_success: None,
            forwards: 0,
        };
        while self.now < start + time {
            let key = self.new_key();
            let newest = self.read(key);
            self.advance(20 * MS);
            for (index, copy) in self.in_flight() {
                let target = self.targets(index)[copy];
                let Some(outcome) = outcome_of(target) else {
                    continue;
                };
                run.forwards += usize::from(target == 0 && index == newest);
                let is_first = target == 0 && run.first_success.is_none();
                if is_first && outcome == Outcome::Succeeded {
                    run.first_success = Some(self.now - start);
                }
                self.end(index, copy, outcome);
            }
        }
        run
    }

    /// Reads at 50 a second for a time, of which all succeed.
    pub fn play_good_reads(&mut self, time: Nanos) -> CacheZeroRun {
        self.play_reads(time, &|_| Some(Outcome::Succeeded))
    }

    /// Where a read of this key goes; it succeeds there at once.
    pub fn winner(&mut self, key: u64) -> CacheIndex {
        let index = self.read(key);
        let target = self.targets(index)[0];
        self.end(index, 0, Outcome::Succeeded);
        target
    }

    /// Where reads of these keys go; each succeeds there at once.
    pub fn winners(&mut self, keys: std::ops::Range<u64>) -> Vec<CacheIndex> {
        keys.map(|key| self.winner(key)).collect()
    }

    /// The forwards that are in flight, oldest invocation first.
    pub fn in_flight(&self) -> Vec<(InvocationIndex, usize)> {
        let mut in_flight = vec![];
        for (&index, invocation) in &self.model.invocations {
            for (copy, forward) in invocation.forwards.iter().enumerate() {
                if forward.is_in_flight {
                    in_flight.push((index, copy));
                }
            }
        }
        in_flight
    }

    /// Where the forwards of an invocation went.
    pub fn targets(&self, index: InvocationIndex) -> Vec<CacheIndex> {
        let forwards = self.model.invocations[&index].forwards.iter();
        forwards.map(|f| f.cache).collect()
    }

    pub fn is_answered(&self, index: InvocationIndex) -> bool {
        self.model.invocations[&index].is_answered
    }

    /// A forward ends, if it is in flight.
    pub fn end(&mut self, index: InvocationIndex, copy: usize, outcome: Outcome) {
        let invocation = self.model.invocations.get_mut(&index).expect("known");
        let forward = &mut invocation.forwards[copy];
        if !forward.is_in_flight {
            return;
        }
        forward.is_in_flight = false;
        forward.may_have_run = !outcome.never_ran();
        let &mut ModelForward { cache, sent_at, .. } = forward;
        let has_started = invocation.has_response_started;
        invocation.is_answered |= outcome == Outcome::Succeeded || has_started;
        let is_final = invocation.is_answered;
        self.handle(Event::ForwardEnded(ForwardOutcome {
            inv: index,
            copy,
            cache,
            outcome,
            latency: self.now - sent_at,
            is_final,
            cache_result: None,
            load: self.load,
        }));
    }

    /// All forwards that are in flight succeed.
    pub fn end_all(&mut self) {
        for (index, copy) in self.in_flight() {
            self.end(index, copy, Outcome::Succeeded);
        }
    }

    /// The first bytes of an answer are relayed, if the operation streams and nothing else answered.
    pub fn start_response(&mut self, index: InvocationIndex, copy: usize) {
        let invocation = self.model.invocations.get_mut(&index).expect("known");
        if !invocation.is_open() || !self.setup.operations[invocation.operation].stream {
            return;
        }
        invocation.has_response_started = true;
        invocation.forwards[copy].timeout_at = Nanos::MAX;
        self.handle(Event::ResponseStarted { inv: index, copy });
    }

    /// The client closes its connection, if it has no answer.
    pub fn close_client(&mut self, index: InvocationIndex) {
        let invocation = self.model.invocations.get_mut(&index).expect("known");
        if invocation.is_open() {
            invocation.is_answered = true;
            self.handle(Event::ClientLeft { inv: index });
        }
    }

    /// Time passes tick by tick: withdrawals, health checks, time-outs and timers come when they are due.
    pub fn advance(&mut self, time: Nanos) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.setup.environment.tick).min(end);
            for (index, copy) in std::mem::take(&mut self.withdrawals) {
                self.end(index, copy, Outcome::Withdrawn);
            }
            for cache in std::mem::take(&mut self.health_checks) {
                self.handle(Event::HealthChecked {
                    cache,
                    ok: cache % 2 == 0,
                    load: self.load,
                });
            }
            for (index, copy) in self.in_flight() {
                let forward = &self.model.invocations[&index].forwards[copy];
                if forward.timeout_at <= self.now {
                    self.end(index, copy, Outcome::TimedOut);
                }
            }
            self.fire_timers();
            self.check_answers_in_time();
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now;
        let (mut fired, later): (Vec<_>, Vec<_>) =
            self.timers.iter().partition(|(at, _)| *at <= now);
        self.timers = later;
        fired.sort_unstable();
        for (_, token) in fired {
            self.handle(Event::TimerFired { token });
        }
    }

    /// The node handles an event; its actions are checked.
    pub fn handle(&mut self, event: Event) {
        self.policy.handle(self.now, event);
        let actions: Vec<Action> = self.policy.take_actions().collect();
        for action in actions {
            self.check(&action);
            self.log.push(action);
        }
    }

    /// A peer's message arrives.
    pub fn receive_gossip(&mut self, peer: usize, text: Vec<u8>) {
        self.handle(Event::GossipReceived { peer, text });
    }

    /// How many of the actions so far are meant.
    pub fn count_actions(&self, predicate: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|action| predicate(action)).count()
    }

    /// Fetches of distinct keys until the origin has no capacity for one more; gives those that are in flight.
    pub fn saturate_origin(&mut self, origin: CacheIndex) -> Vec<InvocationIndex> {
        let mut fetching = vec![];
        for key in 1000.. {
            let index = self.read(key);
            self.end(index, 0, Outcome::Miss);
            if self.targets(index).last() != Some(&origin) {
                return fetching;
            }
            fetching.push(index);
        }
        fetching
    }

    /// Nothing new arrives; what is open must be answered.
    pub fn finish(&mut self) {
        let deadlines = self.model.invocations.values().map(|i| i.deadline);
        let last = deadlines.max().unwrap_or(self.now);
        let slack = self.setup.rules.answer_slack;
        self.advance(last.saturating_sub(self.now) + slack + MS);
        for (index, invocation) in &self.model.invocations {
            assert!(!invocation.is_open(), "rule 1: {index} was never answered");
        }
    }
}
