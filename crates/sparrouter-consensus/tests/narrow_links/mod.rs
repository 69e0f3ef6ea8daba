//! Registers of one shard whose links carry few bytes a second: what changes and catching up cost, in virtual time.
//!
//! Each node has one uplink and one downlink, first come first served, so that a large message delays all behind it:
//! worse than TCP, which shares a link between connections. The registers and the encoding are the real ones.
#![allow(dead_code, reason = "the test and the example each use a part")]

use fastrand::Rng;
use sparrouter_consensus::{
    Action, Applied, MILLISECOND, Machine, Member, Message, Nanos, Outcome, Record, Register,
    SECOND, Settings,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Between any two nodes, one way.
const LATENCY: Nanos = 5 * MILLISECOND;
/// Until a record is on disk.
const SYNC: Nanos = 5 * MILLISECOND;
/// How long a restarted member waits for one confirmed read before it asks anew, as the fleet's nodes do.
const READ_TIMEOUT: Nanos = 500 * MILLISECOND;
/// Between two probes of how long a small message takes.
const PROBE_INTERVAL: Nanos = 50 * MILLISECOND;
/// A small message, such as a heartbeat.
const PROBE_BYTES: usize = 128;
/// Frame, shard and sender's address around a register's message.
const ENVELOPE_BYTES: usize = 64;
/// Longest message or record.
const MAX_BYTES: usize = 16 << 20;

/// The body is a counter and filler; a change adds one to it.
pub struct Counter;

impl Machine for Counter {
    fn apply(&self, body: &[u8], _change: &[u8]) -> Applied {
        let mut body = body.to_vec();
        let count = (counter_of(&body) + 1).to_le_bytes();
        body[..8].copy_from_slice(&count);
        Applied::Changed {
            body,
            answer: count.to_vec(),
        }
    }
}

fn counter_of(body: &[u8]) -> u64 {
    u64::from_le_bytes(body[..8].try_into().expect("eight bytes"))
}

enum Event {
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    DeliverProbe {
        sent_at: Nanos,
    },
    SendProbes,
    Stored {
        node: usize,
        incarnation: u64,
        token: u64,
        bytes: Vec<u8>,
    },
}

/// What was sent since the last `reset_traffic`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    /// Longest encoded message.
    pub longest: usize,
    /// The longest that a small message was in flight.
    pub slowest_probe: Nanos,
}

struct Node {
    member: Member,
    register: Option<Register<Counter>>,
    record: Vec<u8>,
    incarnation: u64,
    uplink_free_at: Nanos,
    downlink_free_at: Nanos,
    /// The read in progress.
    read_op: Option<u64>,
    /// Whether a quorum confirmed to this incarnation what is in force.
    is_confirmed: bool,
}

impl Node {
    fn new(member: Member, record: Vec<u8>) -> Node {
        Node {
            member,
            register: None,
            record,
            incarnation: 0,
            uplink_free_at: 0,
            downlink_free_at: 0,
            read_op: None,
            is_confirmed: false,
        }
    }
}

/// The nodes of one shard and the network between them.
pub struct Group {
    pub now: Nanos,
    pub traffic: Traffic,
    pub settings: Settings,
    /// Of each uplink and downlink.
    bytes_per_second: u64,
    nodes: Vec<Node>,
    events: BTreeMap<(Nanos, u64), Event>,
    order: BinaryHeap<Reverse<(Nanos, u64)>>,
    last_event: u64,
    next_op: u64,
    outcomes: BTreeMap<u64, Outcome>,
    /// No message to or from this node arrives.
    isolated: Option<usize>,
    rng: Rng,
}

impl Group {
    /// `body`: length of the state in bytes; `bytes_per_second`: of each link.
    pub fn new(members: usize, body: usize, bytes_per_second: u64, settings: Settings) -> Group {
        let member = |index: usize| Member {
            disk_id: 1 + index as u64,
            name: format!("node-{index}"),
            address: format!("10.0.0.{index}:8689"),
        };
        let all: Vec<Member> = (0..members).map(member).collect();
        let mut rng = Rng::with_seed(members as u64);
        let mut first = vec![0; 8];
        first.extend(std::iter::repeat_with(|| rng.u8(..)).take(body.saturating_sub(8)));
        let record = Record::bootstrap(all.clone(), first).encode();
        let nodes = all
            .into_iter()
            .map(|member| Node::new(member, record.clone()));
        let mut group = Group {
            now: 0,
            traffic: Traffic::default(),
            settings,
            bytes_per_second,
            nodes: nodes.collect(),
            events: BTreeMap::new(),
            order: BinaryHeap::new(),
            last_event: 0,
            next_op: 1,
            outcomes: BTreeMap::new(),
            isolated: None,
            rng,
        };
        (0..members).for_each(|node| group.start(node));
        group.schedule(0, Event::SendProbes);
        group
    }

    /// Starts a process over what its disk has.
    pub fn start(&mut self, node: usize) {
        let rng = self.rng.fork();
        let node = &mut self.nodes[node];
        node.incarnation += 1;
        (node.is_confirmed, node.read_op) = (false, None);
        let register = Register::new(
            0,
            node.member.clone(),
            Some(&node.record),
            Counter,
            rng,
            self.settings.clone(),
            self.now,
        );
        node.register = Some(register.expect("its own record"));
    }

    /// Ends a process.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].register = None;
        self.nodes[node].incarnation += 1;
    }

    /// Partitions a node from all others, whatever is in flight to or from it included.
    pub fn isolate(&mut self, node: usize) {
        self.isolated = Some(node);
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        self.isolated = None;
    }

    pub fn reset_traffic(&mut self) {
        self.traffic = Traffic::default();
    }

    /// How many changes this node knows to be chosen.
    pub fn count(&self, node: usize) -> u64 {
        let chosen = self.nodes[node].register.as_ref().and_then(|r| r.chosen());
        chosen.map_or(0, |state| counter_of(&state.body))
    }

    /// How many changes this node has on disk.
    pub fn count_on_disk(&self, node: usize) -> u64 {
        let record = Record::decode(&self.nodes[node].record, MAX_BYTES).expect("its own record");
        counter_of(&record.accepted.expect("a first vote").state.body)
    }

    pub fn is_confirmed(&self, node: usize) -> bool {
        self.nodes[node].is_confirmed
    }

    /// Starts a change at a node; its id.
    pub fn propose(&mut self, node: usize, timeout: Nanos) -> u64 {
        let op = self.next_op();
        let (now, deadline) = (self.now, self.now + timeout);
        let register = self.nodes[node].register.as_mut().expect("a live node");
        register.propose(op, vec![1], deadline, now);
        self.carry_out_actions();
        op
    }

    fn next_op(&mut self) -> u64 {
        let op = self.next_op;
        self.next_op += 1;
        op
    }

    /// Makes one change and waits for its end.
    pub fn change(&mut self, node: usize, timeout: Nanos) -> Option<Outcome> {
        let op = self.propose(node, timeout);
        let end = self.now + timeout + SECOND;
        self.run(end, |group| group.outcomes.contains_key(&op));
        self.take_outcome(op)
    }

    /// The outcome of a change that ended.
    pub fn take_outcome(&mut self, op: u64) -> Option<Outcome> {
        self.outcomes.remove(&op)
    }

    /// Runs for a span of time.
    pub fn run_for(&mut self, span: Nanos) {
        self.run(self.now + span, |_| false);
    }

    /// Runs to `end`, or to the first moment at which `is_reached` is true; whether it was.
    pub fn run(&mut self, end: Nanos, is_reached: impl Fn(&Group) -> bool) -> bool {
        loop {
            self.read_where_unconfirmed();
            self.carry_out_actions();
            if is_reached(self) {
                return true;
            }
            let event = self.order.peek().map(|Reverse(key)| key.0);
            let timer = self.next_timer();
            let next = event.into_iter().chain(timer).min().unwrap_or(end);
            if next > end {
                self.now = end;
                return false;
            }
            self.now = self.now.max(next);
            if event.is_some_and(|time| time <= self.now) {
                let Reverse(key) = self.order.pop().expect("a queued event");
                let event = self.events.remove(&key).expect("a queued event");
                self.handle_event(event);
            } else {
                self.tick_all();
            }
        }
    }

    fn next_timer(&self) -> Option<Nanos> {
        let registers = self.nodes.iter().filter_map(|n| n.register.as_ref());
        registers.filter_map(Register::next_wake).min()
    }

    fn tick_all(&mut self) {
        for node in &mut self.nodes {
            if let Some(register) = &mut node.register {
                register.tick(self.now);
            }
        }
    }

    /// Keeps one read in progress at each node that has no confirmed state.
    fn read_where_unconfirmed(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if let Some(op) = node.read_op {
                let Some(outcome) = self.outcomes.remove(&op) else {
                    continue;
                };
                node.is_confirmed |= matches!(outcome, Outcome::Answered(_));
                node.read_op = None;
            }
            if node.register.is_none() || node.is_confirmed {
                continue;
            }
            let op = self.next_op();
            let node = &mut self.nodes[index];
            node.read_op = Some(op);
            if let Some(register) = &mut node.register {
                register.read(op, self.now + READ_TIMEOUT, self.now);
            }
        }
    }

    fn carry_out_actions(&mut self) {
        for node in 0..self.nodes.len() {
            while let Some(register) = self.nodes[node].register.as_mut() {
                let actions = register.take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.carry_out(node, action);
                }
            }
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let is_receiver = |n: &Node| n.member.disk_id == to.disk_id;
                let receiver = self.nodes.iter().position(is_receiver);
                self.send(node, receiver.expect("a known member"), message.encode());
            }
            Action::Store { token, bytes } => {
                let stored = Event::Stored {
                    node,
                    incarnation: self.nodes[node].incarnation,
                    token,
                    bytes,
                };
                self.schedule(self.now + SYNC, stored);
            }
            Action::Completed { op, outcome } => {
                self.outcomes.insert(op, outcome);
            }
            Action::Chosen(_) => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_isolated = self.isolated == Some(from) || self.isolated == Some(to);
        self.nodes[to].register.is_some() && !is_isolated
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if !self.reaches(from, to) {
            return;
        }
        let length = bytes.len() + ENVELOPE_BYTES;
        self.traffic.messages += 1;
        self.traffic.bytes += length as u64;
        self.traffic.longest = self.traffic.longest.max(bytes.len());
        let arrival = self.arrival(from, to, length);
        self.schedule(arrival, Event::Deliver { to, from, bytes });
    }

    /// Occupies the sender's uplink, then the receiver's downlink; when the last byte arrives.
    fn arrival(&mut self, from: usize, to: usize, bytes: usize) -> Nanos {
        let span = bytes as u64 * SECOND / self.bytes_per_second;
        let sender = &mut self.nodes[from];
        let send_start = sender.uplink_free_at.max(self.now);
        sender.uplink_free_at = send_start + span;
        let receiver = &mut self.nodes[to];
        let receive_start = receiver.downlink_free_at.max(send_start + LATENCY);
        receiver.downlink_free_at = receive_start + span;
        receive_start + span
    }

    fn schedule(&mut self, time: Nanos, event: Event) {
        self.last_event += 1;
        self.events.insert((time, self.last_event), event);
        self.order.push(Reverse((time, self.last_event)));
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { to, from, bytes } if self.reaches(from, to) => {
                let message = Message::decode(&bytes, MAX_BYTES).expect("an encoded message");
                let sender = self.nodes[from].member.clone();
                if let Some(register) = &mut self.nodes[to].register {
                    register.handle(sender, message, now);
                }
            }
            Event::Deliver { .. } => {}
            Event::DeliverProbe { sent_at } => {
                self.traffic.slowest_probe = self.traffic.slowest_probe.max(now - sent_at);
            }
            Event::SendProbes => self.send_probes(),
            Event::Stored {
                node,
                incarnation,
                token,
                bytes,
            } => {
                let node = &mut self.nodes[node];
                if let Some(register) = &mut node.register
                    && node.incarnation == incarnation
                {
                    node.record = bytes;
                    register.stored(token, true, now);
                }
            }
        }
    }

    /// Each node sends a small message to the next one.
    fn send_probes(&mut self) {
        let now = self.now;
        for from in 0..self.nodes.len() {
            let to = (from + 1) % self.nodes.len();
            if self.reaches(from, to) && self.reaches(to, from) {
                let arrival = self.arrival(from, to, PROBE_BYTES);
                self.schedule(arrival, Event::DeliverProbe { sent_at: now });
            }
        }
        self.schedule(now + PROBE_INTERVAL, Event::SendProbes);
    }
}
