//! Connections of clients: one request at a time on each, within the limits of the configuration.
use crate::node::{Node, OpenRequest};
use crate::platform::defects::rules;
use crate::platform::http::{self, ReadLimits, Request, RequestReadError, Response};
use crate::platform::net::{self, Listener, Stream};
use crate::platform::upstream::Pool;
use crate::proxy::exchange::{self, ExchangeOutcome, IncomingRequest};
use bytes::BytesMut;
use sparrouter_config::Limits;
use sparrouter_http::reading;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// The limits before a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Longest time for a request, as a multiple of that for its head.
const REQUEST_TIMEOUT_RATIO: u32 = 4;
/// Fewest connections that are served at a time, whatever the descriptors allow.
const MIN_CONNECTIONS: usize = 16;
/// How long the first request of a new connection is awaited while connections are being closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client may take to read a response of our own.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two sweeps of the pool.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that are read at once before an idle connection is closed.
const LAST_READ_BYTES: usize = 4096;

/// How far the shutdown of the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    /// None has begun.
    Serving,
    /// The node is not ready any more, but accepts all connections and requests.
    Leaving,
    /// No connection is accepted, and those between requests are closed.
    Closing,
}

/// Accepts clients until the stage is [`Stage::Closing`]: from then on a client that is still sent here finds no listener
/// and asks another node at once. Connections are served by tasks of their own, which end by themselves.
/// `max_connections`: connections at a time.
pub async fn listen(
    node: Rc<Node>,
    listener: Box<dyn Listener>,
    stage: watch::Receiver<Stage>,
    max_connections: usize,
) {
    let pool = Rc::new(Pool::default());
    let permits = Arc::new(Semaphore::new(max_connections.max(MIN_CONNECTIONS)));
    spawn_local(sweep_pool(node.clone(), pool.clone()));
    loop {
        // Beyond its connections the node leaves clients waiting to be accepted: other nodes have capacity.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let mut closing = stage.clone();
        let stream = tokio::select! {
            biased;
            (stream, _) = net::accept(&*listener) => stream,
            _ = closing.wait_for(|s| *s >= Stage::Closing), if rules::shutdown_limits_admission() => return,
        };
        let (node, pool, stage) = (node.clone(), pool.clone(), stage.clone());
        spawn_local(async move {
            let connection = ClientConnection {
                stream,
                buffer: BytesMut::new(),
                stage,
                is_new: true,
            };
            connection.serve(&node, &pool).await;
            drop(permit);
        });
    }
}

/// Closes pooled connections that are too old or lead to servers that are gone, until the process ends.
async fn sweep_pool(node: Rc<Node>, pool: Rc<Pool>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let server_table = node.server_table.borrow();
        pool.sweep(|id| server_table.find(id).is_some());
    }
}

/// Whether a connection carries another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

/// One connection of a client.
struct ClientConnection {
    stream: Stream,
    /// Bytes that were read ahead of the request that they belong to.
    buffer: BytesMut,
    stage: watch::Receiver<Stage>,
    /// No request has arrived on it yet.
    is_new: bool,
}

impl ClientConnection {
    /// Serves one request after the other until the connection is closed.
    async fn serve(mut self, node: &Rc<Node>, pool: &Pool) {
        loop {
            let limits = limits(node);
            if self.buffer.is_empty() && !self.await_request(&limits).await {
                return;
            }
            if self.serve_request(node, pool, &limits).await == ConnectionState::Closed {
                return;
            }
        }
    }

    /// Serves a request of which a byte has arrived. It counts as open until the connection is ready for the next or
    /// closed.
    async fn serve_request(
        &mut self,
        node: &Rc<Node>,
        pool: &Pool,
        limits: &Limits,
    ) -> ConnectionState {
        let _open = OpenRequest::begin(&node.traffic);
        // The client's time runs from its first byte, not from the end of a long body.
        let first_byte_at = Instant::now();
        let request = match self.read_request(limits, first_byte_at).await {
            Ok(request) => request,
            Err(RequestReadError::Left) => return ConnectionState::Closed,
            Err(RequestReadError::Refused(status, text)) => {
                return self.refuse(&Response::plain(status, text)).await;
            }
        };
        self.is_new = false;
        let keep_alive = request.head.keep_alive && *self.stage.borrow() == Stage::Serving;
        let incoming = IncomingRequest {
            request: &request,
            received_at: if rules::deadline_runs_from_first_byte() {
                first_byte_at
            } else {
                Instant::now()
            },
            keep_alive,
        };
        let outcome =
            exchange::serve(node, pool, incoming, &mut self.stream, &mut self.buffer).await;
        match outcome {
            ExchangeOutcome::Reusable if keep_alive => ConnectionState::Open,
            ExchangeOutcome::Reusable => self.drain().await,
            ExchangeOutcome::Closed => ConnectionState::Closed,
            ExchangeOutcome::Respond(response) => self.respond(&response, keep_alive).await,
        }
    }

    async fn read_request(
        &mut self,
        limits: &Limits,
        first_byte_at: Instant,
    ) -> Result<Request, RequestReadError> {
        let header_timeout = Duration::from_millis(limits.header_timeout_ms.max(1));
        let read_limits = ReadLimits {
            max_head_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout,
        };
        let deadline = first_byte_at + header_timeout * REQUEST_TIMEOUT_RATIO;
        http::read_request(&mut self.stream, &mut self.buffer, read_limits, deadline).await
    }

    /// Answers a request that cannot be read.
    async fn refuse(&mut self, response: &Response) -> ConnectionState {
        // The client may have left meanwhile.
        let _ = self.stream.write_all(&response.bytes(false)).await;
        self.drain().await
    }

    /// Writes a response of our own.
    async fn respond(&mut self, response: &Response, keep_alive: bool) -> ConnectionState {
        let stays_open = keep_alive && response.status < 500;
        let bytes = response.bytes(stays_open);
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return ConnectionState::Closed;
        }
        if stays_open {
            ConnectionState::Open
        } else {
            self.drain().await
        }
    }

    async fn drain(&mut self) -> ConnectionState {
        http::drain_until_closed(&mut self.stream).await;
        ConnectionState::Closed
    }

    /// Waits for the first byte of a request; false if the connection is to be closed.
    async fn await_request(&mut self, limits: &Limits) -> bool {
        // An idle connection holds no memory.
        self.buffer = BytesMut::new();
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.max(1));
        tokio::select! {
            biased;
            read = reading::more(&mut self.stream, &mut self.buffer) => return read.is_ok(),
            () = closing(&mut self.stage, self.is_new) => {}
            () = tokio::time::sleep(idle_timeout) => {}
        }
        self.read_available()
    }

    /// Reads what has arrived since the runtime last looked, so that the connection is not closed over a request.
    fn read_available(&mut self) -> bool {
        let mut chunk = [0; LAST_READ_BYTES];
        match self.stream.read_available(&mut chunk) {
            Some(Ok(bytes)) if bytes > 0 => {
                self.buffer.extend_from_slice(&chunk[..bytes]);
                true
            }
            _ => false,
        }
    }
}

/// The limits of the configuration in force.
fn limits(node: &Node) -> Limits {
    let config = node.active_configuration();
    let table = config.table.as_ref();
    table.map_or(DEFAULT_LIMITS, |table| table.limits.clone())
}

/// Ends once connections between requests are closed. On a new connection the first request follows the handshake: it is
/// awaited for a moment, so that it is answered and not cut off.
async fn closing(stage: &mut watch::Receiver<Stage>, is_new: bool) {
    let accepted_at = Instant::now();
    // An error means that the process ends.
    let _ = stage.wait_for(|s| *s >= Stage::Closing).await;
    if is_new {
        tokio::time::sleep_until(accepted_at + FIRST_REQUEST_TIMEOUT).await;
    }
}
