//! Whole messages and our own answers: what the client edge, the operators' door and calls to servers share.
use bytes::{Bytes, BytesMut};
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::{self, Framing, RequestHead};
use sparrouter_http::reading::{self, HEAD_TOO_LONG, ReadError};
use std::fmt::Write;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};

/// What a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    pub max_head_bytes: usize,
    pub max_body_bytes: usize,
    /// For the head, from its first byte; the body has the rest of `whole`.
    pub header_timeout: Duration,
}

/// Why no request came.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestReadError {
    /// The connection ended, or never brought a byte: nothing is owed.
    Left,
    /// This status answers it, and the connection ends.
    Refused(u16, &'static str),
}

#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Bytes,
}

impl Request {
    pub fn path(&self) -> &str {
        let target = std::str::from_utf8(&self.head.target).unwrap_or("/");
        target.split('?').next().unwrap_or("/")
    }
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

/// One whole body, `most` bytes at the longest. None where it is longer.
pub async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    framing: Framing,
    most: usize,
) -> Result<Option<Bytes>, ReadError> {
    match framing {
        Framing::Length(length) if length > most => Ok(None),
        Framing::Length(length) => {
            while buffer.len() < length {
                reading::more(stream, buffer).await?;
            }
            Ok(Some(buffer.split_to(length).freeze()))
        }
        Framing::Chunked => {
            let (mut chunks, mut whole) = (ChunkDecoder::default(), BytesMut::new());
            loop {
                match chunks.next(buffer)? {
                    ChunkEvent::Data(piece) if whole.len() + piece.len() > most => return Ok(None),
                    ChunkEvent::Data(piece) => whole.extend_from_slice(&piece),
                    ChunkEvent::More => reading::more(stream, buffer).await?,
                    ChunkEvent::End => return Ok(Some(whole.freeze())),
                }
            }
        }
        Framing::ToEnd => loop {
            match reading::more(stream, buffer).await {
                Ok(()) if buffer.len() > most => return Ok(None),
                Ok(()) => {}
                Err(ReadError::Closed) => return Ok(Some(buffer.split().freeze())),
                Err(broken) => return Err(broken),
            }
        },
    }
}

/// The rest of a request of which a byte is in the buffer. `until`: when it must be whole.
pub async fn read_request(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    buffer: &mut BytesMut,
    room: ReadLimits,
    until: Instant,
) -> Result<Request, RequestReadError> {
    let broken = |broken| match broken {
        ReadError::Closed | ReadError::Reset => RequestReadError::Left,
        ReadError::Bad(bad) if bad == HEAD_TOO_LONG => {
            RequestReadError::Refused(431, "header longer than allowed")
        }
        ReadError::Bad(bad) => RequestReadError::Refused(400, bad.0),
    };
    let late = |_| RequestReadError::Refused(408, "the request did not come in time");
    let head_until = until.min(Instant::now() + room.header_timeout);
    let bytes = timeout_at(
        head_until,
        reading::head(stream, buffer, b"", room.max_head_bytes),
    )
    .await
    .map_err(late)?;
    let head = head::parse_request(&bytes.map_err(broken)?)
        .map_err(|bad| RequestReadError::Refused(400, bad.0))?;
    if matches!(head.framing, Framing::Length(length) if length > room.max_body_bytes) {
        return Err(RequestReadError::Refused(413, "body longer than allowed"));
    }
    if head
        .fields
        .text("expect")
        .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
    {
        stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| RequestReadError::Left)?;
    }
    let whole = timeout_at(
        until,
        read_body(stream, buffer, head.framing, room.max_body_bytes),
    )
    .await
    .map_err(late)?;
    match whole.map_err(broken)? {
        Some(body) => Ok(Request { head, body }),
        None => Err(RequestReadError::Refused(413, "body longer than allowed")),
    }
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// An answer of our own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub json: bool,
    pub body: String,
    pub retry_after: Option<Duration>,
    pub location: Option<String>,
}

impl Response {
    pub fn plain(status: u16, text: impl Into<String>) -> Response {
        Response {
            status,
            json: false,
            body: text.into(),
            retry_after: None,
            location: None,
        }
    }
    pub fn json(status: u16, body: impl Into<String>) -> Response {
        Response {
            json: true,
            ..Response::plain(status, body)
        }
    }
    /// Not run and never will be: come back after this.
    pub fn retry_later(after: Duration) -> Response {
        Response {
            retry_after: Some(after),
            ..Response::plain(503, "")
        }
    }

    pub fn bytes(&self, keep: bool) -> Bytes {
        let mut out = String::with_capacity(160 + self.body.len());
        let kind = if self.json {
            "application/json"
        } else {
            "text/plain"
        };
        // Writing into a String does not fail.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        let _ = write!(
            out,
            "Content-Type: {kind}\r\nContent-Length: {}\r\n",
            self.body.len()
        );
        if let Some(after) = self.retry_after {
            let _ = write!(out, "Retry-After: {:.3}\r\n", after.as_secs_f64());
        }
        if let Some(location) = &self.location {
            let _ = write!(out, "Location: {location}\r\n");
        }
        if !keep {
            out.push_str("Connection: close\r\n");
        }
        out.push_str("\r\n");
        out.push_str(&self.body);
        out.into()
    }
}

/// Ends our side and reads on for a moment, so that closing over unread bytes does not reset the answer away.
pub async fn drain_until_closed(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let _ = stream.shutdown().await;
    let until = Instant::now() + Duration::from_millis(300);
    let mut dropped = BytesMut::new();
    while let Ok(Ok(())) = timeout_at(until, reading::more(&mut stream, &mut dropped)).await {
        dropped.clear();
    }
}
