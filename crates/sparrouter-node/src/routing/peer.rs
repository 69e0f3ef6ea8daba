//! The actor of a peer, one for each cache server and origin. It executes the decision actor's commands and reports the
//! end of each forward exactly once.
use super::{MAILBOX_CAPACITY, Message};
use crate::invariant::OccurrenceCounter;
use crate::protocol::head::ResponseHead;
use crate::protocol::messages::{self, Invocation};
use crate::transport::budget::{Body, BodyMemory};
use crate::transport::link::{ExchangeRequest, Link, Reply};
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

/// Minimum time after which the close of a withdrawn forward counts as arrived at the peer.
const MIN_CLOSE_DELAY: Duration = Duration::from_millis(1);
/// The close of a withdrawn forward counts as arrived at the latest after the connect timeout divided by this: one
/// eighth.
const MAX_CLOSE_DELAY_DIVISOR: u32 = 8;

/// A command to a peer's actor.
pub enum PeerCommand {
    /// Send a forward.
    Forward(Forward),
    /// Withdraw a forward; no effect if it has ended.
    Withdraw {
        /// Index of the invocation.
        inv: InvocationIndex,
        /// Number of the forward within its invocation.
        number: usize,
    },
    /// Send a health check.
    CheckHealth,
}

/// Identifies one forward of an invocation.
#[derive(Clone, Copy)]
pub struct ForwardId {
    /// Index of the invocation.
    pub inv: InvocationIndex,
    /// Number of the forward within its invocation, from 0.
    pub number: usize,
    /// The server to which it is forwarded.
    pub cache: CacheIndex,
}

/// A forward to send.
pub struct Forward {
    /// Identifies the forward.
    pub id: ForwardId,
    /// The invocation to send.
    pub invocation: Rc<Invocation>,
    /// Set once the invocation has its final answer; nothing is sent for it afterwards.
    pub is_answered: Rc<Cell<bool>>,
    /// Time of the decision actor's command.
    pub ordered_at: Instant,
    /// Timeout of the answer, from `ordered_at`.
    pub timeout: Duration,
    /// Deadline for writing the request: the server deduplicates a retry only until this time.
    pub send_before: Option<Instant>,
}

/// An event from a peer's actor to the decision actor.
pub enum PeerEvent {
    /// A forward ended; sent exactly once for each `PeerCommand::Forward`.
    ForwardEnded {
        /// Identifies the forward.
        forward: ForwardId,
        /// Result of the forward.
        result: ForwardResult,
    },
    /// A health check ended.
    HealthChecked {
        /// The checked server.
        cache: CacheIndex,
        /// Whether it was answered with 200 in time.
        ok: bool,
    },
}

/// Result of a forward.
pub struct ForwardResult {
    /// Outcome of the forward.
    pub outcome: Outcome,
    /// Time from the command to the end of the forward.
    pub latency: Duration,
    /// The cache result that the server reported.
    pub cache_result: Option<CacheResult>,
    /// The answer's `Content-Type`.
    pub content_type: Option<Bytes>,
    /// The answer's body; empty if there was no answer.
    pub body: Body,
}

/// Timeouts and limits of a peer's actor.
#[derive(Clone, Copy)]
pub struct PeerLimits {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout of a health check.
    pub health_check_timeout: Duration,
    /// Whether two forwards of one invocation may be in flight at once.
    pub allows_hedging: bool,
}

/// State shared by a peer's actor and its forwards.
struct Peer {
    cache: CacheIndex,
    endpoint: Cell<SocketAddr>,
    /// Whether the endpoint list allows new forwards: false if the server is draining or has left.
    accepts_forwards: Cell<bool>,
    pool: Rc<Pool>,
    decisions: mpsc::Sender<Message>,
    limits: PeerLimits,
    /// Estimate of the round-trip time, from recent connects.
    round_trip: Cell<Duration>,
    memory: BodyMemory,
    /// Number of invalid answers.
    invalid_answers: OccurrenceCounter,
}

/// Handle to a peer's actor. The actor ends when the handle is dropped.
pub struct PeerHandle {
    commands: mpsc::Sender<PeerCommand>,
    peer: Rc<Peer>,
}

impl PeerHandle {
    /// Puts a command into the actor's mailbox. Returns false if the mailbox is full.
    pub fn command(&self, command: PeerCommand) -> bool {
        self.commands.try_send(command).is_ok()
    }

    /// Sets the server's state from the endpoint list. The update bypasses the mailbox, because it has to apply to
    /// queued commands and to forwards that are still connecting, and because a full mailbox would lose it.
    pub fn update(&self, endpoint: SocketAddr, accepts_forwards: bool) {
        self.peer.accepts_forwards.set(accepts_forwards);
        if self.peer.endpoint.replace(endpoint) != endpoint || !accepts_forwards {
            self.peer.pool.close(self.peer.cache);
        }
    }
}

/// Starts the actor of a peer. `memory` is the budget for long answers.
pub fn start(
    cache: CacheIndex,
    endpoint: SocketAddr,
    pool: Rc<Pool>,
    decisions: mpsc::Sender<Message>,
    limits: PeerLimits,
    memory: BodyMemory,
) -> PeerHandle {
    let (commands, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let peer = Rc::new(Peer {
        cache,
        endpoint: Cell::new(endpoint),
        accepts_forwards: Cell::new(true),
        pool,
        decisions,
        limits,
        round_trip: Cell::default(),
        memory,
        invalid_answers: OccurrenceCounter::default(),
    });
    tokio::task::spawn_local(run(peer.clone(), mailbox));
    PeerHandle { commands, peer }
}

async fn run(peer: Rc<Peer>, mut mailbox: mpsc::Receiver<PeerCommand>) {
    let mut withdrawals: HashMap<(InvocationIndex, usize), oneshot::Sender<()>> = HashMap::new();
    while let Some(command) = mailbox.recv().await {
        match command {
            PeerCommand::Forward(forward) => {
                let (withdraw, withdrawn) = oneshot::channel();
                withdrawals.retain(|_, withdraw| !withdraw.is_closed());
                withdrawals.insert((forward.id.inv, forward.id.number), withdraw);
                tokio::task::spawn_local(peer.clone().forward(forward, withdrawn));
            }
            PeerCommand::Withdraw { inv, number } => {
                if let Some(withdraw) = withdrawals.remove(&(inv, number)) {
                    let _ = withdraw.send(());
                }
            }
            PeerCommand::CheckHealth => {
                tokio::task::spawn_local(peer.clone().check_health());
            }
        }
    }
    peer.pool.close(peer.cache);
}

/// Progress of a forward; also read after its exchange is dropped.
#[derive(Default)]
struct Progress {
    /// Whether the forward has acquired a connection.
    connected: Cell<bool>,
    /// Whether the last byte of the request was written.
    written: Cell<bool>,
}

impl Progress {
    /// The outcome after a timeout. A request that was not written completely was never executed.
    fn timed_out(&self) -> Outcome {
        match (self.connected.get(), self.written.get()) {
            (_, true) => Outcome::TimedOut,
            (true, false) => Outcome::Broken,
            (false, false) => Outcome::Unavailable,
        }
    }
}

/// Result of an exchange.
struct ExchangeResult {
    outcome: Outcome,
    /// The answer, if it was complete.
    answer: Option<(ResponseHead, Body)>,
}

impl From<Outcome> for ExchangeResult {
    fn from(outcome: Outcome) -> ExchangeResult {
        ExchangeResult {
            outcome,
            answer: None,
        }
    }
}

impl Peer {
    async fn forward(self: Rc<Self>, forward: Forward, withdrawn: oneshot::Receiver<()>) {
        let progress = Progress::default();
        let deadline = forward.ordered_at + forward.timeout;
        // The connection is closed or back in the pool before the result is reported, so that the next forward can't
        // overlap this one.
        let ExchangeResult { outcome, answer } = tokio::select! {
            biased;
            Ok(()) = withdrawn => Outcome::Withdrawn.into(),
            result = self.exchange(&forward, &progress) => result,
            () = sleep_until(deadline) => progress.timed_out().into(),
        };
        let latency = forward.ordered_at.elapsed();
        if progress.written.get() && answer.is_none() && !self.limits.allows_hedging {
            self.await_close_arrival(&forward.is_answered).await;
        }
        let head = answer.as_ref().map(|(head, _)| head);
        let cache_result = head.and_then(messages::cache_result);
        let content_type = head.and_then(|head| head.fields.get("Content-Type").cloned());
        let result = ForwardResult {
            outcome,
            latency,
            cache_result,
            content_type,
            body: answer.map(|(_, body)| body).unwrap_or_default(),
        };
        let event = PeerEvent::ForwardEnded {
            forward: forward.id,
            result,
        };
        let _ = self.decisions.send(Message::Peer(event)).await;
    }

    /// Waits until the close of the connection can have arrived at the peer. Guards against a next forward that arrives
    /// before the close: in a test run where a close and a send fell on the same instant, each such pair counted as two
    /// forwards in flight at once. There is no next forward if the invocation is answered.
    async fn await_close_arrival(&self, is_answered: &Cell<bool>) {
        if is_answered.get() {
            return;
        }
        let max_delay = self.limits.connect_timeout / MAX_CLOSE_DELAY_DIVISOR;
        let delay = self
            .round_trip
            .get()
            .clamp(MIN_CLOSE_DELAY, max_delay.max(MIN_CLOSE_DELAY));
        sleep(delay).await;
    }

    async fn exchange(&self, forward: &Forward, progress: &Progress) -> ExchangeResult {
        let link = match self.acquire_link().await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        };
        progress.connected.set(true);
        if !self.may_send(forward, &link) {
            self.release(link);
            return Outcome::NotSent.into();
        }
        let remaining = forward.timeout.saturating_sub(forward.ordered_at.elapsed());
        let request = ExchangeRequest {
            head: forward.invocation.forward(remaining.as_nanos() as u64),
            body: forward.invocation.body.clone(),
            send_before: forward.send_before,
            is_cancelled: forward.is_answered.clone(),
        };
        let idle = link.idle;
        let reply = link
            .exchange(request, &self.memory, &progress.written)
            .await;
        let is_broken = matches!(reply, Err(ReadError::Closed | ReadError::Reset));
        self.pool.learn(idle, is_broken);
        self.exchange_result(reply, progress)
    }

    /// Checks the forward again after the connect. Nothing is sent for an answered invocation, to a server that is
    /// draining or has moved, after `send_before`, or after the forward's timeout. None of these counts as a failure
    /// of the server.
    fn may_send(&self, forward: &Forward, link: &Link) -> bool {
        let is_late = forward
            .send_before
            .is_some_and(|send_before| send_before <= Instant::now())
            || forward.ordered_at.elapsed() >= forward.timeout;
        !(forward.is_answered.get() || is_late || !self.is_current(link))
    }

    fn exchange_result(
        &self,
        reply: Result<Option<Reply>, ReadError>,
        progress: &Progress,
    ) -> ExchangeResult {
        match reply {
            Ok(None) => Outcome::NotSent.into(),
            Ok(Some(reply)) => {
                if let Some(link) = reply.link {
                    self.release(link);
                }
                ExchangeResult {
                    outcome: messages::outcome(&reply.head),
                    answer: Some((reply.head, reply.body)),
                }
            }
            Err(ReadError::Bad(error)) => {
                if let Some(count) = self.invalid_answers.increment() {
                    let endpoint = self.endpoint.get();
                    log::warn!("cache server {endpoint}: {}, {count} so far", error.0);
                }
                Outcome::Error.into()
            }
            Err(_) if progress.written.get() => Outcome::Reset.into(),
            Err(_) => Outcome::Broken.into(),
        }
    }

    /// Whether the connection leads to the server's listed address. Guards against an address that belonged to another
    /// server when the connection was established.
    fn is_current(&self, link: &Link) -> bool {
        self.accepts_forwards.get() && link.endpoint == self.endpoint.get()
    }

    /// Returns a connection to the pool.
    fn release(&self, link: Link) {
        if self.is_current(&link) {
            self.pool.release(self.cache, link);
        }
    }

    /// Acquires a connection from the pool, or a new one. The error is the outcome of the forward.
    async fn acquire_link(&self) -> Result<Link, Outcome> {
        if let Some(link) = self.pool.acquire(self.cache) {
            return Ok(link);
        }
        // The node has no free descriptor, which is not a failure of the cache server.
        let descriptor = self.pool.reserve_descriptor().ok_or(Outcome::NotSent)?;
        let start = Instant::now();
        let connected =
            Link::connect(self.endpoint.get(), self.limits.connect_timeout, descriptor).await;
        if connected.is_ok() {
            // Maximum of recent connects, which decays by an eighth with each connect.
            let decayed = self.round_trip.get() * 7 / 8;
            self.round_trip.set(start.elapsed().max(decayed));
            self.pool.opened.set(self.pool.opened.get() + 1);
        }
        connected.map_err(|error| match error.kind() {
            // The connection was established and then reset, so the server is listening.
            ErrorKind::ConnectionReset => Outcome::Broken,
            _ => Outcome::Unavailable,
        })
    }

    async fn check_health(self: Rc<Self>) {
        let answer = timeout(self.limits.health_check_timeout, self.is_live()).await;
        let event = PeerEvent::HealthChecked {
            cache: self.cache,
            ok: matches!(answer, Ok(Some(true))),
        };
        let _ = self.decisions.send(Message::Peer(event)).await;
    }

    /// Whether the server answers `/health/live` with 200; `None` without an answer.
    async fn is_live(&self) -> Option<bool> {
        let written = Cell::new(false);
        let link = self.acquire_link().await.ok()?;
        let request = ExchangeRequest {
            head: messages::get("/health/live", self.endpoint.get()),
            body: Bytes::new(),
            send_before: None,
            is_cancelled: Rc::default(),
        };
        let reply = link
            .exchange(request, &BodyMemory::USUAL, &written)
            .await
            .ok()??;
        if let Some(link) = reply.link {
            self.release(link);
        }
        Some(reply.head.status == 200)
    }
}
