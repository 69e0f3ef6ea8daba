//! The queue of events, and virtual time.
use super::monitor::Violation;
use super::{Fleet, MAX_BYTES, MILLISECOND, Nanos};
use sparrouter_consensus::{Member, Message};
use sparrouter_rendezvous::{hash, mix};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Maximum number of steps of a simulation; a simulation with more steps is reported as a livelock.
const MAX_STEPS: u64 = 200_000;

/// A scheduled event.
#[derive(Debug)]
pub enum Event {
    Deliver {
        sender: Member,
        to: usize,
        bytes: Vec<u8>,
    },
    Stored {
        node: usize,
        incarnation: u64,
        token: u64,
        bytes: Vec<u8>,
    },
    Start {
        node: usize,
    },
    InjectFault,
    Heartbeat,
    ClientTurn {
        client: usize,
    },
    /// A leaving node checks whether it may shut down.
    TryToLeave {
        node: usize,
    },
    /// A flapping node is killed again.
    Flap {
        node: usize,
    },
}

/// Queue of events, ordered by time. Events with the same time are handled in the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last_number: u64,
}

impl EventQueue {
    fn push(&mut self, time: Nanos, event: Event) {
        self.last_number += 1;
        self.order.push(Reverse((time, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    fn next_time(&self) -> Option<Nanos> {
        self.order.peek().map(|Reverse((time, _))| *time)
    }

    fn pop(&mut self) -> Option<Event> {
        let Reverse((_, number)) = self.order.pop()?;
        self.events.remove(&number)
    }
}

impl Fleet {
    /// Schedules an event after a delay.
    pub fn schedule(&mut self, delay: Nanos, event: Event) {
        self.queue.push(self.now + delay, event);
    }

    pub fn schedule_start(&mut self, node: usize, delay: Nanos) {
        self.schedule(delay, Event::Start { node });
    }

    /// Schedules the first heartbeat, the first fault and the first turn of each client.
    pub fn schedule_first_events(&mut self) {
        for client in 0..self.clients.len() {
            self.schedule(300 * MILLISECOND, Event::ClientTurn { client });
        }
        self.schedule(0, Event::Heartbeat);
        self.schedule(400 * MILLISECOND, Event::InjectFault);
    }

    /// Handles all events and timers before `end`.
    pub fn run(&mut self, end: Nanos) -> Result<(), Violation> {
        loop {
            if let Some(Violation(text)) = self.monitor.violation() {
                let time = self.now / MILLISECOND;
                return Err(Violation(format!("at {time} ms: {text}")));
            }
            let timer = (0..self.nodes.len())
                .filter_map(|node| Some((self.next_wake(node)?, node)))
                .min();
            let event_time = self.queue.next_time();
            let times = event_time.into_iter().chain(timer.map(|(time, _)| time));
            let next = times.min().unwrap_or(end);
            if next >= end {
                self.now = end;
                return Ok(());
            }
            self.steps += 1;
            if self.steps > MAX_STEPS {
                return Err(Violation("livelock: more than 200,000 steps".to_owned()));
            }
            self.now = self.now.max(next);
            self.digest = mix(self.digest ^ self.now ^ self.last_op);
            match timer {
                Some((time, node)) if event_time.is_none_or(|event| time <= event) => {
                    self.tick(node);
                }
                _ => {
                    let event = self.queue.pop().expect("the next event");
                    self.handle_event(event);
                }
            }
            self.use_held_leases();
            if std::mem::take(&mut self.replicas_changed) {
                self.check_replicas();
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { to: node, .. } | Event::Stored { node, .. }
                if self.nodes[node].frozen_until > self.now =>
            {
                let delay = self.nodes[node].frozen_until - self.now;
                self.schedule(delay, event);
            }
            Event::Deliver { sender, to, bytes } => self.deliver(sender, to, &bytes),
            Event::Stored {
                node,
                incarnation,
                token,
                bytes,
            } => self.store(node, incarnation, token, &bytes),
            Event::Start { node } => self.start(node),
            Event::InjectFault => self.inject_fault(),
            Event::Heartbeat => self.exchange_heartbeats(),
            Event::Flap { node } if self.now < self.faults_end => self.kill(node, MILLISECOND),
            Event::Flap { .. } => {}
            Event::TryToLeave { node } => self.try_to_leave(node),
            Event::ClientTurn { client } => self.client_turn(client),
        }
    }

    fn deliver(&mut self, sender: Member, to: usize, bytes: &[u8]) {
        self.digest = mix(self.digest ^ hash(bytes) ^ sender.disk_id);
        let Some(register) = &mut self.nodes[to].register else {
            return;
        };
        let message = Message::decode(bytes, MAX_BYTES).expect("an encoded message");
        register.handle(sender, message, self.now);
        self.carry_out_actions(to);
    }
}
