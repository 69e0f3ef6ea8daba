//! Registers of one shard whose links carry few bytes a second: what changes and catching up cost, in virtual time.
//!
//! Each node has one line out and one line in, first come first served, so that a large message delays all behind it:
//! worse than TCP, which shares a line between connections. The registers and the encoding are the real ones.
#![allow(dead_code)]

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
/// How long a restarted member waits for one confirmed read before it asks anew, as `Control::catch_up` does.
const READ_PATIENCE: Nanos = 500 * MILLISECOND;
/// Between two probes of how long a small message takes.
const PROBE_INTERVAL: Nanos = 50 * MILLISECOND;
/// A small message: a heartbeat or a poll without news.
const PROBE_BYTES: usize = 128;
/// Frame, shard and sender's address around a register's message.
const ENVELOPE_BYTES: usize = 64;

/// The body is a counter and filler; a change adds one to it.
pub struct Counter;

impl Machine for Counter {
    fn apply(&self, body: &[u8], _change: &[u8]) -> Applied {
        let mut body = body.to_vec();
        let count = u64::from_le_bytes(body[..8].try_into().expect("eight bytes")) + 1;
        body[..8].copy_from_slice(&count.to_le_bytes());
        Applied::Changed {
            body,
            answer: count.to_le_bytes().to_vec(),
        }
    }
}

enum Event {
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Probe {
        sent: Nanos,
    },
    SendProbes,
    Stored {
        node: usize,
        life: u64,
        token: u64,
        bytes: Vec<u8>,
    },
}

/// What was sent since the last `reset`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    /// Longest encoded message.
    pub longest: usize,
    /// The longest that a small message was under way.
    pub slowest_probe: Nanos,
}

struct Node {
    member: Member,
    register: Option<Register<Counter>>,
    record: Vec<u8>,
    life: u64,
    line_out_free: Nanos,
    line_in_free: Nanos,
    reading: Option<u64>,
    /// Whether a quorum confirmed to this life what is in force.
    pub confirmed: bool,
}

pub struct Group {
    pub now: Nanos,
    pub traffic: Traffic,
    pub settings: Settings,
    bytes_per_second: u64,
    nodes: Vec<Node>,
    events: BTreeMap<(Nanos, u64), Event>,
    order: BinaryHeap<Reverse<(Nanos, u64)>>,
    next_event: u64,
    next_op: u64,
    ended: BTreeMap<u64, Outcome>,
    /// Nobody reaches this node, or is reached by it.
    cut: Option<usize>,
    rng: Rng,
}

impl Group {
    /// `body`: length of the state in bytes; `bytes_per_second`: of each line.
    pub fn new(members: usize, body: usize, bytes_per_second: u64, settings: Settings) -> Group {
        let member = |i: usize| Member {
            disk_id: 1 + i as u64,
            name: format!("node-{i}"),
            address: format!("10.0.0.{i}:8689"),
        };
        let all: Vec<Member> = (0..members).map(member).collect();
        let mut rng = Rng::with_seed(members as u64);
        let mut first = vec![0; 8];
        first.extend(std::iter::repeat_with(|| rng.u8(..)).take(body.saturating_sub(8)));
        let record = Record::bootstrap(all.clone(), first).encode();
        let nodes = all.into_iter().map(|member| Node {
            member,
            register: None,
            record: record.clone(),
            life: 0,
            line_out_free: 0,
            line_in_free: 0,
            reading: None,
            confirmed: false,
        });
        let mut group = Group {
            now: 0,
            traffic: Traffic::default(),
            settings,
            bytes_per_second,
            nodes: nodes.collect(),
            events: BTreeMap::new(),
            order: BinaryHeap::new(),
            next_event: 0,
            next_op: 1,
            ended: BTreeMap::new(),
            cut: None,
            rng,
        };
        (0..members).for_each(|i| group.start(i));
        group.schedule(0, Event::SendProbes);
        group
    }

    /// Starts a process over what its disk holds.
    pub fn start(&mut self, node: usize) {
        let now = self.now;
        let rng = self.rng.fork();
        let n = &mut self.nodes[node];
        n.life += 1;
        (n.confirmed, n.reading) = (false, None);
        let register = Register::new(
            0,
            n.member.clone(),
            Some(&n.record),
            Counter,
            rng,
            self.settings.clone(),
            now,
        );
        n.register = Some(register.expect("its own record"));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].register = None;
        self.nodes[node].life += 1;
    }

    /// Cuts a node off, whatever is under way to or from it included; `None` heals.
    pub fn cut(&mut self, node: Option<usize>) {
        self.cut = node;
    }

    pub fn reset_traffic(&mut self) {
        self.traffic = Traffic::default();
    }

    /// How many changes this node knows to be chosen.
    pub fn count(&self, node: usize) -> u64 {
        let chosen = self.nodes[node].register.as_ref().and_then(|r| r.chosen());
        chosen.map_or(0, |s| {
            u64::from_le_bytes(s.body[..8].try_into().expect("eight bytes"))
        })
    }

    /// How many changes this node has on disk.
    pub fn count_on_disk(&self, node: usize) -> u64 {
        let record = Record::decode(&self.nodes[node].record, 16 << 20).expect("its own record");
        let body = &record.accepted.expect("a first vote").state.body;
        u64::from_le_bytes(body[..8].try_into().expect("eight bytes"))
    }

    pub fn is_confirmed(&self, node: usize) -> bool {
        self.nodes[node].confirmed
    }

    /// Starts a change at a node; its id.
    pub fn propose(&mut self, node: usize, patience: Nanos) -> u64 {
        let op = self.next_op;
        self.next_op += 1;
        let (now, deadline) = (self.now, self.now + patience);
        let register = self.nodes[node].register.as_mut().expect("a live node");
        register.propose(op, vec![1], deadline, now);
        self.settle();
        op
    }

    /// Makes one change and waits for its end.
    pub fn change(&mut self, node: usize, patience: Nanos) -> Option<Outcome> {
        let op = self.propose(node, patience);
        let until = self.now + patience + SECOND;
        self.run_until(until, |g| g.ended.contains_key(&op));
        self.ended.remove(&op)
    }

    pub fn take_outcome(&mut self, op: u64) -> Option<Outcome> {
        self.ended.remove(&op)
    }

    /// Runs until `done`, or until the time is up; whether it was done.
    pub fn run_until(&mut self, until: Nanos, done: impl Fn(&Group) -> bool) -> bool {
        loop {
            self.read_where_unconfirmed();
            self.settle();
            if done(self) {
                return true;
            }
            let event = self.order.peek().map(|Reverse(key)| key.0);
            let timer = self
                .nodes
                .iter()
                .filter_map(|n| n.register.as_ref()?.next_wake())
                .min();
            let next = event.into_iter().chain(timer).min().unwrap_or(until);
            if next > until {
                self.now = until;
                return false;
            }
            self.now = self.now.max(next);
            let now = self.now;
            match self.order.peek() {
                Some(Reverse(key)) if key.0 <= now => {
                    let key = *key;
                    self.order.pop();
                    let event = self.events.remove(&key).expect("a queued event");
                    self.happen(event);
                }
                _ => {
                    for node in &mut self.nodes {
                        if let Some(register) = &mut node.register {
                            register.tick(now);
                        }
                    }
                }
            }
        }
    }

    fn read_where_unconfirmed(&mut self) {
        for i in 0..self.nodes.len() {
            let node = &mut self.nodes[i];
            if let Some(op) = node.reading {
                match self.ended.remove(&op) {
                    None => continue,
                    Some(Outcome::Answered(_)) => node.confirmed = true,
                    Some(_) => {}
                }
                node.reading = None;
            }
            let Some(register) = node.register.as_mut().filter(|_| !node.confirmed) else {
                continue;
            };
            let op = self.next_op;
            self.next_op += 1;
            node.reading = Some(op);
            register.read(op, self.now + READ_PATIENCE, self.now);
        }
    }

    fn settle(&mut self) {
        for i in 0..self.nodes.len() {
            while let Some(register) = self.nodes[i].register.as_mut() {
                let actions = register.take_actions();
                if actions.is_empty() {
                    break;
                }
                actions.into_iter().for_each(|action| self.act(i, action));
            }
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let other = self
                    .nodes
                    .iter()
                    .position(|n| n.member.disk_id == to.disk_id);
                self.send(node, other.expect("a known member"), message.encode());
            }
            Action::Store { token, bytes } => {
                let life = self.nodes[node].life;
                let stored = Event::Stored {
                    node,
                    life,
                    token,
                    bytes,
                };
                self.schedule(self.now + SYNC, stored);
            }
            Action::Completed { op, outcome } => {
                self.ended.insert(op, outcome);
            }
            Action::Chosen(_) => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.cut == Some(from) || self.cut == Some(to);
        self.nodes[to].register.is_some() && !cut
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if !self.reaches(from, to) {
            return;
        }
        self.traffic.messages += 1;
        self.traffic.bytes += (bytes.len() + ENVELOPE_BYTES) as u64;
        self.traffic.longest = self.traffic.longest.max(bytes.len());
        let at = self.arrival(from, to, bytes.len() + ENVELOPE_BYTES);
        self.schedule(at, Event::Deliver { to, from, bytes });
    }

    /// Takes the sender's line, then the receiver's.
    fn arrival(&mut self, from: usize, to: usize, bytes: usize) -> Nanos {
        let span = bytes as u64 * SECOND / self.bytes_per_second;
        let sender = &mut self.nodes[from];
        let sent_from = sender.line_out_free.max(self.now);
        sender.line_out_free = sent_from + span;
        let receiver = &mut self.nodes[to];
        let received_from = receiver.line_in_free.max(sent_from + LATENCY);
        receiver.line_in_free = received_from + span;
        received_from + span
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
        self.order.push(Reverse((at, self.next_event)));
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { to, from, bytes } if self.reaches(from, to) => {
                let message = Message::decode(&bytes, 16 << 20).expect("an encoded message");
                let sender = self.nodes[from].member.clone();
                if let Some(register) = &mut self.nodes[to].register {
                    register.handle(sender, message, now);
                }
            }
            Event::Deliver { .. } => {}
            Event::Probe { sent } => {
                let span = now - sent;
                self.traffic.slowest_probe = self.traffic.slowest_probe.max(span);
            }
            Event::SendProbes => {
                for from in 0..self.nodes.len() {
                    let to = (from + 1) % self.nodes.len();
                    if self.reaches(from, to) && self.reaches(to, from) {
                        let at = self.arrival(from, to, PROBE_BYTES);
                        self.schedule(at, Event::Probe { sent: now });
                    }
                }
                self.schedule(now + PROBE_INTERVAL, Event::SendProbes);
            }
            Event::Stored {
                node,
                life,
                token,
                bytes,
            } => {
                let node = &mut self.nodes[node];
                if let Some(register) = node.register.as_mut().filter(|_| node.life == life) {
                    node.record = bytes;
                    register.stored(token, true, now);
                }
            }
        }
    }
}
