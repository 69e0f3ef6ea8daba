//! Messages between nodes, which may be lost, delayed or duplicated; partitions; and heartbeats.
use super::event::Event;
use super::node::Node;
use super::{Fleet, MILLISECOND, Nanos};
use sparrouter_consensus::{Member, Message, NodeObservation};

/// The current conditions of the network. Shares of messages are in units of 1/256.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Share of messages that are lost.
    pub loss: u8,
    /// Share of messages that arrive twice.
    pub duplication: u8,
    /// Share of messages with an additional delay of up to two seconds.
    pub long_delay: u8,
    /// Maximum delay of all other messages.
    pub max_delay: Nanos,
}

impl NetworkConditions {
    pub fn reliable() -> NetworkConditions {
        NetworkConditions {
            max_delay: 4 * MILLISECOND,
            ..NetworkConditions::default()
        }
    }
}

/// A link that temporarily loses all messages in one direction.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    pub from: usize,
    pub to: usize,
    pub end: Nanos,
}

impl Fleet {
    fn is_connected(&self, from: usize, to: usize) -> bool {
        !self
            .partitions
            .iter()
            .any(|p| (p.from, p.to) == (from, to) && p.end > self.now)
    }

    pub fn send(&mut self, from: usize, to: &Member, message: &Message) {
        // A machine that lost its disk keeps its address and receives messages to its former disk id.
        let is_receiver = |node: &Node| node.member.address == to.address && !node.is_removed;
        let Some(receiver) = self.nodes.iter().position(is_receiver) else {
            return;
        };
        self.log(|| format!("node {from} to node {receiver}: {}", summary(message)));
        if !self.is_connected(from, receiver) || self.rng.u8(..) < self.network.loss {
            return;
        }
        let deliveries = 1 + u8::from(self.rng.u8(..) < self.network.duplication);
        for _ in 0..deliveries {
            let long_delay = if self.rng.u8(..) < self.network.long_delay {
                self.rng.u64(..2_000) * MILLISECOND
            } else {
                0
            };
            let max_delay = self.network.max_delay.max(200_001);
            let delay = long_delay + self.rng.u64(200_000..=max_delay);
            let deliver = Event::Deliver {
                sender: self.nodes[from].member.clone(),
                to: receiver,
                bytes: message.encode(),
            };
            self.schedule(delay, deliver);
        }
    }

    /// Each node records the nodes whose heartbeats reach it and passes the observations to its register; a node that
    /// knows no group requests a state.
    pub fn exchange_heartbeats(&mut self) {
        self.schedule(100 * MILLISECOND, Event::Heartbeat);
        let now = self.now;
        let is_running = |node: &Node| node.register.is_some() && node.frozen_until <= now;
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| is_running(&self.nodes[node]))
            .collect();
        for &node in &running {
            for &peer in &running {
                if peer == node || self.is_connected(peer, node) {
                    let member = self.nodes[peer].member.clone();
                    let contacts = &mut self.nodes[node].contacts;
                    contacts.insert(member.disk_id, (member, now));
                }
            }
            self.observe_nodes(node);
            self.carry_out_actions(node);
        }
    }

    fn observe_nodes(&mut self, index: usize) {
        let leaving: Vec<u64> = self
            .nodes
            .iter()
            .filter(|node| node.is_leaving)
            .map(|node| node.member.disk_id)
            .collect();
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(register) = &mut node.register else {
            return;
        };
        let observe = |(member, contact): &(Member, Nanos)| NodeObservation {
            member: member.clone(),
            counts_toward_quorum: true,
            since_last_contact: (now - contact).into(),
            leaving: leaving.contains(&member.disk_id),
        };
        let observations: Vec<NodeObservation> = node.contacts.values().map(observe).collect();
        register.observe_nodes(&observations, now);
        let others: Vec<&Member> = observations
            .iter()
            .map(|observation| &observation.member)
            .filter(|member| member.disk_id != node.member.disk_id)
            .collect();
        if register.chosen().is_none() && !others.is_empty() {
            let peer = others[self.rng.usize(..others.len())].clone();
            register.request_state(peer, now);
        }
    }
}

/// A summary of a message in one line.
fn summary(message: &Message) -> String {
    match message {
        Message::Accept { vote } => {
            let (old, new) = (
                labels(vote.governing_members()),
                labels(&vote.state.members),
            );
            let change = if old == new {
                String::new()
            } else {
                format!("from {old}")
            };
            format!("Accept {:?} {change} members {new}", vote.id())
        }
        Message::Learn { vote } => format!("Learn {:?}", vote.id()),
        Message::Promise {
            number, accepted, ..
        } => format!("Promise {number:?}, accepted {accepted:?}"),
        Message::Report { accepted, .. } => format!("Report {accepted:?}"),
        other => format!("{other:?}"),
    }
}

fn labels(members: &[Member]) -> String {
    let labels = members
        .iter()
        .map(|member| format!("{}/{:x}", member.name, member.disk_id >> 48));
    labels.collect::<Vec<_>>().join(" ")
}
