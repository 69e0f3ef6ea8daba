//! Simulated cluster that shares one limit. Clocks, messages, arrivals and faults are derived from a seed.
#![allow(dead_code, reason = "the tests and the example use different parts")]
mod measure;

use fastrand::Rng;
use sparrouter_shares::message::{QuotaMessage, QuotaRows};
use sparrouter_shares::shares::ClusterPosition;
use sparrouter_shares::{Limit, Nanos, QuotaShares, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[allow(unused_imports, reason = "only the example uses `fairness` directly")]
pub use measure::{Measurement, fairness};

pub const MS: Nanos = 1_000_000;
/// Time after which an event at a paused node is tried again.
const PAUSED_DELAY: Nanos = 10 * MS;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    Correct,
    /// The node requests at least 1000 times the rate that it needs from every peer, and claims a rate of 0.
    Greedy,
    /// The node runs the version before leases: it uses an equal share by the number of nodes, and sends no messages.
    Legacy,
}

pub struct Node {
    /// State of the running process; `None` if no process runs.
    pub shares: Option<QuotaShares>,
    pub behavior: Behavior,
    /// Mean arrivals per second.
    pub demand: f64,
    pub paused: bool,
    /// Number of nodes that the process was informed of.
    pub informed_size: usize,
    pub arrived: u64,
    pub admitted: u64,
    pub sent_bytes: u64,
    /// Speed of the node's clock relative to the simulated time.
    clock_rate: f64,
    /// Value of the node's clock at simulated time 0.
    clock_offset: Nanos,
    incarnation: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick {
        node: usize,
        incarnation: u32,
    },
    Deliver {
        from: usize,
        to: usize,
        datagram: Vec<u8>,
    },
    Arrival {
        node: usize,
        incarnation: u32,
    },
    SizeInformed {
        node: usize,
        size: usize,
    },
    Resume {
        node: usize,
    },
}

#[derive(Clone, Copy)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    pub delay: [Nanos; 2],
    /// Index below which nodes are partitioned from all other nodes; 0 for no partition.
    pub partition: usize,
    /// Whether messages from nodes below `partition` to the other nodes still arrive.
    pub one_way: bool,
    /// Delay after which each message is delivered a second time; `None` for no duplicates.
    pub duplicate_after: Option<Nanos>,
}

pub struct Cluster {
    pub now: Nanos,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub limit: Limit,
    pub lease: Nanos,
    pub informed: Nanos,
    pub sends_messages: bool,
    pub size: usize,
    pub rng: Rng,
    /// Highest sum of all rates in force during the simulation, as a fraction of the limit.
    pub max_rate_sum: f64,
    /// Whether the sum is checked after every event, and not only every 5 ms.
    pub checks_every_event: bool,
    events: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    event_count: u64,
}

impl Cluster {
    pub fn new(nodes: usize, per_s: f64, sends_messages: bool, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: SECOND,
            nodes: Vec::new(),
            network: Network {
                loss: 0.0,
                delay: [MS / 5, 2 * MS],
                partition: 0,
                one_way: false,
                duplicate_after: None,
            },
            limit: Limit {
                per_s,
                window: 3 * SECOND,
            },
            lease: 2 * SECOND,
            informed: 3 * SECOND,
            sends_messages,
            size: nodes,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: Rng::with_seed(seed),
            max_rate_sum: 0.0,
            checks_every_event: nodes <= 64,
        };
        for node in 0..nodes {
            cluster.add_machines(node + 1);
            cluster.start(node);
        }
        cluster
    }

    /// Sets the demand of each node by its index.
    pub fn set_demand(&mut self, demand: impl Fn(usize) -> f64) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.demand = demand(index);
        }
    }

    fn add_machines(&mut self, count: usize) {
        while self.nodes.len() < count {
            let clock_rate = 0.95 + 0.1 * self.rng.f64();
            let clock_offset = SECOND * self.rng.u64(1..1000);
            self.nodes.push(Node {
                shares: None,
                behavior: Behavior::Correct,
                demand: 0.0,
                paused: false,
                clock_rate,
                clock_offset,
                incarnation: 0,
                informed_size: 0,
                arrived: 0,
                admitted: 0,
                sent_bytes: 0,
            });
        }
    }

    fn schedule(&mut self, due_at: Nanos, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((due_at, self.event_count, event)));
    }

    /// Returns the time of a node's own clock.
    pub fn clock(&self, node: usize) -> Nanos {
        let node = &self.nodes[node];
        node.clock_offset + (self.now as f64 * node.clock_rate) as Nanos
    }

    fn position(&mut self, node: usize, nodes: usize) -> ClusterPosition {
        ClusterPosition {
            own: node,
            nodes,
            sends_messages: self.sends_messages,
            seed: self.rng.u64(..),
            fingerprint: 7,
        }
    }

    /// Starts a process at a node; it is informed of the current size.
    pub fn start(&mut self, index: usize) {
        self.add_machines(index + 1);
        let mut position = self.position(index, self.size);
        let is_legacy = self.nodes[index].behavior == Behavior::Legacy;
        position.sends_messages &= !is_legacy;
        let informed = if is_legacy { 0 } else { self.informed };
        let clock = self.clock(index);
        let shares = QuotaShares::new(position, &[self.limit], informed, self.lease, clock);
        let node = &mut self.nodes[index];
        node.shares = Some(shares);
        node.paused = false;
        node.informed_size = self.size;
        node.incarnation += 1;
        let incarnation = node.incarnation;
        let first = self.now + self.rng.u64(0..20 * MS);
        let node = index;
        self.schedule(first, Event::Tick { node, incarnation });
        self.schedule(first, Event::Arrival { node, incarnation });
    }

    /// Restarts all nodes, which applies changed settings.
    pub fn restart_all(&mut self) {
        (0..self.size).for_each(|node| self.start(node));
    }

    /// Restarts a node with the version before leases.
    pub fn downgrade(&mut self, node: usize) {
        self.nodes[node].behavior = Behavior::Legacy;
        self.start(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].shares = None;
    }

    /// Pauses a node's process for `length`; its events are delayed.
    pub fn pause(&mut self, node: usize, length: Nanos) {
        self.nodes[node].paused = true;
        self.schedule(self.now + length, Event::Resume { node });
    }

    /// Starts added nodes and kills removed nodes at once; the other nodes are informed within `max_delay`.
    pub fn resize(&mut self, nodes: usize, max_delay: Nanos) {
        let before = self.size;
        self.size = nodes;
        (nodes..before).for_each(|node| self.kill(node));
        for node in 0..before.min(nodes) {
            let informed_at = self.now + self.rng.u64(0..=max_delay);
            self.schedule(informed_at, Event::SizeInformed { node, size: nodes });
        }
        (before..nodes).for_each(|node| self.start(node));
    }

    pub fn run(&mut self, length: Nanos) {
        let end = self.now + length;
        let mut next_check = self.now;
        while self.events.peek().is_some_and(|event| event.0.0 <= end) {
            let Some(Reverse((due_at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = due_at;
            self.handle(event);
            if self.checks_every_event || self.now >= next_check {
                let sum = self.rate_sum() / self.limit.per_s;
                self.max_rate_sum = self.max_rate_sum.max(sum);
                next_check = self.now + 5 * MS;
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::Deliver { from, to, datagram } => self.deliver(from, to, datagram),
            Event::Arrival { node, incarnation } => self.arrival(node, incarnation),
            Event::SizeInformed { node, size } => self.inform(node, size),
            Event::Resume { node } => self.nodes[node].paused = false,
        }
    }

    fn is_current(&self, node: usize, incarnation: u32) -> bool {
        let node = &self.nodes[node];
        node.incarnation == incarnation && node.shares.is_some()
    }

    fn tick(&mut self, index: usize, incarnation: u32) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let event = Event::Tick {
            node: index,
            incarnation,
        };
        let clock = self.clock(index);
        let node = &mut self.nodes[index];
        if node.paused {
            return self.schedule(self.now + PAUSED_DELAY, event);
        }
        let behavior = node.behavior;
        let shares = node.shares.as_mut().expect("a running process");
        let requests = shares.tick(clock);
        let wait = shares.next_tick().saturating_sub(clock) as f64 / node.clock_rate;
        let wait = (wait as Nanos + 1).clamp(MS, 250 * MS);
        self.schedule(self.now + wait, event);
        for (peer, request) in requests {
            let request = match behavior {
                Behavior::Greedy => exaggerated(&request),
                Behavior::Correct | Behavior::Legacy => request,
            };
            self.send(index, peer, request);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let clock = self.clock(to);
        let node = &mut self.nodes[to];
        if node.paused {
            let event = Event::Deliver { from, to, datagram };
            return self.schedule(self.now + PAUSED_DELAY, event);
        }
        if node.behavior == Behavior::Legacy {
            return;
        }
        let shares = node.shares.as_mut();
        if let Some(answer) = shares.and_then(|s| s.receive(from, &datagram, clock)) {
            self.send(to, from, answer);
        }
    }

    fn arrival(&mut self, index: usize, incarnation: u32) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let clock = self.clock(index);
        let node = &mut self.nodes[index];
        if !node.paused && node.demand > 0.0 {
            node.arrived += 1;
            let shares = node.shares.as_mut().expect("a running process");
            node.admitted += u64::from(shares.try_acquire(0, clock));
        }
        let demand = node.demand;
        // A value is always drawn, so that the random sequence of a seed does not depend on the demand.
        let exponential = -(1.0 - self.rng.f64()).ln();
        let wait = if demand > 0.0 {
            exponential / demand * SECOND as f64
        } else {
            50.0 * MS as f64
        };
        let event = Event::Arrival {
            node: index,
            incarnation,
        };
        self.schedule(self.now + wait as Nanos + 1, event);
    }

    fn inform(&mut self, index: usize, size: usize) {
        let position = self.position(index, size);
        let clock = self.clock(index);
        let limits = [self.limit];
        let node = &mut self.nodes[index];
        if node.paused {
            let event = Event::SizeInformed { node: index, size };
            return self.schedule(self.now + PAUSED_DELAY, event);
        }
        if let Some(shares) = node.shares.as_mut() {
            node.informed_size = size;
            shares.update_cluster(position, &limits, clock);
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        self.nodes[from].sent_bytes += datagram.len() as u64;
        assert!(datagram.len() <= 256);
        let network = self.network;
        let from_first = from < network.partition;
        let to_first = to < network.partition;
        let is_separated = from_first != to_first && !(network.one_way && from_first);
        if self.rng.f64() < network.loss || is_separated || to >= self.nodes.len() {
            return;
        }
        let delivered_at = self.now + self.rng.u64(network.delay[0]..=network.delay[1]);
        if let Some(delay) = network.duplicate_after {
            let datagram = datagram.clone();
            self.schedule(delivered_at + delay, Event::Deliver { from, to, datagram });
        }
        self.schedule(delivered_at, Event::Deliver { from, to, datagram });
    }
}

/// Returns a request for at least 1000 times the rate that any node needs, from a node that claims a rate of 0.
fn exaggerated(request: &[u8]) -> Vec<u8> {
    let mut message = QuotaMessage::read(request).expect("a valid request");
    if let QuotaRows::Request(rows) = &mut message.rows {
        rows.clear();
        rows.push((0, 0.0, 1e6));
    }
    message.write()
}
