//! Many registers of one part under one seeded scheduler: the real cores, the real codec, files that lie.
#![allow(dead_code)]
pub mod clients;
pub mod copies;
pub mod faults;
pub mod judge;
pub mod machine;
pub mod planted;

use clients::{Call, Client};
use fastrand::Rng;
pub use faults::Weather;
use faults::{Disk, Net};
use judge::Judge;
use machine::{Config, Configs};
use sparrouter_consensus::{
    Action, Defects, Member, Message, NodeObservation, Record, Register, Settings,
};
pub use sparrouter_consensus::{MILLISECOND, Nanos, SECOND};
use sparrouter_storage::{Opened, SimulatedFiles, Store, simulated::DiskFailure};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const PART: u16 = 7;
const CONTACT: Nanos = 600 * MILLISECOND;
/// A version and a few ids, bytes.
const LEAST_BODY: usize = 32;
/// Once all faults have ended: beats, swaps and back-offs are over, and calls are answered.
const CALM: Nanos = 6 * CONTACT;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub storm: Nanos,
    pub weather: Weather,
    pub defects: Defects,
    /// Nearly all bodies are fetched in pieces, instead of going with the messages.
    pub pieces: bool,
    pub trace: bool,
}

impl Plan {
    fn max_inline_body_bytes(&self) -> usize {
        if self.pieces {
            LEAST_BODY
        } else {
            Settings::default().max_inline_body_bytes
        }
    }
}

#[derive(Debug)]
pub struct Failure {
    pub what: String,
    pub events: Vec<String>,
}

#[derive(Debug, Default, PartialEq, Eq)]
pub struct Played {
    pub acknowledgements: u64,
    pub slots: u64,
    pub steps: u64,
    /// Of all that happened, in order.
    pub digest: u64,
}

#[derive(Debug)]
pub enum Event {
    Deliver {
        from: usize,
        sender: Member,
        to: usize,
        bytes: Vec<u8>,
    },
    Stored {
        node: usize,
        life: u64,
        token: u64,
        bytes: Vec<u8>,
    },
    Start {
        node: usize,
    },
    Fault,
    Beat,
    Client {
        client: usize,
    },
    Leave {
        node: usize,
    },
    Flap {
        node: usize,
    },
}

pub struct Node {
    pub member: Member,
    pub files: SimulatedFiles,
    pub store: Option<Store<SimulatedFiles>>,
    pub register: Option<Register<Configs>>,
    pub life: u64,
    pub saving: Option<Vec<u8>>,
    pub frozen_until: Nanos,
    pub disk: (Disk, Nanos),
    pub gone: bool,
    pub leaving: bool,
    published: Option<u64>,
    /// Who was heard when, by disk.
    heard: BTreeMap<u64, (Member, Nanos)>,
}

pub struct Fleet {
    pub now: Nanos,
    pub rng: Rng,
    pub nodes: Vec<Node>,
    pub clients: Vec<Client>,
    pub calls: BTreeMap<u64, Call>,
    pub next_op: u64,
    pub judge: Judge,
    pub net: Net,
    /// From, to, until.
    pub cuts: Vec<(usize, usize, Nanos)>,
    pub storm_ends: Nanos,
    pub founding: usize,
    pub weather: Weather,
    /// Disks that are gone, and since when.
    pub lost: Vec<(u64, Nanos)>,
    pub defects: Defects,
    /// Bodies above it are fetched in pieces.
    pub max_inline_body_bytes: usize,
    pub acknowledgements: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    steps: u64,
    /// A slot was chosen or a disk was lost since the copies were counted.
    pub copies_changed: bool,
    digest: u64,
    trace: Option<Vec<String>>,
}

/// Plays a plan to its end: a storm, a calm in which all must work again, a last loss, and all again.
pub fn play(plan: &Plan) -> Result<Played, Failure> {
    let mut fleet = Fleet::new(plan);
    let verdict = fleet.whole_story();
    let played = Played {
        acknowledgements: fleet.acknowledgements,
        slots: fleet.judge.newest_state().map_or(0, |s| s.slot),
        steps: fleet.steps,
        digest: fleet.digest,
    };
    verdict.map(|()| played).map_err(|what| Failure {
        what,
        events: fleet.trace.unwrap_or_default(),
    })
}

impl Fleet {
    pub fn new(plan: &Plan) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            rng: Rng::with_seed(plan.seed),
            nodes: Vec::new(),
            clients: vec![
                Client::Operator {
                    known: 0,
                    put: None,
                },
                Client::Operator {
                    known: 0,
                    put: None,
                },
                Client::Operator {
                    known: 0,
                    put: None,
                },
                Client::Reader,
                Client::Holder {
                    name: 1,
                    life: 1,
                    hold: None,
                },
                Client::Holder {
                    name: 2,
                    life: 1,
                    hold: None,
                },
            ],
            calls: BTreeMap::new(),
            next_op: 0,
            judge: Judge::default(),
            net: Net::calm(),
            cuts: Vec::new(),
            storm_ends: plan.storm,
            founding: plan.nodes,
            weather: plan.weather,
            lost: Vec::new(),
            defects: plan.defects.clone(),
            max_inline_body_bytes: plan.max_inline_body_bytes(),
            acknowledgements: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            steps: 0,
            copies_changed: false,
            digest: plan.seed,
            trace: plan.trace.then(Vec::new),
        };
        for _ in 0..plan.nodes {
            fleet.add_machine();
        }
        for node in &mut fleet.nodes {
            node.member.disk_id = fleet.rng.u64(1..);
        }
        let group: Vec<Member> = fleet.nodes.iter().map(|n| n.member.clone()).collect();
        let first = Record::bootstrap(group, Config::default().encode()).encode();
        for node in 0..plan.nodes {
            let (mut store, _) = Store::open(fleet.nodes[node].files.clone()).unwrap();
            store
                .save("disk", &fleet.nodes[node].member.disk_id.to_le_bytes())
                .unwrap();
            store.save("part-7", &first).unwrap();
            let late = fleet.rng.u64(..300) * MILLISECOND;
            fleet.at(late, Event::Start { node });
        }
        for client in 0..fleet.clients.len() {
            fleet.at(300 * MILLISECOND, Event::Client { client });
        }
        fleet.at(0, Event::Beat);
        fleet.at(400 * MILLISECOND, Event::Fault);
        fleet
    }

    pub fn add_machine(&mut self) -> usize {
        let number = self.nodes.len();
        let member = Member {
            disk_id: 0,
            name: format!("node-{number}"),
            address: format!("10.0.0.{number}:7360"),
        };
        self.nodes.push(Node {
            member,
            files: SimulatedFiles::new(self.rng.u64(..)),
            store: None,
            register: None,
            life: 0,
            saving: None,
            frozen_until: 0,
            disk: (Disk::Well, 0),
            gone: false,
            leaving: false,
            published: None,
            heard: BTreeMap::new(),
        });
        number
    }

    fn whole_story(&mut self) -> Result<(), String> {
        self.run_until(self.storm_ends)?;
        self.mend_all();
        self.run_until(self.now + CALM)?;
        self.all_work("after the storm")?;
        // The last loss, just after a change was acknowledged in bad weather: as many disks as a majority can spare,
        // while all others lose power.
        self.net = faults::Net {
            loss: 80,
            repeat: 20,
            stray: 0,
            delay: 60 * MILLISECOND,
        };
        let (before, latest) = (self.acknowledgements, self.now + 4 * SECOND);
        while self.acknowledgements == before && self.now < latest {
            self.run_until(self.now + MILLISECOND)?;
        }
        self.net = Net::calm();
        let group = self
            .judge
            .newest_state()
            .map(|s| s.members.clone())
            .unwrap_or_default();
        let spare = group.len().saturating_sub(1) / 2;
        let mut order: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| !self.nodes[n].gone)
            .collect();
        self.rng.shuffle(&mut order);
        for (rank, &node) in order.iter().enumerate() {
            let back = self.rng.u64(..1_000) * MILLISECOND;
            if rank < spare {
                self.wipe(node, back)
            } else {
                self.lose_power(node, back)
            }
        }
        self.run_until(self.now + SECOND + CALM)?;
        self.all_work("after the last loss")
    }

    /// Every node answers a read and a change, and the group is made of those that are there.
    fn all_work(&mut self, when: &str) -> Result<(), String> {
        let before = self.acknowledgements;
        self.run_until(self.now + 4 * SECOND)?;
        if self.acknowledgements == before {
            return Err(format!("no change was acknowledged {when}"));
        }
        let newest = self.judge.newest_state().map(|s| s.members.clone());
        for node in self.nodes.iter().filter(|n| !n.gone) {
            if node.leaving {
                return Err(format!(
                    "{} still waits to leave {when}: {newest:?}",
                    node.member.name
                ));
            }
            let Some(register) = &node.register else {
                return Err(format!("{} is down {when}", node.member.name));
            };
            let group = register.members();
            if !group.iter().any(|m| m.disk_id == node.member.disk_id) {
                return Err(format!(
                    "{} is in no group {when}: {newest:?}",
                    node.member.name
                ));
            }
            if group.iter().any(|m| {
                !self
                    .nodes
                    .iter()
                    .any(|n| !n.gone && n.member.disk_id == m.disk_id)
            }) {
                return Err(format!("a lost disk is in the group {when}: {newest:?}"));
            }
        }
        Ok(())
    }

    pub fn at(&mut self, after: Nanos, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + after, self.number)));
        self.events.insert(self.number, event);
    }

    pub fn log(&mut self, what: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:9.3} ms {}", self.now as f64 / 1e6, what()));
        }
    }

    pub fn run_until(&mut self, end: Nanos) -> Result<(), String> {
        loop {
            if let Some(broken) = self.judge.verdict() {
                return Err(format!("at {} ms: {broken}", self.now / MILLISECOND));
            }
            let wake = (0..self.nodes.len())
                .filter_map(|n| Some((self.wake_of(n)?, n)))
                .min();
            let queued = self.queue.peek().map(|Reverse((at, _))| *at);
            let next = queued
                .into_iter()
                .chain(wake.map(|w| w.0))
                .min()
                .unwrap_or(end);
            if next >= end {
                self.now = end;
                return Ok(());
            }
            self.steps += 1;
            if self.steps > 200_000 {
                return Err("it runs away: 200,000 steps".to_owned());
            }
            self.now = self.now.max(next);
            self.digest = sparrouter_rendezvous::mix(self.digest ^ self.now ^ self.next_op);
            match wake {
                Some((at, node)) if queued.is_none_or(|q| at <= q) => {
                    let now = self.now;
                    if let Some(register) = &mut self.nodes[node].register {
                        register.tick(now);
                        self.drain(node);
                    }
                }
                _ => {
                    let Some(Reverse((_, number))) = self.queue.pop() else {
                        continue;
                    };
                    if let Some(event) = self.events.remove(&number) {
                        self.happen(event);
                    }
                }
            }
            self.act();
            if std::mem::take(&mut self.copies_changed) {
                self.check_copies();
            }
        }
    }

    fn wake_of(&self, node: usize) -> Option<Nanos> {
        let node = &self.nodes[node];
        Some(
            node.register
                .as_ref()?
                .next_wake()?
                .max(node.frozen_until)
                .max(self.now),
        )
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver { to, .. } | Event::Stored { node: to, .. }
                if self.nodes[to].frozen_until > self.now =>
            {
                let wait = self.nodes[to].frozen_until - self.now;
                self.at(wait, event);
            }
            Event::Deliver {
                sender, to, bytes, ..
            } => {
                let now = self.now;
                self.digest = sparrouter_rendezvous::mix(
                    self.digest ^ sparrouter_rendezvous::hash(&bytes) ^ sender.disk_id,
                );
                let Some(register) = &mut self.nodes[to].register else {
                    return;
                };
                let message =
                    Message::decode(&bytes, 1 << 20).expect("what was encoded is decoded");
                register.handle(sender, message, now);
                self.drain(to);
            }
            Event::Stored {
                node,
                life,
                token,
                bytes,
            } => self.save(node, life, token, bytes),
            Event::Start { node } => self.start(node),
            Event::Fault => self.fault(),
            Event::Beat => self.beat(),
            Event::Flap { node } if self.now < self.storm_ends => self.kill(node, MILLISECOND),
            Event::Flap { .. } => {}
            Event::Leave { node } => self.left(node),
            Event::Client { client } => self.client_turn(client),
        }
    }

    fn start(&mut self, node: usize) {
        let now = self.now;
        let (seed, disk) = (self.rng.u64(..), self.rng.u64(1..));
        let it = &mut self.nodes[node];
        if it.gone || it.register.is_some() {
            return;
        }
        let (mut store, opened) = Store::open(it.files.clone()).expect("no crash damages a record");
        let mut records = match opened {
            Opened::Fresh => {
                if it.member.disk_id == 0 || !self.defects.wiped_keeps_id {
                    it.member.disk_id = disk;
                }
                store
                    .save("disk", &it.member.disk_id.to_le_bytes())
                    .expect("the disk is well at a start");
                BTreeMap::new()
            }
            Opened::Existing(records) => records,
        };
        let settings = Settings {
            contact_timeout: CONTACT,
            anti_entropy_interval: 100 * MILLISECOND,
            round_trip: 10 * MILLISECOND,
            max_inline_body_bytes: self.max_inline_body_bytes,
            chunk_bytes: 48,
            defects: self.defects.clone(),
            ..Settings::default()
        };
        let record = records.remove("part-7");
        let (me, rng) = (it.member.clone(), Rng::with_seed(seed));
        let register = Register::new(PART, me, record.as_deref(), Configs, rng, settings, now)
            .expect("a good record");
        it.register = Some(register);
        it.store = Some(store);
        it.life += 1;
        it.published = None;
        it.saving = None;
        it.frozen_until = 0;
        it.heard.clear();
        let disk = it.member.disk_id;
        self.log(|| format!("start {node} as disk {disk:x}"));
    }

    fn save(&mut self, node: usize, life: u64, token: u64, bytes: Vec<u8>) {
        let (now, chance) = (self.now, self.rng.u64(..));
        let it = &mut self.nodes[node];
        let (Some(register), Some(store)) = (&mut it.register, &mut it.store) else {
            return;
        };
        if it.life != life {
            return;
        }
        let trouble = if it.disk.1 > now {
            it.disk.0
        } else {
            Disk::Well
        };
        match trouble {
            Disk::Fails => it.files.fail_at(
                chance % 4,
                [
                    DiskFailure::Before,
                    DiskFailure::After,
                    DiskFailure::Torn(9),
                ][chance as usize % 3],
            ),
            Disk::Full => it.files.set_room(Some(bytes.len() * 2)),
            _ => {}
        }
        let ok = store.save("part-7", &bytes).is_ok();
        it.files.mend();
        it.files.set_room(None);
        it.saving = None;
        register.stored(token, ok, now);
        self.log(|| format!("node {node} stored {token}: {ok}"));
        self.drain(node);
    }

    /// A process that dies while it saves leaves any beginning of that save.
    pub fn die_in_a_save(&mut self, node: usize) {
        let (nth, cut) = (self.rng.u64(..6), self.rng.usize(..3));
        let torn = self.rng.usize(..200);
        let it = &mut self.nodes[node];
        if let (Some(bytes), Some(mut store)) = (it.saving.take(), it.store.take()) {
            it.files.fail_at(
                nth,
                [
                    DiskFailure::Before,
                    DiskFailure::After,
                    DiskFailure::Torn(torn),
                ][cut],
            );
            let _ = store.save("part-7", &bytes);
        }
    }

    pub fn drain(&mut self, node: usize) {
        let Some(register) = &mut self.nodes[node].register else {
            return;
        };
        for action in register.take_actions() {
            match action {
                Action::Send { to, message } => self.post(node, &to, &message),
                Action::Store { token, bytes } => {
                    let it = &mut self.nodes[node];
                    it.saving = Some(bytes.clone());
                    let (life, disk) = (it.life, it.disk);
                    let trouble = if disk.1 > self.now {
                        disk.0
                    } else {
                        Disk::Well
                    };
                    let time = match trouble {
                        Disk::Slow => self.rng.u64(20..200) * MILLISECOND,
                        Disk::Stalls => disk.1 - self.now,
                        _ => self.rng.u64(100..8_000) * 1_000,
                    };
                    self.at(
                        time,
                        Event::Stored {
                            node,
                            life,
                            token,
                            bytes,
                        },
                    );
                }
                Action::Chosen(state) => {
                    self.log(|| format!("node {node} publishes slot {}", state.slot));
                    let before = self.nodes[node].published.replace(state.slot);
                    self.judge.chosen(node, before, &state);
                    self.copies_changed = true;
                }
                Action::Completed { op, outcome } => self.done(op, outcome),
            }
        }
    }

    fn open(&self, from: usize, to: usize) -> bool {
        !self
            .cuts
            .iter()
            .any(|&(f, t, until)| (f, t) == (from, to) && until > self.now)
    }

    fn post(&mut self, from: usize, to: &Member, message: &Message) {
        // A machine that lost its disk answers at its old address: what was meant for the other one reaches it.
        let Some(target) = self
            .nodes
            .iter()
            .position(|n| n.member.address == to.address && !n.gone)
        else {
            return;
        };
        self.log(|| format!("{from} to {target}: {}", name(message)));
        if !self.open(from, target) || self.rng.u8(..) < self.net.loss {
            return;
        }
        let copies = 1 + u8::from(self.rng.u8(..) < self.net.repeat);
        for _ in 0..copies {
            let stray = if self.rng.u8(..) < self.net.stray {
                self.rng.u64(..2_000) * MILLISECOND
            } else {
                0
            };
            let delay = stray + self.rng.u64(200_000..=self.net.delay.max(200_001));
            let sender = self.nodes[from].member.clone();
            self.at(
                delay,
                Event::Deliver {
                    from,
                    sender,
                    to: target,
                    bytes: message.encode(),
                },
            );
        }
    }

    /// Discovery: who runs and can be reached is heard; each node looks after the group, strangers ask for one.
    fn beat(&mut self) {
        self.at(100 * MILLISECOND, Event::Beat);
        let now = self.now;
        let runs: Vec<bool> = self
            .nodes
            .iter()
            .map(|n| n.register.is_some() && n.frozen_until <= now)
            .collect();
        for node in 0..self.nodes.len() {
            if !runs[node] {
                continue;
            }
            for other in (0..self.nodes.len()).filter(|&o| runs[o]) {
                if other == node || self.open(other, node) {
                    let member = self.nodes[other].member.clone();
                    self.nodes[node].heard.insert(member.disk_id, (member, now));
                }
            }
            let leaving: Vec<u64> = self
                .nodes
                .iter()
                .filter(|n| n.leaving)
                .map(|n| n.member.disk_id)
                .collect();
            let it = &mut self.nodes[node];
            let seen: Vec<NodeObservation> = it
                .heard
                .values()
                .map(|(member, at)| NodeObservation {
                    member: member.clone(),
                    counts_toward_quorum: true,
                    since_last_contact: Some(now - at),
                    leaving: leaving.contains(&member.disk_id),
                })
                .collect();
            let others: Vec<Member> = it
                .heard
                .values()
                .map(|(m, _)| m.clone())
                .filter(|m| m.disk_id != it.member.disk_id)
                .collect();
            let Some(register) = &mut it.register else {
                continue;
            };
            register.observe_nodes(&seen, now);
            if register.chosen().is_none() && !others.is_empty() {
                register.request_state(others[self.rng.usize(..others.len())].clone(), now);
            }
            self.drain(node);
        }
    }
}

fn name(message: &Message) -> String {
    match message {
        Message::Accept { vote } => {
            let group = |members: &[Member]| {
                members
                    .iter()
                    .map(|m| format!("{}/{:x}", m.name, m.disk_id >> 48))
                    .collect()
            };
            let (before, members): (Vec<String>, Vec<String>) =
                (group(vote.governing()), group(&vote.state.members));
            let groups = if before == members {
                String::new()
            } else {
                format!("from {}", before.join(" "))
            };
            format!(
                "Accept {:?} {groups} members {}",
                vote.id(),
                members.join(" ")
            )
        }
        Message::Learn { vote } => format!("Learn {:?}", vote.id()),
        Message::Promise {
            number, accepted, ..
        } => format!("Promise {number:?}, accepted {accepted:?}"),
        Message::Report { accepted, .. } => format!("Report {accepted:?}"),
        other => format!("{other:?}"),
    }
}
