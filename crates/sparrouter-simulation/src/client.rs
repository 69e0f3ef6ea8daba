//! Clients by PROTOCOL.md: a new id for each attempt, retries as the answers allow, a whole answer or none.
#![deny(missing_docs)]

use crate::checkers::{Attempt, ClientResponse, Monitor};
use crate::configuration::RouteKind;
use crate::load_balancer::LoadBalancer;
use crate::network::connection::End;
use crate::network::interface::NetworkInterface;
use crate::server::MODEL;
use bytes::{Bytes, BytesMut};
use fastrand::Rng;
use sparrouter_fleet::platform::net::Connection;
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::{self, Framing};
use sparrouter_http::reading;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a retry, unless the answer names another.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// A client abandons an answer that pauses for so long.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A request of a client: where it goes, what it asks for, and how long the client waits.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Whether it may be repeated.
    pub kind: RouteKind,
    /// API key.
    pub key: String,
    /// Zone of the client.
    pub zone: String,
    /// How long the client waits, over all attempts.
    pub deadline: Duration,
    /// Most attempts after the first one.
    pub retries: u32,
    /// Id of the prompt's shared part.
    pub prompt_id: String,
    /// Tokens of the shared part.
    pub shared_tokens: u64,
    /// The client disconnects so long after it sent an attempt.
    pub disconnects_after: Option<Duration>,
}

/// How a request ended, after all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a whole answer.
    Served,
    /// With a refusal; holds the last status.
    Rejected(u16),
    /// Without a whole answer.
    Failed,
}

/// A client.
pub struct Client {
    net: NetworkInterface,
    monitor: Rc<Monitor>,
    load_balancer: Rc<LoadBalancer>,
    rng: RefCell<Rng>,
    /// A connection that may carry another request, its node's address and [`LoadBalancer::incarnation`].
    kept: RefCell<Option<(End, SocketAddr, u64)>>,
    keeps: bool,
}

impl Client {
    /// `keeps`: it keeps connections open between requests.
    pub fn new(
        net: NetworkInterface,
        monitor: Rc<Monitor>,
        load_balancer: Rc<LoadBalancer>,
        rng: Rng,
        keeps: bool,
    ) -> Client {
        Client {
            net,
            monitor,
            load_balancer,
            rng: RefCell::new(rng),
            kept: RefCell::default(),
            keeps,
        }
    }

    /// Sends a request with its retries, to the nodes that the platform chooses.
    pub async fn send(&self, request: &ClientRequest) -> RequestOutcome {
        self.send_with_retries(request, None).await
    }

    /// Sends a request with its retries to one node. `incarnation`: see [`LoadBalancer::incarnation`].
    pub async fn send_to(
        &self,
        request: &ClientRequest,
        to: SocketAddr,
        incarnation: u64,
    ) -> RequestOutcome {
        self.send_with_retries(request, Some((to, incarnation)))
            .await
    }

    async fn send_with_retries(
        &self,
        request: &ClientRequest,
        direct: Option<(SocketAddr, u64)>,
    ) -> RequestOutcome {
        let until = Instant::now() + request.deadline;
        let mut came = RequestOutcome::Failed;
        for _ in 0..=request.retries {
            if Instant::now() >= until {
                break;
            }
            let (answer, retry_after, unread) = self.attempt(request, until, direct).await;
            let promised = matches!(answer.status, 408 | 421 | 429 | 503);
            came = match answer.status {
                200..=299 if answer.is_complete => return RequestOutcome::Served,
                0 | 200..=299 => RequestOutcome::Failed,
                status => RequestOutcome::Rejected(status),
            };
            let last = matches!(answer.status, 200..=299 | 400 | 401 | 404 | 413 | 431);
            if last || !(request.kind.is_retryable() || promised || unread) {
                break;
            }
            let left = until.saturating_duration_since(Instant::now());
            sleep(retry_after.unwrap_or(RETRY_PAUSE).min(left / 3)).await;
        }
        came
    }

    /// Sends a request once. Gives also how long the answer asks to wait before a retry, and whether no node can have read
    /// the request.
    async fn attempt(
        &self,
        request: &ClientRequest,
        until: Instant,
        direct: Option<(SocketAddr, u64)>,
    ) -> (ClientResponse, Option<Duration>, bool) {
        let id = format!("{:016x}", self.rng.borrow_mut().u64(..));
        let mut answer = ClientResponse::default();
        let Some((mut stream, to, incarnation, kept)) = self.connection(request, direct).await
        else {
            return (answer, None, true);
        };
        let body = Bytes::from(format!("body of {id}"));
        let asked = Attempt {
            method: "POST".to_owned(),
            host: request.host.clone(),
            path: request.path.clone(),
            body: body.clone(),
            key: request.key.clone(),
            kind: request.kind,
            node: to.ip(),
            incarnation,
            until,
            kept,
        };
        self.monitor.attempt_sent(&id, asked);
        let head = request_head(request, &id, until, body.len());
        let mut keep = false;
        let mut after = None;
        if stream
            .write_all(&[head.as_bytes(), &body].concat())
            .await
            .is_ok()
        {
            let reading = self.read(&mut stream, &mut answer);
            let last = request
                .disconnects_after
                .map_or(until, |after| until.min(Instant::now() + after));
            match timeout_at(last, reading).await {
                Ok((kept, told)) => (keep, after) = (kept, told),
                Err(_) => answer.abandoned = true,
            }
        }
        // After a reset, or an end before any byte, the node may have read the request.
        self.monitor.response_received(&id, &answer);
        if keep && self.keeps && answer.is_complete {
            *self.kept.borrow_mut() = Some((stream, to, incarnation));
        }
        (answer, after, false)
    }

    /// The connection kept from the last request (then true), or a new one; `None` if none can be established.
    async fn connection(
        &self,
        request: &ClientRequest,
        direct: Option<(SocketAddr, u64)>,
    ) -> Option<(End, SocketAddr, u64, bool)> {
        let kept = self.kept.borrow_mut().take();
        let kept = kept.filter(|(end, ..)| match end.read_available(&mut [0; 64]) {
            None => true,
            Some(Ok(0) | Err(_)) => false,
            Some(Ok(_)) => {
                self.monitor
                    .report_violation("MIXED", "bytes on a connection where no request waits");
                false
            }
        });
        if let Some((stream, to, incarnation)) = kept {
            return Some((stream, to, incarnation, true));
        }
        let (to, incarnation) = direct.or_else(|| {
            self.load_balancer
                .pick(&request.zone, &mut self.rng.borrow_mut())
        })?;
        let connected = timeout(CONNECT_TIMEOUT, self.net.connect(to)).await;
        let stream = connected.ok()?.ok()?;
        Some((stream, to, incarnation, false))
    }

    /// Reads an answer. Gives whether the connection may carry another request, and how long the answer asks to wait before
    /// a retry.
    async fn read(
        &self,
        stream: &mut End,
        answer: &mut ClientResponse,
    ) -> (bool, Option<Duration>) {
        let mut buffer = BytesMut::new();
        let bytes = match reading::head(stream, &mut buffer, head::REPLY, MAX_HEAD_BYTES).await {
            Ok(bytes) => bytes,
            Err(reading::ReadError::Bad(bad)) => {
                answer.bad = Some(bad.0);
                return (false, None);
            }
            Err(_) => return (false, None),
        };
        let head = match head::parse_response(&bytes) {
            Ok(head) => head,
            Err(bad) => {
                answer.bad = Some(bad.0);
                return (false, None);
            }
        };
        let text = |name: &str| head.fields.text(name).map(str::to_owned);
        answer.status = head.status;
        answer.seal = text("sparrouter-response-seal");
        answer.attempt = text("sparrouter-attempt-id");
        answer.streams = text("content-type").is_some_and(|t| t == "text/event-stream");
        let after = text("retry-after")
            .and_then(|s| s.parse().ok())
            .map(Duration::from_secs_f64);
        let mut chunks = ChunkDecoder::default();
        loop {
            match head.framing {
                Framing::Length(length) => {
                    let room = length - answer.body.len();
                    let piece = buffer.split_to(buffer.len().min(room));
                    answer.body.extend_from_slice(&piece);
                    answer.is_complete = answer.body.len() == length;
                }
                Framing::Chunked => loop {
                    match chunks.next(&mut buffer) {
                        Ok(ChunkEvent::Data(piece)) => answer.body.extend_from_slice(&piece),
                        Ok(ChunkEvent::More) => break,
                        Ok(ChunkEvent::End) => {
                            answer.is_complete = true;
                            break;
                        }
                        Err(bad) => {
                            answer.bad = Some(bad.0);
                            return (false, after);
                        }
                    }
                },
                Framing::ToEnd => answer.body.extend_from_slice(&buffer.split()),
            }
            if answer.is_complete {
                return (head.keep_alive && buffer.is_empty(), after);
            }
            match timeout(READ_TIMEOUT, reading::more(stream, &mut buffer)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    // A body that ends with its connection cannot be distinguished from a broken one.
                    return (false, after);
                }
                Err(_) => {
                    answer.abandoned = true;
                    return (false, after);
                }
            }
        }
    }
}

/// The head of a request. `length`: of its body in bytes.
fn request_head(request: &ClientRequest, id: &str, until: Instant, length: usize) -> String {
    let left = until.saturating_duration_since(Instant::now());
    let left_ms = left.as_millis().max(1);
    format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Model: {MODEL}\r\n\
         Sparrouter-Token-Usage: {},20\r\nSparrouter-Prompt-Prefix: {}:{},{}:100\r\n\
         Sparrouter-Deadline-Ms: {left_ms}\r\nSparrouter-Key: {}\r\nContent-Length: {length}\r\n\r\n",
        request.path,
        request.host,
        request.shared_tokens + 100,
        request.prompt_id,
        request.shared_tokens,
        &id[..8],
        request.key,
    )
}
