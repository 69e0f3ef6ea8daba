//! The messages themselves: invocations read, forwards and answers written.
use super::head::{RequestHead, ResponseHead};
use super::{ParseError, Parsed};
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_balancer::types::{CacheResult, Nanos, Outcome};
use std::net::SocketAddr;

/// What a client sent, in slices of what was read.
#[derive(Clone, Debug)]
pub struct Invocation {
    pub method: Bytes,
    pub target: Bytes,
    pub host: Bytes,
    pub id: Bytes,
    pub mark: Option<Bytes>,
    pub operation: Bytes,
    pub tenant: Option<Bytes>,
    pub patience_ms: Option<u64>,
    pub repeat: bool,
    pub body: Bytes,
}

impl Invocation {
    pub fn new(head: &RequestHead, body: Bytes) -> Parsed<Invocation> {
        let fields = &head.fields;
        if !matches!(&head.method[..], b"GET" | b"PUT") {
            return Err(ParseError("method is neither GET nor PUT"));
        }
        let patience = fields
            .text("X-Deadline-Ms")
            .map(|t| t.parse().map_err(|_| ParseError("X-Deadline-Ms")));
        Ok(Invocation {
            method: head.method.clone(),
            target: head.target.clone(),
            host: fields.get("Host").cloned().unwrap_or_default(),
            id: fields
                .get("X-Request-Id")
                .filter(|i| !i.is_empty())
                .ok_or(ParseError("X-Request-Id missing"))?
                .clone(),
            mark: fields.get("Idempotency-Key").cloned(),
            operation: fields
                .get("X-Class")
                .ok_or(ParseError("X-Class missing"))?
                .clone(),
            tenant: fields.get("X-Tenant").cloned(),
            patience_ms: patience.transpose()?,
            repeat: fields.text("X-Retry") == Some("1"),
            body,
        })
    }
    pub fn writes(&self) -> bool {
        &self.method[..] == b"PUT"
    }
    /// The last part of the path.
    pub fn key(&self) -> Option<&[u8]> {
        let path = self.target.split(|&b| b == b'?').next()?;
        path.rsplit(|&b| b == b'/').next().filter(|k| !k.is_empty())
    }

    /// Head of a forward that the node waits for so long.
    pub fn forward(&self, wait: Nanos) -> Bytes {
        let mut out = BytesMut::with_capacity(256 + self.target.len());
        let mut put = |parts: &[&[u8]]| parts.iter().for_each(|p| out.put_slice(p));
        put(&[
            &self.method,
            b" ",
            &self.target,
            b" HTTP/1.1\r\nHost: ",
            &self.host,
        ]);
        put(&[b"\r\nX-Request-Id: ", &self.id]);
        if let Some(mark) = &self.mark {
            put(&[b"\r\nIdempotency-Key: ", mark]);
        }
        let wait_ms = (wait / 1_000_000).max(1).to_string();
        put(&[b"\r\nX-Deadline-Ms: ", wait_ms.as_bytes()]);
        if self.writes() || !self.body.is_empty() {
            put(&[
                b"\r\nContent-Length: ",
                self.body.len().to_string().as_bytes(),
            ]);
        }
        put(&[b"\r\n\r\n"]);
        out.freeze()
    }
}

/// A bare GET, of a probe or to discovery.
pub fn get(target: &str, host: SocketAddr) -> Bytes {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into()
}

/// What the whole answer of a cache server or the origin means.
pub fn outcome(head: &ResponseHead) -> Outcome {
    match head.status {
        200 => Outcome::Succeeded,
        404 => Outcome::Miss,
        503 | 504 if head.fields.text("X-Not-Run") == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

pub fn note(head: &ResponseHead) -> Option<CacheResult> {
    match head.fields.text("X-Cache")? {
        "hit" => Some(CacheResult::Hit),
        "miss" => Some(CacheResult::Miss),
        "pending" => Some(CacheResult::MissWhileFetching),
        _ => None,
    }
}

/// The final answer to a client.
#[derive(Clone, Debug)]
pub enum Answer {
    Succeeded {
        kind: Option<Bytes>,
        body: Bytes,
    },
    Throttled {
        retry_after: Nanos,
    },
    Errored,
    /// It could not be understood, so it was never an invocation.
    Bad(&'static str),
}

pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const SUCCEEDED: &str = "200 OK";
const THROTTLED: &str = "503 Service Unavailable";
const ERRORED: &str = "502 Bad Gateway";
const BAD: &str = "400 Bad Request";

fn head(status: &str, kind: Option<&[u8]>, length: usize, keep: bool, more: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(160);
    out.put_slice(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n").as_bytes());
    if let Some(kind) = kind {
        out.put_slice(b"Content-Type: ");
        out.put_slice(kind);
        out.put_slice(b"\r\n");
    }
    out.put_slice(more.as_bytes());
    out.put_slice(if keep {
        b"\r\n"
    } else {
        b"Connection: close\r\n\r\n"
    });
    out.freeze()
}

/// Head and body.
pub fn answer(answer: &Answer, keep: bool) -> (Bytes, Bytes) {
    match answer {
        Answer::Succeeded { kind, body } => (
            head(SUCCEEDED, kind.as_deref(), body.len(), keep, ""),
            body.clone(),
        ),
        Answer::Throttled { retry_after: 0 } => (head(THROTTLED, None, 0, keep, ""), Bytes::new()),
        Answer::Throttled { retry_after } => {
            let seconds = *retry_after as f64 / 1e9;
            (
                head(
                    THROTTLED,
                    None,
                    0,
                    keep,
                    &format!("Retry-After: {seconds:.3}\r\n"),
                ),
                Bytes::new(),
            )
        }
        Answer::Errored => (head(ERRORED, None, 0, keep, ""), Bytes::new()),
        Answer::Bad(text) => plain(BAD, text, keep),
    }
}

/// An answer of the node's own that is no invocation's: readiness, bad input.
fn plain(status: &str, text: &str, keep: bool) -> (Bytes, Bytes) {
    (
        head(status, Some(b"text/plain"), text.len(), keep, ""),
        Bytes::copy_from_slice(text.as_bytes()),
    )
}

pub fn readiness(ready: bool, keep: bool) -> (Bytes, Bytes) {
    if ready {
        plain(SUCCEEDED, "ready", keep)
    } else {
        plain(THROTTLED, "leaving", keep)
    }
}
