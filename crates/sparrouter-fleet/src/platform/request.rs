//! Reads requests of clients, operators and servers, within limits of size, time and memory.
use super::body::{Body, BodyBuilder};
use super::memory::{MemoryExhausted, Reservation};
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_http::ParseError;
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::{self, Framing, RequestHead};
use sparrouter_http::reading::{self, HEAD_TOO_LONG, ReadError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};

/// Memory that each request holds at least, in bytes: the buffer of its connection.
const CONNECTION_BUFFER_BYTES: usize = 8 << 10;
/// Capacity of a buffer that grows, as a multiple of its length.
const BUFFER_GROWTH: usize = 2;

/// Memory for each line of a head besides its bytes: the slices of its name and its value, in a list whose capacity may be
/// twice its length, and the slice of the line while it is parsed.
const FIELD_BYTES: usize = 6 * size_of::<Bytes>();

/// Limits on the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// Time-out, from the first byte.
    pub timeout: Duration,
}

/// Limits on a request.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Limits on the head.
    pub head: HeadLimits,
    /// Maximum length of the body, in bytes.
    pub max_body_bytes: usize,
}

/// Why no request was read.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestReadError {
    /// The connection ended, so that there is no client to respond to.
    Left,
    /// The request is answered with this status and text, and the connection is closed.
    Refused(u16, &'static str),
    /// No memory is available for the request; it is answered with 503, and the connection is closed.
    MemoryExhausted,
    /// The request did not arrive while others needed its connection; it is answered with 503, and the connection is
    /// closed.
    Displaced,
}

impl From<ReadError> for RequestReadError {
    fn from(error: ReadError) -> RequestReadError {
        match error {
            ReadError::Closed | ReadError::Reset => RequestReadError::Left,
            ReadError::Bad(bad) => bad.into(),
        }
    }
}

impl From<ParseError> for RequestReadError {
    fn from(bad: ParseError) -> RequestReadError {
        if bad == HEAD_TOO_LONG {
            RequestReadError::Refused(431, "header longer than allowed")
        } else {
            RequestReadError::Refused(400, bad.0)
        }
    }
}

impl From<MemoryExhausted> for RequestReadError {
    fn from(_: MemoryExhausted) -> RequestReadError {
        RequestReadError::MemoryExhausted
    }
}

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The request's head.
    pub head: RequestHead,
    /// The request's body.
    pub body: Body,
}

impl Request {
    /// The path of the request's target, without the query.
    pub fn path(&self) -> &str {
        path_of(&self.head)
    }

    /// The value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = std::str::from_utf8(&self.head.target).ok()?;
        let (_, query) = target.split_once('?')?;
        query.split('&').find_map(|pair| {
            pair.split_once('=')
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| v)
        })
    }
}

/// The path of a request's target, without the query.
pub fn path_of(head: &RequestHead) -> &str {
    let target = std::str::from_utf8(&head.target).unwrap_or("/");
    target.split('?').next().unwrap_or("/")
}

/// A connection from which one request is read.
pub struct RequestReader<'a, S> {
    /// The connection.
    pub stream: &'a mut S,
    /// Bytes that have been read from the connection; afterwards, those behind the request.
    pub buffer: &'a mut BytesMut,
    /// The memory of the request.
    pub reservation: &'a mut Reservation,
    /// When the request must be complete.
    pub deadline: Instant,
}

impl<S: AsyncRead + AsyncWrite + Unpin> RequestReader<'_, S> {
    /// Reads the rest of a request whose first byte is in the buffer.
    ///
    /// # Errors
    ///
    /// A [`RequestReadError`], which contains the response, if any.
    pub async fn read(&mut self, limits: ReadLimits) -> Result<Request, RequestReadError> {
        let head = self.read_head(limits.head).await?;
        let body = self.read_body(&head, limits.max_body_bytes).await?;
        Ok(Request { head, body })
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// A [`RequestReadError`], which contains the response, if any.
    pub async fn read_head(&mut self, limits: HeadLimits) -> Result<RequestHead, RequestReadError> {
        let deadline = self.deadline.min(Instant::now() + limits.timeout);
        let read = timeout_at(deadline, self.receive_head(limits.max_bytes));
        let bytes = read.await.map_err(timed_out)??;
        let field_count = bytes.iter().filter(|&&byte| byte == b'\n').count();
        self.reservation.grow(field_count * FIELD_BYTES).await?;
        Ok(head::parse_request(&bytes)?)
    }

    /// Reads the body of the request with this head. The request is then complete: its memory is kept until the
    /// reservation is dropped.
    ///
    /// # Errors
    ///
    /// A [`RequestReadError`], which contains the response, if any.
    pub async fn read_body(
        &mut self,
        head: &RequestHead,
        max_bytes: usize,
    ) -> Result<Body, RequestReadError> {
        if let Framing::Length(length) = head.framing {
            if length > max_bytes {
                return Err(self.refuse_long_body(max_bytes));
            }
            self.reservation.check_available(length)?;
        }
        let expects_continue = head.fields.text("expect");
        if expects_continue.is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            let interim = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            let written = timeout_at(self.deadline, interim).await;
            written
                .map_err(timed_out)?
                .map_err(|_| RequestReadError::Left)?;
        }
        let read = timeout_at(self.deadline, self.receive_body(head.framing, max_bytes));
        let body = read.await.map_err(timed_out)??;
        self.reservation.complete();
        Ok(body)
    }

    /// Receives a head up to and including its empty line.
    async fn receive_head(&mut self, max_bytes: usize) -> Result<Bytes, RequestReadError> {
        let mut searched = 0;
        loop {
            let buffer_bytes = self.buffer.len() * BUFFER_GROWTH;
            let reserved_bytes = buffer_bytes.max(CONNECTION_BUFFER_BYTES);
            self.reservation.grow_to(reserved_bytes).await?;
            if let Some(head) = reading::split_head(self.buffer, searched, max_bytes)? {
                return Ok(head);
            }
            searched = self.buffer.len();
            self.receive().await?;
        }
    }

    async fn receive_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
    ) -> Result<Body, RequestReadError> {
        match framing {
            Framing::Length(length) => self.receive_length(length).await,
            Framing::Chunked => self.receive_chunks(max_bytes).await,
            Framing::ToEnd => Err(RequestReadError::Refused(
                400,
                "the length of the body is not defined",
            )),
        }
    }

    /// Receives a body of known length, without reading beyond it.
    async fn receive_length(&mut self, length: usize) -> Result<Body, RequestReadError> {
        if length <= self.buffer.len() {
            self.reservation.grow(length).await?;
            return Ok(self.buffer.split_to(length).freeze().into());
        }
        let mut body = BodyBuilder::default();
        let buffered = self.buffer.split();
        body.push(&buffered, length, self.reservation).await?;
        drop(buffered);
        while body.len() < length {
            let missing_bytes = length - body.len();
            let (segment, spare_bytes) = body.spare(missing_bytes, self.reservation).await?;
            let mut spare = segment.limit(spare_bytes);
            let read = tokio::select! {
                biased;
                () = self.reservation.evicted() => return Err(RequestReadError::MemoryExhausted),
                read = self.stream.read_buf(&mut spare) => read,
            };
            let received = match read {
                Ok(bytes) if bytes > 0 => bytes,
                _ => return Err(RequestReadError::Left),
            };
            body.record_received(received);
            self.reservation.record_arrival(received);
        }
        Ok(body.finish())
    }

    async fn receive_chunks(&mut self, max_bytes: usize) -> Result<Body, RequestReadError> {
        let (mut chunks, mut body) = (ChunkDecoder::default(), BodyBuilder::default());
        loop {
            let missing_bytes = max_bytes - body.len();
            match chunks.next(self.buffer)? {
                ChunkEvent::Data(data) if data.len() > missing_bytes => {
                    return Err(self.refuse_long_body(max_bytes));
                }
                ChunkEvent::Data(data) => {
                    body.push(&data, missing_bytes, self.reservation).await?;
                }
                ChunkEvent::Incomplete => self.receive().await?,
                ChunkEvent::End => return Ok(body.finish()),
            }
        }
    }

    /// Counts a body that is longer than allowed; returns the error.
    fn refuse_long_body(&self, max_bytes: usize) -> RequestReadError {
        self.reservation.record_too_long(max_bytes);
        RequestReadError::Refused(413, "body longer than allowed")
    }

    /// Reads once from the connection into the buffer.
    async fn receive(&mut self) -> Result<(), RequestReadError> {
        let length_before = self.buffer.len();
        tokio::select! {
            biased;
            () = self.reservation.evicted() => return Err(RequestReadError::MemoryExhausted),
            read = reading::more(self.stream, self.buffer) => read?,
        }
        let received = self.buffer.len() - length_before;
        self.reservation.record_arrival(received);
        Ok(())
    }
}

/// The error for a request that is not complete at its deadline.
fn timed_out(_: tokio::time::error::Elapsed) -> RequestReadError {
    RequestReadError::Refused(408, "the request did not arrive in time")
}
