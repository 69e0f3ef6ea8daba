//! A simulated environment for one node: it plays clients, cache servers, the list and the clock, and checks every
//! action against a model of the safety rules.
#![allow(dead_code, reason = "each test file uses a part of the harness")]
#![allow(unused_imports, reason = "each test file uses a part of the harness")]
mod model;
mod setup;

pub use setup::*;

use model::{Model, ModelForward, ModelInvocation};
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;

pub const MS: Nanos = 1_000_000;

/// A client's request.
#[derive(Clone, Copy)]
pub struct Request {
    pub operation: usize,
    pub key: Option<u64>,
    pub is_write: bool,
    pub timeout: Nanos,
}

impl Request {
    /// A read by operation 0 with a time-out of one second.
    pub fn read(key: u64) -> Request {
        Request {
            operation: 0,
            key: Some(key),
            is_write: false,
            timeout: SECOND,
        }
    }
    /// A write by operation 1 with a time-out of one second.
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

/// Results of [`Harness::play_reads`] at cache server 0.
pub struct CacheZeroRun {
    /// Time until its first answer with success; `None` if there was none.
    pub first_success: Option<Nanos>,
    /// Number of first forwards of reads that it received and answered.
    pub forwards: usize,
}

/// A node under test and its environment.
pub struct Harness {
    pub setup: Setup,
    /// Index of the first operation of the current settings.
    pub first_operation: usize,
    pub policy: Policy,
    pub now: Nanos,
    model: Model,
    /// Firing time and token of each timer.
    timers: Vec<(Nanos, u64)>,
    /// Forwards that end as withdrawn at the next tick.
    withdrawals: Vec<(InvocationIndex, usize)>,
    health_checks: Vec<CacheIndex>,
    next_invocation: InvocationIndex,
    pub has_requested_list: bool,
    /// Number of keys that [`Harness::new_key`] has returned.
    pub new_keys: u64,
    /// Load report in every outcome and health check.
    pub load: Option<Load>,
    /// All actions so far.
    pub log: Vec<Action>,
}

impl Harness {
    /// Creates a node that has just started, with this saved list.
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

    /// Applies other settings. Each operation gets a new index, so that invocations in progress keep their rules.
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

    /// Delivers a list to the node.
    pub fn list(&mut self, kind: ListKind, records: Vec<CacheRecord>) {
        let is_advisory = self.setup.rules.removal_is_advisory;
        self.model.apply_list(kind, &records, is_advisory);
        self.handle(Event::Listed { kind, records });
    }

    /// Delivers a client's request. Tenants are assigned in rotation.
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

    /// Delivers a read by operation 0.
    pub fn read(&mut self, key: u64) -> InvocationIndex {
        self.arrive(Request::read(key))
    }

    /// Delivers a write by operation 1.
    pub fn write(&mut self, key: u64) -> InvocationIndex {
        self.arrive(Request::write(key))
    }

    /// Returns a key that no read has used before.
    pub fn new_key(&mut self) -> u64 {
        self.new_keys += 1;
        key_hash(self.new_keys)
    }

    /// Plays reads of new keys at 50 per second for `time`. `outcome_of` gives the outcome of a forward to a cache
    /// server; `None` if the forward isn't answered.
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
            for (index, forward_index) in self.in_flight() {
                let target = self.targets(index)[forward_index];
                let Some(outcome) = outcome_of(target) else {
                    continue;
                };
                run.forwards += usize::from(target == 0 && index == newest);
                let is_first = target == 0 && run.first_success.is_none();
                if is_first && outcome == Outcome::Succeeded {
                    run.first_success = Some(self.now - start);
                }
                self.end(index, forward_index, outcome);
            }
        }
        run
    }

    /// Plays reads at 50 per second for `time`, all of which succeed.
    pub fn play_good_reads(&mut self, time: Nanos) -> CacheZeroRun {
        self.play_reads(time, &|_| Some(Outcome::Succeeded))
    }

    /// Returns the server that a read of this key is forwarded to; the read succeeds immediately.
    pub fn winner(&mut self, key: u64) -> CacheIndex {
        let index = self.read(key);
        let target = self.targets(index)[0];
        self.end(index, 0, Outcome::Succeeded);
        target
    }

    /// Returns the servers that reads of these keys are forwarded to; each read succeeds immediately.
    pub fn winners(&mut self, keys: std::ops::Range<u64>) -> Vec<CacheIndex> {
        keys.map(|key| self.winner(key)).collect()
    }

    /// Returns the forwards in flight, oldest invocation first.
    pub fn in_flight(&self) -> Vec<(InvocationIndex, usize)> {
        let mut in_flight = vec![];
        for (&index, invocation) in &self.model.invocations {
            for (forward_index, forward) in invocation.forwards.iter().enumerate() {
                if forward.is_in_flight {
                    in_flight.push((index, forward_index));
                }
            }
        }
        in_flight
    }

    /// Returns the servers that the forwards of an invocation were sent to.
    pub fn targets(&self, index: InvocationIndex) -> Vec<CacheIndex> {
        let forwards = self.model.invocations[&index].forwards.iter();
        forwards.map(|f| f.cache).collect()
    }

    pub fn is_answered(&self, index: InvocationIndex) -> bool {
        self.model.invocations[&index].is_answered
    }

    /// Ends a forward if it is in flight.
    pub fn end(&mut self, index: InvocationIndex, forward_index: usize, outcome: Outcome) {
        let invocation = self
            .model
            .invocations
            .get_mut(&index)
            .expect("known invocation");
        let forward = &mut invocation.forwards[forward_index];
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
            forward_index,
            cache,
            outcome,
            latency: self.now - sent_at,
            is_final,
            cache_result: None,
            load: self.load,
        }));
    }

    /// Ends all forwards in flight with success.
    pub fn end_all(&mut self) {
        for (index, forward_index) in self.in_flight() {
            self.end(index, forward_index, Outcome::Succeeded);
        }
    }

    /// Relays the first bytes of an answer, if the operation streams and the invocation is unanswered.
    pub fn start_response(&mut self, index: InvocationIndex, forward_index: usize) {
        let invocation = self
            .model
            .invocations
            .get_mut(&index)
            .expect("known invocation");
        if !invocation.is_open() || !self.setup.operations[invocation.operation].stream {
            return;
        }
        invocation.has_response_started = true;
        invocation.forwards[forward_index].timeout_at = Nanos::MAX;
        self.handle(Event::ResponseStarted {
            inv: index,
            forward_index,
        });
    }

    /// Closes the client's connection, if the invocation is unanswered.
    pub fn close_client(&mut self, index: InvocationIndex) {
        let invocation = self
            .model
            .invocations
            .get_mut(&index)
            .expect("known invocation");
        if invocation.is_open() {
            invocation.is_answered = true;
            self.handle(Event::ClientLeft { inv: index });
        }
    }

    /// Advances the time tick by tick, with all withdrawals, health checks, time-outs and timers that are due.
    pub fn advance(&mut self, time: Nanos) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.setup.environment.tick).min(end);
            for (index, forward_index) in std::mem::take(&mut self.withdrawals) {
                self.end(index, forward_index, Outcome::Withdrawn);
            }
            for cache in std::mem::take(&mut self.health_checks) {
                self.handle(Event::HealthChecked {
                    cache,
                    is_answered: cache % 2 == 0,
                    load: self.load,
                });
            }
            for (index, forward_index) in self.in_flight() {
                let forward = &self.model.invocations[&index].forwards[forward_index];
                if forward.timeout_at <= self.now {
                    self.end(index, forward_index, Outcome::TimedOut);
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

    /// Lets the node handle an event, and checks its actions.
    pub fn handle(&mut self, event: Event) {
        self.policy.handle(self.now, event);
        let actions: Vec<Action> = self.policy.take_actions().collect();
        for action in actions {
            self.check(&action);
            self.log.push(action);
        }
    }

    /// Delivers a peer's message.
    pub fn receive_gossip(&mut self, peer: usize, message: Vec<u8>) {
        self.handle(Event::GossipReceived { peer, message });
    }

    /// Returns the number of actions so far that match the predicate.
    pub fn count_actions(&self, predicate: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|action| predicate(action)).count()
    }

    /// Fetches distinct keys until the origin has no capacity for another fetch; returns the invocations in flight.
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

    /// Ends the test without new arrivals: every open invocation must be answered.
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
