//! One state of the whole system and its possible steps.
//!
//! Each node has its own clock, which advances only when its timers fire: a timer fires whenever the search chooses so,
//! independently of the other nodes' clocks. A message that is never chosen for delivery is lost.
//!
//! A node's reaction depends only on its state and its input. The reaction to each pair of state and input is therefore
//! computed once and cached.
use super::body::{APPLIED, INITIAL};
use super::digest::digest_of;
use super::history::History;
use super::node::{Input, Node, first_member, settings};
use super::scope::{Call, CallKind, Scope};
use super::step::{Step, Used};
use super::trace::summary;
use super::violation::Violation;
use super::votes::Votes;
use sparrouter_consensus::{
    Action, Member, Message, Nanos, NodeObservation, Outcome, Record, State,
};
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// A node after an input, and the effects of the input outside the node.
struct Reaction {
    node: Rc<Node>,
    effects: Vec<Effect>,
}

enum Effect {
    Send(Rc<Envelope>),
    Publish(State),
    Complete { call: usize, outcome: Outcome },
}

type Reactions = RefCell<HashMap<(u128, u128), Rc<Reaction>>>;

pub struct Envelope {
    from: usize,
    to: usize,
    sender: Member,
    message: Message,
    digest: u128,
}

/// One state of the whole system.
#[derive(Clone)]
pub struct System {
    pub scope: Rc<Scope>,
    nodes: Vec<Rc<Node>>,
    /// Messages in flight, ordered by digest.
    network: Vec<Rc<Envelope>>,
    used: Used,
    wiped: BTreeSet<u64>,
    votes: Rc<Votes>,
    history: Rc<History>,
    /// The address of each node, by its index.
    addresses: Rc<Vec<String>>,
    reactions: Rc<Reactions>,
}

impl System {
    /// Creates a system in which all nodes run and the members have the group's initial record on disk.
    pub fn new(scope: Scope) -> System {
        let members: Vec<Member> = (0..scope.members).map(first_member).collect();
        let first = Record::bootstrap(members, INITIAL.to_vec());
        let mut votes = Votes::default();
        let vote = first
            .accepted
            .clone()
            .expect("the initial record has a vote");
        votes.bootstrap((*vote.0).clone());
        let nodes = (0..scope.members + scope.spares).map(|node| {
            let disk = (node < scope.members).then(|| first.encode());
            Rc::new(Node::start(&scope, first_member(node), 0, disk))
        });
        let all_nodes = scope.members + scope.spares;
        let addresses = (0..all_nodes)
            .map(|node| first_member(node).address)
            .collect();
        System {
            addresses: Rc::new(addresses),
            reactions: Rc::default(),
            nodes: nodes.collect(),
            scope: Rc::new(scope),
            network: Vec::new(),
            used: Used::default(),
            wiped: BTreeSet::new(),
            votes: Rc::new(votes),
            history: Rc::default(),
        }
    }

    /// Digest of the state: two states with equal digests have the same future behavior, barring a collision of
    /// the 128-bit digest.
    pub fn digest(&self) -> u128 {
        let (mut low, mut high) = (DefaultHasher::new(), DefaultHasher::new());
        high.write_u8(1);
        for hasher in [&mut low, &mut high] {
            self.nodes.iter().for_each(|n| hasher.write_u128(n.digest));
            self.network
                .iter()
                .for_each(|e| hasher.write_u128(e.digest));
            hasher.write_u128(self.votes.digest());
            hasher.write_u128(self.history.digest());
            self.used.hash(hasher);
            self.wiped.hash(hasher);
        }
        u128::from(low.finish()) | u128::from(high.finish()) << 64
    }

    /// All steps that the scope allows in this state. Of several equal messages, only one is delivered.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let scope = &*self.scope;
        for (message, envelope) in self.network.iter().enumerate() {
            if message > 0 && self.network[message - 1].digest == envelope.digest {
                continue;
            }
            steps.push(Step::Deliver { message });
            if self.used.duplicates < scope.duplicates {
                steps.push(Step::DeliverDuplicate { message });
            }
        }
        let remaining = (0..scope.calls.len()).filter(|call| self.used.calls >> call & 1 == 0);
        steps.extend(remaining.map(|call| Step::Call { call }));
        for node in 0..self.nodes.len() {
            self.steps_of(node, &mut steps);
        }
        if self.replacement_proposer().is_some() {
            steps.push(Step::ReplaceMember);
        }
        steps
    }

    fn steps_of(&self, node: usize, steps: &mut Vec<Step>) {
        let scope = &*self.scope;
        let pending = self.nodes[node].pending.is_some();
        if pending {
            steps.push(Step::Sync { node });
        }
        if pending && self.used.store_failures < scope.store_failures {
            steps.push(Step::FailSync {
                node,
                written: false,
            });
            steps.push(Step::FailSync {
                node,
                written: true,
            });
        }
        if self.used.timers < scope.timers {
            steps.push(Step::Timer { node });
        }
        if self.used.crashes < scope.crashes {
            steps.push(Step::Crash {
                node,
                written: false,
            });
            if pending {
                steps.push(Step::Crash {
                    node,
                    written: true,
                });
            }
        }
        if self.used.wipes < scope.wipes && node < scope.members {
            steps.push(Step::Wipe { node });
        }
    }

    /// Allows another observation, because the first one only confirmed the candidate and led to no proposal.
    pub fn allow_another_replacement(&mut self) {
        self.used.replacements = 0;
    }

    /// The node that may propose a replacement now; `None` if the scope allows no further replacement.
    fn replacement_proposer(&self) -> Option<usize> {
        let replacement = self.scope.replacement?;
        (self.used.replacements == 0).then_some(replacement.proposer)
    }

    /// A description of a step for a trace.
    pub fn describe(&self, step: Step) -> String {
        match step {
            Step::Deliver { message } | Step::DeliverDuplicate { message } => {
                let envelope = &self.network[message];
                let suffix = match step {
                    Step::DeliverDuplicate { .. } => " (and stays in flight)",
                    _ => "",
                };
                let from = &self.nodes[envelope.from].member.name;
                let to = &self.nodes[envelope.to].member.name;
                format!("{from} to {to}: {}{suffix}", summary(&envelope.message))
            }
            Step::Call { call } => format!("call {:?}", self.scope.calls[call]),
            Step::Sync { node } => format!("node-{} syncs", node + 1),
            Step::FailSync { node, written } => {
                format!("node-{} fails to sync, bytes written: {written}", node + 1)
            }
            Step::Timer { node } => format!("a timer of node-{} fires", node + 1),
            Step::Crash { node, written } => {
                format!(
                    "node-{} crashes and restarts, pending store on disk: {written}",
                    node + 1
                )
            }
            Step::Wipe { node } => format!("node-{} restarts with an empty disk", node + 1),
            Step::ReplaceMember => format!("replacement {:?}", self.scope.replacement),
        }
    }

    /// The state after a step.
    ///
    /// # Errors
    /// The violation of a rule by the step.
    pub fn after(&self, step: Step) -> Result<System, Violation> {
        let mut next = self.clone();
        next.apply(step)?;
        next.check_disks()?;
        Ok(next)
    }

    fn apply(&mut self, step: Step) -> Result<(), Violation> {
        match step {
            Step::Deliver { message } => {
                let envelope = self.network.remove(message);
                self.deliver(&envelope)
            }
            Step::DeliverDuplicate { message } => {
                self.used.duplicates += 1;
                let envelope = self.network[message].clone();
                self.deliver(&envelope)
            }
            Step::Call { call } => self.call(call),
            Step::Sync { node } => self.sync(node),
            Step::FailSync { node, written } => self.fail_sync(node, written),
            Step::Timer { node } => self.fire_timer(node),
            Step::Crash { node, written } => self.crash(node, written),
            Step::Wipe { node } => self.wipe(node),
            Step::ReplaceMember => self.replace_member(),
        }
    }

    /// Passes an input to a node and carries out the effects.
    fn run(&mut self, node: usize, input: Input) -> Result<(), Violation> {
        let key = (self.nodes[node].digest, digest_of(&input));
        self.run_keyed(node, key.1, || input)
    }

    /// As `run`, but identifies the input by its digest and creates it only if the node's reaction is not cached.
    fn run_keyed(
        &mut self,
        node: usize,
        input_digest: u128,
        input: impl FnOnce() -> Input,
    ) -> Result<(), Violation> {
        let key = (self.nodes[node].digest, input_digest);
        let known = self.reactions.borrow().get(&key).cloned();
        let reaction = match known {
            Some(reaction) => reaction,
            None => {
                let reaction = Rc::new(self.reaction(node, input()));
                self.reactions.borrow_mut().insert(key, reaction.clone());
                reaction
            }
        };
        self.nodes[node] = reaction.node.clone();
        reaction.effects.iter().try_for_each(|e| self.carry_out(e))
    }

    fn reaction(&self, index: usize, input: Input) -> Reaction {
        let mut node = (*self.nodes[index]).clone();
        let actions = node.react(&self.scope, input);
        let effects = actions.into_iter().filter_map(|action| match action {
            Action::Send { to, message } => self.envelope(index, &to, message).map(Effect::Send),
            Action::Chosen(state) => Some(Effect::Publish(state)),
            Action::Completed { op, outcome } => Some(Effect::Complete {
                call: op as usize,
                outcome,
            }),
            Action::Store { .. } => None,
        });
        let effects = effects.collect();
        Reaction {
            node: Rc::new(node),
            effects,
        }
    }

    fn envelope(&self, from: usize, to: &Member, message: Message) -> Option<Rc<Envelope>> {
        let to = self.addresses.iter().position(|a| *a == to.address)?;
        let sender = self.nodes[from].member.clone();
        let digest = digest_of(&(from, to, &sender, &message));
        Some(Rc::new(Envelope {
            from,
            to,
            sender,
            message,
            digest,
        }))
    }

    fn carry_out(&mut self, effect: &Effect) -> Result<(), Violation> {
        match effect {
            Effect::Send(envelope) => self.send(envelope),
            Effect::Publish(state) => self.votes.check_published(state),
            Effect::Complete { call, outcome } => self.complete_call(*call, outcome.clone()),
        }
    }

    fn send(&mut self, envelope: &Rc<Envelope>) -> Result<(), Violation> {
        if let Message::Accept { vote } = &envelope.message {
            Rc::make_mut(&mut self.votes).propose(vote)?;
        }
        let digest = envelope.digest;
        let index = self.network.partition_point(|e| e.digest < digest);
        self.network.insert(index, envelope.clone());
        Ok(())
    }

    fn deliver(&mut self, envelope: &Envelope) -> Result<(), Violation> {
        self.run_keyed(envelope.to, envelope.digest, || Input::Message {
            sender: envelope.sender.clone(),
            message: envelope.message.clone(),
        })
    }

    fn call(&mut self, call: usize) -> Result<(), Violation> {
        self.used.calls |= 1 << call;
        Rc::make_mut(&mut self.history).record_invocation(call);
        let Call { node, kind } = self.scope.calls[call].clone();
        let op = call as u64;
        self.run(node, Input::Call { op, kind })
    }

    fn complete_call(&mut self, call: usize, outcome: Outcome) -> Result<(), Violation> {
        if let Outcome::Answered(answer) = &outcome {
            let is_chosen = match self.scope.calls[call].kind {
                CallKind::Read => self.votes.is_chosen_body(answer),
                CallKind::Change { new, .. } if answer == APPLIED => {
                    self.votes.is_chosen_body(&[new])
                }
                CallKind::Change { .. } => true,
            };
            if !is_chosen {
                return Err(Violation::AnsweredUnchosen(call));
            }
        }
        Rc::make_mut(&mut self.history).record_completion(call, outcome);
        if self.history.is_linearizable(&self.scope.calls) {
            return Ok(());
        }
        Err(Violation::NotLinearizable(self.history.summary()))
    }

    /// Records the votes of the store in flight as synced.
    fn count_synced(&mut self, node: usize) -> Result<(), Violation> {
        let node = self.nodes[node].clone();
        let votes = Rc::make_mut(&mut self.votes);
        let mut synced = node.pending.iter().flat_map(|p| &p.votes);
        synced.try_for_each(|vote_id| votes.sync(*vote_id, node.member.disk_id))
    }

    fn sync(&mut self, node: usize) -> Result<(), Violation> {
        self.count_synced(node)?;
        self.run(
            node,
            Input::Stored {
                written: true,
                ok: true,
            },
        )
    }

    fn fail_sync(&mut self, node: usize, written: bool) -> Result<(), Violation> {
        self.used.store_failures += 1;
        if written {
            self.count_synced(node)?;
        }
        self.run(node, Input::Stored { written, ok: false })
    }

    fn fire_timer(&mut self, node: usize) -> Result<(), Violation> {
        self.used.timers += 1;
        self.run(node, Input::Tick)
    }

    fn crash(&mut self, node: usize, written: bool) -> Result<(), Violation> {
        self.used.crashes += 1;
        if written {
            self.count_synced(node)?;
        }
        self.run(node, Input::Restart { written })
    }

    fn wipe(&mut self, node: usize) -> Result<(), Violation> {
        self.used.wipes += 1;
        self.wiped.insert(self.nodes[node].member.disk_id);
        self.run(node, Input::Wipe)
    }

    /// The proposer of the replacement observes all nodes: the member to replace and wiped disks are unresponsive, all
    /// other nodes are live.
    fn replace_member(&mut self) -> Result<(), Violation> {
        let Some(replacement) = self.scope.replacement else {
            return Ok(());
        };
        self.used.replacements += 1;
        let contact_timeout = settings(&self.scope).contact_timeout;
        let observation = |member: Member, since_last_contact: Nanos| NodeObservation {
            member,
            counts_toward_quorum: true,
            since_last_contact: since_last_contact.into(),
            leaving: false,
        };
        let mut observations: Vec<NodeObservation> = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let has_first_disk = node.member.disk_id == first_member(index).disk_id;
            let since_last_contact = if index == replacement.replaced && has_first_disk {
                contact_timeout
            } else {
                0
            };
            observations.push(observation(node.member.clone(), since_last_contact));
        }
        for member in (0..self.scope.members).map(first_member) {
            if self.wiped.contains(&member.disk_id) {
                observations.push(observation(member, contact_timeout));
            }
        }
        self.run(
            replacement.proposer,
            Input::Observe {
                observations,
                contact_timeout,
            },
        )
    }

    fn check_disks(&self) -> Result<(), Violation> {
        let vote_on_disk = |disk: u64| {
            let node = self.nodes.iter().find(|n| n.member.disk_id == disk)?;
            node.vote_on_disk
        };
        self.votes.check_disks(vote_on_disk, &self.wiped)
    }

    /// The possible steps of these nodes without other nodes: their stores, and the messages between them.
    pub fn steps_among(&self, among: &[usize]) -> Vec<Step> {
        let is_internal = |e: &Envelope| among.contains(&e.from) && among.contains(&e.to);
        let in_flight = self
            .network
            .iter()
            .enumerate()
            .filter(|(_, e)| is_internal(e));
        let syncing = among.iter().filter(|&&n| self.nodes[n].pending.is_some());
        let syncs = syncing.map(|&node| Step::Sync { node });
        let deliveries = in_flight.map(|(message, _)| Step::Deliver { message });
        syncs.chain(deliveries).collect()
    }

    /// Deliveries of the messages in flight from one node to another.
    pub fn steps_between(&self, from: usize, to: usize) -> Vec<Step> {
        let is_on_link = |e: &Envelope| e.from == from && e.to == to;
        let in_flight = self
            .network
            .iter()
            .enumerate()
            .filter(|(_, e)| is_on_link(e));
        in_flight
            .map(|(message, _)| Step::Deliver { message })
            .collect()
    }

    /// Loses all messages in flight.
    pub fn lose_messages(&mut self) {
        self.network.clear();
    }

    pub fn chosen_slots(&self) -> usize {
        self.votes.chosen_slots()
    }
}
