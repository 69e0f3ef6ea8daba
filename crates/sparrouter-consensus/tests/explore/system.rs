//! One state of the whole system and the steps out of it.
//!
//! Each node has its own clock, which only its timers move: a timer fires when the search chooses so, never because time
//! passed elsewhere. A message that is never chosen for delivery is a lost one.
//!
//! A node's reaction depends on nothing but its own state and what it is given, so each pair of the two is run once and
//! kept.
use super::body::{CompareAndSet, FIRST, TAKEN};
use super::digest::digest_of;
use super::history::History;
use super::scope::{Call, CallKind, Scope};
use super::votes::Votes;
use fastrand::Rng;
use sparrouter_consensus::{
    Action, Member, Message, Nanos, NodeObservation, Outcome, Record, Register, Settings, State,
    VoteId,
};
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// The register's shard; any number does.
const SHARD: u16 = 7;
/// No call ends by its deadline within an exploration.
const FAR: Nanos = Nanos::MAX / 4;
/// Between the id of a disk and that of the empty one that replaces it.
const NEXT_DISK: u64 = 100;
/// Longest record or message that is decoded.
const MOST_BYTES: usize = 1 << 16;

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A message arrives: by its place among those under way.
    Deliver {
        message: usize,
    },
    /// It arrives, and a copy stays under way.
    DeliverCopy {
        message: usize,
    },
    Call {
        call: usize,
    },
    /// The store that is under way at a node ends well.
    Sync {
        node: usize,
    },
    /// It fails; `written` says whether its bytes are on disk all the same.
    SyncFails {
        node: usize,
        written: bool,
    },
    /// The node's next timer fires.
    Timer {
        node: usize,
    },
    /// The node starts anew from its disk; `written`: whether the store under way had reached it.
    Crash {
        node: usize,
        written: bool,
    },
    /// The node starts anew with an empty disk.
    Wipe {
        node: usize,
    },
    /// The node proposes the scope's swap, or one for a disk that is gone.
    Swap,
}

/// A node: its process, its disk, and what is between them.
#[derive(Clone)]
pub struct Node {
    member: Member,
    life: u64,
    register: Register<CompareAndSet>,
    disk: Option<Vec<u8>>,
    /// The store under way.
    pending: Option<Pending>,
    /// Votes accepted in memory since the last store began.
    unsaved: Vec<VoteId>,
    now: Nanos,
    /// What the disk holds, decoded.
    on_disk: Option<VoteId>,
    digest: u128,
}

/// What a node is given, beside its own state.
#[derive(Debug)]
enum Input {
    Message {
        sender: Member,
        message: Message,
    },
    Call {
        op: u64,
        kind: CallKind,
    },
    /// The store under way ends; `written`: its bytes are on disk.
    Stored {
        written: bool,
        ok: bool,
    },
    Restart {
        written: bool,
    },
    /// A restart with an empty disk.
    Wipe,
    Tick,
    Observe {
        seen: Vec<NodeObservation>,
        contact: Nanos,
    },
}

/// What a node becomes by an input, and what it wants done.
struct Reaction {
    node: Rc<Node>,
    effects: Vec<Effect>,
}

enum Effect {
    Send(Rc<Envelope>),
    Publish(State),
    End { call: usize, outcome: Outcome },
}

type Reactions = RefCell<HashMap<(u128, u128), Rc<Reaction>>>;

#[derive(Clone, Debug)]
struct Pending {
    token: u64,
    bytes: Vec<u8>,
    votes: Vec<VoteId>,
}

pub struct Envelope {
    from: usize,
    to: usize,
    sender: Member,
    message: Message,
    digest: u128,
}

/// What was used up of what the scope allows.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Used {
    /// Bit by call.
    calls: u32,
    crashes: u8,
    wipes: u8,
    swaps: u8,
    timers: u8,
    store_failures: u8,
    duplicates: u8,
}

#[derive(Clone)]
pub struct System {
    pub scope: Rc<Scope>,
    nodes: Vec<Rc<Node>>,
    /// Messages under way, by digest.
    network: Vec<Rc<Envelope>>,
    used: Used,
    wiped: BTreeSet<u64>,
    votes: Rc<Votes>,
    history: Rc<History>,
    /// Where each address is.
    addresses: Rc<Vec<String>>,
    reactions: Rc<Reactions>,
}

fn settings(scope: &Scope) -> Settings {
    Settings {
        defects: scope.defects.clone(),
        ..Settings::default()
    }
}

fn first_member(node: usize) -> Member {
    let number = node as u64 + 1;
    Member {
        disk: number,
        name: format!("node-{number}"),
        address: format!("10.0.0.{number}:7360"),
    }
}

fn decoded(record: &[u8]) -> Record {
    Record::decode(record, MOST_BYTES).expect("a record that this code wrote can be read")
}

impl Node {
    fn start(scope: &Scope, member: Member, life: u64, disk: Option<Vec<u8>>) -> Node {
        let seed = scope.seed ^ (member.disk << 32) ^ life;
        let register = Register::new(
            SHARD,
            member.clone(),
            disk.as_deref(),
            CompareAndSet,
            Rng::with_seed(seed),
            settings(scope),
            0,
        );
        let mut node = Node {
            member,
            life,
            register: register.expect("a record that this code wrote can be read"),
            disk,
            pending: None,
            unsaved: Vec::new(),
            now: 0,
            on_disk: None,
            digest: 0,
        };
        node.on_disk = node.record().accepted.map(|vote| vote.at());
        node.refresh_digest();
        node
    }

    /// The store under way reaches the disk.
    fn write(&mut self) {
        if let Some(pending) = &self.pending {
            self.disk = Some(pending.bytes.clone());
            self.on_disk = self.record().accepted.map(|vote| vote.at());
        }
    }

    /// The store under way ended.
    fn end_store(&mut self, ok: bool) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if !ok {
            // They are still in memory and ride on the next store.
            self.unsaved.splice(0..0, pending.votes);
        }
        self.register.stored(pending.token, ok, self.now);
    }

    /// Starts anew under a member's name, with this disk.
    fn restart(&mut self, scope: &Scope, member: Member, disk: Option<Vec<u8>>) {
        *self = Node::start(scope, member, self.life + 1, disk);
    }

    /// Takes an input in; gives what the register wants done, but for the store that it wants.
    fn react(&mut self, scope: &Scope, input: Input) -> Vec<Action> {
        if let Input::Stored { written: true, .. } | Input::Restart { written: true } = input {
            self.write();
        }
        let register = &mut self.register;
        match input {
            Input::Stored { ok, .. } => self.end_store(ok),
            Input::Restart { .. } => self.restart(scope, self.member.clone(), self.disk.clone()),
            Input::Wipe => {
                let mut member = self.member.clone();
                if !scope.defects.wiped_keeps_id {
                    member.disk += NEXT_DISK;
                }
                self.restart(scope, member, None);
            }
            Input::Message { sender, message } => register.handle(sender, message, self.now),
            Input::Call { op, kind } => match kind {
                CallKind::Read => register.read(op, FAR, self.now),
                CallKind::Change { expected, new } => {
                    register.propose(op, vec![expected, new], FAR, self.now)
                }
            },
            Input::Tick => {
                let due = register.next_wake().unwrap_or(self.now);
                self.now = self.now.max(due);
                register.tick(self.now);
            }
            Input::Observe { seen, contact } => {
                // Twice, as whoever is not the first in turn waits a tenth of `contact` for each before it. A candidate's
                // confirmation counts for half of `contact`.
                register.tend(&seen, self.now);
                self.now += contact * 2 / 5;
                register.tend(&seen, self.now);
            }
        }
        let actions = self.register.take_actions();
        if let Some(at) = self.register.accepted_vote()
            && self.unsaved.last() != Some(&at)
        {
            self.unsaved.push(at);
        }
        let (stores, others) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Store { .. }));
        for store in stores {
            self.begin_store(store);
        }
        self.refresh_digest();
        others
    }

    /// A store may begin before the last vote that the same step accepted: that one rides on the next store.
    fn begin_store(&mut self, store: Action) {
        if let Action::Store { token, bytes } = store {
            let held = decoded(&bytes).accepted.map(|vote| vote.at());
            let covered = |at: &mut VoteId| Some(*at) <= held;
            let votes = self.unsaved.extract_if(.., covered).collect();
            self.pending = Some(Pending {
                token,
                bytes,
                votes,
            });
        }
    }

    fn record(&self) -> Record {
        self.disk.as_deref().map(decoded).unwrap_or_default()
    }

    fn refresh_digest(&mut self) {
        let seen = (
            &self.member,
            self.life,
            &self.register,
            &self.disk,
            &self.pending,
            &self.unsaved,
            self.now,
        );
        self.digest = digest_of(&seen);
    }
}

impl System {
    /// All nodes run; the members have the group's first record on disk.
    pub fn new(scope: Scope) -> System {
        let members: Vec<Member> = (0..scope.members).map(first_member).collect();
        let first = Record::found(members, FIRST.to_vec());
        let mut votes = Votes::default();
        let vote = first.accepted.clone().expect("a first record has a vote");
        votes.found((*vote.0).clone());
        let nodes = (0..scope.members + scope.spares).map(|node| {
            let disk = (node < scope.members).then(|| first.encode());
            Rc::new(Node::start(&scope, first_member(node), 0, disk))
        });
        let all = scope.members + scope.spares;
        let addresses = (0..all).map(|node| first_member(node).address).collect();
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

    /// Equal for two states only if no step tells them apart, but for a collision of 128 bits.
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

    /// Every step that the scope allows here; of equal messages one.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let scope = &*self.scope;
        for (message, envelope) in self.network.iter().enumerate() {
            if message > 0 && self.network[message - 1].digest == envelope.digest {
                continue;
            }
            steps.push(Step::Deliver { message });
            if self.used.duplicates < scope.duplicates {
                steps.push(Step::DeliverCopy { message });
            }
        }
        let open = (0..scope.calls.len()).filter(|call| self.used.calls >> call & 1 == 0);
        steps.extend(open.map(|call| Step::Call { call }));
        for node in 0..self.nodes.len() {
            self.steps_of(node, &mut steps);
        }
        if self.swap_by().is_some() {
            steps.push(Step::Swap);
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
            steps.push(Step::SyncFails {
                node,
                written: false,
            });
            steps.push(Step::SyncFails {
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

    /// The look around so far was no proposal: the scope's swap is still to come.
    pub fn allow_another_swap(&mut self) {
        self.used.swaps = 0;
    }

    /// Who may propose a swap now.
    fn swap_by(&self) -> Option<usize> {
        let swap = self.scope.swap?;
        (self.used.swaps == 0).then_some(swap.by)
    }

    /// What a step is, for a reader of a trace.
    pub fn describe(&self, step: Step) -> String {
        match step {
            Step::Deliver { message } | Step::DeliverCopy { message } => {
                let envelope = &self.network[message];
                let copy = match step {
                    Step::DeliverCopy { .. } => " (a copy stays under way)",
                    _ => "",
                };
                let from = &self.nodes[envelope.from].member.name;
                let to = &self.nodes[envelope.to].member.name;
                format!("{from} to {to}: {}{copy}", summary(&envelope.message))
            }
            Step::Call { call } => format!("call {:?}", self.scope.calls[call]),
            Step::Sync { node } => format!("node-{} syncs", node + 1),
            Step::SyncFails { node, written } => {
                format!("node-{} fails to sync, bytes written: {written}", node + 1)
            }
            Step::Timer { node } => format!("timer of node-{}", node + 1),
            Step::Crash { node, written } => {
                format!(
                    "node-{} crashes and restarts, pending store on disk: {written}",
                    node + 1
                )
            }
            Step::Wipe { node } => format!("node-{} restarts with an empty disk", node + 1),
            Step::Swap => format!("swap {:?}", self.scope.swap),
        }
    }

    /// The state after a step.
    ///
    /// # Errors
    /// The rule that it broke.
    pub fn after(&self, step: Step) -> Result<System, String> {
        let mut next = self.clone();
        next.take(step)?;
        next.check_disks()?;
        Ok(next)
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver { message } => {
                let envelope = self.network.remove(message);
                self.deliver(&envelope)
            }
            Step::DeliverCopy { message } => {
                self.used.duplicates += 1;
                let envelope = self.network[message].clone();
                self.deliver(&envelope)
            }
            Step::Call { call } => self.call(call),
            Step::Sync { node } => self.sync(node),
            Step::SyncFails { node, written } => self.fail_sync(node, written),
            Step::Timer { node } => self.fire_timer(node),
            Step::Crash { node, written } => self.crash(node, written),
            Step::Wipe { node } => self.wipe(node),
            Step::Swap => self.swap(),
        }
    }

    /// Gives a node an input and takes in what it wants done.
    fn run(&mut self, node: usize, input: Input) -> Result<(), String> {
        let key = (self.nodes[node].digest, digest_of(&input));
        self.run_keyed(node, key.1, || input)
    }

    /// The same by the input's digest, so that an input that was run before need not be made.
    fn run_keyed(
        &mut self,
        node: usize,
        input_digest: u128,
        input: impl FnOnce() -> Input,
    ) -> Result<(), String> {
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
            Action::Done { op, outcome } => Some(Effect::End {
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

    fn carry_out(&mut self, effect: &Effect) -> Result<(), String> {
        match effect {
            Effect::Send(envelope) => self.send(envelope),
            Effect::Publish(state) => self.votes.published(state),
            Effect::End { call, outcome } => self.end_call(*call, outcome.clone()),
        }
    }

    fn send(&mut self, envelope: &Rc<Envelope>) -> Result<(), String> {
        if let Message::Accept { vote } = &envelope.message {
            Rc::make_mut(&mut self.votes).propose(vote)?;
        }
        let digest = envelope.digest;
        let place = self.network.partition_point(|e| e.digest < digest);
        self.network.insert(place, envelope.clone());
        Ok(())
    }

    fn deliver(&mut self, envelope: &Envelope) -> Result<(), String> {
        self.run_keyed(envelope.to, envelope.digest, || Input::Message {
            sender: envelope.sender.clone(),
            message: envelope.message.clone(),
        })
    }

    fn call(&mut self, call: usize) -> Result<(), String> {
        self.used.calls |= 1 << call;
        Rc::make_mut(&mut self.history).called(call);
        let Call { node, kind } = self.scope.calls[call].clone();
        let op = call as u64;
        self.run(node, Input::Call { op, kind })
    }

    fn end_call(&mut self, call: usize, outcome: Outcome) -> Result<(), String> {
        if let Outcome::Answered(answer) = &outcome {
            let in_force = match self.scope.calls[call].kind {
                CallKind::Read => self.votes.is_chosen_body(answer),
                CallKind::Change { new, .. } if answer == TAKEN => {
                    self.votes.is_chosen_body(&[new])
                }
                CallKind::Change { .. } => true,
            };
            if !in_force {
                return Err(format!("call {call} was answered by a value not chosen"));
            }
        }
        Rc::make_mut(&mut self.history).ended(call, outcome);
        if self.history.is_linearizable(&self.scope.calls) {
            return Ok(());
        }
        Err(format!("not linearizable: {}", self.history.in_words()))
    }

    /// Counts the votes of the store under way as synced.
    fn count_synced(&mut self, node: usize) -> Result<(), String> {
        let node = self.nodes[node].clone();
        let votes = Rc::make_mut(&mut self.votes);
        let mut synced = node.pending.iter().flat_map(|p| &p.votes);
        synced.try_for_each(|at| votes.sync(*at, node.member.disk))
    }

    fn sync(&mut self, node: usize) -> Result<(), String> {
        self.count_synced(node)?;
        self.run(
            node,
            Input::Stored {
                written: true,
                ok: true,
            },
        )
    }

    fn fail_sync(&mut self, node: usize, written: bool) -> Result<(), String> {
        self.used.store_failures += 1;
        if written {
            self.count_synced(node)?;
        }
        self.run(node, Input::Stored { written, ok: false })
    }

    fn fire_timer(&mut self, node: usize) -> Result<(), String> {
        self.used.timers += 1;
        self.run(node, Input::Tick)
    }

    fn crash(&mut self, node: usize, written: bool) -> Result<(), String> {
        self.used.crashes += 1;
        if written {
            self.count_synced(node)?;
        }
        self.run(node, Input::Restart { written })
    }

    fn wipe(&mut self, node: usize) -> Result<(), String> {
        self.used.wipes += 1;
        self.wiped.insert(self.nodes[node].member.disk);
        self.run(node, Input::Wipe)
    }

    /// One node looks around: the member that leaves is silent, disks that are gone are silent, all others are there.
    fn swap(&mut self) -> Result<(), String> {
        let Some(swap) = self.scope.swap else {
            return Ok(());
        };
        self.used.swaps += 1;
        let contact = settings(&self.scope).contact;
        let observation = |member: Member, heard| NodeObservation {
            member,
            counted: true,
            heard: Some(heard),
            leaving: false,
        };
        let mut seen: Vec<NodeObservation> = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let old_disk = node.member.disk == first_member(index).disk;
            let heard = if index == swap.leaves && old_disk {
                contact
            } else {
                0
            };
            seen.push(observation(node.member.clone(), heard));
        }
        for member in (0..self.scope.members).map(first_member) {
            if self.wiped.contains(&member.disk) {
                seen.push(observation(member, contact));
            }
        }
        self.run(swap.by, Input::Observe { seen, contact })
    }

    fn check_disks(&self) -> Result<(), String> {
        let on_disk = |disk: u64| {
            let node = self.nodes.iter().find(|n| n.member.disk == disk)?;
            node.on_disk
        };
        self.votes.kept(on_disk, &self.wiped)
    }

    /// Steps that go on among these nodes alone: what they say to each other, and their stores.
    pub fn steps_among(&self, among: &[usize]) -> Vec<Step> {
        let both = |e: &Envelope| among.contains(&e.from) && among.contains(&e.to);
        let under_way = self.network.iter().enumerate().filter(|(_, e)| both(e));
        let syncing = among.iter().filter(|&&n| self.nodes[n].pending.is_some());
        let syncs = syncing.map(|&node| Step::Sync { node });
        let deliveries = under_way.map(|(message, _)| Step::Deliver { message });
        syncs.chain(deliveries).collect()
    }

    /// Deliveries of what is under way from one node to another.
    pub fn steps_between(&self, from: usize, to: usize) -> Vec<Step> {
        let link = |e: &Envelope| e.from == from && e.to == to;
        let under_way = self.network.iter().enumerate().filter(|(_, e)| link(e));
        under_way
            .map(|(message, _)| Step::Deliver { message })
            .collect()
    }

    /// Loses all messages under way.
    pub fn lose_messages(&mut self) {
        self.network.clear();
    }

    pub fn chosen_slots(&self) -> usize {
        self.votes.chosen_slots()
    }
}

fn summary(message: &Message) -> String {
    match message {
        Message::Accept { vote } => {
            let disks: Vec<u64> = vote.state.members.iter().map(|m| m.disk).collect();
            let body = String::from_utf8_lossy(&vote.state.body);
            format!("Accept {} {body:?} {disks:?}", place(&vote.at()))
        }
        Message::Accepted { at } => format!("Accepted {}", place(at)),
        Message::Learn { vote } => format!("Learn {}", place(&vote.at())),
        Message::Chosen { at } => format!("Chosen {}", place(at)),
        Message::Prepare { ballot, .. } => format!("Prepare {}.{}", ballot.round, ballot.disk),
        Message::Promise { ballot, at, .. } => {
            let at = at.as_ref().map(place);
            format!("Promise {}.{} holding {at:?}", ballot.round, ballot.disk)
        }
        Message::Reject {
            ballot, promised, ..
        } => format!(
            "Reject {}.{}, promised {}.{}",
            ballot.round, ballot.disk, promised.round, promised.disk
        ),
        Message::Query { .. } => "Query".to_owned(),
        Message::Report { at, .. } => format!("Report {:?}", at.as_ref().map(place)),
        other => format!("{other:?}"),
    }
}

fn place(at: &VoteId) -> String {
    format!(
        "slot {} ballot {}.{}",
        at.seq, at.ballot.round, at.ballot.disk
    )
}
