//! Random runs of the model: the seed determines the processes' actions, their times and the faults.
use crate::holder::Rules;
use crate::ledger::Violation;
use crate::model::{Clock, Defect, Message, Returns, World};
use sparrouter_quota::{Division, Nanos, NextStep, QuotaLimit, QuotaSettings};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const TENANTS: [&str; 2] = ["a", "b"];
const HOLDERS: usize = 3;

/// Parameters of a set of runs.
#[derive(Clone, Copy)]
pub struct RunConfig {
    pub defect: Option<Defect>,
    /// The defect that the faults are chosen for, even if it is not injected.
    pub provoked_defect: Option<Defect>,
    pub returns: Returns,
    /// Maximum difference in clock speed, as a ratio.
    pub drift: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub violation: Option<Violation>,
    pub sends: usize,
    /// Highest ratio of sends to allowed sends over all windows.
    pub highest_ratio: f64,
}

/// The load pattern of a period.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// No requests: buckets refill.
    Idle,
    /// Occasional requests.
    Occasional,
    /// Many requests; permits are spent at once.
    Burst,
    /// Many requests; permits are spent immediately before they expire.
    SpendLate,
}

/// Behaviour and fault probabilities of a run.
struct Behaviour {
    /// Ratio of permits that are returned unspent.
    return_ratio: f64,
    /// Whether nodes request permits despite a known refusal.
    ignores_refusals: bool,
    /// Ratios of messages that are delayed by up to 1.5 s, lost, and duplicated.
    delayed: f64,
    lost: f64,
    duplicated: f64,
    /// Probabilities per tick of a process: suspension, partition from the registers, restart, release, and takeover from
    /// another holder.
    suspend: f64,
    partition: f64,
    restart: f64,
    release: f64,
    takeover: f64,
    /// Probability that an [`Event::Change`] changes a limit.
    change: f64,
}

enum Event {
    Deliver(Message),
    Spend(usize, u64),
    GiveBack(usize, u64),
    HolderTick(usize),
    NodeTick(usize),
    Change,
    End,
}

struct Run {
    rng: fastrand::Rng,
    world: World,
    behaviour: Behaviour,
    events: BTreeMap<(Nanos, u64), Event>,
    next_event: u64,
    holders_suspended_until: Vec<Nanos>,
    nodes_suspended_until: Vec<Nanos>,
    /// Time until which a potential lease holder is partitioned from the registers.
    holders_partitioned_until: Vec<Nanos>,
    /// By node and shard: the lease holder that the node requests permits from.
    known_holders: Vec<Vec<usize>>,
    phase: Phase,
    phase_ends_at: Nanos,
}

/// Simulates the run of a seed.
pub fn run(seed: u64, config: RunConfig) -> Outcome {
    let mut run = Run::new(seed, config);
    let violation = run.run().err();
    let ledgers = run.world.ledgers.values();
    Outcome {
        violation,
        sends: ledgers.clone().map(|ledger| ledger.total).sum(),
        highest_ratio: ledgers
            .map(|ledger| ledger.highest_ratio)
            .fold(0.0, f64::max),
    }
}

fn random_limit(rng: &mut fastrand::Rng) -> QuotaLimit {
    let rate_per_s = [0.5, 2.0, 3.3, 8.0, 20.0, 65.0][rng.usize(..6)];
    let bursts = [0.0, 0.5, 1.0, rate_per_s, rate_per_s, 3.0 * rate_per_s];
    QuotaLimit {
        rate_per_s,
        burst_size: bursts[rng.usize(..6)],
    }
}

impl Behaviour {
    fn random(rng: &mut fastrand::Rng) -> Behaviour {
        // In a run with few faults the tenants come close to their limits.
        let fault_ratio = [0.0, 0.15, 0.5][rng.usize(..3)];
        let mut pick = |low: f64, high: f64| {
            let is_high = rng.bool();
            match rng.f64() < fault_ratio {
                true if is_high => high,
                true => low,
                false => 0.0,
            }
        };
        Behaviour {
            delayed: pick(0.02, 0.2),
            lost: pick(0.01, 0.1),
            duplicated: pick(0.05, 0.3),
            suspend: pick(0.003, 0.02),
            partition: pick(0.003, 0.02),
            restart: pick(0.003, 0.02),
            release: pick(0.003, 0.02),
            takeover: pick(0.003, 0.02),
            change: pick(0.3, 0.8),
            return_ratio: [0.0, 0.2, 0.7][rng.usize(..3)],
            ignores_refusals: rng.bool(),
        }
    }

    /// Raises the probability of the events that reveal the defect.
    fn provoke(&mut self, defect: Defect) {
        match defect {
            Defect::PermitFromAnswer => self.delayed = 0.2,
            Defect::UncheckedSpend => self.suspend = 0.02,
            Defect::LapsedGrant | Defect::NoTakeoverWait => self.partition = 0.02,
            Defect::FullSuccessor => self.takeover = 0.02,
            Defect::FullRestart => self.restart = 0.02,
            Defect::DoubleReturn => self.return_ratio = 0.7,
            Defect::ForeignReturn => (self.return_ratio, self.partition) = (0.7, 0.02),
            Defect::KeptLevel => self.change = 0.8,
        }
    }
}

impl Run {
    fn new(seed: u64, config: RunConfig) -> Run {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rules = Rules {
            settings: QuotaSettings {
                window: [1, 2, 5][rng.usize(..3)] * SECOND,
                permit_lifetime: 300 * MS,
                shards: [1, 2, 4][rng.usize(..3)],
            },
            lease: [500, 1_000, 2_000][rng.usize(..3)] * MS,
            defect: config.defect,
            returns: config.returns,
        };
        let mut clock = || Clock {
            start: rng.u64(..SECOND),
            speed: 1.0 / (1.0 + config.drift * rng.f64()),
        };
        let holders = [(); HOLDERS].map(|()| clock());
        let nodes = [(); 3].map(|()| clock());
        let world = World::new(rules, &TENANTS, &holders, &nodes);
        let mut behaviour = Behaviour::random(&mut rng);
        if let Some(defect) = config.provoked_defect {
            behaviour.provoke(defect);
        }
        let mut run = Run {
            behaviour,
            known_holders: vec![vec![0; usize::from(world.rules.settings.shards)]; nodes.len()],
            rng,
            world,
            events: BTreeMap::new(),
            next_event: 0,
            holders_suspended_until: vec![0; HOLDERS],
            nodes_suspended_until: vec![0; nodes.len()],
            holders_partitioned_until: vec![0; HOLDERS],
            phase: Phase::Idle,
            phase_ends_at: 0,
        };
        run.set_up(nodes.len());
        run
    }

    fn set_up(&mut self, nodes: usize) {
        for tenant in TENANTS {
            let limit = random_limit(&mut self.rng);
            self.world.set_limit(tenant, Some(limit));
        }
        for holder in 0..HOLDERS {
            self.schedule(0, Event::HolderTick(holder));
        }
        for node in 0..nodes {
            self.schedule(0, Event::NodeTick(node));
        }
        self.schedule(2 * SECOND, Event::Change);
        self.schedule(10 * SECOND, Event::End);
    }

    fn schedule(&mut self, delay: Nanos, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.world.now + delay, self.next_event), event);
    }

    fn run(&mut self) -> Result<(), Violation> {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.world.now = at;
            if let Some(resumes_at) = self
                .suspended_until(&event)
                .filter(|resumes_at| *resumes_at > at)
            {
                self.schedule(resumes_at - at, event);
                continue;
            }
            match event {
                Event::Deliver(message) => self.deliver(message),
                Event::Spend(node, id) => self.world.spend(node, id)?,
                Event::GiveBack(node, id) => self.world.give_back(node, id),
                Event::HolderTick(holder) => self.tick_holder(holder),
                Event::NodeTick(node) => self.tick_node(node),
                Event::Change => self.change_limit(),
                Event::End => return Ok(()),
            }
            self.send_outbox();
        }
        Ok(())
    }

    fn suspended_until(&self, event: &Event) -> Option<Nanos> {
        match event {
            Event::Deliver(message) => match (message.holder(), message.node()) {
                (Some(holder), _) => Some(self.holders_suspended_until[holder]),
                (None, Some(node)) => Some(self.nodes_suspended_until[node]),
                (None, None) => None,
            },
            Event::HolderTick(holder) => Some(self.holders_suspended_until[*holder]),
            Event::Spend(node, _) | Event::GiveBack(node, _) | Event::NodeTick(node) => {
                Some(self.nodes_suspended_until[*node])
            }
            Event::Change | Event::End => None,
        }
    }

    /// Moves the messages in the outbox to the network.
    fn send_outbox(&mut self) {
        for message in std::mem::take(&mut self.world.outbox) {
            if self.is_partitioned(&message) || self.rng.f64() < self.behaviour.lost {
                continue;
            }
            // Returns are sent over a connection and are not duplicated, except by the injected defect.
            let is_return = matches!(message, Message::Return { .. });
            if !is_return && self.rng.f64() < self.behaviour.duplicated {
                let delay = self.delay();
                self.schedule(delay, Event::Deliver(message.clone()));
            }
            let delay = self.delay();
            self.schedule(delay, Event::Deliver(message));
        }
    }

    /// Whether a message is between a register and a holder that is partitioned from it.
    fn is_partitioned(&self, message: &Message) -> bool {
        let (Message::Change { from: holder, .. } | Message::Answer { to: holder, .. }) = message
        else {
            return false;
        };
        self.holders_partitioned_until[holder.index] > self.world.now
    }

    fn delay(&mut self) -> Nanos {
        if self.rng.f64() < self.behaviour.delayed {
            self.rng.u64(..1_500 * MS)
        } else {
            self.rng.u64(..4 * MS)
        }
    }

    fn deliver(&mut self, message: Message) {
        let node = message.node();
        let held_before = node.map_or(0, |node| self.world.nodes[node].held.len());
        self.world.deliver(message);
        let Some(node) = node else { return };
        let held = &self.world.nodes[node].held;
        if held.len() <= held_before {
            return;
        }
        let Some(newest) = held.last() else { return };
        let (id, expires_at) = (newest.id, newest.expires_at);
        let remaining = expires_at.saturating_sub(self.world.nodes[node].clock.at(self.world.now));
        if self.rng.f64() < self.behaviour.return_ratio {
            let delay = [4 * MS, 3 * SECOND][self.rng.usize(..2)];
            let delay = self.rng.u64(..delay);
            self.schedule(delay, Event::GiveBack(node, id));
        } else if self.phase == Phase::SpendLate {
            let delay = remaining.saturating_sub(self.rng.u64(..2 * MS));
            self.schedule(delay, Event::Spend(node, id));
        } else {
            let delay = self.rng.u64(..20 * MS);
            self.schedule(delay, Event::Spend(node, id));
        }
    }

    fn tick_holder(&mut self, index: usize) {
        let next = self.rng.u64(60 * MS..100 * MS);
        self.schedule(next, Event::HolderTick(index));
        if self.rng.f64() < self.behaviour.suspend {
            self.holders_suspended_until[index] = self.world.now + self.rng.u64(..4 * SECOND);
            return;
        }
        if self.rng.f64() < self.behaviour.partition {
            self.holders_partitioned_until[index] = self.world.now + self.rng.u64(..5 * SECOND);
        }
        if self.rng.f64() < self.behaviour.restart {
            self.world.holders[index].restart();
        }
        self.world.tick(index);
        for shard in 1..=self.world.rules.settings.shards {
            self.tick_lease(index, shard);
        }
    }

    fn is_unreachable(&self, holder: usize) -> bool {
        let unreachable_until =
            self.holders_partitioned_until[holder].max(self.holders_suspended_until[holder]);
        unreachable_until > self.world.now
    }

    fn tick_lease(&mut self, index: usize, shard: u16) {
        let holder = &self.world.holders[index];
        let now = holder.clock.at(self.world.now);
        let registered = self.world.registered(shard);
        match holder.shards[usize::from(shard) - 1].granting {
            Some(_) if self.rng.f64() < self.behaviour.release => self.world.release(index, shard),
            Some(granting) => {
                if now.saturating_sub(granting.renewed_at) >= self.world.rules.lease / 3 {
                    self.world.renew(index, shard);
                }
            }
            None => {
                let chance = match registered {
                    None => 0.3,
                    Some(current) if current == index => 0.7,
                    Some(current) if self.is_unreachable(current) => 0.1,
                    Some(_) => self.behaviour.takeover,
                };
                if self.rng.f64() < chance {
                    self.world.acquire(index, shard);
                }
            }
        }
    }

    fn tick_node(&mut self, index: usize) {
        let next = self.rng.u64(10 * MS..30 * MS);
        self.schedule(next, Event::NodeTick(index));
        if self.rng.f64() < self.behaviour.suspend / 3.0 {
            self.nodes_suspended_until[index] = self.world.now + self.rng.u64(..2 * SECOND);
            return;
        }
        if self.rng.f64() < self.behaviour.restart / 3.0 {
            self.world.restart_node(index);
        }
        if self.phase_ends_at <= self.world.now {
            self.phase = match (self.phase, self.rng.usize(..6)) {
                (Phase::Idle, 0..3) => Phase::SpendLate,
                (Phase::SpendLate, 0..4) | (_, 0) => Phase::Burst,
                (_, 1) => Phase::SpendLate,
                (_, 2) => Phase::Occasional,
                _ => Phase::Idle,
            };
            let max_duration = self.world.rules.settings.window.min(2 * SECOND) + SECOND;
            self.phase_ends_at = self.world.now + self.rng.u64(300 * MS..max_duration);
        }
        let requests = match self.phase {
            Phase::Idle => 0,
            Phase::Occasional => usize::from(self.rng.f64() < 0.1),
            Phase::Burst | Phase::SpendLate => 2,
        };
        for tenant in TENANTS {
            self.request(index, tenant, requests);
        }
    }

    fn request(&mut self, index: usize, tenant: &str, count: usize) {
        let settings = self.world.rules.settings;
        let Some(limit) = self.world.config.limits.get(tenant) else {
            // A tenant without a limit needs no permits.
            if let Some(ledger) = self.world.ledgers.get_mut(tenant) {
                let _ = ledger.send(self.world.now);
            }
            return;
        };
        let mut shards = Division::of(*limit, &settings).shards(tenant, &settings);
        for _ in 0..count {
            let first = self.rng.usize(..shards.len());
            shards.rotate_left(first);
            let node = &self.world.nodes[index];
            let now = node.clock.at(self.world.now);
            let shard = match node.permits.next_step(tenant, &shards, &[], now) {
                NextStep::Ask(shard) => shard,
                _ if self.behaviour.ignores_refusals => shards[0],
                _ => return,
            };
            let holder = self.holder_to_ask(index, shard);
            self.world.ask(index, tenant, shard, holder);
        }
    }

    fn holder_to_ask(&mut self, node: usize, shard: u16) -> usize {
        let chance = self.rng.f64();
        let registered = self.world.registered(shard).filter(|_| chance < 0.1);
        let random = (chance > 0.98).then(|| self.rng.usize(..HOLDERS));
        let known_holder = &mut self.known_holders[node][usize::from(shard) - 1];
        *known_holder = registered.or(random).unwrap_or(*known_holder);
        *known_holder
    }

    fn change_limit(&mut self) {
        let next = self.rng.u64(500 * MS..8 * SECOND);
        self.schedule(next, Event::Change);
        if self.rng.f64() < self.behaviour.change {
            let tenant = TENANTS[self.rng.usize(..2)];
            let limit = (self.rng.f64() < 0.8).then(|| random_limit(&mut self.rng));
            self.world.set_limit(tenant, limit);
        }
    }
}
