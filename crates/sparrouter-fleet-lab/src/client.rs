//! The platform in front of the fleet, which checks the readiness of nodes, and clients by PROTOCOL.md: a new id for each
//! attempt, retries as the answers allow, a whole answer or none.
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

/// Time between two readiness checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Failed checks after which a node gets no new connections.
const FAILED_CHECKS: u32 = 2;
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A client abandons an answer that pauses for so long.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts after the first one.
const RETRIES: u32 = 2;
/// Pause before a retry, unless the answer names another.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Prompts begin with one of so many shared prefixes.
const TOPICS: u8 = 8;

/// Checks the readiness of one node for ever.
pub async fn check_readiness(machine: Rc<Machine>) {
    let mut failed = FAILED_CHECKS;
    loop {
        let call = Call::get("/api/readiness");
        let answer = send_once(&Sockets, &call, &call.path, machine.readiness()).await;
        let is_ready = matches!(answer, Outcome::Replied(reply) if reply.status == 200);
        failed = if is_ready { 0 } else { failed + 1 };
        machine.ready.set(failed < FAILED_CHECKS);
        sleep(CHECK_INTERVAL).await;
    }
}

/// What a client wants.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Whether it may be repeated, and whether the answer is a stream.
    pub kind: RequestKind,
    /// Its path.
    pub path: String,
    /// How long the client waits, over all attempts.
    pub patience: Duration,
}

/// How a request ended, after all its attempts.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// When the client began.
    pub began: Instant,
    /// How it ended.
    pub ending: Ending,
    /// Time until the first bytes of the answer's body; 0 if it was not served.
    pub first: Duration,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer.
    Served,
    /// With a refusal.
    Refused,
    /// Without a whole answer.
    Failed,
}

/// The clients of a run.
pub struct Clients {
    /// Records their attempts.
    pub ledger: Rc<Ledger>,
    /// The nodes that they may connect to.
    pub machines: Vec<Rc<Machine>>,
    /// Chooses nodes, ids and prompts.
    pub rng: RefCell<fastrand::Rng>,
}

/// What came of an attempt that was connected.
struct AttemptResult {
    response: Response,
    /// When the first bytes of the body came.
    first: Option<Instant>,
    /// How long the answer asks the client to wait before a retry.
    retry_after: Option<Duration>,
}

impl Clients {
    /// A node that the platform passes connections to: any ready one, or any at all if fewer than half are ready.
    fn pick(&self) -> usize {
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

    /// Sends a request with its retries, to the nodes that the platform chooses, or to one node only.
    pub async fn send(&self, request: &ClientRequest, only: Option<usize>) -> RequestResult {
        let began = Instant::now();
        let deadline = began + request.patience;
        let mut result = RequestResult {
            began,
            ending: Ending::Failed,
            first: Duration::ZERO,
        };
        for retry in 0..=RETRIES {
            let node = only.unwrap_or_else(|| self.pick());
            let Some(attempt) = self.attempt(request, node, deadline).await else {
                // Not connected, so the request was not read by anybody.
                result.ending = Ending::Failed;
                sleep(RETRY_DELAY).await;
                continue;
            };
            result.ending = ending_of(&attempt.response);
            if result.ending == Ending::Served {
                result.first = attempt.first.unwrap_or_else(Instant::now) - began;
                return result;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if retry == RETRIES
                || left.is_zero()
                || !may_retry(attempt.response.status, request.kind)
            {
                break;
            }
            sleep(attempt.retry_after.unwrap_or(RETRY_DELAY).min(left / 3)).await;
        }
        result
    }

    /// Sends a request once; `None` if it could not be connected.
    async fn attempt(
        &self,
        request: &ClientRequest,
        node: usize,
        deadline: Instant,
    ) -> Option<AttemptResult> {
        let address = self.machines[node].front();
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let mut stream = connected.ok()?.ok()?;
        let id = format!("{:016x}", self.rng.borrow_mut().u64(..));
        let topic = self.rng.borrow_mut().u8(..TOPICS);
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
        let left = deadline.saturating_duration_since(sent);
        let text = request_text(&request.path, &id, topic, left, &body);
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
            read_answer(&mut stream, &mut result).await
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

/// Whether the protocol lets a client retry after this status; 0: none came.
fn may_retry(status: u16, kind: RequestKind) -> bool {
    let is_final = matches!(status, 400 | 401 | 404 | 413 | 431);
    let has_not_run = matches!(status, 408 | 421 | 429 | 503);
    !is_final && (has_not_run || kind.is_idempotent())
}

fn request_text(path: &str, id: &str, topic: u8, left: Duration, body: &str) -> String {
    let left_ms = left.as_millis().max(1);
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Model: {MODEL}\r\n\
         Sparrouter-Token-Usage: 900,20\r\nSparrouter-Prompt-Prefix: {topic:08x}:800,{}:100\r\n\
         Sparrouter-Deadline-Ms: {left_ms}\r\nSparrouter-Key: key-1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        &id[..8],
        body.len()
    )
}

/// Reads an answer into `result`, which holds what has come so far if this is cancelled.
async fn read_answer(stream: &mut TcpStream, result: &mut AttemptResult) -> Result<(), ReadError> {
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
        result.response.is_complete = take_body(head.framing, &mut chunks, &mut buffer, &mut body)?;
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

/// Moves the part of a body that has come from the buffer to `body`; true once it is whole.
fn take_body(
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
                ChunkEvent::Data(piece) => body.extend_from_slice(&piece),
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
