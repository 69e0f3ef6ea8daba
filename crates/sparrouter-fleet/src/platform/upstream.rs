//! Connections to servers: one exchange at a time, kept while the server keeps them, and checked before each use.
//!
//! A request may have run as soon as one byte of it was accepted by the transport (`Sent::Begun`): a later write error,
//! reset or silence proves nothing. Nothing here sends a request a second time.
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
const DIAL: Duration = Duration::from_millis(600);
/// Kept so long where the server says nothing of it.
const UNTOLD: Duration = Duration::from_millis(400);
/// Given up so long before the server may close it: a request sent into a close may have run.
const MARGIN: Duration = Duration::from_millis(600);
/// Most that rest at one server.
const RESTING: usize = 32;
/// Bodies shorter than this leave in one write with their head: each write costs.
const JOINED_BODY: usize = 16 << 10;
/// Bytes of an early answer that are read at a time while the request is still being written.
const EARLY_READ: usize = 4 << 10;

/// What left of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte: the server cannot have run it.
    Nothing,
    /// Some or all of it: only the server's own answer can say that it did not run.
    Begun,
}

/// A connection that writes the rest of a request while its answer is read: a server may answer before it has read a
/// long body, and read on only later.
pub struct RequestStream {
    stream: Stream,
    unwritten: VecDeque<Bytes>,
    /// A write failed: the request on it will never be whole.
    write_failed: bool,
}

impl RequestStream {
    /// Writes what is left until the transport takes no more. Whether any byte was accepted.
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

    /// The whole request was written.
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
        // Whether the rest of the request gets through is seen by its answer, or by the end of the connection.
        let _ = self.poll_unwritten(context);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

/// One connection to a server, and what was read from it ahead.
pub struct Upstream {
    pub stream: RequestStream,
    pub buffer: BytesMut,
    /// It carried an exchange before: bytes on it may meet a close.
    pub used: bool,
    until: Instant,
}

impl Upstream {
    /// A new connection; None where none comes up in time. No byte has left on it.
    pub async fn dial(net: &dyn Net, to: SocketAddr) -> Option<Upstream> {
        let stream = timeout(DIAL, net.dial(to)).await.ok()?.ok()?;
        Some(Upstream {
            stream: RequestStream {
                stream,
                unwritten: VecDeque::new(),
                write_failed: false,
            },
            buffer: BytesMut::new(),
            used: false,
            until: Instant::now(),
        })
    }

    /// Writes a request until it is whole, an answer to it begins, or the connection breaks. What is left after an early
    /// answer began is written while that is read. Dropping the future leaves the connection unfit for another request.
    pub async fn send(&mut self, head: &Bytes, body: &Bytes) -> SendOutcome {
        if body.len() < JOINED_BODY {
            let mut whole = BytesMut::with_capacity(head.len() + body.len());
            whole.extend_from_slice(head);
            whole.extend_from_slice(body);
            self.stream.unwritten.push_back(whole.freeze());
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

    /// Ready once nothing is left to write, the connection broke, or an answer has begun.
    fn poll_send(&mut self, context: &mut Context<'_>, begun: &mut bool) -> Poll<()> {
        let (accepted, written) = self.stream.poll_unwritten(context);
        *begun |= accepted;
        if written.is_ready() {
            return Poll::Ready(());
        }
        let mut early = [0; EARLY_READ];
        let mut read = ReadBuf::new(&mut early);
        let came = ready!(Pin::new(&mut self.stream.stream).poll_read(context, &mut read));
        if came.is_err() || read.filled().is_empty() {
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

    /// Whether it may carry another request after this answer, which has been read whole. Never while the last request is
    /// unfinished: the server would take the next one's bytes for the rest of that body.
    pub fn is_reusable(&self, head: &ResponseHead) -> bool {
        let finished = self.stream.is_finished() || !rules::pooled_connections_are_finished();
        finished && head.keep_alive && self.buffer.is_empty()
    }
}

/// How long a server keeps a connection after this answer.
fn kept_for(head: &ResponseHead) -> Duration {
    let told = head.fields.text("keep-alive").and_then(|told| {
        let seconds = told
            .split(',')
            .find_map(|w| w.trim().strip_prefix("timeout="));
        seconds.unwrap_or(told).trim().parse::<u64>().ok()
    });
    match told {
        Some(seconds) => Duration::from_secs(seconds.min(3_600)).saturating_sub(MARGIN),
        None => UNTOLD,
    }
}

/// Connections that rest between requests, by the instance that they lead to.
#[derive(Default)]
pub struct Pool {
    resting: RefCell<BTreeMap<String, Vec<Upstream>>>,
}

impl Pool {
    /// One to this instance that can carry an exchange, the last used first.
    pub fn take(&self, instance: &str) -> Option<Upstream> {
        let mut resting = self.resting.borrow_mut();
        let all = resting.get_mut(instance)?;
        let now = Instant::now();
        while let Some(link) = all.pop() {
            if link.until > now && link.is_idle() {
                return Some(link);
            }
        }
        resting.remove(instance);
        None
    }

    /// Its answer is whole: it may carry another, unless something of the last request is still due on it.
    pub fn put(&self, instance: &str, mut link: Upstream, head: &ResponseHead) {
        let kept = kept_for(head);
        if !link.is_reusable(head) || kept.is_zero() {
            return;
        }
        link.buffer = BytesMut::new();
        if !rules::pooled_connections_are_finished() {
            link.stream.unwritten.clear();
        }
        link.used = true;
        link.until = Instant::now() + kept;
        let mut resting = self.resting.borrow_mut();
        let all = resting.entry(instance.to_owned()).or_default();
        if all.len() < RESTING {
            all.push(link);
        }
    }

    /// Closes what is past its time, and all to instances that `there` does not know.
    pub fn sweep(&self, there: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.resting.borrow_mut().retain(|instance, all| {
            all.retain(|l| l.until > now);
            !all.is_empty() && there(instance)
        });
    }

    pub fn clear(&self) {
        self.resting.borrow_mut().clear();
    }
}
