//! Bringing servers to the version of weights that was named: a duty that one node holds for each part of the services.
//!
//! The holder has a lease with a fencing token from the part's register. Before each order it renews the lease by a
//! quorum's word and looks at its own steady clock last thing before the bytes leave: an order of a holder that was
//! frozen or replaced meanwhile stays unsent.
use crate::boot::nanos;
use crate::control::{self, Control, LEASE_SHARDS, shard_of};
use crate::metrics::count;
use crate::net::Net;
use crate::node::Node;
use crate::planted::{Defect, has};
use crate::upstream::{Sent, Upstream};
use bytes::Bytes;
use miniserde::{Deserialize, json};
use sparrouter_consensus::lease::{Holder, LeaseAnswer, LeaseChange};
use sparrouter_http::head;
use sparrouter_http::reading;
use sparrouter_membership::{Delta, Note, Standing};
use sparrouter_routing::{Server, Wanted};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Servers that are asked at most before the work begins.
const MOST_LOOKED: usize = 64;
/// Between two looks at what there is to do.
const LOOK: Duration = Duration::from_millis(60);
/// A call to a server, and to a part, may take so long.
const CALL: Duration = Duration::from_millis(700);
/// Other nodes have heard by then that nothing new goes to a server.
const SPREAD: Duration = Duration::from_millis(40);
/// Between two looks at a server that is taking new weights.
const REPORT: Duration = Duration::from_millis(250);
/// Servers of a service that take new weights at a time: at least so many, at most this part of them while the others
/// still serve.
const AT_ONCE: usize = 2;
const AT_MOST_PART: usize = 3;
/// What one takes until that was seen, in seconds: its runs finish first.
const FIRST_GUESS: f64 = 1.2;
/// A lease that was renewed so long ago is renewed before a server is stopped for an order.
const FRESH: Duration = Duration::from_millis(400);

#[derive(Deserialize)]
struct ModelReport {
    name: String,
    version: u64,
}

#[derive(Deserialize)]
struct Report {
    models: Vec<ModelReport>,
    is_busy: bool,
    queued: u32,
    running: u32,
    call_sequence: u64,
}

/// The lease of one part at this node.
#[derive(Clone, Copy)]
struct Held {
    fence: u64,
    /// Nothing is ordered before.
    from: u64,
}

/// A service's servers that run an older version: id, address, own requests in flight; and how many there are in all.
struct Behind {
    old: Vec<(String, SocketAddr, u32)>,
    all: usize,
}

struct Duty {
    node: Rc<Node>,
    control: Rc<Control>,
    part: u16,
    held: Cell<Option<Held>>,
    /// Servers that are being brought to a version.
    busy: RefCell<HashSet<String>>,
    /// Those that come next, with their model.
    next: RefCell<HashSet<(String, String)>>,
    notes: Cell<u64>,
    /// Seconds that a server takes, in the mean of late.
    takes: Cell<f64>,
    /// When the lease was last renewed.
    renewed: Cell<u64>,
    /// What servers run and have waiting, as they told when the work on a version began.
    loads: RefCell<HashMap<String, u32>>,
    looked_for: RefCell<Option<(String, u64)>>,
}

/// Holds this node's duties for as long as it runs.
pub fn start(node: Rc<Node>, control: Rc<Control>) {
    for part in 1..=LEASE_SHARDS {
        let duty = Rc::new(Duty {
            node: node.clone(),
            control: control.clone(),
            part,
            held: Cell::new(None),
            busy: RefCell::default(),
            next: RefCell::default(),
            notes: Cell::new(0),
            takes: Cell::new(FIRST_GUESS),
            renewed: Cell::new(0),
            loads: RefCell::default(),
            looked_for: RefCell::default(),
        });
        spawn_local(duty.run());
    }
}

impl Duty {
    fn holder(&self) -> Holder {
        let me = self.node.me.borrow();
        // A process that starts anew on its machine is the same holder: the one before it has ended for certain. On
        // another machine it is another.
        Holder {
            name: format!("{}@{}", me.name, me.internal),
            life: 0,
        }
    }

    fn lease(&self) -> Duration {
        self.node.boot.borrow().bounds.lease
    }

    async fn part_change(&self, change: &LeaseChange, patience: Duration) -> Option<LeaseAnswer> {
        let made = control::change(
            &self.node,
            Some(&self.control),
            self.part,
            change.encode(),
            patience,
        )
        .await;
        LeaseAnswer::decode(&made.ok()?.answer)
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.node.jitter(LOOK)).await;
            let mine = self.control.is_first(self.part)
                && self.control.has_quorum_contact()
                && !self.node.leaving.get();
            match (mine, self.held.get()) {
                (true, None) => self.acquire().await,
                (false, Some(held)) if self.busy.borrow().is_empty() => self.release(held).await,
                (true, Some(held)) if self.node.now() >= held.from => {
                    self.clear(held);
                    if self.has_work() && self.sure(held).await {
                        self.look().await;
                        self.clone().work(held);
                    }
                }
                _ => {}
            }
        }
    }

    /// Takes the lease under a new fencing token, as a quorum confirms it. Neither the disk nor memory of an earlier
    /// process gives a token.
    async fn acquire(&self) {
        if has(Defect::FenceFromDisk) && self.take_from_disk() {
            return;
        }
        let span = nanos(self.lease());
        let change = LeaseChange::Acquire {
            holder: self.holder(),
            span,
        };
        match self.part_change(&change, CALL).await {
            Some(LeaseAnswer::Acquired { fence, wait }) => {
                // A tenth more, for clocks that run unlike.
                let from = self.node.now() + wait + wait / 10;
                let held = Held { fence, from };
                self.held.set(Some(held));
                self.clear(held);
            }
            _ => tokio::time::sleep(self.node.jitter(LOOK * 4)).await,
        }
    }

    /// Planted: believes the lease that the disk has.
    fn take_from_disk(&self) -> bool {
        let lease = self.control.unconfirmed_lease(self.part);
        let Some(lease) = lease.filter(|l| l.holder.as_ref() == Some(&self.holder())) else {
            return false;
        };
        let from = self.node.now();
        let fence = lease.fence;
        self.held.set(Some(Held { fence, from }));
        true
    }

    /// What holders before this one told of servers and did not take back: nobody is at work there any more.
    fn clear(&self, held: Held) {
        let left: Vec<Note> = {
            let (rows, server_table) = (self.node.rows.borrow(), self.node.server_table.borrow());
            let mine = |key: &str| {
                let id = key.split('/').nth(1).unwrap_or_default();
                let server = server_table.find(id).and_then(|ix| server_table.get(ix));
                server.is_some_and(|s| shard_of(&s.service) == self.part)
            };
            let kind = |key: &str| key.starts_with("load/") || key.starts_with("soon/");
            let left = rows
                .notes()
                .filter(|n| !n.over && n.fence < held.fence && kind(&n.key) && mine(&n.key));
            left.cloned().collect()
        };
        for note in left {
            let over = Note {
                fence: held.fence,
                number: 0,
                value: 0,
                over: true,
                ..note
            };
            self.node.learn(Delta {
                notes: vec![over].into(),
                ..Delta::default()
            });
        }
    }

    async fn release(&self, held: Held) {
        self.held.set(None);
        self.next.borrow_mut().clear();
        let waited = self.node.now() >= held.from;
        let change = LeaseChange::Release {
            holder: self.holder(),
            fence: held.fence,
            waited,
        };
        // Unheard, the lease runs out by itself.
        self.part_change(&change, CALL).await;
    }

    fn has_work(&self) -> bool {
        let server_table = self.node.server_table.borrow();
        let old = |s: &Server, model: &str, version: u64| {
            shard_of(&s.service) == self.part && s.version_of(model).is_some_and(|v| v < version)
        };
        let in_force = self.node.in_force();
        let work = in_force
            .models
            .iter()
            .any(|m| server_table.all().any(|(_, s)| old(s, &m.0, m.1)));
        if !work {
            self.next.borrow_mut().clear();
        }
        work
    }

    /// Whether the lease is this node's for certain, by a word of a quorum not long ago.
    async fn sure(&self, held: Held) -> bool {
        if self.node.now().saturating_sub(self.renewed.get()) < nanos(FRESH) {
            return true;
        }
        self.renew(held).await
    }

    async fn renew(&self, held: Held) -> bool {
        let began = self.node.now();
        if has(Defect::LeaseUnrenewed) || has(Defect::FenceFromDisk) {
            self.renewed.set(began);
            return true;
        }
        let renew = LeaseChange::Renew {
            holder: self.holder(),
            fence: held.fence,
        };
        match self.part_change(&renew, CALL).await {
            Some(LeaseAnswer::Renewed) => {
                self.renewed.set(began);
                true
            }
            Some(LeaseAnswer::Refused { .. }) => {
                self.held.set(None);
                false
            }
            _ => false,
        }
    }

    /// Asks all servers once, when the work on a version begins, how much they have to finish: the idle go first.
    async fn look(&self) {
        let in_force = self.node.in_force();
        let newest = in_force
            .models
            .iter()
            .max_by_key(|m| m.2)
            .map(|m| (m.0.clone(), m.1));
        if newest.is_none() || *self.looked_for.borrow() == newest {
            return;
        }
        *self.looked_for.borrow_mut() = newest;
        let servers: Vec<(String, SocketAddr)> = {
            let server_table = self.node.server_table.borrow();
            let mine = server_table
                .all()
                .filter(|(_, s)| shard_of(&s.service) == self.part && !s.models().is_empty());
            mine.take(MOST_LOOKED)
                .map(|(_, s)| (s.id.clone(), s.address))
                .collect()
        };
        let mut asked = Vec::new();
        for (id, address) in servers {
            let net = self.node.net.clone();
            asked.push((id, spawn_local(async move { report(&*net, address).await })));
        }
        let mut loads = HashMap::new();
        for (id, answer) in asked {
            if let Ok(Some(report)) = answer.await {
                loads.insert(id, report.running + report.queued);
            }
        }
        *self.loads.borrow_mut() = loads;
    }

    /// Begins with as many servers as may be without service at a time.
    fn work(self: Rc<Self>, held: Held) {
        let now = self.node.now();
        for (model, version, since) in &self.node.in_force().models {
            let version = *version;
            // From then on what is still old takes nothing new, and so loses nothing by being ordered.
            let wanted = Wanted {
                version,
                since: *since,
            };
            let left = self
                .node
                .server_table
                .borrow()
                .versions
                .until(wanted)
                .saturating_sub(now);
            let mut services: Vec<Behind> = Vec::new();
            {
                let server_table = self.node.server_table.borrow();
                let mut names: Vec<&str> = server_table
                    .all()
                    .map(|(_, s)| s.service.as_str())
                    .collect();
                names.sort_unstable();
                names.dedup();
                for name in names.into_iter().filter(|n| shard_of(n) == self.part) {
                    let there = || {
                        server_table
                            .of(name)
                            .filter(|(_, s)| s.standing() == Standing::Ready && !s.silent())
                    };
                    let old =
                        there().filter(|(_, s)| s.version_of(model).is_some_and(|v| v < version));
                    let old = old
                        .map(|(_, s)| (s.id.clone(), s.address, s.in_flight()))
                        .collect();
                    services.push(Behind {
                        old,
                        all: there().count(),
                    });
                }
            }
            for Behind { mut old, all } in services {
                let needed = old.len() as f64 * self.takes.get() / (left as f64 / 1e9).max(0.01);
                let most = AT_ONCE.max((needed.ceil() as usize).min(all.div_ceil(AT_MOST_PART)));
                let under_way = old
                    .iter()
                    .filter(|o| self.busy.borrow().contains(&o.0))
                    .count();
                old.retain(|o| !self.busy.borrow().contains(&o.0));
                // The least busy are done soonest.
                let next = |id: &str| self.next.borrow().contains(&(id.to_owned(), model.clone()));
                let load = |id: &str| self.loads.borrow().get(id).copied().unwrap_or(u32::MAX);
                old.sort_by_key(|o| (!next(&o.0), load(&o.0), o.2));
                let begin = most.saturating_sub(under_way).min(old.len());
                for (id, _, _) in old.iter().skip(begin).take(most) {
                    if self.next.borrow_mut().insert((id.clone(), model.clone())) {
                        self.tell(held, "soon", id, model, version, false);
                    }
                }
                for (id, address, _) in old.into_iter().take(begin) {
                    self.busy.borrow_mut().insert(id.clone());
                    let (duty, model) = (self.clone(), model.clone());
                    spawn_local(async move {
                        duty.bring(held, &id, address, &model, version).await;
                        duty.busy.borrow_mut().remove(&id);
                    });
                }
            }
        }
    }

    /// Tells all nodes what this server is about.
    fn tell(&self, held: Held, kind: &str, id: &str, model: &str, version: u64, over: bool) {
        let number = self.notes.get() + 1;
        self.notes.set(number);
        let key = format!("{kind}/{id}/{model}");
        let note = Note {
            key,
            fence: held.fence,
            number,
            value: version,
            over,
        };
        self.node.learn(Delta {
            notes: vec![note].into(),
            ..Delta::default()
        });
    }

    /// One server to one version: nothing new to it, one order, until it is done.
    async fn bring(&self, held: Held, id: &str, address: SocketAddr, model: &str, version: u64) {
        self.tell(held, "load", id, model, version, false);
        tokio::time::sleep(SPREAD).await;
        let mut expected = None;
        let mut done = false;
        let began = self.node.now();
        let longest = nanos(self.node.boot.borrow().bounds.version) * 2;
        let mut ordered = false;
        while self.still(held, id, model, version) && self.node.now() - began < longest {
            if !ordered {
                ordered = match self
                    .order(held, id, address, model, version, expected)
                    .await
                {
                    Some(200..=299) => true,
                    // Fenced off: another holds the lease.
                    Some(412) => break,
                    Some(421) => {
                        self.is_gone(id);
                        break;
                    }
                    // No word of a quorum: the server is worth more serving than waiting.
                    None if expected.is_none()
                        && self.node.now().saturating_sub(self.renewed.get())
                            > nanos(FRESH * 2) =>
                    {
                        break;
                    }
                    _ => false,
                };
            }
            tokio::time::sleep(self.node.jitter(REPORT)).await;
            let Some(report) = report(&*self.node.net, address).await else {
                continue;
            };
            if report
                .models
                .iter()
                .any(|m| m.name == model && m.version >= version)
                && !report.is_busy
            {
                done = true;
                break;
            }
            if !ordered && report.is_busy {
                // The order that got no answer was taken after all.
                ordered = true;
            }
            expected = Some(report.call_sequence);
        }
        if done {
            let took = (self.node.now() - began) as f64 / 1e9;
            self.takes.set(0.7 * self.takes.get() + 0.3 * took);
        }
        if self
            .next
            .borrow_mut()
            .remove(&(id.to_owned(), model.to_owned()))
        {
            self.tell(held, "soon", id, model, version, true);
        }
        self.tell(
            held,
            "load",
            id,
            model,
            if done { version } else { 0 },
            true,
        );
    }

    /// Another server has its address: it counts as silent until it is heard of again.
    fn is_gone(&self, id: &str) {
        let now = self.node.now();
        let mut rows = self.node.rows.borrow_mut();
        if rows.fall_silent(id, now) {
            self.node.server_table.borrow_mut().sync(&rows, now);
        }
    }

    fn still(&self, held: Held, id: &str, model: &str, version: u64) -> bool {
        let wanted = self
            .node
            .in_force()
            .models
            .iter()
            .any(|m| m.0 == model && m.1 == version);
        let there = self
            .node
            .rows
            .borrow()
            .server(id)
            .is_some_and(|s| s.standing == Standing::Ready && !s.silent);
        wanted && there && self.held.get().is_some_and(|h| h.fence == held.fence)
    }

    /// Sends the order; gives back the status. None where there was no answer, or it was not sent.
    async fn order(
        &self,
        held: Held,
        id: &str,
        address: SocketAddr,
        model: &str,
        version: u64,
        expected: Option<u64>,
    ) -> Option<u16> {
        let mut link = Upstream::dial(&*self.node.net, address).await?;
        let began = self.node.now();
        if !self.renew(held).await {
            return None;
        }
        let holder = self.holder().name;
        let count = expected
            .map(|n| format!(",\"expected_count\":{n}"))
            .unwrap_or_default();
        let body = format!(
            "{{\"operation\":\"version\",\"model\":\"{model}\",\"version\":{version},\"method\":\"queue\",\
             \"holder_id\":\"{holder}\",\"fence_token\":{}{count}}}",
            held.fence
        );
        // Guards against a restarted server, or another one that has its address: both take an order without it.
        let instance = if has(Defect::OrderUnnamed) {
            String::new()
        } else {
            format!("Sparrouter-Expected-Instance: {id}\r\n")
        };
        let head = format!(
            "POST /api/order HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n{instance}\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        // Last thing before it leaves: a freeze may lie behind any wait.
        if self.node.now().saturating_sub(began) > nanos(self.lease()) / 3
            || self.node.leaving.get()
        {
            return None;
        }
        if link.send(&Bytes::from(head), &Bytes::from(body)).await == Sent::Nothing {
            return None;
        }
        let status = answer(&mut link).await.map(|answer| answer.0);
        self.record_order(held, id, model, version, status);
        status
    }
}

impl Duty {
    fn record_order(&self, held: Held, id: &str, model: &str, version: u64, status: Option<u16>) {
        let counters = &self.node.counters;
        count(match status {
            Some(200..=299) => &counters.orders_taken,
            Some(_) => &counters.orders_declined,
            None => &counters.orders_unanswered,
        });
        log::info!(
            "ordered {id} to version {version} of {model} under {}: {status:?}",
            held.fence
        );
    }
}

/// Status and body of a server's answer to a call of ours.
async fn answer(link: &mut Upstream) -> Option<(u16, Bytes)> {
    let reading = async {
        let bytes = reading::head(&mut link.stream, &mut link.buffer, head::REPLY, 16 << 10)
            .await
            .ok()?;
        let head = head::reply(&bytes).ok()?;
        let body = crate::http::body(&mut link.stream, &mut link.buffer, head.framing, 1 << 20)
            .await
            .ok()??;
        Some((head.status, body))
    };
    timeout(CALL, reading).await.ok()?
}

async fn report(net: &dyn Net, address: SocketAddr) -> Option<Report> {
    let mut link = Upstream::dial(net, address).await?;
    let head = format!("GET /api/report HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if link.send(&Bytes::from(head), &Bytes::new()).await == Sent::Nothing {
        return None;
    }
    let (status, body) = answer(&mut link).await?;
    if status != 200 {
        return None;
    }
    json::from_str(std::str::from_utf8(&body).ok()?).ok()
}
