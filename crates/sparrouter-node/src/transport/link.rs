//! One connection to a cache server or the origin, which carries one exchange at a time.
use super::budget::{Body, BodyMemory, Reservation};
use super::reading::{self, ReadError};
use crate::protocol::ParseError;
use crate::protocol::head::{self, ResponseHead};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Interim answers (1xx) allowed ahead of the final one.
const MAX_INTERIM: usize = 16;

/// One connection to a peer.
pub struct Link {
    stream: TcpStream,
    /// What was read beyond the last answer; empty while the connection is idle.
    buffer: BytesMut,
    /// Where it leads.
    pub endpoint: SocketAddr,
    /// How long it stood idle before its present use; none for a new one.
    pub idle: Option<Duration>,
    _descriptor: Reservation,
}

/// A request to send.
pub struct ExchangeRequest {
    /// The head, with its empty line.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
    /// The request is written completely by then or the exchange ends.
    pub send_before: Option<Instant>,
    /// Once this is set, nothing more of the request is written and the exchange ends.
    pub is_cancelled: Rc<Cell<bool>>,
}

/// A complete answer, and the connection if it can carry another exchange.
pub struct Reply {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Body,
    /// The connection, if it can be reused.
    pub link: Option<Link>,
}

impl Link {
    /// Connects.
    ///
    /// # Errors
    ///
    /// The connection is refused, broken, or not established within `limit`.
    pub async fn connect(
        endpoint: SocketAddr,
        limit: Duration,
        descriptor: Reservation,
    ) -> io::Result<Link> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(endpoint)).await??;
        stream.set_nodelay(true)?;
        Ok(Link {
            stream,
            buffer: BytesMut::new(),
            endpoint,
            idle: None,
            _descriptor: descriptor,
        })
    }

    /// Open and without unread bytes, as an idle connection must be: one that was closed, or has bytes that nobody
    /// requested, would hand a late answer to the wrong invocation.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && reading::read_available(&self.stream, &mut [0]).is_none()
    }

    /// Sends once, and never retries by itself. `written` tells whether the last byte was written, also where this is
    /// dropped before its end; dropping closes the connection. None where the request could not be written completely
    /// before `send_before`, or before it was cancelled.
    ///
    /// # Errors
    ///
    /// The connection broke, or the answer violates the protocol or is too long for the memory left.
    pub async fn exchange(
        mut self,
        request: ExchangeRequest,
        memory: &BodyMemory,
        written: &Cell<bool>,
    ) -> Result<Option<Reply>, ReadError> {
        let send_before = request.send_before;
        let writing = self.write(request);
        let is_written = match send_before {
            Some(deadline) => timeout_at(deadline, writing).await.unwrap_or(Ok(false)),
            None => writing.await,
        };
        if !is_written.map_err(|_| ReadError::Reset)? {
            return Ok(None);
        }
        written.set(true);
        let head = self.read_final_head().await?;
        let body = reading::body(&mut self.stream, &mut self.buffer, head.framing, memory).await?;
        let is_reusable = head.keep_alive && self.buffer.is_empty();
        self.buffer = BytesMut::new();
        Ok(Some(Reply {
            head,
            body,
            link: is_reusable.then_some(self),
        }))
    }

    /// Writes the request; false where it was cancelled first. Each attempt to write looks again, immediately before: an
    /// earlier one may have had to wait for the other side or for its turn, and meanwhile the invocation was answered.
    async fn write(&mut self, request: ExchangeRequest) -> io::Result<bool> {
        let mut bytes = request.head.chain(request.body);
        let mut writing = pin!(self.stream.write_all_buf(&mut bytes));
        poll_fn(|context| {
            if request.is_cancelled.get() {
                return Poll::Ready(Ok(false));
            }
            let result = ready!(writing.as_mut().poll(context));
            Poll::Ready(result.map(|()| true))
        })
        .await
    }

    /// The head of the final answer, past interim ones.
    async fn read_final_head(&mut self) -> Result<ResponseHead, ReadError> {
        let mut interim = 0;
        loop {
            let head =
                reading::head(&mut self.stream, &mut self.buffer, head::RESPONSE_PREFIX).await?;
            let head = head::parse_response(&head)?;
            if head.status >= 200 {
                return Ok(head);
            }
            interim += 1;
            if interim > MAX_INTERIM {
                return Err(ParseError("interim answers without end").into());
            }
        }
    }
}
