//! Simulates the registers of one shard over slow links in virtual time, to measure the cost of changes and catch-up.
//!
//! Each node has one uplink and one downlink, which are FIFO queues, so that a large message delays all messages behind
//! it. This is worse than TCP, which shares a link between connections. The registers and the encoding are real.
#![allow(
    dead_code,
    reason = "the test and the example each use only some of the items"
)]

use fastrand::Rng;
use sparrouter_consensus::{
    Action, Applied, MILLISECOND, Machine, Member, Message, Nanos, Outcome, Record, Register,
    SECOND, Settings,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// One-way latency between two nodes.
const LATENCY: Nanos = 5 * MILLISECOND;
/// Duration of a store.
const SYNC_DURATION: Nanos = 5 * MILLISECOND;
/// Time limit of the confirmed read of a restarted member, which repeats the read after a time-out as the fleet's nodes
/// do.
const READ_TIMEOUT: Nanos = 500 * MILLISECOND;
/// Interval between two probes, which measure the latency of a small message.
const PROBE_INTERVAL: Nanos = 50 * MILLISECOND;
/// Length of a probe in bytes, like a small message such as a heartbeat.
const PROBE_BYTES: usize = 128;
/// Length of the frame, shard and sender's address around a register's message, in bytes.
const ENVELOPE_BYTES: usize = 64;
/// Maximum length of a message or record, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// A state machine whose body is a counter followed by padding; each change increments the counter.
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

/// Traffic since the last `reset_traffic`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    /// Length of the longest encoded message, in bytes.
    pub longest: usize,
    /// Maximum latency of a probe.
    pub slowest_probe: Nanos,
}

struct Node {
    member: Member,
    register: Option<Register<Counter>>,
    record: Vec<u8>,
    incarnation: u64,
    uplink_free_at: Nanos,
    downlink_free_at: Nanos,
    /// The operation id of the read in progress.
    read_op: Option<u64>,
    /// Whether a read of this incarnation was answered, so that a quorum has confirmed its state.
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
    /// Bandwidth of each uplink and downlink.
    bytes_per_second: u64,
    nodes: Vec<Node>,
    events: BTreeMap<(Nanos, u64), Event>,
    order: BinaryHeap<Reverse<(Nanos, u64)>>,
    last_event: u64,
    next_op: u64,
    outcomes: BTreeMap<u64, Outcome>,
    /// The node that is partitioned from all others.
    isolated: Option<usize>,
    rng: Rng,
}

impl Group {
    /// Creates a group with a body of `body` bytes and links with a bandwidth of `bytes_per_second`.
    pub fn new(members: usize, body: usize, bytes_per_second: u64, settings: Settings) -> Group {
        let member = |index: usize| Member {
            disk_id: 1 + index as u64,
            name: format!("node-{index}"),
            address: format!("10.0.0.{index}:8689"),
        };
        let group_members: Vec<Member> = (0..members).map(member).collect();
        let mut rng = Rng::with_seed(members as u64);
        let mut initial_body = vec![0; 8];
        initial_body.extend(std::iter::repeat_with(|| rng.u8(..)).take(body.saturating_sub(8)));
        let record = Record::bootstrap(group_members.clone(), initial_body).encode();
        let nodes = group_members
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

    /// Starts the process of a node from the record on its disk.
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
        node.register = Some(register.expect("a record of this register"));
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].register = None;
        self.nodes[node].incarnation += 1;
    }

    /// Partitions a node from all others. Messages in flight to or from the node are lost too.
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

    /// Number of changes that this node knows to be chosen.
    pub fn count(&self, node: usize) -> u64 {
        let chosen = self.nodes[node].register.as_ref().and_then(|r| r.chosen());
        chosen.map_or(0, |state| counter_of(&state.body))
    }

    /// Number of changes that this node has on disk.
    pub fn count_on_disk(&self, node: usize) -> u64 {
        let record =
            Record::decode(&self.nodes[node].record, MAX_BYTES).expect("a record of this register");
        counter_of(&record.accepted.expect("the initial vote").state.body)
    }

    pub fn is_confirmed(&self, node: usize) -> bool {
        self.nodes[node].is_confirmed
    }

    /// Proposes a change at a node and returns its operation id.
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

    /// Proposes a change and runs until it completes. Returns its outcome; `None` if it doesn't complete.
    pub fn change(&mut self, node: usize, timeout: Nanos) -> Option<Outcome> {
        let op = self.propose(node, timeout);
        let end = self.now + timeout + SECOND;
        self.run(end, |group| group.outcomes.contains_key(&op));
        self.take_outcome(op)
    }

    /// Removes and returns the outcome of a completed change.
    pub fn take_outcome(&mut self, op: u64) -> Option<Outcome> {
        self.outcomes.remove(&op)
    }

    /// Runs for a duration.
    pub fn run_for(&mut self, span: Nanos) {
        self.run(self.now + span, |_| false);
    }

    /// Runs until `is_reached` is true or until `end`. Returns whether `is_reached` was true.
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

    /// Keeps one read in progress at each node whose state is not confirmed.
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
                self.schedule(self.now + SYNC_DURATION, stored);
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

    /// Occupies the sender's uplink, then the receiver's downlink. Returns when the last byte arrives.
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

    /// Sends a probe from each node to the next node.
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
