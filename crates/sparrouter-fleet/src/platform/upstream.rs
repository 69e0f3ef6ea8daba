//! Connections to servers: one exchange at a time, pooled while the server keeps them open, and checked before each use.
//!
//! A request may have run as soon as one byte of it was accepted by the transport ([`SendOutcome::Begun`]): a later write error,
//! reset or time-out proves nothing. Nothing here sends a request a second time.
use crate::platform::defects::rules;
use crate::platform::net::{Net, Stream};
use bytes::{Buf, Bytes, BytesMut};
use sparrouter_http::head::ResponseHead;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, timeout};

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a connection is pooled if the server does not say how long it keeps it open.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// A connection is dropped this long before the server may close it: a request that meets the close may have run.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// Most pooled connections to one server.
const MAX_POOLED: usize = 32;
/// Bodies of fewer bytes leave in one write with their head: each write costs.
const MIN_SEPARATE_BODY: usize = 16 << 10;
/// Bytes of an early response that are read at a time while the request is still being written.
const EARLY_READ_BYTES: usize = 4 << 10;

/// What of a request has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte: the server cannot have run it.
    Nothing,
    /// Some or all of it: only the server's own response can prove that it has not run.
    Begun,
}

/// A connection that writes the rest of a request while the response is read: a server may respond before it has read a
/// long body, and read on only later.
pub struct RequestStream {
    stream: Stream,
    unwritten: VecDeque<Bytes>,
    /// A write failed: the request on it will never be complete.
    write_failed: bool,
}

impl RequestStream {
    /// Writes what remains until the transport accepts no more. Returns whether any byte was accepted.
    fn poll_unwritten(&mut self, context: &mut Context<'_>) -> (bool, Poll<()>) {
        let mut accepted = false;
        while let Some(next) = self.unwritten.front_mut() {
            if !next.has_remaining() {
                self.unwritten.pop_front();
                continue;
            }
            match Pin::new(&mut self.stream).poll_write(context, next) {
                Poll::Pending => return (accepted, Poll::Pending),
                Poll::Ready(Ok(written)) if written > 0 => {
                    accepted = true;
                    next.advance(written);
                }
                Poll::Ready(_) => {
                    self.write_failed = true;
                    self.unwritten.clear();
                }
            }
        }
        (accepted, Poll::Ready(()))
    }

    /// Whether the complete request was written.
    fn is_finished(&self) -> bool {
        self.unwritten.is_empty() && !self.write_failed
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Whether the rest of the request gets through is seen by its response, or by the end of the connection.
        let _ = self.poll_unwritten(context);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

/// One connection to a server.
pub struct Upstream {
    /// The connection.
    pub stream: RequestStream,
    /// Bytes that were read ahead from it.
    pub buffer: BytesMut,
    /// It has carried an exchange before, so that a request on it may meet its close.
    pub was_used: bool,
    /// Until when it may be used again.
    reusable_until: Instant,
}

impl Upstream {
    /// A new connection; `None` if none comes up in time. No byte has left on it.
    pub async fn dial(net: &dyn Net, to: SocketAddr) -> Option<Upstream> {
        let stream = timeout(CONNECT_TIMEOUT, net.dial(to)).await.ok()?.ok()?;
        Some(Upstream {
            stream: RequestStream {
                stream,
                unwritten: VecDeque::new(),
                write_failed: false,
            },
            buffer: BytesMut::new(),
            was_used: false,
            reusable_until: Instant::now(),
        })
    }

    /// Writes a request until it is complete, a response to it begins, or the connection breaks. What remains after an early
    /// response has begun is written while that is read. Dropping the future leaves the connection unfit for another request.
    pub async fn send(&mut self, head: &Bytes, body: &Bytes) -> SendOutcome {
        if body.len() < MIN_SEPARATE_BODY {
            let mut joined = BytesMut::with_capacity(head.len() + body.len());
            joined.extend_from_slice(head);
            joined.extend_from_slice(body);
            self.stream.unwritten.push_back(joined.freeze());
        } else {
            self.stream.unwritten.extend([head.clone(), body.clone()]);
        }
        let mut begun = false;
        poll_fn(|context| self.poll_send(context, &mut begun)).await;
        let failed = self.stream.write_failed;
        if !begun || (failed && !rules::partial_sends_may_have_run()) {
            return SendOutcome::Nothing;
        }
        SendOutcome::Begun
    }

    /// Ready once nothing remains to write, the connection broke, or a response has begun.
    fn poll_send(&mut self, context: &mut Context<'_>, begun: &mut bool) -> Poll<()> {
        let (accepted, written) = self.stream.poll_unwritten(context);
        *begun |= accepted;
        if written.is_ready() {
            return Poll::Ready(());
        }
        let mut early = [0; EARLY_READ_BYTES];
        let mut read = ReadBuf::new(&mut early);
        let result = ready!(Pin::new(&mut self.stream.stream).poll_read(context, &mut read));
        if result.is_err() || read.filled().is_empty() {
            self.stream.write_failed = true;
            self.stream.unwritten.clear();
        }
        self.buffer.extend_from_slice(read.filled());
        Poll::Ready(())
    }

    /// Whether the connection is open and nothing has arrived on it, as on one between requests: bytes on it belong to no
    /// request of ours.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.stream.stream.read_available(&mut [0]).is_none()
    }

    /// Whether it may carry another request after this response, which has been read to its end. Never while the last request is
    /// unfinished: the server would take the next one's bytes for the rest of that body.
    pub fn is_reusable(&self, head: &ResponseHead) -> bool {
        let finished = self.stream.is_finished() || !rules::pooled_connections_are_finished();
        finished && head.keep_alive && self.buffer.is_empty()
    }
}

/// How long a connection may be pooled after this response.
fn pooling_time(head: &ResponseHead) -> Duration {
    let server_timeout = head.fields.text("keep-alive").and_then(|field| {
        let seconds = field
            .split(',')
            .find_map(|w| w.trim().strip_prefix("timeout="));
        seconds.unwrap_or(field).trim().parse::<u64>().ok()
    });
    match server_timeout {
        Some(seconds) => Duration::from_secs(seconds.min(3_600)).saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    }
}

/// Connections between requests, by the id of the server that they lead to.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<String, Vec<Upstream>>>,
}

impl Pool {
    /// A connection to this server that can carry an exchange, the last used first.
    pub fn take(&self, instance: &str) -> Option<Upstream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(instance)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.reusable_until > now && connection.is_idle() {
                return Some(connection);
            }
        }
        idle.remove(instance);
        None
    }

    /// Pools a connection whose response is complete, unless something of the last request is still expected on it.
    pub fn put(&self, instance: &str, mut connection: Upstream, head: &ResponseHead) {
        let time = pooling_time(head);
        if !connection.is_reusable(head) || time.is_zero() {
            return;
        }
        connection.buffer = BytesMut::new();
        if !rules::pooled_connections_are_finished() {
            connection.stream.unwritten.clear();
        }
        connection.was_used = true;
        connection.reusable_until = Instant::now() + time;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(instance.to_owned()).or_default();
        if connections.len() < MAX_POOLED {
            connections.push(connection);
        }
    }

    /// Closes connections that are too old, and all to servers that do not exist any more.
    pub fn sweep(&self, exists: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|instance, connections| {
            connections.retain(|c| c.reusable_until > now);
            !connections.is_empty() && exists(instance)
        });
    }
}
