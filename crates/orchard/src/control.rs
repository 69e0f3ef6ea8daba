//! The control state at one node: its registers, their disk, their messages; founding of the first group.
//!
//! What must hold is decided in `rootstock`; here its actions are carried out.
use crate::boot::nanos;
use crate::disk::{Kept, Save, Saves, Stock};
use crate::links::LinkError;
use crate::node::Node;
use crate::statute::{Change, Statute, Statutes, Verdict};
use crate::wire::{Call, ConfigTold, ModelTold, Reply, TextTold};
use rootstock::{
    Action, Applied, Leases, Machine, Member, Message, Outcome, Record, Refused, Register, Seen, Settings,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use trug::Blob;

/// The configuration's part, and how many parts the services' duties are cut into.
pub const CONFIG: u16 = 0;
pub const DUTY_PARTS: u16 = 4;
/// Largest message of a register.
const MOST_MESSAGE: usize = 10 << 20;
/// The first group is formed once the nodes that count have been the same for so long, or some came in so long.
const SETTLED: Duration = Duration::from_millis(900);
const FOUNDING: Duration = Duration::from_millis(4_000);
/// Polls between nodes of the core come so often that a quiet one for so long is out of touch.
const TOUCH: Duration = Duration::from_millis(1_600);

/// A node that asked here and has not for so long is told to be silent.
const QUIET: Duration = Duration::from_millis(2_500);

/// Which duty part a service belongs to.
pub fn part_of(service: &str) -> u16 {
    1 + (windrow::hash(service.as_bytes()) % u64::from(DUTY_PARTS)) as u16
}

pub struct PartMachine(u16);

impl Machine for PartMachine {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        if self.0 == CONFIG { Statutes.apply(body, change) } else { Leases.apply(body, change) }
    }
}

type Ops = HashMap<u64, oneshot::Sender<Outcome>>;

pub struct Control {
    node: Rc<Node>,
    me: Member,
    registers: RefCell<Vec<Register<PartMachine>>>,
    ops: RefCell<Ops>,
    next_op: Cell<u64>,
    disk: RefCell<Option<Saves>>,
    /// Why the last save failed, with the remedy.
    failing: RefCell<Option<String>>,
    /// Saves that the disk has not answered yet.
    saving: Cell<usize>,
    woken: Notify,
    /// When each node of the core was last heard of, by name.
    contacts: RefCell<HashMap<String, u64>>,
    /// Nodes that ask this one, and when each asked last.
    pollers: RefCell<BTreeMap<String, u64>>,
    /// A quorum told this life what is in force.
    caught_up: Cell<bool>,
    founded: Cell<bool>,
}

impl Control {
    pub fn start(node: Rc<Node>, stock: Stock) -> Rc<Control> {
        let (name, address) = {
            let me = node.me.borrow();
            (me.name.clone(), me.internal.clone())
        };
        let me = Member { disk: stock.disk, name, address };
        let settings = Settings { contact: nanos(node.boot.borrow().bounds.contact), ..Settings::default() };
        let mut registers = Vec::new();
        let mut founded = false;
        for (part, record) in (0..).zip(&stock.records) {
            let rng = node.rng.borrow_mut().fork();
            let record = record.as_deref();
            let opened = Register::new(part, me.clone(), record, PartMachine(part), rng, settings.clone(), 0);
            let register = opened.unwrap_or_else(|why| {
                node.ring.breach(&why.to_string());
                let rng = node.rng.borrow_mut().fork();
                Register::new(part, me.clone(), None, PartMachine(part), rng, settings.clone(), 0)
                    .expect("no record to misread")
            });
            founded |= !register.members().is_empty();
            registers.push(register);
        }
        let control = Rc::new(Control {
            node,
            me,
            registers: RefCell::new(registers),
            ops: RefCell::default(),
            next_op: Cell::new(1),
            disk: RefCell::default(),
            failing: RefCell::default(),
            saving: Cell::new(0),
            woken: Notify::new(),
            contacts: RefCell::default(),
            pollers: RefCell::default(),
            caught_up: Cell::new(false),
            founded: Cell::new(founded),
        });
        let (done, stored) = mpsc::unbounded_channel();
        *control.disk.borrow_mut() = stock.keeper.map(|keeper| keeper.begin(done));
        spawn_local(control.clone().run(stored));
        spawn_local(control.clone().catch_up());
        spawn_local(control.clone().tend());
        control
    }

    /// Whether this node's vote counts for the configuration.
    pub fn is_member(&self) -> bool {
        self.registers.borrow()[usize::from(CONFIG)].is_member()
    }

    pub fn disk(&self) -> u64 {
        self.me.disk
    }

    /// The group of a part, as far as it is known here.
    pub fn members(&self, part: u16) -> Vec<Member> {
        self.registers.borrow().get(usize::from(part)).map(|r| r.members().to_vec()).unwrap_or_default()
    }

    pub fn heard_of(&self, name: &str) {
        self.contacts.borrow_mut().insert(name.to_owned(), self.node.now());
    }

    /// This node is one of the sources of the node that polled, and so watches it.
    pub fn polled(&self, name: &str) {
        self.pollers.borrow_mut().insert(name.to_owned(), self.node.now());
    }

    /// Tells of nodes that stopped asking. One that asks elsewhere now refutes it.
    pub fn watch(&self) {
        let now = self.node.now();
        let mut quiet = Vec::new();
        self.pollers.borrow_mut().retain(|name, at| {
            let is_quiet = now.saturating_sub(*at) > nanos(QUIET);
            if is_quiet {
                quiet.push(name.clone());
            }
            !is_quiet
        });
        let mut changed = false;
        for name in quiet {
            changed |= self.node.rows.borrow_mut().node_silent(&name, now);
        }
        self.node.pollers.set(self.pollers.borrow().len());
        if changed {
            self.node.stir();
        }
    }

    /// Whether the duty of a part is this node's: it holds it, or whoever does is not heard of and this node is first.
    pub fn has_duty(&self, part: u16) -> bool {
        let body =
            self.registers.borrow().get(usize::from(part)).and_then(|r| Some(r.chosen()?.body.clone()));
        let lease = body.and_then(|b| rootstock::lease::Lease::decode(&b));
        let holder = lease.and_then(|l| l.holder).map(|h| h.name);
        let own = format!("{}@{}", self.me.name, self.me.address);
        match holder {
            Some(holder) if holder == own => true,
            Some(holder) => {
                let name = holder.split('@').next().unwrap_or_default();
                let member = self.members(part).iter().any(|m| format!("{}@{}", m.name, m.address) == holder);
                let leaving = self.node.rows.borrow().node(name).is_some_and(|n| n.leaving);
                let there = member && self.heard_within(name, TOUCH) && !leaving;
                !there && self.is_first(part)
            }
            None => self.is_first(part),
        }
    }

    /// Whether this node comes first among the live members of the part, and so holds its duty.
    pub fn is_first(&self, part: u16) -> bool {
        let members = self.members(part);
        let leaving = |name: &str| self.node.rows.borrow().node(name).is_some_and(|n| n.leaving);
        let live =
            |m: &&Member| m.disk == self.me.disk || (self.heard_within(&m.name, TOUCH) && !leaving(&m.name));
        rootstock::owner::ranked(part, &members)
            .into_iter()
            .find(live)
            .is_some_and(|m| m.disk == self.me.disk)
    }

    fn heard_within(&self, name: &str, span: Duration) -> bool {
        let now = self.node.now();
        self.contacts.borrow().get(name).is_some_and(|at| now.saturating_sub(*at) < nanos(span))
    }

    /// This node has what is in force, and hears a majority of the group.
    pub fn in_touch(&self) -> bool {
        let members = self.members(CONFIG);
        let there =
            members.iter().filter(|m| m.disk == self.me.disk || self.heard_within(&m.name, TOUCH)).count();
        self.caught_up.get() && self.is_member() && there * 2 > members.len()
    }

    async fn run(self: Rc<Self>, mut stored: mpsc::UnboundedReceiver<Kept>) {
        loop {
            let now = self.node.now();
            let next = self.registers.borrow().iter().filter_map(Register::next_wake).min();
            let wake = Duration::from_nanos(next.unwrap_or(now + 1_000_000_000).saturating_sub(now));
            // In this order, so that the same seed gives the same run; the timer first, since words may come without end.
            tokio::select! {
                biased;
                () = tokio::time::sleep(wake.max(Duration::from_micros(200))) => {
                    let now = self.node.now();
                    self.registers.borrow_mut().iter_mut().for_each(|r| r.tick(now));
                }
                Some(kept) = stored.recv() => match kept {
                    Kept::Rows => self.saving.set(self.saving.get().saturating_sub(1)),
                    Kept::Part { part, token, failed } => {
                        let now = self.node.now();
                        let ok = failed.is_none();
                        self.registers.borrow_mut()[usize::from(part)].stored(token, ok, now);
                        self.disk_fails(failed);
                    }
                },
                () = self.woken.notified() => {}
            }
            self.carry_out();
        }
    }

    fn disk_fails(&self, why: Option<String>) {
        match (&why, &*self.failing.borrow()) {
            (Some(why), None) => log::warn!("{why}"),
            (None, Some(_)) => log::info!("the disk keeps what it is given again"),
            _ => {}
        }
        *self.failing.borrow_mut() = why;
    }

    /// Why a change was not made, with the remedy where this node's disk is in its way.
    pub fn explain(&self, why: &str) -> String {
        match &*self.failing.borrow() {
            Some(disk) => format!("{why}; {disk}"),
            None => why.to_owned(),
        }
    }

    /// Does what the registers ask for.
    fn carry_out(&self) {
        for part in 0..=DUTY_PARTS {
            loop {
                let actions = self.registers.borrow_mut()[usize::from(part)].take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.act(part, action);
                }
            }
        }
    }

    fn act(&self, part: u16, action: Action) {
        match action {
            Action::Send { to, message } => {
                if let Ok(address) = to.address.parse::<SocketAddr>() {
                    let me = &self.me;
                    let call = Call::Part {
                        part,
                        disk: me.disk,
                        name: me.name.clone(),
                        address: me.address.clone(),
                        message: Blob(message.encode()),
                    };
                    self.node.links.cast(address, &call);
                }
            }
            Action::Store { token, bytes } => match &*self.disk.borrow() {
                Some(save) => save(Save::Part { part, token, bytes }),
                // Without a disk nothing is promised beyond this life: its id goes with it.
                None => {
                    let now = self.node.now();
                    self.registers.borrow_mut()[usize::from(part)].stored(token, true, now);
                }
            },
            Action::Chosen(state) => {
                if part == CONFIG {
                    self.publish(state.seq, &state.body);
                }
                self.node.changed();
            }
            Action::Done { op, outcome } => {
                if let Some(waiting) = self.ops.borrow_mut().remove(&op) {
                    // Whoever asked may have left.
                    let _ = waiting.send(outcome);
                }
            }
        }
    }

    fn publish(&self, seq: u64, body: &[u8]) {
        let Some(statute) = Statute::read(body) else {
            return self
                .node
                .ring
                .breach("the configuration's part is of another release: bring all nodes to one");
        };
        let models = statute.models.iter().map(|m| {
            let known = self.node.in_force();
            let since = known.models.iter().find(|k| k.0 == m.model && k.1 == m.version).map(|k| k.2);
            let age = since.map_or(0, |s| self.node.now().saturating_sub(s) / 1_000_000);
            ModelTold { name: m.model.clone(), version: m.version, age_ms: age }
        });
        // Register sequences start at 0; nodes count from 1, so that 0 is 'nothing yet'.
        let told = ConfigTold {
            seq: seq + 1,
            version: statute.version,
            models: models.collect(),
            text: TextTold::Whole(statute.text),
        };
        self.node.take(told);
    }

    async fn operate(&self, part: u16, change: Option<Vec<u8>>, patience: Duration) -> Outcome {
        let op = self.next_op.get();
        self.next_op.set(op + 1);
        let (ended, end) = oneshot::channel();
        self.ops.borrow_mut().insert(op, ended);
        {
            let now = self.node.now();
            let mut registers = self.registers.borrow_mut();
            let Some(register) = registers.get_mut(usize::from(part)) else {
                return Outcome::Refused(Refused::NoGroup);
            };
            let deadline = now + nanos(patience);
            match change {
                Some(change) => register.propose(op, change, deadline, now),
                None => register.read(op, deadline, now),
            }
        }
        self.woken.notify_one();
        end.await.unwrap_or(Outcome::Unknown)
    }

    /// Makes a change through this node's own register.
    pub async fn change_here(&self, part: u16, change: Vec<u8>, patience: Duration) -> Outcome {
        self.operate(part, Some(change), patience).await
    }

    /// A message of another member's register.
    pub fn heard(&self, part: u16, from: Member, message: &[u8]) {
        let Ok(message) = Message::decode(message, MOST_MESSAGE) else { return };
        let now = self.node.now();
        if let Some(register) = self.registers.borrow_mut().get_mut(usize::from(part)) {
            register.handle(from, message, now);
        }
        self.woken.notify_one();
    }

    /// Until a quorum has told what is in force, this node does not call itself in touch.
    async fn catch_up(self: Rc<Self>) {
        loop {
            if self.is_member() {
                let outcome = self.operate(CONFIG, None, Duration::from_millis(500)).await;
                if let Outcome::Answered(_) = outcome {
                    self.caught_up.set(true);
                    self.node.informed.set(true);
                    self.node.heard.set(self.node.now());
                    self.node.changed();
                    return;
                }
                tokio::time::sleep(self.node.jitter(Duration::from_millis(20))).await;
            } else {
                tokio::time::sleep(self.node.jitter(Duration::from_millis(100))).await;
            }
        }
    }

    /// Looks after who belongs to the groups, and asks others for what a node that belongs to none should know.
    async fn tend(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.node.jitter(Duration::from_millis(200))).await;
            if self.in_touch() {
                self.node.heard.set(self.node.now());
            }
            let seen = self.seen();
            let now = self.node.now();
            let ask = |r: &Register<PartMachine>| r.members().is_empty();
            let others: Vec<Member> =
                seen.iter().map(|s| s.member.clone()).filter(|m| m.disk != self.me.disk).collect();
            {
                let mut registers = self.registers.borrow_mut();
                let lonely = registers.iter().any(ask) && !others.is_empty();
                let other = if lonely {
                    Some(others[self.node.rng.borrow_mut().usize(..others.len())].clone())
                } else {
                    None
                };
                for register in registers.iter_mut() {
                    if let (true, Some(other)) = (ask(register), &other) {
                        register.ask(other.clone(), now);
                    }
                    if register.is_member() {
                        register.tend(&seen, now);
                    }
                }
            }
            self.carry_out();
        }
    }

    /// The nodes that may keep control state, as this one sees them.
    fn seen(&self) -> Vec<Seen> {
        let rows = self.node.rows.borrow();
        let any_counted = rows.nodes().any(|n| n.counted && !n.control.is_empty());
        let now = self.node.now();
        let fit =
            rows.nodes().filter(|n| !n.control.is_empty() && n.disk != 0 && (n.counted || !any_counted));
        fit.map(|n| {
            let own = n.disk == self.me.disk;
            let at = self.contacts.borrow().get(&n.name).copied();
            Seen {
                member: Member { disk: n.disk, name: n.name.clone(), address: n.internal.clone() },
                counted: true,
                heard: if own { Some(0) } else { at.map(|at| now.saturating_sub(at)) },
                leaving: n.leaving,
            }
        })
        .collect()
    }

    /// The first group's records, from the node that founds it.
    pub fn take_record(&self, records: &[Blob]) -> bool {
        if self.founded.get() {
            return true;
        }
        if records.len() != usize::from(DUTY_PARTS) + 1 {
            return false;
        }
        let settings =
            Settings { contact: nanos(self.node.boot.borrow().bounds.contact), ..Settings::default() };
        let mut made = Vec::new();
        let now = self.node.now();
        for (part, record) in (0..).zip(records) {
            let rng = self.node.rng.borrow_mut().fork();
            let opened = Register::new(
                part,
                self.me.clone(),
                Some(record),
                PartMachine(part),
                rng,
                settings.clone(),
                now,
            );
            match opened {
                Ok(register) if register.is_member() => made.push(register),
                _ => return false,
            }
        }
        *self.registers.borrow_mut() = made;
        self.founded.set(true);
        for (part, record) in (0..).zip(records) {
            if let Some(save) = &*self.disk.borrow() {
                // Kept before anything later is: saves are carried out in order.
                save(Save::Founding { part, bytes: record.0.clone() });
            }
        }
        self.woken.notify_one();
        true
    }

    /// Keeps the rows for the next start; skipped while the disk is behind.
    pub fn keep_rows(&self, bytes: Vec<u8>) {
        if self.saving.get() > 0 {
            return;
        }
        if let Some(save) = &*self.disk.borrow() {
            self.saving.set(self.saving.get() + 1);
            save(Save::Rows(bytes));
        }
    }
}

/// Founds the first group: on the first start of the whole system, by the first of the three seeds alone, so that
/// there are never two.
pub async fn found(node: Rc<Node>) {
    let started = Instant::now();
    let mut last: Vec<(String, u64, String)> = Vec::new();
    let mut since = Instant::now();
    let members = loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now: Vec<(String, u64, String)> = {
            let rows = node.rows.borrow();
            let any = rows.nodes().any(|n| n.counted && !n.control.is_empty());
            let fit = rows.nodes().filter(|n| !n.control.is_empty() && n.disk != 0 && (n.counted || !any));
            fit.map(|n| (n.name.clone(), n.disk, n.internal.clone())).collect()
        };
        if now != last {
            (last, since) = (now, Instant::now());
        }
        let counted = node.rows.borrow().nodes().any(|n| n.counted);
        let enough = since.elapsed() >= SETTLED && (counted || started.elapsed() >= FOUNDING);
        if enough && !last.is_empty() {
            break last;
        }
    };
    let members: Vec<Member> =
        members.into_iter().map(|(name, disk, address)| Member { disk, name, address }).take(9).collect();
    let records: Vec<Blob> =
        (0..=DUTY_PARTS).map(|_| Blob(Record::found(members.clone(), Vec::new()).encode())).collect();
    log::info!("founding the control state with {} members", members.len());
    let call = Rc::new(Call::Found { records: records.into() });
    for member in members {
        let (node, call) = (node.clone(), call.clone());
        spawn_local(async move {
            let Ok(address) = member.address.parse::<SocketAddr>() else { return };
            // Until it has it: it is needed for the first quorum, and was there a moment ago.
            for _ in 0..200 {
                if let Ok(Reply::Done) = node.links.call(address, &call, Duration::from_millis(500)).await {
                    return;
                }
                tokio::time::sleep(node.jitter(Duration::from_millis(50))).await;
            }
        });
    }
}

/// Makes a change through whoever may: this node's register, or that of a member, the part's owner first.
pub async fn change(
    node: &Rc<Node>, control: Option<&Rc<Control>>, part: u16, change: Vec<u8>, patience: Duration,
) -> Result<Vec<u8>, NoChange> {
    let until = Instant::now() + patience;
    let own = node.me.borrow().internal.clone();
    let member = control.is_some_and(|c| c.is_member());
    let mut to: Vec<SocketAddr> = Vec::new();
    let known: Vec<Member> = control.map(|c| c.members(part)).unwrap_or_default();
    let silent = |name: &str| node.rows.borrow().node(name).is_some_and(|n| n.silent || n.leaving);
    let ranked = rootstock::owner::ranked(part, &known);
    let live = ranked.iter().filter(|m| m.address == own || !silent(&m.name));
    let rest = ranked.iter().filter(|m| m.address != own && silent(&m.name));
    to.extend(live.chain(rest).filter_map(|m| m.address.parse::<SocketAddr>().ok()));
    if to.is_empty() {
        let mut core = node.core();
        core.sort_by_key(|c| (silent(&c.0), windrow::hash(c.0.as_bytes()) ^ u64::from(part)));
        to.extend(core.into_iter().map(|c| c.1));
    }
    let own: Option<SocketAddr> = own.parse().ok();
    let mut worst =
        NoChange::NotMade("no node that keeps the control state is known here: ask another one".into());
    let tries = to.len().max(1);
    for (place, address) in to.into_iter().enumerate() {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(10) {
            break;
        }
        // The rest of the time is shared with those that come after.
        let share = if place + 1 == tries { left } else { left.mul_f64(0.6) };
        if Some(address) == own {
            let (Some(control), true) = (control, member) else { continue };
            match control.change_here(part, change.clone(), share).await {
                Outcome::Answered(answer) => return Ok(answer),
                Outcome::Refused(why) => {
                    worst = worst.or(NoChange::NotMade(control.explain(&why.to_string())));
                }
                Outcome::Unknown => worst = NoChange::Unknown,
            }
            continue;
        }
        let call = Call::Change { part, change: Blob(change.clone()), patience_ms: share.as_millis() as u32 };
        match node.links.call(address, &call, share + Duration::from_millis(20)).await {
            Ok(Reply::Changed(answer)) => return Ok(answer.0),
            Ok(Reply::NotChanged(why)) => worst = worst.or(NoChange::NotMade(why)),
            Err(LinkError::Unreachable | LinkError::Crowded) => {}
            _ => worst = NoChange::Unknown,
        }
    }
    Err(worst)
}

/// Why a change has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoChange {
    /// It was not made, and won't be.
    NotMade(String),
    /// Nobody can say.
    Unknown,
}

impl NoChange {
    /// Once nobody can say, nobody can.
    fn or(self, other: NoChange) -> NoChange {
        if self == NoChange::Unknown { self } else { other }
    }
}

pub fn verdict(answer: &[u8]) -> Option<Verdict> {
    trug::read(answer)
}

pub fn encode(change: &Change) -> Vec<u8> {
    nanoserde::SerBin::serialize_bin(change)
}
