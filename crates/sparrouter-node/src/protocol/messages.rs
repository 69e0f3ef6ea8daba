//! Messages of clients and cache servers: parses invocations, encodes forwards and answers.
use super::head::{RequestHead, ResponseHead};
use super::{ParseError, Parsed};
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_balancer::types::{CacheResult, Nanos, Outcome};
use std::net::SocketAddr;

/// A client's request, in slices of the read buffer.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// `GET` or `PUT`.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// The `Host` field; empty if it is missing.
    pub host: Bytes,
    /// The `X-Request-Id` field; not empty.
    pub id: Bytes,
    /// The `Idempotency-Key` field.
    pub idempotency_key: Option<Bytes>,
    /// The `X-Class` field: the operation's name.
    pub operation: Bytes,
    /// The `X-Tenant` field.
    pub tenant: Option<Bytes>,
    /// The `X-Deadline-Ms` field: how long the client waits, in milliseconds.
    pub client_timeout_ms: Option<u64>,
    /// Whether the client retries the request: the `X-Retry` field is 1.
    pub is_retry: bool,
    /// The request's body.
    pub body: Bytes,
}

impl Invocation {
    /// Creates an invocation from a request's head and body.
    ///
    /// # Errors
    ///
    /// The method is neither `GET` nor `PUT`, or a field is missing or malformed.
    pub fn new(head: &RequestHead, body: Bytes) -> Parsed<Invocation> {
        let fields = &head.fields;
        if !matches!(&head.method[..], b"GET" | b"PUT") {
            return Err(ParseError("method is neither GET nor PUT"));
        }
        let client_timeout = fields
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
            idempotency_key: fields.get("Idempotency-Key").cloned(),
            operation: fields
                .get("X-Class")
                .ok_or(ParseError("X-Class missing"))?
                .clone(),
            tenant: fields.get("X-Tenant").cloned(),
            client_timeout_ms: client_timeout.transpose()?,
            is_retry: fields.text("X-Retry") == Some("1"),
            body,
        })
    }

    /// Whether the invocation is a write (`PUT`).
    pub fn is_write(&self) -> bool {
        &self.method[..] == b"PUT"
    }

    /// The cache key: the last segment of the path; `None` if it is empty.
    pub fn key(&self) -> Option<&[u8]> {
        let path = self.target.split(|&b| b == b'?').next()?;
        path.rsplit(|&b| b == b'/').next().filter(|k| !k.is_empty())
    }

    /// Encodes the head of a forward. `wait` is the time for which the node waits for the answer.
    pub fn forward(&self, wait: Nanos) -> Bytes {
        let mut out = BytesMut::with_capacity(256 + self.target.len());
        let mut put = |slices: &[&[u8]]| slices.iter().for_each(|s| out.put_slice(s));
        put(&[
            &self.method,
            b" ",
            &self.target,
            b" HTTP/1.1\r\nHost: ",
            &self.host,
        ]);
        put(&[b"\r\nX-Request-Id: ", &self.id]);
        if let Some(key) = &self.idempotency_key {
            put(&[b"\r\nIdempotency-Key: ", key]);
        }
        let wait_ms = (wait / 1_000_000).max(1).to_string();
        put(&[b"\r\nX-Deadline-Ms: ", wait_ms.as_bytes()]);
        if self.is_write() || !self.body.is_empty() {
            put(&[
                b"\r\nContent-Length: ",
                self.body.len().to_string().as_bytes(),
            ]);
        }
        put(&[b"\r\n\r\n"]);
        out.freeze()
    }
}

/// Encodes a GET without further fields, for health checks and discovery.
pub fn get(target: &str, host: SocketAddr) -> Bytes {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into()
}

/// Maps a complete answer of a cache server or the origin to the outcome of the forward.
pub fn outcome(head: &ResponseHead) -> Outcome {
    match head.status {
        200 => Outcome::Succeeded,
        404 => Outcome::Miss,
        503 | 504 if head.fields.text("X-Not-Run") == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// The cache result that a cache server reports; `None` if it reports none or an unknown one.
pub fn cache_result(head: &ResponseHead) -> Option<CacheResult> {
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
    /// 200, with a value.
    Succeeded {
        /// `Content-Type` of the value.
        content_type: Option<Bytes>,
        /// The value.
        body: Bytes,
    },
    /// 503: the invocation was not executed and may be retried.
    Throttled {
        /// Delay before a retry, in nanoseconds; 0 if none is stated.
        retry_after: Nanos,
    },
    /// 502: the invocation may have been executed.
    Errored,
    /// 400: the request is malformed and does not count as an invocation. The text is the answer's body.
    Bad(&'static str),
}

/// The interim answer for a client that sent `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const SUCCEEDED: &str = "200 OK";
const THROTTLED: &str = "503 Service Unavailable";
const ERRORED: &str = "502 Bad Gateway";
const BAD: &str = "400 Bad Request";

fn head(
    status: &str,
    content_type: Option<&[u8]>,
    length: usize,
    keep_alive: bool,
    fields: &str,
) -> Bytes {
    let mut out = BytesMut::with_capacity(160);
    out.put_slice(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n").as_bytes());
    if let Some(content_type) = content_type {
        out.put_slice(b"Content-Type: ");
        out.put_slice(content_type);
        out.put_slice(b"\r\n");
    }
    out.put_slice(fields.as_bytes());
    out.put_slice(if keep_alive {
        b"\r\n"
    } else {
        b"Connection: close\r\n\r\n"
    });
    out.freeze()
}

/// An encoded answer.
pub struct EncodedAnswer {
    /// The head, with its empty line.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

/// Encodes an answer. `keep_alive` is true if the connection stays open after it.
pub fn answer(answer: &Answer, keep_alive: bool) -> EncodedAnswer {
    let without_body = |status, fields: &str| EncodedAnswer {
        head: head(status, None, 0, keep_alive, fields),
        body: Bytes::new(),
    };
    match answer {
        Answer::Succeeded { content_type, body } => EncodedAnswer {
            head: head(
                SUCCEEDED,
                content_type.as_deref(),
                body.len(),
                keep_alive,
                "",
            ),
            body: body.clone(),
        },
        Answer::Throttled { retry_after: 0 } => without_body(THROTTLED, ""),
        Answer::Throttled { retry_after } => {
            let seconds = *retry_after as f64 / 1e9;
            without_body(THROTTLED, &format!("Retry-After: {seconds:.3}\r\n"))
        }
        Answer::Errored => without_body(ERRORED, ""),
        Answer::Bad(text) => plain(BAD, text, keep_alive),
    }
}

/// Encodes an answer with a plain text body: readiness, or the rejection of malformed input.
fn plain(status: &str, text: &str, keep_alive: bool) -> EncodedAnswer {
    EncodedAnswer {
        head: head(status, Some(b"text/plain"), text.len(), keep_alive, ""),
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}

/// The answer to `/health/ready`.
pub fn readiness(is_ready: bool, keep_alive: bool) -> EncodedAnswer {
    if is_ready {
        plain(SUCCEEDED, "ready", keep_alive)
    } else {
        plain(THROTTLED, "leaving", keep_alive)
    }
}
