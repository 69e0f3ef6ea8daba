//! The life of a process: doors open, tasks started, signals heeded, an end without loss.
use crate::boot::Boot;
use crate::control::{self, Control, NoChange};
use crate::doors::{self, Matcher};
use crate::front::{self, Stage};
use crate::http::{Answer, Request};
use crate::links;
use crate::net::{Door, Net, SharedNet};
use crate::node::Node;
use crate::polls;
use crate::registry::Registry;
use crate::ring::Ring;
use crate::statute::Change;
use crate::weights;
use crate::wire::{Call, Reply, Told};
use fastrand::Rng;
use gleaner::Question;
use hedgerow::Delta;
use nanoserde::SerBin;
use rootstock::{Member, Outcome};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use trug::Blob;

/// An operator's call waits a second for an answer; a change has this much of it.
const PATIENCE: Duration = Duration::from_millis(900);
/// The platform looks every second and believes the second miss: until then clients still come.
const NOTICED: Duration = Duration::from_millis(2_300);

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("cannot listen at {address} ({why}): free the port or change listen_addresses")]
    Listen { address: SocketAddr, why: String },
    #[error("this role needs {0}: use a machine class and serves that give it")]
    Role(&'static str),
    #[error("signals cannot be heeded: {0}")]
    Signals(std::io::Error),
}

/// Which doors a role opens beside the one for nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients, and servers and operators where the settings say so.
    Proxy,
    /// Takes servers and operators only.
    Control,
}

fn listener(net: &dyn Net, address: SocketAddr) -> Result<Box<dyn Door>, RunError> {
    net.listen(address).map_err(|e| RunError::Listen { address, why: e.to_string() })
}

struct House {
    node: Rc<Node>,
    control: Option<Rc<Control>>,
    registry: Registry,
}

/// Runs until told to end.
pub async fn run(role: Role, boot: Boot, ring: Ring, net: SharedNet, rng: Rng) -> Result<(), RunError> {
    if role == Role::Proxy && boot.listen.front.is_none() {
        return Err(RunError::Role("listen_addresses.front_http"));
    }
    if role == Role::Control && boot.listen.control.is_none() {
        return Err(RunError::Role("listen_addresses.control_plane"));
    }
    let front = boot.listen.front.filter(|_| role == Role::Proxy).map(|a| listener(&*net, a)).transpose()?;
    let readiness = boot.listen.readiness.map(|a| listener(&*net, a)).transpose()?;
    let control_door = boot.listen.control.map(|a| listener(&*net, a)).transpose()?;
    let internal = listener(&*net, boot.internal_of(boot.ip))?;
    let mut term = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut hup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let keeps = boot.listen.control.is_some();
    let data = boot.data.clone().filter(|_| keeps);
    let kept = control::open(data.as_deref(), &ring);
    let first = boot.first_start;
    let founder = boot.seeds.first().is_none_or(|s| s.ip() == boot.ip);
    let grace = boot.bounds.grace;
    let most = (boot.open_files.saturating_sub(300) * 6 / 10) as usize;
    let (path, contact) = (boot.path.clone(), boot.bounds.contact);
    let in_core = keeps && (boot.counted || data.is_some());
    let disk = if in_core { kept.disk } else { 0 };
    let node = Node::new(boot, disk, ring, net, rng);
    if let Some(rows) = kept.rows.as_deref().and_then(trug::read::<Delta>) {
        node.learn(rows);
    }
    let control = in_core.then(|| Control::start(node.clone(), kept));
    if let Some(control) = &control {
        weights::start(node.clone(), control.clone());
    }
    let house = Rc::new(House { node: node.clone(), control, registry: Registry::default() });
    let answering = house.clone();
    spawn_local(links::serve(internal, move |peer, call| answer(answering.clone(), peer, call)));
    polls::start(node.clone(), in_core);
    if first && founder {
        spawn_local(control::found(node.clone()));
    }
    if let Some(listener) = control_door {
        spawn_local(doors::listen(listener, Rc::new(tree(&house))));
    }
    if let Some(listener) = readiness {
        let node = node.clone();
        let ready = Matcher::default().on("GET", "/api/readiness", move |_, _| {
            let ready = is_ready(&node);
            async move { if ready { Answer::plain(200, "ready") } else { Answer::plain(503, "not ready") } }
        });
        spawn_local(doors::listen(listener, Rc::new(ready)));
    }
    let (stage, staged) = watch::channel(Stage::Serving);
    if let Some(listener) = front {
        spawn_local(front::listen(node.clone(), listener, staged, most));
    }
    spawn_local(keep_house(house.clone()));
    spawn_local(probe(node.clone()));
    spawn_local(without_quorum(node.clone(), contact));
    let changed = Rc::new(Cell::new(modified(&path)));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reread(&node, &path),
            () = tokio::time::sleep(Duration::from_secs(1)) => {
                // The file may change without a signal.
                let at = modified(&path);
                if at != changed.replace(at) {
                    reread(&node, &path);
                }
            }
        }
    }
    leave(&node, &stage, grace).await;
    Ok(())
}

fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Seeds may be others now; the rest of what a process is told holds for its life.
fn reread(node: &Node, path: &PathBuf) {
    match Boot::read(path) {
        Ok(next) => node.boot.borrow_mut().seeds = next.seeds,
        Err(why) => log::warn!("settings left as they were: {why}"),
    }
}

/// Readiness first; all that was taken is answered; resting connections go last.
async fn leave(node: &Rc<Node>, stage: &watch::Sender<Stage>, grace: Duration) {
    let began = Instant::now();
    stage.send_replace(Stage::Leaving);
    node.say_leaving();
    let last = grace.saturating_sub(Duration::from_millis(600));
    tokio::time::sleep(NOTICED.min(last / 2)).await;
    stage.send_replace(Stage::Closing);
    let mut quiet = 0;
    while began.elapsed() < last {
        tokio::time::sleep(Duration::from_millis(50)).await;
        quiet = if node.open.get() == 0 { quiet + 1 } else { 0 };
        if quiet >= 6 {
            return;
        }
    }
    node.ring.breach(&format!("{} requests were still open at the end of the grace period", node.open.get()));
}

fn is_ready(node: &Node) -> bool {
    node.informed.get() && !node.leaving.get() && node.in_force().table.is_some()
}

/// Where no source in touch with a quorum is heard of for long, what is known has to do.
async fn without_quorum(node: Rc<Node>, contact: Duration) {
    loop {
        tokio::time::sleep(contact).await;
        if !node.informed.get() && node.in_force().table.is_some() {
            node.ring.breach("no quorum of the control state is heard of: serving with what is known here");
            node.informed.set(true);
        }
    }
}

/// Small duties: silent servers and nodes, tombstones, rows kept for the next start.
async fn keep_house(house: Rc<House>) {
    let mut kept = 0;
    let mut rounds = 0u32;
    loop {
        tokio::time::sleep(house.node.jitter(Duration::from_millis(250))).await;
        rounds += 1;
        let node = &house.node;
        house.registry.look(node, house.control.is_some());
        let now = node.now();
        if let Some(control) = &house.control {
            control.watch();
            let revision = node.rows.borrow().revision();
            if rounds.is_multiple_of(4) && revision != kept {
                kept = revision;
                control.keep_rows(node.rows.borrow().since(0, 0).serialize_bin());
            }
        }
        if rounds.is_multiple_of(16) {
            node.rows.borrow_mut().sweep(now);
            node.bed.borrow_mut().sync(&node.rows.borrow());
        }
    }
}

/// Tries servers that could not be reached, until one connection comes up.
async fn probe(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = node.now();
        let due = node.bed.borrow_mut().probes(now);
        for ix in due {
            let Some(address) = node.bed.borrow().get(ix).map(|s| s.address) else { continue };
            let node = node.clone();
            spawn_local(async move {
                let dialled = timeout(Duration::from_millis(500), node.net.dial(address)).await;
                let same = node.bed.borrow().get(ix).is_some_and(|s| s.address == address);
                if matches!(dialled, Ok(Ok(_))) && same {
                    node.bed.borrow_mut().reached(ix);
                }
            });
        }
    }
}

/// Answers another node.
async fn answer(house: Rc<House>, _peer: SocketAddr, call: Call) -> Option<Reply> {
    let node = &house.node;
    match call {
        Call::Poll(poll) => {
            if let Some(control) = &house.control {
                control.heard_of(&poll.node.name);
                control.polled(&poll.node.name);
            }
            node.learn(Delta { nodes: vec![poll.node].into(), ..Delta::default() });
            let mut changes = node.changes();
            let until = Instant::now() + Duration::from_millis(u64::from(poll.hold_ms.min(5_000)));
            loop {
                changes.mark_unchanged();
                let delta = node.rows.borrow().since(poll.epoch, poll.revision);
                let known = node.in_force();
                let news = known.seq > poll.config_seq;
                let late = Instant::now() >= until;
                if news || !delta.is_empty() || late || delta.epoch != poll.epoch {
                    let in_touch = house.control.as_ref().is_some_and(|c| c.in_touch());
                    let config = news.then(|| node.told());
                    return Some(Reply::Told(Told { delta, config, in_touch }));
                }
                // Either news, or the end of the hold.
                let _ = tokio::time::timeout_at(until, changes.changed()).await;
            }
        }
        Call::Tell(delta) => {
            node.learn(delta);
            Some(Reply::Done)
        }
        Call::Part { part, disk, name, address, message } => {
            if let Some(control) = &house.control {
                control.heard_of(&name);
                control.heard(part, Member { disk, name, address }, &message);
            }
            None
        }
        Call::Change { part, change, patience_ms } => {
            let Some(control) = house.control.as_ref().filter(|c| c.is_member()) else {
                return Some(Reply::NotChanged("this node keeps no part of the control state".into()));
            };
            let patience = Duration::from_millis(u64::from(patience_ms.min(10_000)));
            Some(match control.change_here(part, change.0, patience).await {
                Outcome::Answered(answer) => Reply::Changed(Blob(answer)),
                Outcome::Refused(why) => Reply::NotChanged(why.to_string()),
                Outcome::Unknown => Reply::Unknown,
            })
        }
        Call::Prefix { prefix, server, store } => {
            let advice = node.index.borrow_mut().ask(Question { prefix, server, store }, node.now());
            Some(Reply::Prefix { save: advice.save, stored: advice.stored, reader: advice.reader })
        }
        Call::Wait { server, token, cost, urgency, most_ms } => {
            let wait = node.wait_here(server, token, cost, urgency, u64::from(most_ms) * 1_000_000);
            Some(Reply::Wait { ms: (wait / 1_000_000).min(u64::from(u32::MAX)) as u32 })
        }
        Call::Over { server, token, began } => {
            node.over_here(server, token, began);
            None
        }
        Call::Found { records } => {
            let taken = house.control.as_ref().is_some_and(|c| c.take_record(&records));
            Some(if taken { Reply::Done } else { Reply::No("this node can't be a founder".into()) })
        }
    }
}

/// The calls of servers and operators.
fn tree(house: &Rc<House>) -> Matcher {
    let with = |f: fn(Rc<House>, Rc<Request>, Vec<String>) -> doors::Answering| {
        let house = house.clone();
        move |request, words| f(house.clone(), request, words)
    };
    Matcher::default()
        .on("PUT", "/api/instances/*", with(|h, r, w| Box::pin(beat(h, r, w))))
        .on("DELETE", "/api/instances/*", with(|h, _, w| Box::pin(gone(h, w))))
        .on("PUT", "/api/config", with(|h, r, _| Box::pin(config(h, r, false))))
        .on("PATCH", "/api/config", with(|h, r, _| Box::pin(config(h, r, true))))
        .on("GET", "/api/config", with(|h, _, _| Box::pin(change(h, Change::Get))))
        .on("POST", "/api/version-put", with(|h, r, _| Box::pin(name_version(h, r))))
        .on("GET", "/api/status", with(|h, _, _| Box::pin(status(h))))
}

async fn beat(house: Rc<House>, request: Rc<Request>, words: Vec<String>) -> Answer {
    let id = words.first().map(String::as_str).unwrap_or_default();
    house.registry.beat(&house.node, house.control.as_ref(), id, &request.body).await
}

async fn gone(house: Rc<House>, words: Vec<String>) -> Answer {
    house.registry.leave(&house.node, words.first().map(String::as_str).unwrap_or_default()).await
}

async fn config(house: Rc<House>, request: Rc<Request>, patch: bool) -> Answer {
    if request.body.len() > trellis::MAX_BYTES {
        return Answer::plain(413, "a configuration is at most 8 MiB: split the change");
    }
    let if_match = request.head.fields.text("if-match").map(|m| m.trim().trim_matches('"'));
    let if_match = match if_match.map(str::parse::<u64>) {
        Some(Err(_)) => {
            return Answer::plain(400, "If-Match is the number of the version that this builds on");
        }
        Some(Ok(number)) => Some(number),
        None => None,
    };
    let body = Blob(request.body.to_vec());
    let made = if patch { Change::Patch { if_match, body } } else { Change::Put { if_match, body } };
    change(house, made).await
}

#[derive(miniserde::Deserialize)]
struct NameVersion {
    model: String,
    version: u64,
}

async fn name_version(house: Rc<House>, request: Rc<Request>) -> Answer {
    let text = std::str::from_utf8(&request.body).unwrap_or_default();
    match miniserde::json::from_str::<NameVersion>(text) {
        Ok(named) => change(house, Change::Name { model: named.model, version: named.version }).await,
        Err(_) => Answer::plain(400, "a version is named by JSON with model and version"),
    }
}

/// One change of the configuration's part, and what it came to.
async fn change(house: Rc<House>, change: Change) -> Answer {
    let get = matches!(change, Change::Get);
    let bytes = control::encode(&change);
    match control::change(&house.node, house.control.as_ref(), control::CONFIG, bytes, PATIENCE).await {
        Ok(answer) => match control::verdict(&answer) {
            Some(verdict) if get && verdict.status == 200 => Answer::json(200, verdict.text),
            Some(verdict) => Answer::plain(verdict.status, verdict.text),
            None => Answer::plain(500, "the answer is of another release: bring all nodes to one"),
        },
        Err(NoChange::NotMade(why)) => {
            Answer { body: why, ..Answer::later(house.node.jitter(Duration::from_millis(150))) }
        }
        Err(NoChange::Unknown) => Answer::plain(
            504,
            "no quorum answered in time: the change may be in force or not; send it again unchanged",
        ),
    }
}

async fn status(house: Rc<House>) -> Answer {
    Answer::json(200, crate::status::show(&house.node, house.control.as_ref()))
}
