//! HTTP as servers, clients and the operator speak it: calls with their replies, and requests that servers receive.

use crate::network::interface::NetworkInterface;
use crate::network::socket::Socket;
use bytes::{Bytes, BytesMut};
use sparrouter_fleet::platform::http;
use sparrouter_http::head::{self, RequestHead, ResponseHead};
use sparrouter_http::reading;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Largest head and body that stand-ins read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established.
    Unreachable,
    /// No complete response came in time.
    TimedOut,
    /// The connection broke, or the response was malformed.
    Broken,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            CallError::Unreachable => "no connection could be established: check the address",
            CallError::TimedOut => "no complete response came in time",
            CallError::Broken => "the connection broke, or the response was malformed",
        })
    }
}

impl std::error::Error for CallError {}

/// A reply to a call.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// The body as text; empty if it is not UTF-8.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }
}

/// Sends a call on a new connection. `time_limit`: how long all of it may take.
///
/// # Errors
///
/// [`CallError`] if no complete response came.
pub async fn call(
    network: &NetworkInterface,
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
    time_limit: Duration,
) -> Result<Reply, CallError> {
    let mut reached = false;
    let exchange = async {
        let mut stream = network
            .connect(to)
            .await
            .map_err(|_| CallError::Unreachable)?;
        reached = true;
        let text = request_text(to, method, path, fields, body);
        stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| CallError::Broken)?;
        let mut buffer = BytesMut::new();
        let bytes = reading::head(
            &mut stream,
            &mut buffer,
            head::RESPONSE_PREFIX,
            MAX_HEAD_BYTES,
        )
        .await;
        let head = head::parse_response(&bytes.map_err(|_| CallError::Broken)?)
            .map_err(|_| CallError::Broken)?;
        let body = http::read_body(&mut stream, &mut buffer, head.framing, MAX_BODY_BYTES).await;
        let body = body.ok().flatten().ok_or(CallError::Broken)?;
        Ok(Reply {
            status: head.status,
            head,
            body,
        })
    };
    match timeout(time_limit, exchange).await {
        Ok(answer) => answer,
        Err(_) if reached => Err(CallError::TimedOut),
        Err(_) => Err(CallError::Unreachable),
    }
}

fn request_text(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> String {
    let fields: String = fields
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\n{fields}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the next request on a connection that a stand-in accepted; `None` once it ends.
pub async fn next_call(stream: &mut Socket, buffer: &mut BytesMut) -> Option<(RequestHead, Bytes)> {
    let bytes = reading::head(stream, buffer, b"", MAX_HEAD_BYTES)
        .await
        .ok()?;
    let head = head::parse_request(&bytes).ok()?;
    let body = http::read_body(stream, buffer, head.framing, MAX_BODY_BYTES)
        .await
        .ok()
        .flatten()?;
    Some((head, body))
}

/// The text of a response with a body of known length. `fields`: further header fields, each with its line end.
pub fn response_text(status: u16, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Word\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
