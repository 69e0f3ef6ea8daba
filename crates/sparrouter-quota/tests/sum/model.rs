//! A small model of a fleet with quotas: it runs the real code for decisions; time, messages and faults are inputs.
use crate::holder::{Config, Context, Grant, Holder, HolderShard, Rules};
use crate::ledger::{Ledger, Violation};
use sparrouter_consensus::lease::{Lease, LeaseAnswer, LeaseChange};
use sparrouter_consensus::{Applied, Leases, Machine};
use sparrouter_quota::{Nanos, Permit, PermitTable, QuotaLimit, ReturnedTokens};
use std::collections::BTreeMap;

/// A defect that a test injects to show that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A permit's lifetime counts from the answer.
    PermitFromAnswer,
    /// A permit is spent without a check of its expiry.
    UncheckedSpend,
    /// A holder grants after its lease has expired.
    LapsedGrant,
    /// A new holder grants without waiting for the end of its predecessor's lease.
    NoTakeoverWait,
    /// A new holder starts with full buckets.
    FullSuccessor,
    /// A restarted process starts with full buckets.
    FullRestart,
    /// A duplicated return is credited twice.
    DoubleReturn,
    /// A return is credited under another lease than the permit's.
    ForeignReturn,
    /// After a limit is lowered, tokens above the new capacity remain usable.
    KeptLevel,
}

/// How a lease holder treats returned permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returns {
    /// Ignores them.
    Never,
    /// Credits them with `BucketTable::give_back`.
    TokenBucket,
    /// Credits those that would still be in the bucket had they not been taken.
    Tracked,
}

/// A steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub start: Nanos,
    pub speed: f64,
}

impl Clock {
    pub fn at(&self, now: Nanos) -> Nanos {
        if self.speed == 1.0 {
            return self.start + now;
        }
        self.start + (now as f64 * self.speed) as Nanos
    }
}

/// One incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    pub index: usize,
    pub generation: u32,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub enum Message {
    Change {
        from: Process,
        shard: u16,
        change: LeaseChange,
        sent_at: Nanos,
    },
    Answer {
        to: Process,
        shard: u16,
        answer: LeaseAnswer,
        sent_at: Nanos,
        token: u64,
    },
    Ask {
        from: Process,
        ask: u64,
        holder: usize,
        shard: u16,
        tenant: String,
    },
    Grant {
        to: Process,
        ask: u64,
        grant: Grant,
    },
    Return {
        holder: usize,
        shard: u16,
        tenant: String,
        returned: ReturnedTokens,
        id: u64,
    },
}

impl Message {
    /// Index of the lease holder that receives the message.
    pub fn holder(&self) -> Option<usize> {
        match self {
            Message::Answer { to, .. } => Some(to.index),
            Message::Ask { holder, .. } | Message::Return { holder, .. } => Some(*holder),
            Message::Change { .. } | Message::Grant { .. } => None,
        }
    }

    /// Index of the node that receives the message.
    pub fn node(&self) -> Option<usize> {
        match self {
            Message::Grant { to, .. } => Some(to.index),
            _ => None,
        }
    }
}

/// A pending request for a permit.
#[derive(Clone, Debug)]
pub struct PendingAsk {
    pub holder: usize,
    shard: u16,
    tenant: String,
    pub sent_at: Nanos,
}

/// A permit held by a node.
#[derive(Clone, Debug)]
pub struct HeldPermit {
    pub id: u64,
    holder: usize,
    tenant: String,
    shard: u16,
    pub fencing_token: u64,
    granted_at: Nanos,
    pub expires_at: Nanos,
}

/// A process that forwards requests.
#[derive(Clone, Debug)]
pub struct Node {
    pub clock: Clock,
    pub generation: u32,
    pub permits: PermitTable,
    pub pending_asks: BTreeMap<u64, PendingAsk>,
    pub held: Vec<HeldPermit>,
}

/// The state of the whole model.
#[derive(Clone, Debug)]
pub struct World {
    pub rules: Rules,
    /// Simulated real time.
    pub now: Nanos,
    pub config: Config,
    pub ledgers: BTreeMap<String, Ledger>,
    /// States of the lease registers, by shard.
    pub registers: Vec<Vec<u8>>,
    pub holders: Vec<Holder>,
    pub nodes: Vec<Node>,
    /// Messages sent since the driver last emptied the outbox.
    pub outbox: Vec<Message>,
    next_id: u64,
}

impl World {
    /// Creates the processes with these clocks.
    pub fn new(rules: Rules, tenants: &[&str], holders: &[Clock], nodes: &[Clock]) -> World {
        let shards = usize::from(rules.settings.shards);
        let slowest = nodes.iter().map(|clock| clock.speed).fold(1.0, f64::min);
        let ledger = Ledger::new(rules.settings, 1.0 / slowest);
        let holder = |(index, clock): (usize, &Clock)| Holder {
            name: format!("holder-{index}"),
            clock: *clock,
            generation: 0,
            shards: vec![HolderShard::default(); shards],
        };
        let node = |clock: &Clock| Node {
            clock: *clock,
            generation: 0,
            permits: PermitTable::default(),
            pending_asks: BTreeMap::new(),
            held: Vec::new(),
        };
        World {
            rules,
            now: 0,
            config: Config::default(),
            ledgers: tenants
                .iter()
                .map(|name| ((*name).to_owned(), ledger.clone()))
                .collect(),
            registers: vec![Vec::new(); shards],
            holders: holders.iter().enumerate().map(holder).collect(),
            nodes: nodes.iter().map(node).collect(),
            outbox: Vec::new(),
            next_id: 0,
        }
    }

    pub fn set_limit(&mut self, tenant: &str, limit: Option<QuotaLimit>) {
        self.config.slot += 1;
        match limit {
            Some(limit) => self.config.limits.insert(tenant.to_owned(), limit),
            None => self.config.limits.remove(tenant),
        };
        if let Some(ledger) = self.ledgers.get_mut(tenant) {
            ledger.set_limit(limit, self.now);
        }
        for index in 0..self.holders.len() {
            self.tick(index);
        }
    }

    /// Index of the current lease holder by a shard's lease register.
    pub fn registered(&self, shard: u16) -> Option<usize> {
        let lease = Lease::decode(&self.registers[usize::from(shard) - 1])?;
        let name = lease.holder?.name;
        self.holders.iter().position(|holder| holder.name == name)
    }

    /// Brings the buckets of a potential lease holder up to date.
    pub fn tick(&mut self, index: usize) {
        for shard in 1..=self.rules.settings.shards {
            let (holder, context) = self.holder_context(index);
            holder.tick(shard, context);
        }
    }

    fn holder_context(&mut self, index: usize) -> (&mut Holder, Context<'_>) {
        let holder = &mut self.holders[index];
        let context = Context {
            now: holder.clock.at(self.now),
            config: &self.config,
            rules: &self.rules,
        };
        (holder, context)
    }

    fn change(&mut self, index: usize, shard: u16, change: LeaseChange) {
        let holder = &self.holders[index];
        self.outbox.push(Message::Change {
            from: Process {
                index,
                generation: holder.generation,
            },
            shard,
            change,
            sent_at: holder.clock.at(self.now),
        });
    }

    pub fn acquire(&mut self, index: usize, shard: u16) {
        let change = LeaseChange::Acquire {
            holder: self.holders[index].identity(),
            duration: self.rules.lease,
        };
        self.change(index, shard, change);
    }

    pub fn renew(&mut self, index: usize, shard: u16) {
        let holder = &self.holders[index];
        let Some(granting) = holder.shards[usize::from(shard) - 1].granting else {
            return;
        };
        let change = LeaseChange::Renew {
            holder: holder.identity(),
            fencing_token: granting.fencing_token,
        };
        self.change(index, shard, change);
    }

    pub fn release(&mut self, index: usize, shard: u16) {
        let holder = &mut self.holders[index];
        let now = holder.clock.at(self.now);
        if let Some((fencing_token, waited)) = holder.give_up(shard, now) {
            let change = LeaseChange::Release {
                holder: holder.identity(),
                fencing_token,
                waited,
            };
            self.change(index, shard, change);
        }
    }

    pub fn restart_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.generation += 1;
        node.permits = PermitTable::default();
        node.pending_asks.clear();
        node.held.clear();
    }

    /// A node requests a permit.
    pub fn ask(&mut self, index: usize, tenant: &str, shard: u16, holder: usize) {
        let node = &mut self.nodes[index];
        self.next_id += 1;
        let pending = PendingAsk {
            holder,
            shard,
            tenant: tenant.to_owned(),
            sent_at: node.clock.at(self.now),
        };
        node.pending_asks.insert(self.next_id, pending);
        self.outbox.push(Message::Ask {
            from: Process {
                index,
                generation: node.generation,
            },
            ask: self.next_id,
            holder,
            shard,
            tenant: tenant.to_owned(),
        });
    }

    /// Delivers a message to its receiver.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Change {
                from,
                shard,
                change,
                sent_at,
            } => self.apply(from, shard, &change, sent_at),
            Message::Answer {
                to,
                shard,
                answer,
                sent_at,
                token,
            } => {
                let (holder, context) = self.holder_context(to.index);
                if holder.generation == to.generation {
                    holder.on_answer(shard, &answer, sent_at, token, context);
                }
            }
            Message::Ask {
                from,
                ask,
                holder,
                shard,
                tenant,
            } => {
                self.next_id += 1;
                let id = self.next_id;
                let (holder, context) = self.holder_context(holder);
                let grant = holder.grant(shard, &tenant, id, context);
                let to = from;
                self.outbox.push(Message::Grant { to, ask, grant });
            }
            Message::Grant { to, ask, grant } => self.on_grant(to, ask, grant),
            Message::Return {
                holder,
                shard,
                tenant,
                returned,
                id,
            } => {
                let (holder, context) = self.holder_context(holder);
                holder.take_back(shard, &tenant, returned, id, context);
            }
        }
    }

    fn apply(&mut self, from: Process, shard: u16, change: &LeaseChange, sent_at: Nanos) {
        let body = &mut self.registers[usize::from(shard) - 1];
        let answer = match Leases.apply(body, &change.encode()) {
            Applied::Changed {
                body: changed,
                answer,
            } => {
                *body = changed;
                answer
            }
            Applied::Unchanged { answer } => answer,
        };
        let token = match change {
            LeaseChange::Renew { fencing_token, .. } => *fencing_token,
            _ => 0,
        };
        let is_release = matches!(change, LeaseChange::Release { .. });
        let answer = LeaseAnswer::decode(&answer).filter(|_| !is_release);
        if let Some(answer) = answer {
            self.outbox.push(Message::Answer {
                to: from,
                shard,
                answer,
                sent_at,
                token,
            });
        }
    }

    fn on_grant(&mut self, to: Process, ask: u64, grant: Grant) {
        let node = &mut self.nodes[to.index];
        if node.generation != to.generation {
            return;
        }
        let Some(pending) = node.pending_asks.remove(&ask) else {
            return;
        };
        let now = node.clock.at(self.now);
        match grant {
            Grant::Permit {
                fencing_token,
                granted_at,
                id,
            } => {
                let counts_from_answer = self.rules.defect == Some(Defect::PermitFromAnswer);
                let start = if counts_from_answer {
                    now
                } else {
                    pending.sent_at
                };
                node.held.push(HeldPermit {
                    id,
                    holder: pending.holder,
                    tenant: pending.tenant,
                    shard: pending.shard,
                    fencing_token,
                    granted_at,
                    expires_at: start + self.rules.settings.permit_lifetime,
                });
            }
            Grant::Exhausted(after) => {
                node.permits
                    .record_refusal(&pending.tenant, pending.shard, after, now)
            }
            Grant::NotHolder => {}
        }
    }

    /// Sends a request with a permit if the permit is valid; otherwise returns the permit.
    ///
    /// # Errors
    ///
    /// More requests were sent than the limit allows.
    pub fn spend(&mut self, index: usize, id: u64) -> Result<(), Violation> {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        let Some(index_in_held) = node.held.iter().position(|held| held.id == id) else {
            return Ok(());
        };
        let held = &node.held[index_in_held];
        let permit = Permit {
            shard: held.shard,
            fencing_token: held.fencing_token,
            granted_at: held.granted_at,
            expires_at: held.expires_at,
        };
        let is_checked = self.rules.defect != Some(Defect::UncheckedSpend);
        if !permit.is_valid(now) && is_checked {
            self.give_back(index, id);
            return Ok(());
        }
        let held = node.held.swap_remove(index_in_held);
        let ledger = self.ledgers.get_mut(&held.tenant);
        ledger.map_or(Ok(()), |ledger| ledger.send(self.now))
    }

    /// Returns an unspent permit.
    pub fn give_back(&mut self, index: usize, id: u64) {
        let node = &mut self.nodes[index];
        let Some(index_in_held) = node.held.iter().position(|held| held.id == id) else {
            return;
        };
        let held = node.held.swap_remove(index_in_held);
        if self.rules.returns == Returns::Never {
            return;
        }
        let goes_to_another = self.rules.defect == Some(Defect::ForeignReturn);
        let registered = self.registered(held.shard).filter(|_| goes_to_another);
        let message = Message::Return {
            holder: registered.unwrap_or(held.holder),
            shard: held.shard,
            tenant: held.tenant,
            returned: ReturnedTokens {
                fencing_token: held.fencing_token,
                granted_at: held.granted_at,
                count: 1,
            },
            id: held.id,
        };
        if self.rules.defect == Some(Defect::DoubleReturn) {
            self.outbox.push(message.clone());
        }
        self.outbox.push(message);
    }
}
