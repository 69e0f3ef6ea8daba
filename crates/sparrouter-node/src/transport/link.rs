//! A connection to a cache server or the origin, which carries one exchange at a time.
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

/// Maximum number of interim answers (1xx) before the final one.
const MAX_INTERIM: usize = 16;

/// A connection to a peer.
pub struct Link {
    stream: TcpStream,
    /// Bytes read beyond the last answer; empty while the connection is idle.
    buffer: BytesMut,
    /// Address of the peer.
    pub endpoint: SocketAddr,
    /// Idle time before the current use; `None` for a new connection.
    pub idle: Option<Duration>,
    _descriptor: Reservation,
}

/// A request to send.
pub struct ExchangeRequest {
    /// The head, with its empty line.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
    /// Deadline for writing the complete request, after which the exchange ends.
    pub send_before: Option<Instant>,
    /// Set to stop writing the request and end the exchange.
    pub is_cancelled: Rc<Cell<bool>>,
}

/// A complete answer, and the connection if it can carry another exchange.
pub struct Reply {
    /// Head of the answer.
    pub head: ResponseHead,
    /// Body of the answer.
    pub body: Body,
    /// The connection, if it can be reused.
    pub link: Option<Link>,
}

impl Link {
    /// Establishes a connection.
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

    /// Whether the connection is open and without unread bytes, as an idle connection must be. Otherwise a late answer
    /// on it could be taken for the answer to another invocation.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && reading::read_available(&self.stream, &mut [0]).is_none()
    }

    /// Sends the request once, without retries, and reads the answer. `written` is set once the last byte is written,
    /// and stays readable if the future is dropped; dropping it closes the connection. Returns `None` if the request
    /// was not written completely before `send_before` or before it was cancelled.
    ///
    /// # Errors
    ///
    /// The connection broke, or the answer violates the protocol or is too long for the remaining memory.
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

    /// Writes the request. Returns false if it was cancelled first. Cancellation is checked immediately before each
    /// write, because the invocation may be answered while an earlier write waits for the peer or for the scheduler.
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

    /// Reads the head of the final answer, skipping interim answers.
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
