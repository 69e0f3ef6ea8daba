//! What one process knows: its rows, the configuration in force, its servers. One owner, one thread; tables are
//! immutable and swapped whole.
use crate::boot::{Boot, nanos};
use crate::links::Links;
use crate::net::SharedNet;
use crate::planted::{self, Defect, has};
use crate::ring::Ring;
use crate::wire::{Call, ConfigTold, EditTold, KeptAt, ModelTold, Reply, TextTold};
use espalier::{Backlog, Bed, Budget, Nanos};
use fastrand::Rng;
use gleaner::{Advice, Change, Index, Question, Terms};
use hedgerow::{Delta, NodeRow, Pace, Rows};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use trellis::{Document, Edit, Edits, Table, digest_of_text};

/// Rows that are over are remembered so long, and so many of each kind are held at most.
const TOMBSTONE: Nanos = 60_000_000_000;
const MOST_ROWS: usize = 20_000;

/// Rows of one answer to a poll: all pollers ask for everything at once after a start.
const MOST_ROWS_TOLD: usize = 400;
/// Answers that are kept until the rows change, for others that ask the same.
const MOST_ANSWERS: usize = 16;
/// Servers are looked at anew at most so often, since each look walks them all.
const SYNC: Nanos = 5_000_000;
const SYNC_A_SERVER: Nanos = 8_000;

/// Prefixes that a node answers for at most; how long a server's memory of one is counted on; after which a store is
/// told again.
const MOST_PREFIXES: usize = 40_000;
const KEPT: Nanos = 30_000_000_000;
const SAVED_AGAIN: Nanos = 120_000_000_000;
/// A followed server or store tells within so long of what it read.
const TOLD_BY: Nanos = 4_000_000_000;
/// Servers that are kept count of before old counts are dropped.
const MOST_BACKLOGS: usize = 4_096;
/// An owner's answer is waited for so long: reading a prefix anew costs more, but not every time.
const ADVICE: Duration = Duration::from_millis(25);

/// The configuration that this process goes by.
pub struct InForce {
    /// Sequence number of the register; 0 before anything is known.
    pub seq: u64,
    pub version: u64,
    pub text: Rc<str>,
    /// Of the text; 0 before there is one.
    pub digest: u64,
    pub table: Option<Rc<Table>>,
    /// Model, version named, and when that was learnt, less the age it was told with.
    pub models: Vec<(String, u64, Nanos)>,
}

/// Counts news. Who waits is woken in the order of waiting: the library's `watch` wakes in a random one, by which no
/// day of the in-memory fleet is played twice alike.
#[derive(Default)]
struct Changes {
    count: Cell<u64>,
    raised: Notify,
}

/// One that waits for news, from those that it has seen on.
pub struct Watching {
    changes: Rc<Changes>,
    seen: u64,
}

impl Watching {
    pub fn mark_unchanged(&mut self) {
        self.seen = self.changes.count.get();
    }

    pub async fn changed(&mut self) {
        while self.changes.count.get() == self.seen {
            self.changes.raised.notified().await;
        }
        self.mark_unchanged();
    }
}

pub struct Node {
    pub boot: RefCell<Boot>,
    started: Instant,
    pub rows: RefCell<Rows>,
    pub me: RefCell<NodeRow>,
    config: RefCell<Rc<InForce>>,
    /// The last changes of its text, for whoever asks here.
    edits: RefCell<Edits>,
    pub bed: RefCell<Bed>,
    budgets: RefCell<HashMap<String, Budget>>,
    pub net: SharedNet,
    pub links: Rc<Links>,
    /// What waits at the servers that this node keeps count of.
    pub backlogs: RefCell<HashMap<u64, Backlog>>,
    /// Nodes of the core as they were last seen: name, process, silent, leaving.
    core_seen: RefCell<Vec<(String, u64, bool, bool)>>,
    /// Stores as they were last told: by their hash, the number that changes when one comes back empty.
    stores: RefCell<HashMap<u64, u64>>,
    /// The prefixes that this node owns.
    pub index: RefCell<Index>,
    /// Raised with everything that pollers want to hear of.
    changes: Rc<Changes>,
    /// When rows that changed go out, and answers that were made since.
    pace: RefCell<Pace>,
    answers: RefCell<Vec<(u64, Vec<u8>)>>,
    /// How many nodes ask this one.
    pub pollers: Cell<usize>,
    /// Servers were not looked at since rows changed; when they were last.
    unsynced: Cell<bool>,
    synced: Cell<Option<Nanos>>,
    /// When what is left for later is looked at, and who is to do so.
    wake: Cell<Nanos>,
    stirred: Notify,
    /// What is in force was heard from a source in touch with a quorum, or time for that is up.
    pub informed: Cell<bool>,
    pub leaving: Cell<bool>,
    /// When a poll of a source that is in touch last came through.
    pub heard: Cell<Nanos>,
    pub rng: RefCell<Rng>,
    pub ring: Ring,
    /// Client requests that are being worked on.
    pub open: Cell<usize>,
}

impl Node {
    pub fn new(boot: Boot, disk: u64, ring: Ring, net: SharedNet, mut rng: Rng) -> Rc<Node> {
        let internal = boot.internal_of(boot.ip);
        let text = |a: Option<SocketAddr>| a.map(|a| a.to_string()).unwrap_or_default();
        let me = NodeRow {
            name: boot.node_name.clone(),
            internal: internal.to_string(),
            control: text(boot.listen.control),
            zone: boot.zone.clone(),
            region: boot.region.clone(),
            counted: boot.counted,
            front: boot.listen.front.is_some(),
            disk,
            life: 1,
            nonce: rng.u64(1..),
            leaving: false,
            silent: false,
        };
        let mut rows = Rows::new(rng.u64(1..), TOMBSTONE, MOST_ROWS);
        rows.merge_node(me.clone(), 0);
        let bed = Bed::new(version_patience(&boot), rng.fork());
        let none =
            InForce { seq: 0, version: 0, text: "".into(), digest: 0, table: None, models: Vec::new() };
        Rc::new(Node {
            boot: RefCell::new(boot),
            started: Instant::now(),
            rows: RefCell::new(rows),
            me: RefCell::new(me),
            config: RefCell::new(Rc::new(none)),
            edits: RefCell::default(),
            bed: RefCell::new(bed),
            budgets: RefCell::default(),
            links: Links::new(net.clone()),
            backlogs: RefCell::default(),
            core_seen: RefCell::default(),
            stores: RefCell::default(),
            index: RefCell::new(Index::new(Terms {
                most: MOST_PREFIXES,
                keeps: KEPT,
                again: SAVED_AGAIN,
                heard: TOLD_BY,
            })),
            net,
            changes: Rc::default(),
            pace: RefCell::default(),
            answers: RefCell::default(),
            pollers: Cell::new(0),
            unsynced: Cell::new(false),
            synced: Cell::new(None),
            wake: Cell::new(Nanos::MAX),
            stirred: Notify::new(),
            informed: Cell::new(false),
            leaving: Cell::new(false),
            heard: Cell::new(0),
            rng: RefCell::new(rng),
            ring,
            open: Cell::new(0),
        })
    }

    /// Nanoseconds since this process started.
    pub fn now(&self) -> Nanos {
        nanos(self.started.elapsed())
    }

    pub fn jitter(&self, of: Duration) -> Duration {
        of.mul_f64(0.5 + self.rng.borrow_mut().f64())
    }

    pub fn in_force(&self) -> Rc<InForce> {
        self.config.borrow().clone()
    }

    /// What is in force; where nothing is known yet, what is by `until`.
    pub async fn first_config(&self, until: Instant) -> Rc<InForce> {
        let mut changes = self.changes();
        while self.in_force().table.is_none() {
            if timeout_at(until, changes.changed()).await.is_err() {
                break;
            }
        }
        self.in_force()
    }

    pub fn changes(&self) -> Watching {
        Watching { changes: self.changes.clone(), seen: self.changes.count.get() }
    }

    /// Something that pollers want to hear of.
    pub fn changed(&self) {
        self.changes.count.set(self.changes.count.get() + 1);
        self.changes.raised.notify_waiters();
    }

    /// Rows that were heard of here or told by another node.
    pub fn learn(&self, delta: Delta) {
        let now = self.now();
        let changed = self.rows.borrow_mut().merge(delta, now);
        if changed {
            self.refute();
            self.look_at_core();
            self.look_at_stores();
            self.stir();
        }
    }

    /// Rows changed: servers are looked at anew, and pollers told, now or with the next few.
    pub fn stir(&self) {
        self.unsynced.set(true);
        if let Some(due) = self.carry_on()
            && due < self.wake.get()
        {
            self.stirred.notify_one();
        }
    }

    /// Does what is due after a change of rows; gives back when the rest is.
    fn carry_on(&self) -> Option<Nanos> {
        let now = self.now();
        let rows = self.rows.borrow();
        let mut next = None;
        if self.unsynced.get() {
            let gap = SYNC + SYNC_A_SERVER * rows.servers_held() as Nanos;
            let due = self.synced.get().map_or(now, |at| at + gap);
            if due <= now {
                self.bed.borrow_mut().sync(&rows, now);
                self.unsynced.set(false);
                self.synced.set(Some(now));
            } else {
                next = Some(due);
            }
        }
        let due = self.pace.borrow_mut().due(&rows, self.pollers.get(), now);
        match due {
            Some(due) if due <= now => {
                self.pace.borrow_mut().publish(&rows, now);
                self.answers.borrow_mut().clear();
                self.changed();
            }
            Some(due) => next = Some(next.map_or(due, |n| n.min(due))),
            None => {}
        }
        next
    }

    /// Carries out for ever what a change of rows left for later.
    pub async fn carry_out(self: Rc<Self>) {
        loop {
            let due = self.carry_on();
            self.wake.set(due.unwrap_or(Nanos::MAX));
            match due {
                None => self.stirred.notified().await,
                Some(due) => {
                    let left = Duration::from_nanos(due.saturating_sub(self.now()));
                    // Either the time, or something that can't wait as long.
                    let _ = tokio::time::timeout(left, self.stirred.notified()).await;
                }
            }
        }
    }

    /// The rows that a poller with this revision is to be told, packed; None while it has them all.
    pub fn rows_since(&self, epoch: u64, revision: u64) -> Option<Vec<u8>> {
        let rows = self.rows.borrow();
        let up_to = self.pace.borrow().published();
        let from = if epoch == rows.epoch() { revision } else { 0 };
        if epoch == rows.epoch() && from >= up_to {
            return None;
        }
        let mut answers = self.answers.borrow_mut();
        if let Some((_, packed)) = answers.iter().find(|a| a.0 == from) {
            return Some(packed.clone());
        }
        let packed = rows.between(rows.epoch(), from, up_to, MOST_ROWS_TOLD).pack();
        if answers.len() < MOST_ANSWERS {
            answers.push((from, packed.clone()));
        }
        Some(packed)
    }

    /// Others called this node silent, or knew a former process of its name: go above that.
    fn refute(&self) {
        let mut me = self.me.borrow_mut();
        let mut rows = self.rows.borrow_mut();
        let life = rows.life_for(&me);
        if life != me.life {
            me.life = life;
            let now = self.now();
            rows.merge_node(me.clone(), now);
        }
    }

    pub fn say_leaving(&self) {
        self.leaving.set(true);
        let mut me = self.me.borrow_mut();
        me.leaving = true;
        let now = self.now();
        self.rows.borrow_mut().merge_node(me.clone(), now);
        drop(me);
        self.stir();
    }

    /// What was chosen by the configuration's group; an older one than is in force changes nothing. False where it is
    /// a change of another text than the one here.
    pub fn take(&self, told: ConfigTold) -> bool {
        let known = self.in_force();
        let now = self.now();
        let skipped = has(Defect::CatchUpSkips) && known.seq > 0 && told.seq > known.seq + 1;
        if told.seq > known.seq || (has(Defect::OlderTaken) && told.seq != known.seq) {
            let text: Rc<str> = match told.text {
                TextTold::Whole(text) => text.into(),
                TextTold::Edits(edits) => {
                    let apply = |text: Rc<str>, edit| Some(Edit::from(edit).apply(&text)?.into());
                    match edits.into_iter().try_fold(known.text.clone(), apply) {
                        Some(text) => text,
                        None => return false,
                    }
                }
            };
            let table = if told.version == known.version || skipped {
                known.table.clone()
            } else {
                let document = Document { version: told.version, text: planted::half(&text, &known.text) };
                match Table::read(&document) {
                    Ok(table) => Some(Rc::new(table)),
                    Err(why) => {
                        // It was checked before it was chosen: only another release can come here.
                        self.ring
                            .breach(&format!("configuration {} cannot be read here: {why}", told.version));
                        known.table.clone()
                    }
                }
            };
            let digest = digest_of_text(&text);
            if digest != known.digest && self.me.borrow().disk != 0 {
                self.edits.borrow_mut().add(&known.text, &text);
            }
            let models = told.models.iter().map(|m| {
                let since = now.saturating_sub(m.age_ms.saturating_mul(1_000_000));
                let before = known.models.iter().find(|k| k.0 == m.name && k.1 == m.version);
                (m.name.clone(), m.version, before.map_or(since, |k| k.2.min(since)))
            });
            let next = InForce {
                seq: told.seq,
                version: told.version,
                text,
                digest,
                table,
                models: models.collect(),
            };
            *self.config.borrow_mut() = Rc::new(next);
            self.changed();
        }
        let mut bed = self.bed.borrow_mut();
        for model in &told.models {
            bed.versions.told(&model.name, model.version, model.age_ms.saturating_mul(1_000_000), now);
        }
        true
    }

    /// What is in force here, for another node that has the text with this digest.
    pub fn told(&self, digest: u64) -> ConfigTold {
        let (known, now) = (self.in_force(), self.now());
        let model = |(name, version, since): &(String, u64, Nanos)| ModelTold {
            name: name.clone(),
            version: *version,
            age_ms: now.saturating_sub(*since) / 1_000_000,
        };
        ConfigTold {
            seq: known.seq,
            version: known.version,
            text: match self.edits.borrow().since(digest, known.digest) {
                Some(edits) => TextTold::Edits(edits.into_iter().map(EditTold::from).collect()),
                None => TextTold::Whole(known.text.to_string()),
            },
            models: known.models.iter().map(model).collect(),
        }
    }

    /// How many nodes share the retry budget: all that take clients, and those not heard of for a while too, since
    /// they may still spend their part.
    pub fn sharers(&self) -> usize {
        self.rows.borrow().nodes().filter(|n| n.front).count().max(1)
    }

    pub fn budget<T>(&self, service: &str, f: impl FnOnce(&mut Budget, Nanos) -> T) -> T {
        let now = self.now();
        // The slack waits for a window, since a process before this one may have spent it.
        let minted =
            if has(Defect::SlackMinted) { nanos(self.boot.borrow().bounds.budget_window) } else { 0 };
        let now = now + minted;
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let terms = self.boot.borrow().bounds.budget();
            budgets.insert(service.to_owned(), Budget::new(terms, 0, now));
        }
        let table = self.in_force().table.clone();
        // Services that the configuration no longer has leave no counts behind.
        budgets.retain(|s, _| s == service || table.as_ref().is_none_or(|t| t.service(s).is_some()));
        f(budgets.get_mut(service).expect("just put there"), now)
    }

    /// One repeat from this node's part of the budget. In its first window a process has none: the one before it may
    /// have spent all that its requests had earned, and the window that is judged holds both.
    pub fn may_repeat(&self, service: &str) -> bool {
        let window = nanos(self.boot.borrow().bounds.budget_window);
        let settled = self.now() >= window || has(Defect::SlackMinted);
        settled && self.budget(service, |b, now| b.take(self.sharers(), now))
    }

    /// The node that owns a key among those that take clients: None for this one itself.
    fn owner(&self, key: u64) -> Option<SocketAddr> {
        let rows = self.rows.borrow();
        let fit = rows.nodes().filter(|n| n.front && !n.silent && !n.leaving);
        let best = fit.max_by_key(|n| windrow::mix(windrow::hash(n.name.as_bytes()) ^ windrow::mix(key)))?;
        if best.name == self.me.borrow().name { None } else { best.internal.parse().ok() }
    }

    /// Counts a prompt at a server that this node keeps, unless it would wait too long. Gives back how long it would.
    pub fn wait_here(&self, server: u64, token: u64, cost: u32, urgency: u8, most: Nanos) -> Nanos {
        let now = self.now();
        let mut backlogs = self.backlogs.borrow_mut();
        if backlogs.len() > MOST_BACKLOGS {
            backlogs.retain(|_, b| now.saturating_sub(b.used()) < KEPT);
        }
        let backlog = backlogs.entry(server).or_default();
        let wait = backlog.wait(u32::from(urgency), now);
        if wait <= most {
            backlog.sent(token, f64::from(cost), u32::from(urgency), now);
        }
        wait
    }

    pub fn over_here(&self, server: u64, token: u64, began: bool) {
        if let Some(backlog) = self.backlogs.borrow_mut().get_mut(&server) {
            backlog.over(token, began, self.now());
        }
    }

    /// Asks the server's keeper. None where it did not answer: then nothing is known.
    pub async fn wait(&self, server: u64, token: u64, cost: u32, urgency: u8, most: Nanos) -> Option<Nanos> {
        let Some(keeper) = self.owner(server) else {
            return Some(self.wait_here(server, token, cost, urgency, most));
        };
        let most_ms = (most / 1_000_000).min(u64::from(u32::MAX)) as u32;
        match self.links.call(keeper, &Call::Wait { server, token, cost, urgency, most_ms }, ADVICE).await {
            Ok(Reply::Wait { ms }) => Some(u64::from(ms) * 1_000_000),
            _ => None,
        }
    }

    pub fn over(&self, server: u64, token: u64, began: bool) {
        match self.owner(server) {
            None => self.over_here(server, token, began),
            Some(keeper) => self.links.cast(keeper, &Call::Over { server, token, began }),
        }
    }

    /// Whether a key falls to this node.
    pub fn keeps(&self, key: u64) -> bool {
        self.owner(key).is_none()
    }

    /// Whether a store may be named: not while its follower tells that it does not answer.
    pub fn store_is_up(&self, store: u64) -> bool {
        self.stores.borrow().get(&store).is_none_or(|told| *told != 0)
    }

    /// Notices when nodes of the core come, go, or fall silent.
    fn look_at_core(&self) {
        let rows = self.rows.borrow();
        let of = |n: &NodeRow| (n.name.clone(), n.nonce, n.silent, n.leaving);
        let core: Vec<_> = rows.nodes().filter(|n| n.counted && !n.control.is_empty()).map(of).collect();
        let mut known = self.core_seen.borrow_mut();
        if *known != core {
            *known = core;
            self.bed.borrow_mut().versions.core_changed(self.now());
        }
    }

    /// Stores that came back empty have nothing of what they were told to keep.
    fn look_at_stores(&self) {
        let rows = self.rows.borrow();
        let mut stores = self.stores.borrow_mut();
        for note in rows.notes() {
            let Some(address) = note.key.strip_prefix("store/") else { continue };
            let store = windrow::hash(address.as_bytes());
            if stores.insert(store, note.value).is_some_and(|before| before != note.value) {
                self.index.borrow_mut().lost(store);
            }
        }
    }

    /// Asks the owner of a prefix's last part where it is kept. None where it did not answer.
    pub async fn advice(&self, question: Question) -> Option<Advice> {
        let Some(owner) = self.owner(question.key) else {
            return Some(self.index.borrow_mut().ask(question, self.now()));
        };
        let Question { key, server, store } = question;
        match self.links.call(owner, &Call::Prefix { key, server, store }, ADVICE).await {
            Ok(Reply::Prefix { save, held, holders, reader }) => {
                Some(Advice { save, held, holders: holders.0, reader })
            }
            _ => None,
        }
    }

    /// What a source keeps now of parts that this node owns.
    pub fn kept_here(&self, source: u64, void: bool, rows: &[KeptAt]) {
        let now = self.now();
        let mut index = self.index.borrow_mut();
        if void {
            index.lost(source);
        }
        rows.iter().for_each(|row| index.told(source, row.key, row.tokens, now));
    }

    /// Tells the owners of parts what a source keeps of them now. `void`: nothing else that was told of it holds.
    pub fn tell_kept(&self, source: &mut gleaner::Source, name: u64, void: bool) {
        let owners = self.owners();
        let set = owners.iter().fold(0, |set, o| windrow::mix(set ^ o.0 ^ windrow::mix(o.1)));
        let place = |key: u64| {
            let score = |o: &(u64, u64, Option<SocketAddr>)| windrow::mix(o.0 ^ windrow::mix(key));
            (0..owners.len()).max_by_key(|&i| score(&owners[i])).unwrap_or(0) as u64
        };
        let mut changes = source.tell(set, place);
        if void {
            (0..owners.len() as u64).for_each(|place| {
                changes.entry(place).or_default();
            });
        }
        for (place, rows) in changes {
            let Some((_, _, address)) = owners.get(place as usize) else { continue };
            let row = |c: &Change| KeptAt { key: c.key, tokens: c.tokens };
            let rows: Vec<KeptAt> = rows.iter().map(row).collect();
            match address {
                None => self.kept_here(name, void, &rows),
                Some(address) => {
                    self.links.cast(*address, &Call::Kept { source: name, void, rows: rows.into() });
                }
            }
        }
    }

    /// The nodes among which keys are cut: hash of the name, process, and where it is (None: here).
    fn owners(&self) -> Vec<(u64, u64, Option<SocketAddr>)> {
        let own = self.me.borrow().name.clone();
        let rows = self.rows.borrow();
        let fit = rows.nodes().filter(|n| n.front && !n.silent && !n.leaving);
        let all = fit.filter_map(|n| {
            let address = if n.name == own { None } else { Some(n.internal.parse().ok()?) };
            Some((windrow::hash(n.name.as_bytes()), n.nonce, address))
        });
        all.collect()
    }

    /// Nodes that keep the control state, as far as they are known: name and where their internal door is.
    pub fn core(&self) -> Vec<(String, SocketAddr)> {
        let rows = self.rows.borrow();
        let address = |n: &NodeRow| Some((n.name.clone(), n.internal.parse().ok()?));
        let counted = || rows.nodes().filter(|n| n.counted && !n.control.is_empty());
        if counted().next().is_some() {
            counted().filter_map(address).collect()
        } else {
            rows.nodes().filter(|n| !n.control.is_empty()).filter_map(address).collect()
        }
    }
}

/// After that much of `version_ms` nothing begins on older weights: what is told late, and the way to the server,
/// have the rest.
fn version_patience(boot: &Boot) -> Nanos {
    nanos(boot.bounds.version.mul_f64(0.75))
}
