//! Exhaustive exploration of all event orders in a small scope: one tenant, one shard, two potential lease holders and two
//! nodes. An undelivered message models a lost one, and a process without events models a suspended one.
use crate::holder::{Grant, Rules};
use crate::ledger::Violation;
use crate::model::{Clock, Defect, Message, Returns, World};
use sparrouter_quota::{Nanos, QuotaLimit, QuotaSettings};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Step of the simulated time.
const STEP: Nanos = 100_000_000;
const TENANT: &str = "a";

/// Remaining number of times that each action may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub steps: u8,
    pub asks: u8,
    pub acquires: [u8; 2],
    pub renewals: u8,
    pub releases: u8,
    pub restarts: u8,
    pub duplicates: u8,
}

#[derive(Clone, Copy)]
enum Action {
    Step,
    Deliver(usize),
    Duplicate(usize),
    Acquire(usize),
    Renew(usize),
    Release(usize),
    Restart(usize),
    Ask(usize),
    Spend(usize, u64),
}

#[derive(Clone)]
struct State {
    world: World,
    network: Vec<Message>,
    budget: Budget,
    /// Whether requests for permits are delivered and answered immediately.
    answers_at_once: bool,
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    pub violation: Option<Violation>,
    /// Highest ratio of sends to allowed sends over all windows.
    pub highest_ratio: f64,
}

/// Visits each reachable state, until one violates the limit.
pub fn explore(defect: Option<Defect>, budget: Budget, answers_at_once: bool) -> Explored {
    let mut visited = HashSet::new();
    let mut stack = vec![State::new(defect, budget, answers_at_once)];
    let mut highest_ratio = 0.0f64;
    while let Some(state) = stack.pop() {
        for action in state.actions() {
            let mut next = state.clone();
            let result = next.act(action);
            let ledger = &next.world.ledgers[TENANT];
            highest_ratio = highest_ratio.max(ledger.highest_ratio);
            if let Err(violation) = result {
                return Explored {
                    states: visited.len(),
                    violation: Some(violation),
                    highest_ratio,
                };
            }
            let was_ineffective = answers_at_once
                && matches!(action, Action::Ask(_))
                && next.has_same_permits_and_messages_as(&state);
            if !was_ineffective && visited.insert(next.fingerprint()) {
                stack.push(next);
            }
        }
    }
    Explored {
        states: visited.len(),
        violation: None,
        highest_ratio,
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl State {
    fn new(defect: Option<Defect>, budget: Budget, answers_at_once: bool) -> State {
        let rules = Rules {
            settings: QuotaSettings {
                window: STEP,
                permit_lifetime: STEP * 3 / 2,
                shards: 1,
            },
            lease: 2 * STEP,
            defect,
            returns: Returns::Never,
        };
        let clock = Clock {
            start: 0,
            speed: 1.0,
        };
        let mut world = World::new(rules, &[TENANT], &[clock; 2], &[clock; 2]);
        // 3.5 sends are allowed in a window: one token is gained per step, the bucket's capacity is one token, and the
        // other 1.5 cover the permits granted within a permit lifetime before the window.
        let limit = QuotaLimit {
            rate_per_s: 10.0,
            burst_size: 2.5,
        };
        world.set_limit(TENANT, Some(limit));
        let mut state = State {
            world,
            network: Vec::new(),
            budget,
            answers_at_once,
        };
        // The first holder has the lease.
        state.world.acquire(0, 1);
        for _ in 0..2 {
            if let Some(message) = state.world.outbox.pop() {
                state.world.deliver(message);
            }
        }
        state.settle();
        state
    }

    fn actions(&self) -> Vec<Action> {
        let budget = &self.budget;
        let mut actions = Vec::new();
        let mut add_if = |is_allowed: bool, action: Action| {
            if is_allowed {
                actions.push(action);
            }
        };
        add_if(budget.steps > 0, Action::Step);
        for index in 0..2 {
            let has_lease = self.world.holders[index].shards[0].granting.is_some();
            add_if(budget.acquires[index] > 0, Action::Acquire(index));
            add_if(budget.renewals > 0 && has_lease, Action::Renew(index));
            add_if(budget.releases > 0 && has_lease, Action::Release(index));
            add_if(budget.restarts > 0 && has_lease, Action::Restart(index));
            add_if(budget.asks > 0, Action::Ask(index));
        }
        for (index, message) in self.network.iter().enumerate() {
            add_if(true, Action::Deliver(index));
            let is_change = matches!(message, Message::Change { .. });
            add_if(budget.duplicates > 0 && is_change, Action::Duplicate(index));
        }
        for (index, node) in self.world.nodes.iter().enumerate() {
            // Of a node's permits, only the one that expires first is spent.
            let first = node.held.iter().min_by_key(|held| held.expires_at);
            if let Some(held) = first {
                add_if(true, Action::Spend(index, held.id));
            }
        }
        actions
    }

    fn act(&mut self, action: Action) -> Result<(), Violation> {
        let budget = &mut self.budget;
        match action {
            Action::Step => {
                budget.steps -= 1;
                self.world.now += STEP;
            }
            Action::Deliver(index) => {
                let message = self.network.swap_remove(index);
                self.world.deliver(message);
            }
            Action::Duplicate(index) => {
                budget.duplicates -= 1;
                self.network.push(self.network[index].clone());
            }
            Action::Acquire(index) => {
                budget.acquires[index] -= 1;
                self.world.acquire(index, 1);
            }
            Action::Renew(index) => {
                budget.renewals -= 1;
                self.world.renew(index, 1);
            }
            Action::Release(index) => {
                budget.releases -= 1;
                self.world.release(index, 1);
            }
            Action::Restart(index) => {
                budget.restarts -= 1;
                self.world.holders[index].restart();
            }
            Action::Ask(holder) => {
                budget.asks -= 1;
                self.world
                    .ask(usize::from(budget.asks % 2), TENANT, 1, holder);
            }
            Action::Spend(index, id) => self.world.spend(index, id)?,
        }
        self.settle();
        let now = self.world.now;
        if let Some(ledger) = self.world.ledgers.get_mut(TENANT) {
            ledger.prune(now);
        }
        Ok(())
    }

    /// Delivers grants at once, and requests for permits as well if `answers_at_once` is set. This hides no violation: a
    /// permit can still be spent later than it arrives, and a request that is made later, instead of delayed, yields a
    /// permit that expires later. Drops messages that can no longer lead to a send.
    fn settle(&mut self) {
        let defect = self.world.rules.defect;
        let counts_from_answer = defect == Some(Defect::PermitFromAnswer);
        while let Some(message) = self.world.outbox.pop() {
            match message {
                Message::Grant {
                    grant: Grant::Exhausted(_) | Grant::NotHolder,
                    ..
                } => {}
                Message::Grant { .. } if !counts_from_answer => self.world.deliver(message),
                Message::Ask { .. } if self.answers_at_once && !counts_from_answer => {
                    self.world.deliver(message)
                }
                message => self.network.push(message),
            }
        }
        // Buckets of a new lease start to refill at once, not only after the next tick.
        for index in 0..2 {
            self.world.tick(index);
        }
        if counts_from_answer || defect == Some(Defect::UncheckedSpend) {
            return;
        }
        let (now, lifetime) = (self.world.now, self.world.rules.settings.permit_lifetime);
        for node in &mut self.world.nodes {
            node.held.retain(|held| held.expires_at > now);
            node.pending_asks
                .retain(|_, pending| pending.sent_at + lifetime > now);
        }
        let nodes = &self.world.nodes;
        self.network.retain(|message| match message {
            Message::Ask { from, ask, .. } => nodes[from.index].pending_asks.contains_key(ask),
            _ => true,
        });
    }

    /// Whether a request for a permit changed nothing: no node received a permit, and no message was added.
    fn has_same_permits_and_messages_as(&self, before: &State) -> bool {
        let held = |state: &State| {
            state
                .world
                .nodes
                .iter()
                .map(|node| node.held.len())
                .sum::<usize>()
        };
        held(self) == held(before) && self.network.len() == before.network.len()
    }

    /// Equal for states with the same possible continuations: ids of permits and requests and the order of messages are
    /// ignored.
    fn fingerprint(&self) -> u64 {
        let world = &self.world;
        let messages = self
            .network
            .iter()
            .map(|message| self.message_fingerprint(message));
        let held = world.nodes.iter().flat_map(|node| &node.held);
        let held = held.map(|held| hash_of(&(held.fencing_token, held.expires_at)));
        let holders = world
            .holders
            .iter()
            .map(|holder| hash_of(&format!("{:?} {}", holder.shards, holder.generation)));
        hash_of(&(
            self.budget,
            world.now,
            &world.registers,
            messages.fold(0, u64::wrapping_add),
            held.fold(0, u64::wrapping_add),
            holders.collect::<Vec<u64>>(),
            world.ledgers[TENANT].recent(),
        ))
    }

    fn message_fingerprint(&self, message: &Message) -> u64 {
        let asked_at = |node: usize, ask: &u64| {
            self.world.nodes[node]
                .pending_asks
                .get(ask)
                .map(|pending| pending.sent_at)
        };
        match message {
            Message::Ask {
                from, ask, holder, ..
            } => hash_of(&(1, asked_at(from.index, ask), holder)),
            Message::Grant { to, ask, grant } => {
                let token = match grant {
                    Grant::Permit { fencing_token, .. } => *fencing_token,
                    _ => 0,
                };
                hash_of(&(2, asked_at(to.index, ask), token))
            }
            message => hash_of(&format!("{message:?}")),
        }
    }
}
