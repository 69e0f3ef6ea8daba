//! Connections to servers: one exchange at a time, pooled while the server keeps them open, and checked before each
//! use.
//!
//! A request may have run as soon as one byte of it was accepted by the transport ([`SendOutcome::Begun`]): a later
//! write error, reset or time-out proves nothing. This module never retries a request.
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

/// Time-out of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a connection is pooled if the server does not announce its keep-alive time-out.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// How long before the server's keep-alive time-out a connection is dropped: a request that is sent while the server
/// closes the connection may have run.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// Maximum number of pooled connections to one server.
const MAX_POOLED: usize = 32;
/// Bodies shorter than this, in bytes, are written together with their head, since each write has a fixed cost.
const MIN_SEPARATE_BODY: usize = 16 << 10;
/// Size of a read of an early response, while the request is still being written.
const EARLY_READ_BYTES: usize = 4 << 10;

/// How much of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte was sent: the server cannot have run the request.
    NotSent,
    /// Some or all bytes were sent: only the server's own response can prove that the request has not run.
    Begun,
}

/// A connection that writes the rest of a request while the response is read, since a server may respond before it has
/// read a long body, and read the rest only later.
pub struct RequestStream {
    stream: Stream,
    unwritten: VecDeque<Bytes>,
    /// Whether a write failed, so that the request on the connection will never be complete.
    write_failed: bool,
}

impl RequestStream {
    /// Writes the remaining bytes until the transport accepts no more. Returns whether any byte was accepted.
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
        // If the rest of the request cannot be written, the response or the end of the connection shows it.
        let _ = self.poll_unwritten(context);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

/// One connection to a server.
pub struct Upstream {
    /// The connection.
    pub stream: RequestStream,
    /// Bytes that were read ahead from the connection.
    pub buffer: BytesMut,
    /// Whether the connection has carried an exchange before, so that the server may close it while a request is sent.
    pub was_used: bool,
    /// Until when the connection may be used again.
    reusable_until: Instant,
}

impl Upstream {
    /// Opens a connection; `None` if it is not established in time. No byte has been sent on it.
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

    /// Writes a request, whose body is given in parts, until it is complete, a response begins, or the connection breaks. After an early response has
    /// begun, the remaining bytes are written while it is read. Dropping the future makes the connection unusable for
    /// another request.
    pub async fn send(&mut self, head: &Bytes, body: &[Bytes]) -> SendOutcome {
        let body_bytes: usize = body.iter().map(Bytes::len).sum();
        if body_bytes < MIN_SEPARATE_BODY {
            let mut joined = BytesMut::with_capacity(head.len() + body_bytes);
            joined.extend_from_slice(head);
            for segment in body {
                joined.extend_from_slice(segment);
            }
            self.stream.unwritten.push_back(joined.freeze());
        } else {
            self.stream.unwritten.push_back(head.clone());
            self.stream.unwritten.extend(body.iter().cloned());
        }
        let mut begun = false;
        poll_fn(|context| self.poll_send(context, &mut begun)).await;
        let failed = self.stream.write_failed;
        if !begun || (failed && !rules::partial_sends_may_have_run()) {
            return SendOutcome::NotSent;
        }
        SendOutcome::Begun
    }

    /// Ready once the request is written, the connection broke, or a response has begun.
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

    /// Whether the connection is open and no bytes have arrived on it, as between two exchanges: such bytes belong to
    /// no request of this process.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.stream.stream.read_available(&mut [0]).is_none()
    }

    /// Whether the connection may carry another request after this response, which has been read to its end. It may not
    /// while the last request is unfinished: the server would read the next request's bytes as the rest of that body.
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

/// Idle connections between exchanges, by server id.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<String, Vec<Upstream>>>,
}

impl Pool {
    /// An idle connection to this server that can carry an exchange, the most recently used first.
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

    /// Pools a connection whose response is complete, unless part of the last request or response is outstanding.
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

    /// Closes connections whose pooling time has passed, and all connections to servers that no longer exist.
    pub fn sweep(&self, exists: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|instance, connections| {
            connections.retain(|c| c.reusable_until > now);
            !connections.is_empty() && exists(instance)
        });
    }
}
