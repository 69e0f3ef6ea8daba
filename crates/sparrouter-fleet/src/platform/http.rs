//! Bodies of responses of other processes, and the responses of this process, for the frontend, the control endpoint and
//! calls to servers.
use super::defects::rules;
use super::memory::MemoryExhausted;
use bytes::{Bytes, BytesMut};
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::Framing;
use sparrouter_http::reading::{self, ReadError};
use std::fmt::Write;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};

/// How long the process continues to read a connection after it has closed its own side.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads one complete body; `None` if it is longer than `max_bytes`.
///
/// # Errors
///
/// A [`ReadError`] if the connection ends early or the framing is malformed.
pub async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    framing: Framing,
    max_bytes: usize,
) -> Result<Option<Bytes>, ReadError> {
    match framing {
        Framing::Length(length) if length > max_bytes => Ok(None),
        Framing::Length(length) => {
            while buffer.len() < length {
                reading::more(stream, buffer).await?;
            }
            Ok(Some(buffer.split_to(length).freeze()))
        }
        Framing::Chunked => {
            let (mut chunks, mut body) = (ChunkDecoder::default(), BytesMut::new());
            loop {
                match chunks.next(buffer)? {
                    ChunkEvent::Data(chunk) if body.len() + chunk.len() > max_bytes => {
                        return Ok(None);
                    }
                    ChunkEvent::Data(chunk) => body.extend_from_slice(&chunk),
                    ChunkEvent::Incomplete => reading::more(stream, buffer).await?,
                    ChunkEvent::End => return Ok(Some(body.freeze())),
                }
            }
        }
        Framing::ToEnd => loop {
            match reading::more(stream, buffer).await {
                Ok(()) if buffer.len() > max_bytes => return Ok(None),
                Ok(()) => {}
                Err(ReadError::Closed) => return Ok(Some(buffer.split().freeze())),
                Err(error) => return Err(error),
            }
        },
    }
}

/// The reason phrase of a status.
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

/// A response that this process generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whether the body is JSON; otherwise it is plain text.
    pub json: bool,
    /// Body of the response.
    pub body: String,
    /// Value of `Retry-After`: the delay after which the client may retry.
    pub retry_after: Option<Duration>,
    /// Target of a redirect.
    pub location: Option<String>,
}

impl Response {
    /// Creates a response with a plain text.
    pub fn plain(status: u16, text: impl Into<String>) -> Response {
        Response {
            status,
            json: false,
            body: text.into(),
            retry_after: None,
            location: None,
        }
    }

    /// Creates a response with JSON.
    pub fn json(status: u16, body: impl Into<String>) -> Response {
        Response {
            json: true,
            ..Response::plain(status, body)
        }
    }

    /// Creates the response to a request that has not run and never will; the client may retry after this delay.
    pub fn retry_later(after: Duration) -> Response {
        Response {
            retry_after: Some(after),
            ..Response::plain(503, "")
        }
    }

    /// Creates the response to a request for which no memory is available; it has not run and never will.
    pub fn out_of_memory(after: Duration) -> Response {
        Response {
            body: MemoryExhausted.to_string(),
            ..Response::retry_later(after)
        }
    }

    /// Creates the response to a request whose connection is displaced while it arrives; it has not run and never will.
    pub fn displaced(after: Duration) -> Response {
        Response {
            body: "all connections are in use and the request did not arrive: retry later"
                .to_owned(),
            ..Response::retry_later(after)
        }
    }

    /// Creates a 429: the request has not run and never will, since its client has used up its quota.
    pub fn too_many_requests(text: &str, after: Duration) -> Response {
        Response {
            retry_after: Some(after),
            ..Response::plain(429, text)
        }
    }

    /// Encodes the response. `keep_alive`: whether the connection carries another request after it.
    pub fn bytes(&self, keep_alive: bool) -> Bytes {
        let mut out = self.head(keep_alive);
        out.push_str(&self.body);
        out.into()
    }

    /// Encodes the response. `is_head`: whether it answers a HEAD request; the body is left out then, and `Content-Length`
    /// still states its length.
    pub fn bytes_for(&self, is_head: bool, keep_alive: bool) -> Bytes {
        if is_head && rules::responses_to_head_have_no_body() {
            self.head(keep_alive).into()
        } else {
            self.bytes(keep_alive)
        }
    }

    /// Encodes the head of the response, as [`Response::bytes`] does.
    fn head(&self, keep_alive: bool) -> String {
        let mut out = String::with_capacity(160 + self.body.len());
        let kind = if self.json {
            "application/json"
        } else {
            "text/plain"
        };
        // Writing into a `String` never fails.
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
        if !keep_alive {
            out.push_str("Connection: close\r\n");
        }
        out.push_str("\r\n");
        out
    }
}

/// Closes the write side, then reads on for `DRAIN_TIMEOUT`: closing a connection with unread bytes would reset it,
/// and the client would lose the response.
pub async fn drain_until_closed(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let _ = stream.shutdown().await;
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    let mut dropped = BytesMut::new();
    while let Ok(Ok(())) = timeout_at(deadline, reading::more(&mut stream, &mut dropped)).await {
        dropped.clear();
    }
}
