//! A peer's actor, one for each cache server and the origin: carries out what the module has decided,
//! and reports how each forward ended, exactly once.
use super::Told;
use crate::counted::Often;
use crate::protocol::head::ReplyHead;
use crate::protocol::messages::{self, Invocation};
use crate::transport::budget::{Body, Room};
use crate::transport::link::Link;
use crate::transport::pool::Pool;
use crate::transport::reading::Broken;
use bytes::Bytes;
use sparrouter::types::{CacheIx, InvIx, Note, Outcome};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

pub enum Order {
    Forward(Forward),
    Withdraw { inv: InvIx, copy: usize },
    Probe,
    Listed { endpoint: SocketAddr, wanted: bool },
}

pub struct Forward {
    pub inv: InvIx,
    pub copy: usize,
    pub invocation: Rc<Invocation>,
    /// Set once the invocation has its final answer: nothing is sent for it from then on.
    pub over: Rc<Cell<bool>>,
    pub at: Instant,
    pub wait: Duration,
}

pub enum PeerSays {
    Ended { inv: InvIx, copy: usize, cache: CacheIx, how: Ended },
    Probed { cache: CacheIx, ok: bool },
}

pub struct Ended {
    pub outcome: Outcome,
    pub lag: Duration,
    pub note: Option<Note>,
    pub kind: Option<Bytes>,
    pub body: Body,
}

/// What the actor and its forwards share.
struct Peer {
    cache: CacheIx,
    endpoint: Cell<SocketAddr>,
    /// Ready by the list: nothing new is sent to one that drains or is gone.
    wanted: Cell<bool>,
    pool: Rc<Pool>,
    module: mpsc::Sender<Told>,
    dial_limit: Duration,
    probe_limit: Duration,
    room: Room,
    /// Answers that could not be used.
    spoilt: Often,
}

/// `dial_limit`: a connection not up by then never comes; `probe_limit`: nor does a probe's answer;
/// `room`: memory for long answers.
pub fn start(
    cache: CacheIx, endpoint: SocketAddr, pool: Rc<Pool>, module: mpsc::Sender<Told>, dial_limit: Duration,
    probe_limit: Duration, room: Room,
) -> mpsc::Sender<Order> {
    let (orders, mailbox) = mpsc::channel(super::MAILBOX);
    let (spoilt, endpoint, wanted) = (Often::default(), Cell::new(endpoint), Cell::new(true));
    let peer = Rc::new(Peer { cache, endpoint, wanted, pool, module, dial_limit, probe_limit, room, spoilt });
    tokio::task::spawn_local(run(peer, mailbox));
    orders
}

async fn run(peer: Rc<Peer>, mut mailbox: mpsc::Receiver<Order>) {
    let mut out: HashMap<(InvIx, usize), oneshot::Sender<()>> = HashMap::new();
    while let Some(order) = mailbox.recv().await {
        match order {
            Order::Forward(forward) => {
                let (withdraw, withdrawn) = oneshot::channel();
                out.retain(|_, withdraw| !withdraw.is_closed());
                out.insert((forward.inv, forward.copy), withdraw);
                tokio::task::spawn_local(peer.clone().forward(forward, withdrawn));
            }
            Order::Withdraw { inv, copy } => {
                if let Some(withdraw) = out.remove(&(inv, copy)) {
                    let _ = withdraw.send(());
                }
            }
            Order::Probe => {
                tokio::task::spawn_local(peer.clone().probe());
            }
            Order::Listed { endpoint, wanted } => {
                peer.wanted.set(wanted);
                if !wanted || peer.endpoint.replace(endpoint) != endpoint {
                    peer.pool.close(peer.cache);
                }
            }
        }
    }
    peer.pool.close(peer.cache);
}

/// How an exchange ended, with the answer's head and body where there was one.
type Exchanged = (Outcome, Option<(ReplyHead, Body)>);

impl Peer {
    async fn forward(self: Rc<Self>, forward: Forward, withdrawn: oneshot::Receiver<()>) {
        let (dialled, written) = (Cell::new(false), Cell::new(false));
        let until = forward.at + forward.wait;
        // Whatever ends it, the connection is closed or back in the pool before the module hears: a
        // next forward must not overlap this one.
        let (outcome, reply) = tokio::select! {
            biased;
            Ok(()) = withdrawn => (Outcome::Withdrawn, None),
            ended = self.exchange(&forward, &dialled, &written) => ended,
            () = sleep_until(until) => (silence(&dialled, &written), None),
        };
        let lag = forward.at.elapsed();
        let note = reply.as_ref().and_then(|(head, _)| messages::note(head));
        let kind = reply.as_ref().and_then(|(head, _)| head.fields.get("Content-Type").cloned());
        let body = reply.map(|(_, body)| body).unwrap_or_default();
        let how = Ended { outcome, lag, note, kind, body };
        let says = PeerSays::Ended { inv: forward.inv, copy: forward.copy, cache: self.cache, how };
        let _ = self.module.send(Told::Peer(says)).await;
    }

    async fn exchange(&self, forward: &Forward, dialled: &Cell<bool>, written: &Cell<bool>) -> Exchanged {
        let link = match self.link().await {
            Ok(link) => link,
            Err(outcome) => return (outcome, None),
        };
        dialled.set(true);
        // While a connection came up things may have changed. Nothing is sent for what is over, nor to
        // one that drains; neither speaks against the cache server.
        if !self.wanted.get() {
            return (Outcome::NotSent, None);
        }
        if forward.over.get() {
            self.pool.put(self.cache, link);
            return (Outcome::NotSent, None);
        }
        let left = forward.wait.saturating_sub(forward.at.elapsed());
        let head = forward.invocation.forward(left.as_nanos() as u64);
        let idle = link.idle;
        let ended = link.exchange(head, forward.invocation.body.clone(), &self.room, written).await;
        self.pool.learn(idle, matches!(ended, Err(Broken::Ended)));
        match ended {
            Ok(reply) => {
                if let Some(link) = reply.link.filter(|_| self.wanted.get()) {
                    self.pool.put(self.cache, link);
                }
                (messages::outcome(&reply.head), Some((reply.head, reply.body)))
            }
            Err(Broken::Bad(bad)) => {
                if let Some(count) = self.spoilt.again() {
                    log::warn!("cache server {}: {}, {count} so far", self.endpoint.get(), bad.0);
                }
                (Outcome::Error, None)
            }
            Err(Broken::Ended) if written.get() => (Outcome::Reset, None),
            Err(Broken::Ended) => (Outcome::Broken, None),
        }
    }

    async fn link(&self) -> Result<Link, Outcome> {
        if let Some(link) = self.pool.take(self.cache) {
            return Ok(link);
        }
        // For want of descriptors here: no fault of the cache server.
        let permit = self.pool.room().ok_or(Outcome::NotSent)?;
        Link::dial(self.endpoint.get(), self.dial_limit, permit).await.map_err(|error| match error.kind() {
            // It came up and broke: somebody listens there.
            ErrorKind::ConnectionReset => Outcome::Broken,
            _ => Outcome::Unavailable,
        })
    }

    async fn probe(self: Rc<Self>) {
        let written = Cell::new(false);
        let asking = async {
            let link = self.link().await.ok()?;
            let head = messages::get("/health/live", self.endpoint.get());
            let reply = link.exchange(head, Bytes::new(), &Room::USUAL, &written).await.ok()?;
            if let Some(link) = reply.link.filter(|_| self.wanted.get()) {
                self.pool.put(self.cache, link);
            }
            Some(reply.head.status == 200)
        };
        let ok = matches!(timeout(self.probe_limit, asking).await, Ok(Some(true)));
        let _ = self.module.send(Told::Peer(PeerSays::Probed { cache: self.cache, ok })).await;
    }
}

/// The wait is over. What was not written whole never ran.
fn silence(dialled: &Cell<bool>, written: &Cell<bool>) -> Outcome {
    match (dialled.get(), written.get()) {
        (_, true) => Outcome::TimedOut,
        (true, false) => Outcome::Broken,
        (false, false) => Outcome::Unavailable,
    }
}
