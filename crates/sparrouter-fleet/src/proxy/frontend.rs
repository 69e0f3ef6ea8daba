//! Client connections: accepts them, serves one request at a time on each, and enforces the configured limits.
use crate::node::{Node, OpenRequest};
use crate::platform::connections::{ConnectionLimit, ConnectionSlot};
use crate::platform::defects::rules;
use crate::platform::http::{self, Response};
use crate::platform::memory::Reservation;
use crate::platform::net::{self, Listener, Stream};
use crate::platform::request::{HeadLimits, ReadLimits, Request, RequestReadError, RequestReader};
use crate::platform::upstream::Pool;
use crate::proxy::exchange::{self, ExchangeOutcome, IncomingRequest};
use bytes::BytesMut;
use sparrouter_config::Limits;
use sparrouter_http::reading;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Limits that apply until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Time-out for reading a complete request, as a multiple of the header time-out.
const REQUEST_TIMEOUT_RATIO: u32 = 4;
/// Minimum of the connection limit, even if fewer file descriptors are available.
const MIN_CONNECTIONS: usize = 16;
/// How long a new connection is kept open for its first request during shutdown.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out for writing a response that the node itself produced.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay for a client whose request was refused because no memory is available. It is short since other nodes
/// have memory.
const RETRY_WITHOUT_MEMORY: Duration = Duration::from_millis(200);
/// Interval at which the connection pool is swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of bytes that are read in a final check before an idle connection is closed.
const LAST_READ_BYTES: usize = 4096;

/// Stage of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    /// No shutdown has begun.
    Serving,
    /// The node is no longer ready, but still accepts all connections and requests.
    Leaving,
    /// No connection is accepted, and idle connections are closed.
    Closing,
}

/// Accepts client connections until the stage is [`Stage::Closing`]. Later clients find no listener and try another
/// node at once. Each connection is served by its own task, which ends with the connection. `max_connections`: maximum
/// number of concurrent connections.
pub async fn listen(
    node: Rc<Node>,
    listener: Box<dyn Listener>,
    stage: watch::Receiver<Stage>,
    max_connections: usize,
) {
    let pool = Rc::new(Pool::default());
    let max_connections = max_connections.max(MIN_CONNECTIONS);
    let limit = ConnectionLimit::new(max_connections, node.memory.clients.clone());
    spawn_local(sweep_pool(node.clone(), pool.clone()));
    loop {
        let free_slot = limit.acquire_now();
        let mut listener_stage = stage.clone();
        let stream = tokio::select! {
            biased;
            (stream, _) = net::accept(&*listener) => stream,
            _ = listener_stage.wait_for(|s| *s >= Stage::Closing), if rules::shutdown_limits_admission() => return,
        };
        let slot = match free_slot {
            Some(slot) => slot,
            // At the limit, no further connection is accepted until this one has its slot; other nodes have capacity.
            None => limit.acquire().await,
        };
        let connection = ClientConnection {
            stream,
            buffer: BytesMut::new(),
            stage: stage.clone(),
            is_new: true,
            slot,
        };
        let (node, pool) = (node.clone(), pool.clone());
        spawn_local(async move { connection.serve(&node, &pool).await });
    }
}

/// Closes pooled connections that are too old or whose server no longer exists. Runs until the process ends.
async fn sweep_pool(node: Rc<Node>, pool: Rc<Pool>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let server_table = node.server_table.borrow();
        pool.sweep(|id| server_table.find(id).is_some());
    }
}

/// Whether a connection can carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

/// One client connection.
struct ClientConnection {
    stream: Stream,
    /// Bytes that have been read ahead of the next request.
    buffer: BytesMut,
    stage: watch::Receiver<Stage>,
    /// Whether no request has arrived on the connection yet.
    is_new: bool,
    slot: ConnectionSlot,
}

impl ClientConnection {
    /// Serves requests one after another until the connection is closed.
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

    /// Serves a request whose first byte has arrived. The request counts as open until the connection is ready for the
    /// next request or closed.
    async fn serve_request(
        &mut self,
        node: &Rc<Node>,
        pool: &Pool,
        limits: &Limits,
    ) -> ConnectionState {
        let _open = OpenRequest::begin(&node.traffic);
        // The client's time-out runs from the request's first byte, not from the end of a long body.
        let first_byte_at = Instant::now();
        let mut reservation = node.memory.clients.reserve();
        let read = self.await_complete_request(limits, first_byte_at, &mut reservation);
        let request = match read.await {
            Ok(request) => request,
            Err(error) => {
                drop(reservation);
                return self.refuse(node, error).await;
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
        let (stream, read_ahead) = (&mut self.stream, &mut self.buffer);
        let serving = exchange::serve(node, pool, incoming, stream, read_ahead, &mut reservation);
        let outcome = serving.await;
        // What remains to be done may take long, and needs none of the request's memory.
        let is_head = request.head.is_head();
        drop(request);
        drop(reservation);
        match outcome {
            ExchangeOutcome::Reusable if keep_alive => ConnectionState::Open,
            ExchangeOutcome::Reusable => self.drain().await,
            ExchangeOutcome::Closed => ConnectionState::Closed,
            ExchangeOutcome::Respond(response) => {
                let stays_open = keep_alive && response.status < 500;
                let bytes = response.bytes_for(is_head, stays_open);
                self.respond(&bytes, stays_open).await
            }
        }
    }

    /// Reads a request, unless another connection takes the slot of this one meanwhile.
    async fn await_complete_request(
        &mut self,
        limits: &Limits,
        first_byte_at: Instant,
        reservation: &mut Reservation,
    ) -> Result<Request, RequestReadError> {
        self.slot.begin_wait(reservation.progress());
        let displaced = self.slot.displaced();
        let read = tokio::select! {
            biased;
            () = displaced => Err(RequestReadError::Displaced),
            read = self.read_request(limits, first_byte_at, reservation) => read,
        };
        self.slot.end_wait();
        read
    }

    async fn read_request(
        &mut self,
        limits: &Limits,
        first_byte_at: Instant,
        reservation: &mut Reservation,
    ) -> Result<Request, RequestReadError> {
        let header_timeout = Duration::from_millis(limits.header_timeout_ms.max(1));
        let read_limits = ReadLimits {
            head: HeadLimits {
                max_bytes: limits.max_header_bytes,
                timeout: header_timeout,
            },
            max_body_bytes: limits.max_body_bytes,
        };
        let mut reader = RequestReader {
            stream: &mut self.stream,
            buffer: &mut self.buffer,
            reservation,
            deadline: first_byte_at + header_timeout * REQUEST_TIMEOUT_RATIO,
        };
        reader.read(read_limits).await
    }

    /// Sends an error response to a request that cannot be read.
    async fn refuse(&mut self, node: &Node, error: RequestReadError) -> ConnectionState {
        // No further request is read from the connection.
        self.buffer = BytesMut::new();
        let response = match error {
            RequestReadError::Left => return ConnectionState::Closed,
            RequestReadError::Refused(status, text) => Response::plain(status, text),
            RequestReadError::MemoryExhausted => {
                Response::out_of_memory(node.jitter(RETRY_WITHOUT_MEMORY))
            }
            RequestReadError::Displaced => {
                let response = Response::displaced(node.jitter(RETRY_WITHOUT_MEMORY));
                self.write(&response.bytes(false)).await;
                // Another connection waits for the slot of this one.
                return ConnectionState::Closed;
            }
        };
        self.respond(&response.bytes(false), false).await
    }

    /// Writes a response that the node itself produced. `stays_open`: whether another request may follow.
    async fn respond(&mut self, response: &[u8], stays_open: bool) -> ConnectionState {
        if !self.write(response).await {
            return ConnectionState::Closed;
        }
        if stays_open {
            ConnectionState::Open
        } else {
            self.drain().await
        }
    }

    /// Writes bytes to the client. Returns false if the client has disconnected or does not read them in time.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await;
        matches!(written, Ok(Ok(())))
    }

    async fn drain(&mut self) -> ConnectionState {
        http::drain_until_closed(&mut self.stream).await;
        ConnectionState::Closed
    }

    /// Waits for the first byte of a request. Returns false if the connection is to be closed.
    async fn await_request(&mut self, limits: &Limits) -> bool {
        // An idle connection keeps no buffer.
        self.buffer = BytesMut::new();
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.max(1));
        self.slot.begin_wait(Rc::new(Cell::new(Instant::now())));
        let displaced = self.slot.displaced();
        tokio::select! {
            biased;
            read = reading::more(&mut self.stream, &mut self.buffer) => return read.is_ok(),
            () = displaced => {}
            () = wait_for_closing(&mut self.stage, self.is_new) => {}
            () = tokio::time::sleep(idle_timeout) => {}
        }
        self.read_available()
    }

    /// Reads bytes that have arrived since the runtime last polled the socket, so that the connection is not closed
    /// while a request is pending. Returns false if there are none.
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

/// The limits of the active configuration.
fn limits(node: &Node) -> Limits {
    let config = node.active_configuration();
    let table = config.table.as_ref();
    table.map_or(DEFAULT_LIMITS, |table| table.limits.clone())
}

/// Completes once idle connections are to be closed. On a new connection the first request follows shortly after the
/// handshake, so it is awaited for up to `FIRST_REQUEST_TIMEOUT` and then answered instead of being cut off.
async fn wait_for_closing(stage: &mut watch::Receiver<Stage>, is_new: bool) {
    let accepted_at = Instant::now();
    // An error means that the process ends.
    let _ = stage.wait_for(|s| *s >= Stage::Closing).await;
    if is_new {
        tokio::time::sleep_until(accepted_at + FIRST_REQUEST_TIMEOUT).await;
    }
}
