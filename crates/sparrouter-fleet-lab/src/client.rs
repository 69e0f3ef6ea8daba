//! The simulated platform in front of the fleet, which checks the readiness of nodes, and simulated clients that follow
//! PROTOCOL.md: each attempt has a new id, retries depend on the response, and only a complete response counts as served.
use crate::ledger::{Attempt, Ledger, RequestKind, Response};
use crate::machine::Machine;
use crate::{HOST, MODEL};
use bytes::BytesMut;
use sparrouter_fleet::client::call::{Call, Outcome, send_once};
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::{self, Framing};
use sparrouter_http::reading::{self, ReadError};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Interval between readiness checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed checks after which a node gets no new connections.
const FAILED_CHECKS: u32 = 2;
/// Time limit for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time between two reads of a response, after which a client abandons it.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of retries of a request.
const RETRIES: u32 = 2;
/// Delay before a retry if the response has no `retry-after`.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Number of shared prompt prefixes, one of which each request uses.
const SHARED_PREFIXES: u8 = 8;

/// Checks the readiness of one node periodically, without end.
pub async fn check_readiness(machine: Rc<Machine>) {
    let mut failed_checks = FAILED_CHECKS;
    loop {
        let call = Call::get("/api/readiness");
        let answer = send_once(&Sockets, &call, &call.path, machine.readiness()).await;
        let is_ready = matches!(answer, Outcome::Replied(reply) if reply.status == 200);
        failed_checks = if is_ready { 0 } else { failed_checks + 1 };
        machine.ready.set(failed_checks < FAILED_CHECKS);
        sleep(CHECK_INTERVAL).await;
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Path of the request.
    pub path: String,
    /// Time limit of the request, including all attempts.
    pub patience: Duration,
}

/// The result of a request after all its attempts.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Time at which the client began the first attempt.
    pub began: Instant,
    /// Outcome of the request.
    pub ending: Ending,
    /// Time until the first bytes of the response body; 0 if the request was not served.
    pub first: Duration,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete success response was received.
    Served,
    /// An error response was received.
    Refused,
    /// No complete response was received.
    Failed,
}

/// The clients of a run.
pub struct Clients {
    /// Records the clients' attempts.
    pub ledger: Rc<Ledger>,
    /// The nodes that clients may connect to.
    pub machines: Vec<Rc<Machine>>,
    /// Chooses nodes, ids and prompts.
    pub rng: RefCell<fastrand::Rng>,
}

/// The result of an attempt that connected to a node.
struct AttemptResult {
    response: Response,
    /// Time at which the first bytes of the body arrived.
    first: Option<Instant>,
    /// Delay before a retry that the response requests.
    retry_after: Option<Duration>,
}

impl Clients {
    /// Picks a random ready node, as the platform does; if fewer than half of the nodes are ready, any node.
    fn pick_node(&self) -> usize {
        let ready: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].ready.get())
            .collect();
        let mut rng = self.rng.borrow_mut();
        if ready.len() * 2 < self.machines.len() {
            rng.usize(..self.machines.len())
        } else {
            ready[rng.usize(..ready.len())]
        }
    }

    /// Sends a request with retries, to nodes that the platform picks or, if `only` is given, to that node.
    pub async fn send(&self, request: &ClientRequest, only: Option<usize>) -> RequestResult {
        let began = Instant::now();
        let deadline = began + request.patience;
        let mut result = RequestResult {
            began,
            ending: Ending::Failed,
            first: Duration::ZERO,
        };
        for retry in 0..=RETRIES {
            let node = only.unwrap_or_else(|| self.pick_node());
            let Some(attempt) = self.attempt(request, node, deadline).await else {
                // No connection, so no node read the request.
                result.ending = Ending::Failed;
                sleep(RETRY_DELAY).await;
                continue;
            };
            result.ending = ending_of(&attempt.response);
            if result.ending == Ending::Served {
                result.first = attempt.first.unwrap_or_else(Instant::now) - began;
                return result;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if retry == RETRIES
                || remaining.is_zero()
                || !may_retry(attempt.response.status, request.kind)
            {
                break;
            }
            sleep(
                attempt
                    .retry_after
                    .unwrap_or(RETRY_DELAY)
                    .min(remaining / 3),
            )
            .await;
        }
        result
    }

    /// Sends a request once; `None` if the connection failed.
    async fn attempt(
        &self,
        request: &ClientRequest,
        node: usize,
        deadline: Instant,
    ) -> Option<AttemptResult> {
        let address = self.machines[node].front();
        let connection = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let mut stream = connection.ok()?.ok()?;
        let id = format!("{:016x}", self.rng.borrow_mut().u64(..));
        let shared_prefix = self.rng.borrow_mut().u8(..SHARED_PREFIXES);
        let body = format!("work of {id}");
        let sent = Instant::now();
        let attempt = Attempt {
            kind: request.kind,
            path: request.path.clone(),
            body: body.clone(),
            node,
            sent,
            response: None,
        };
        self.ledger
            .attempts
            .borrow_mut()
            .insert(id.clone(), attempt);
        let remaining = deadline.saturating_duration_since(sent);
        let text = request_text(&request.path, &id, shared_prefix, remaining, &body);
        let mut result = AttemptResult {
            response: Response::default(),
            first: None,
            retry_after: None,
        };
        let exchange = async {
            stream
                .write_all(text.as_bytes())
                .await
                .map_err(|_| ReadError::Reset)?;
            read_response(&mut stream, &mut result).await
        };
        match timeout_at(deadline, exchange).await {
            Ok(Err(ReadError::Bad(bad))) => result.response.malformed = Some(bad.0.to_owned()),
            Ok(_) => {}
            Err(_) => result.response.abandoned = true,
        }
        result.response.ended_at = Some(Instant::now());
        if let Some(attempt) = self.ledger.attempts.borrow_mut().get_mut(&id) {
            attempt.response = Some(result.response.clone());
        }
        Some(result)
    }
}

fn ending_of(response: &Response) -> Ending {
    match response.status {
        200..=299 if response.is_complete => Ending::Served,
        0 | 200..=299 => Ending::Failed,
        _ => Ending::Refused,
    }
}

/// Returns whether the protocol lets a client retry after this status; 0 stands for no response.
fn may_retry(status: u16, kind: RequestKind) -> bool {
    let is_final = matches!(status, 400 | 401 | 404 | 413 | 431);
    let has_not_run = matches!(status, 408 | 421 | 429 | 503);
    !is_final && (has_not_run || kind.is_idempotent())
}

fn request_text(
    path: &str,
    id: &str,
    shared_prefix: u8,
    remaining: Duration,
    body: &str,
) -> String {
    let remaining_ms = remaining.as_millis().max(1);
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Model: {MODEL}\r\n\
         Sparrouter-Token-Usage: 900,20\r\nSparrouter-Prompt-Prefix: {shared_prefix:08x}:800,{}:100\r\n\
         Sparrouter-Deadline-Ms: {remaining_ms}\r\nSparrouter-Key: key-1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        &id[..8],
        body.len()
    )
}

/// Reads a response into `result`, which contains the part received so far if the future is cancelled.
async fn read_response(
    stream: &mut TcpStream,
    result: &mut AttemptResult,
) -> Result<(), ReadError> {
    let mut buffer = BytesMut::new();
    let head = reading::head(stream, &mut buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await?;
    let head = head::parse_response(&head)?;
    let text = |name: &str| head.fields.text(name).unwrap_or_default().to_owned();
    result.response.status = head.status;
    result.response.seal = text("sparrouter-response-seal");
    result.response.id = text("sparrouter-attempt-id");
    result.retry_after = text("retry-after")
        .parse()
        .ok()
        .map(Duration::from_secs_f64);
    let mut chunks = ChunkDecoder::default();
    let mut body = Vec::new();
    loop {
        result.response.is_complete = read_body(head.framing, &mut chunks, &mut buffer, &mut body)?;
        if result.first.is_none() && !body.is_empty() {
            result.first = Some(Instant::now());
        }
        result.response.body = String::from_utf8_lossy(&body).into_owned();
        if result.response.is_complete {
            return Ok(());
        }
        match timeout(READ_TIMEOUT, reading::more(stream, &mut buffer)).await {
            Ok(read) => read?,
            Err(_) => {
                result.response.abandoned = true;
                return Ok(());
            }
        }
    }
}

/// Moves received bytes of a body from the buffer to `body`. Returns whether the body is complete.
fn read_body(
    framing: Framing,
    chunks: &mut ChunkDecoder,
    buffer: &mut BytesMut,
    body: &mut Vec<u8>,
) -> Result<bool, ReadError> {
    match framing {
        Framing::Length(length) => {
            let missing = length - body.len();
            body.extend_from_slice(&buffer.split_to(buffer.len().min(missing)));
            Ok(body.len() == length)
        }
        Framing::Chunked => loop {
            match chunks.next(buffer)? {
                ChunkEvent::Data(data) => body.extend_from_slice(&data),
                ChunkEvent::Incomplete => return Ok(false),
                ChunkEvent::End => return Ok(true),
            }
        },
        Framing::ToEnd => {
            body.extend_from_slice(&buffer.split());
            Ok(false)
        }
    }
}
