//! HTTP for stand-ins: calls with their answers, and requests that stand-ins receive.

use crate::network::interface::NetworkInterface;
use crate::network::socket::Socket;
use bytes::{Bytes, BytesMut};
use sparrouter_fleet::platform::http;
use sparrouter_http::head::{self, RequestHead, ResponseHead};
use sparrouter_http::reading;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Largest head and body that stand-ins read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established.
    Unreachable,
    /// No complete response came in time.
    TimedOut,
    /// The connection broke, or the answer was malformed.
    Broken,
}

/// An answer.
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

/// Sends a call on a new connection. `timeout_after`: how long all of it may take.
///
/// # Errors
///
/// [`CallError`] if no whole answer came.
pub async fn call(
    net: &NetworkInterface,
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
    timeout_after: Duration,
) -> Result<Reply, CallError> {
    let mut reached = false;
    let exchange = async {
        let mut stream = net.connect(to).await.map_err(|_| CallError::Unreachable)?;
        reached = true;
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!(
            "Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        ));
        stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| CallError::Broken)?;
        let mut buffer = BytesMut::new();
        let bytes = reading::head(&mut stream, &mut buffer, head::REPLY, MAX_HEAD_BYTES).await;
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
    match timeout(timeout_after, exchange).await {
        Ok(answer) => answer,
        Err(_) if reached => Err(CallError::TimedOut),
        Err(_) => Err(CallError::Unreachable),
    }
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

/// The text of an answer with a body of known length. `fields`: further header fields, each with its line end.
pub fn response_text(status: u16, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Word\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
