//! HTTP as stand-ins speak it: calls with an answer, and calls that servers take.
use crate::connection::End;
use crate::net::MemoryNet;
use bytes::{Bytes, BytesMut};
use sparrouter_fleet::http;
use sparrouter_http::head::{self, CallHead, ReplyHead};
use sparrouter_http::reading;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No connection came up.
    Unreachable,
    Silent,
    Broken,
}

pub struct Reply {
    pub status: u16,
    pub head: ReplyHead,
    pub body: Bytes,
}

impl Reply {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }
}

/// One call on a connection of its own; `patience` for all of it.
pub async fn call(
    net: &MemoryNet,
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Result<Reply, NoAnswer> {
    let mut reached = false;
    let talking = async {
        let mut stream = net.connect(to).await.map_err(|_| NoAnswer::Unreachable)?;
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
            .map_err(|_| NoAnswer::Broken)?;
        let mut buffer = BytesMut::new();
        let bytes = reading::head(&mut stream, &mut buffer, head::REPLY, 64 << 10).await;
        let head =
            head::reply(&bytes.map_err(|_| NoAnswer::Broken)?).map_err(|_| NoAnswer::Broken)?;
        let body = http::body(&mut stream, &mut buffer, head.framing, 16 << 20).await;
        let body = body.ok().flatten().ok_or(NoAnswer::Broken)?;
        Ok(Reply {
            status: head.status,
            head,
            body,
        })
    };
    match timeout(patience, talking).await {
        Ok(answer) => answer,
        Err(_) if reached => Err(NoAnswer::Silent),
        Err(_) => Err(NoAnswer::Unreachable),
    }
}

/// The next call on a connection that a server took; None once it ends.
pub async fn next_call(stream: &mut End, buffer: &mut BytesMut) -> Option<(CallHead, Bytes)> {
    let bytes = reading::head(stream, buffer, b"", 64 << 10).await.ok()?;
    let head = head::call(&bytes).ok()?;
    let body = http::body(stream, buffer, head.framing, 16 << 20)
        .await
        .ok()
        .flatten()?;
    Some((head, body))
}

/// An answer in one piece.
pub fn whole(status: u16, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Word\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
