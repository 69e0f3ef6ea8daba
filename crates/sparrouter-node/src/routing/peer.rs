//! A peer's actor, one for each cache server and the origin: carries out what the module has decided,
//! and reports how each forward ended, exactly once.
use super::Message;
use crate::invariant::OccurrenceCounter;
use crate::protocol::head::ResponseHead;
use crate::protocol::messages::{self, Invocation};
use crate::transport::budget::{Body, BodyMemory};
use crate::transport::link::Link;
use crate::transport::pool::Pool;
use crate::transport::reading::ReadError;
use bytes::Bytes;
use sparrouter_balancer::types::{CacheIndex, CacheResult, InvocationIndex, Outcome};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

pub enum PeerCommand {
    Forward(Forward),
    Withdraw { inv: InvocationIndex, copy: usize },
    CheckHealth,
}

pub struct Forward {
    pub inv: InvocationIndex,
    pub copy: usize,
    pub invocation: Rc<Invocation>,
    /// Set once the invocation has its final answer: nothing is sent for it from then on.
    pub over: Rc<Cell<bool>>,
    pub at: Instant,
    pub wait: Duration,
    /// Written by then or never: what may have run before is dropped as a repeat only that long.
    pub before: Option<Instant>,
}

pub enum PeerEvent {
    ForwardEnded {
        inv: InvocationIndex,
        copy: usize,
        cache: CacheIndex,
        how: ForwardResult,
    },
    HealthChecked {
        cache: CacheIndex,
        ok: bool,
    },
}

pub struct ForwardResult {
    pub outcome: Outcome,
    pub lag: Duration,
    pub note: Option<CacheResult>,
    pub kind: Option<Bytes>,
    pub body: Body,
}

/// What bounds a peer's work.
#[derive(Clone, Copy)]
pub struct Limits {
    /// A connection that is not up by then never comes.
    pub dial: Duration,
    /// Nor does a probe's answer.
    pub probe: Duration,
    /// Two forwards of one invocation may be out at once.
    pub overlaps: bool,
}

/// A close counts as arrived after this time at the least, and this part of the connect limit at the most.
const ARRIVES: (Duration, u32) = (Duration::from_millis(1), 8);

/// What the actor and its forwards share.
struct Peer {
    cache: CacheIndex,
    endpoint: Cell<SocketAddr>,
    /// Ready by the list: nothing new is sent to one that drains or is gone.
    wanted: Cell<bool>,
    pool: Rc<Pool>,
    module: mpsc::Sender<Message>,
    limits: Limits,
    /// What connections took of late to come up: a way there and back.
    way: Cell<Duration>,
    memory: BodyMemory,
    /// Answers that could not be used.
    spoilt: OccurrenceCounter,
}

/// What a peer's actor is reached by; it ends with this.
pub struct PeerHandle {
    orders: mpsc::Sender<PeerCommand>,
    peer: Rc<Peer>,
}

impl PeerHandle {
    /// False where its mailbox is full.
    pub fn order(&self, order: PeerCommand) -> bool {
        self.orders.try_send(order).is_ok()
    }

    /// What the list says of it now. Guards against a mailbox: orders that stand there already, and forwards
    /// whose connection is coming up, were given under the old list, and a full one would lose the new.
    pub fn listed(&self, endpoint: SocketAddr, wanted: bool) {
        self.peer.wanted.set(wanted);
        if self.peer.endpoint.replace(endpoint) != endpoint || !wanted {
            self.peer.pool.close(self.peer.cache);
        }
    }
}

/// `memory`: memory for long answers.
pub fn start(
    cache: CacheIndex,
    endpoint: SocketAddr,
    pool: Rc<Pool>,
    module: mpsc::Sender<Message>,
    limits: Limits,
    memory: BodyMemory,
) -> PeerHandle {
    let (orders, mailbox) = mpsc::channel(super::MAILBOX_CAPACITY);
    let (spoilt, endpoint, wanted) = (
        OccurrenceCounter::default(),
        Cell::new(endpoint),
        Cell::new(true),
    );
    let way = Cell::default();
    let peer = Rc::new(Peer {
        cache,
        endpoint,
        wanted,
        pool,
        module,
        limits,
        way,
        memory,
        spoilt,
    });
    tokio::task::spawn_local(run(peer.clone(), mailbox));
    PeerHandle { orders, peer }
}

async fn run(peer: Rc<Peer>, mut mailbox: mpsc::Receiver<PeerCommand>) {
    let mut out: HashMap<(InvocationIndex, usize), oneshot::Sender<()>> = HashMap::new();
    while let Some(order) = mailbox.recv().await {
        match order {
            PeerCommand::Forward(forward) => {
                let (withdraw, withdrawn) = oneshot::channel();
                out.retain(|_, withdraw| !withdraw.is_closed());
                out.insert((forward.inv, forward.copy), withdraw);
                tokio::task::spawn_local(peer.clone().forward(forward, withdrawn));
            }
            PeerCommand::Withdraw { inv, copy } => {
                if let Some(withdraw) = out.remove(&(inv, copy)) {
                    let _ = withdraw.send(());
                }
            }
            PeerCommand::CheckHealth => {
                tokio::task::spawn_local(peer.clone().probe());
            }
        }
    }
    peer.pool.close(peer.cache);
}

/// How an exchange ended, with the answer's head and body where there was one.
type Exchanged = (Outcome, Option<(ResponseHead, Body)>);

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
        if written.get() && reply.is_none() && !self.limits.overlaps {
            self.arrived(&forward.over).await;
        }
        let note = reply.as_ref().and_then(|(head, _)| messages::note(head));
        let kind = reply
            .as_ref()
            .and_then(|(head, _)| head.fields.get("Content-Type").cloned());
        let body = reply.map(|(_, body)| body).unwrap_or_default();
        let how = ForwardResult {
            outcome,
            lag,
            note,
            kind,
            body,
        };
        let says = PeerEvent::ForwardEnded {
            inv: forward.inv,
            copy: forward.copy,
            cache: self.cache,
            how,
        };
        let _ = self.module.send(Message::Peer(says)).await;
    }

    /// Guards against a next forward that is there before this one's close: on the standing test, where a
    /// close and a send fell on one instant, each such pair invariant as two forwards out at once. Where the
    /// invocation is over there is no next one.
    async fn arrived(&self, over: &Cell<bool>) {
        let (least, part) = ARRIVES;
        if !over.get() {
            sleep(
                self.way
                    .get()
                    .clamp(least, (self.limits.dial / part).max(least)),
            )
            .await;
        }
    }

    async fn exchange(
        &self,
        forward: &Forward,
        dialled: &Cell<bool>,
        written: &Cell<bool>,
    ) -> Exchanged {
        let link = match self.link().await {
            Ok(link) => link,
            Err(outcome) => return (outcome, None),
        };
        dialled.set(true);
        // While a connection came up things may have changed. Nothing is sent for what is over, to one that
        // drains or has moved, when it could no longer be dropped as a repeat, or after its time; none of it
        // speaks against the cache server.
        let late = forward
            .before
            .is_some_and(|before| before <= Instant::now())
            || forward.at.elapsed() >= forward.wait;
        if forward.over.get() || late || !self.leads(&link) {
            self.keep(link);
            return (Outcome::NotSent, None);
        }
        let left = forward.wait.saturating_sub(forward.at.elapsed());
        let head = forward.invocation.forward(left.as_nanos() as u64);
        let idle = link.idle;
        let body = forward.invocation.body.clone();
        let ended = link
            .exchange(head, body, forward.before, &self.memory, written)
            .await;
        self.pool.learn(
            idle,
            matches!(ended, Err(ReadError::Closed | ReadError::Reset)),
        );
        match ended {
            Ok(None) => (Outcome::NotSent, None),
            Ok(Some(reply)) => {
                reply.link.into_iter().for_each(|link| self.keep(link));
                (
                    messages::outcome(&reply.head),
                    Some((reply.head, reply.body)),
                )
            }
            Err(ReadError::Bad(bad)) => {
                if let Some(count) = self.spoilt.again() {
                    log::warn!(
                        "cache server {}: {}, {count} so far",
                        self.endpoint.get(),
                        bad.0
                    );
                }
                (Outcome::Error, None)
            }
            Err(_) if written.get() => (Outcome::Reset, None),
            Err(_) => (Outcome::Broken, None),
        }
    }

    /// Guards against a hand-over: an address that was another's when the link came up.
    fn leads(&self, link: &Link) -> bool {
        self.wanted.get() && link.to == self.endpoint.get()
    }
    fn keep(&self, link: Link) {
        if self.leads(&link) {
            self.pool.put(self.cache, link);
        }
    }

    async fn link(&self) -> Result<Link, Outcome> {
        if let Some(link) = self.pool.take(self.cache) {
            return Ok(link);
        }
        // For want of descriptors here: no fault of the cache server.
        let permit = self.pool.reserve_descriptor().ok_or(Outcome::NotSent)?;
        let start = Instant::now();
        let dialled = Link::dial(self.endpoint.get(), self.limits.dial, permit).await;
        if dialled.is_ok() {
            // The longest of late, falling by an eighth each time.
            self.way.set(start.elapsed().max(self.way.get() * 7 / 8));
            self.pool.opened.set(self.pool.opened.get() + 1);
        }
        dialled.map_err(|error| match error.kind() {
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
            let reply = link
                .exchange(head, Bytes::new(), None, &BodyMemory::USUAL, &written)
                .await
                .ok()??;
            reply.link.into_iter().for_each(|link| self.keep(link));
            Some(reply.head.status == 200)
        };
        let ok = matches!(timeout(self.limits.probe, asking).await, Ok(Some(true)));
        let _ = self
            .module
            .send(Message::Peer(PeerEvent::HealthChecked {
                cache: self.cache,
                ok,
            }))
            .await;
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
