//! A simulated model server that follows PROTOCOL.md: heartbeats, slots and a queue, streamed and plain responses, stream
//! resumption, and orders to load weights.
use crate::count_guard::CountGuard;
use crate::ledger::{Ledger, Order, RequestKind, Run, body_of, event_of, seal_of};
use crate::{MODEL, SERVICE};
use bytes::BytesMut;
use miniserde::{Deserialize, json};
use sparrouter_fleet::client::call::{Call, Outcome, send_once};
use sparrouter_fleet::platform::http;
use sparrouter_fleet::platform::memory::MemoryPool;
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_fleet::platform::request::{HeadLimits, ReadLimits, Request, RequestReader};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Size and time limits of requests.
const READ_LIMITS: ReadLimits = ReadLimits {
    head: HeadLimits {
        max_bytes: 32 << 10,
        timeout: Duration::from_secs(5),
    },
    max_body_bytes: 4 << 20,
};
/// Maximum idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The default of `bounds.drain_timeout_ms`, which the machines of the lab use.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a server continues to serve after the drain timeout.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);
/// Maximum number of attempts to deregister; the server stops afterwards even if none succeeded.
const LEAVE_ATTEMPTS: u32 = 5;
/// Delay before an answer to a long-polling call for KV events.
const KV_EVENTS_WAIT: Duration = Duration::from_millis(200);
/// Deadline in ms of a request without a deadline header.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The settings of a server.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Instance id of the server.
    pub id: String,
    /// Zone of the server.
    pub zone: String,
    /// Listen address of the server.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests; twice as many may be queued.
    pub slots: usize,
    /// Time from the start of a request to its first event or its response.
    pub work: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Time to load new weights.
    pub load: Duration,
    /// Number of events in a stream.
    pub events: u64,
    /// Version of the model's weights at the start.
    pub version: u64,
    /// Control addresses of nodes.
    pub control: Vec<SocketAddr>,
}

/// A running simulated model server.
pub struct ModelServer {
    /// Settings of the server.
    pub settings: ServerSettings,
    ledger: Rc<Ledger>,
    rng: RefCell<fastrand::Rng>,
    slots: Semaphore,
    queued: Cell<usize>,
    running: Cell<usize>,
    /// Version of the model's weights that is loaded.
    pub version: Cell<u64>,
    loading: Cell<bool>,
    /// Number of accepted orders.
    orders: Cell<u64>,
    /// Highest fencing token received in an order.
    highest_fencing_token: Cell<u64>,
    /// Sequence number of the last call to the fleet.
    call_sequence: Cell<u64>,
    draining: Cell<bool>,
    /// The node to which the fleet directed this server's heartbeats.
    heartbeat_target: Cell<Option<SocketAddr>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// The fleet's response to a heartbeat.
#[derive(Deserialize)]
struct HeartbeatAnswer {
    heartbeat_target: Option<String>,
}

/// The body of an order to load weights.
#[derive(Deserialize)]
struct OrderBody {
    operation: String,
    model: String,
    version: u64,
    holder_id: String,
    fence_token: u64,
    expected_count: Option<u64>,
}

impl ModelServer {
    /// Starts a server and its heartbeats.
    ///
    /// # Errors
    ///
    /// If the server cannot listen on its address.
    pub async fn start(
        settings: ServerSettings,
        ledger: Rc<Ledger>,
        rng: fastrand::Rng,
    ) -> std::io::Result<Rc<ModelServer>> {
        let listener = TcpListener::bind(settings.address).await?;
        let server = Rc::new(ModelServer {
            slots: Semaphore::new(settings.slots),
            version: Cell::new(settings.version),
            settings,
            ledger,
            rng: RefCell::new(rng),
            queued: Cell::new(0),
            running: Cell::new(0),
            loading: Cell::new(false),
            orders: Cell::new(0),
            highest_fencing_token: Cell::new(0),
            call_sequence: Cell::new(0),
            draining: Cell::new(false),
            heartbeat_target: Cell::new(None),
            tasks: RefCell::default(),
        });
        let accepting = spawn_local(server.clone().accept(listener));
        let heartbeats = spawn_local(server.clone().send_heartbeats());
        server.tasks.borrow_mut().extend([accepting, heartbeats]);
        Ok(server)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let task = spawn_local(self.clone().serve_connection(stream));
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|t| !t.is_finished());
            tasks.push(task);
        }
    }

    async fn send_heartbeats(self: Rc<Self>) {
        while !self.draining.get() {
            self.call_fleet("PUT").await;
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Simulates a crash: closes all connections immediately.
    pub fn crash(&self) {
        self.ledger
            .crashed
            .borrow_mut()
            .insert(self.settings.id.clone());
        self.stop();
    }

    /// Aborts all tasks of the server.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    /// Announces draining, serves for the drain timeout, deregisters from the fleet, and stops once all requests are complete.
    pub async fn drain(&self) {
        self.draining.set(true);
        while !self.call_fleet("PUT").await {
            sleep(Duration::from_millis(50)).await;
        }
        self.ledger
            .drains
            .borrow_mut()
            .insert(self.settings.id.clone(), Instant::now());
        sleep(DRAIN_TIMEOUT + DRAIN_MARGIN).await;
        for _ in 0..LEAVE_ATTEMPTS {
            if self.call_fleet("DELETE").await {
                break;
            }
        }
        while self.running.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        self.stop();
    }

    /// Sends a heartbeat (PUT) or deregisters the server (DELETE). Returns whether the fleet acknowledged the call.
    async fn call_fleet(&self, method: &'static str) -> bool {
        self.call_sequence.set(self.call_sequence.get() + 1);
        let settings = &self.settings;
        let call = Call {
            method,
            path: format!("/api/instances/{}", settings.id),
            if_match: None,
            body: (method == "PUT").then(|| self.heartbeat().into_bytes()),
        };
        let random_node = settings.control[self.rng.borrow_mut().usize(..settings.control.len())];
        let target_address = self.heartbeat_target.get().unwrap_or(random_node);
        match send_once(&Sockets, &call, &call.path, target_address).await {
            Outcome::Replied(reply) if (200..300).contains(&reply.status) => {
                let answer = json::from_str::<HeartbeatAnswer>(&reply.body).ok();
                let target = answer.and_then(|a| a.heartbeat_target?.parse().ok());
                if target.is_some() {
                    self.heartbeat_target.set(target);
                }
                true
            }
            _ => {
                self.heartbeat_target.set(None);
                false
            }
        }
    }

    /// Returns the body of a heartbeat.
    fn heartbeat(&self) -> String {
        let settings = &self.settings;
        let state = if self.draining.get() {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slot_count\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"serving_stage\":\"both\",\"models\":[{{\"name\":\
             \"{MODEL}\",\"version\":{},\"adapters\":[]}}],\"call_sequence\":{}}}",
            settings.address,
            settings.zone,
            settings.slots,
            self.version.get(),
            self.call_sequence.get()
        )
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        // If this fails, small writes are only delayed.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        loop {
            let deadline = Instant::now() + IDLE_TIMEOUT;
            let mut reader = RequestReader {
                stream: &mut stream,
                buffer: &mut buffer,
                reservation: &mut MemoryPool::unlimited().reserve(),
                deadline,
            };
            let Ok(request) = reader.read(READ_LIMITS).await else {
                return;
            };
            let method = &request.head.method[..];
            let answer = match (method, request.path()) {
                (b"GET", "/health") => plain_response(
                    200,
                    &format!("Sparrouter-Instance-Id: {}\r\n", self.settings.id),
                    "",
                ),
                (b"GET", "/api/report") => plain_response(200, "", &self.report()),
                (b"POST", "/api/order") => self.clone().accept_order(&request),
                (b"GET", "/api/kv-events") => {
                    sleep(KV_EVENTS_WAIT).await;
                    plain_response(
                        200,
                        "",
                        "{\"epoch\":1,\"next_page_token\":0,\"lost_count\":false,\"events\":[]}",
                    )
                }
                (b"GET", "/api/kv-list") => plain_response(
                    200,
                    "",
                    "{\"epoch\":1,\"next_page_token\":0,\"held_count\":[]}",
                ),
                _ => match self.serve(&mut stream, &request).await {
                    Some(()) if request.head.keep_alive => continue,
                    _ => return,
                },
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || !request.head.keep_alive {
                return;
            }
        }
    }

    /// Returns the body of the server's status report.
    fn report(&self) -> String {
        format!(
            "{{\"serving_stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}],\
             \"is_busy\":{},\"call_sequence\":{},\"queued\":{},\"running\":{},\"kv_used_tokens\":0,\
             \"kv_capacity\":100000,\"handle_count\":0}}",
            self.version.get(),
            self.loading.get(),
            self.orders.get(),
            self.queued.get(),
            self.running.get()
        )
    }

    /// Handles an order to load new weights; returns the response.
    fn accept_order(self: Rc<Self>, request: &Request) -> String {
        let body = request.body.contiguous();
        let text = std::str::from_utf8(&body).unwrap_or_default();
        let Ok(order) = json::from_str::<OrderBody>(text) else {
            return plain_response(400, "", "");
        };
        let loads = order.version > self.version.get() && !self.loading.get();
        self.ledger.orders.borrow_mut().push(Order {
            instance: self.settings.id.clone(),
            lease_holder: order.holder_id.clone(),
            fencing_token: order.fence_token,
            version: order.version,
            loads,
        });
        if order.operation != "version" || order.model != MODEL {
            return plain_response(400, "", "");
        }
        if order.fence_token < self.highest_fencing_token.get() {
            return plain_response(412, "", "");
        }
        self.highest_fencing_token.set(order.fence_token);
        if order.version <= self.version.get() {
            return plain_response(200, "", "");
        }
        if self.loading.get() || order.expected_count.is_some_and(|n| n != self.orders.get()) {
            return plain_response(409, "", "");
        }
        self.orders.set(self.orders.get() + 1);
        self.loading.set(true);
        let loading = spawn_local(self.clone().load(order.version));
        self.tasks.borrow_mut().push(loading);
        plain_response(202, "", "")
    }

    /// Loads a version of the weights once all running requests are complete.
    async fn load(self: Rc<Self>, version: u64) {
        while self.running.get() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(self.settings.load).await;
        self.version.set(version);
        self.loading.set(false);
    }

    /// Returns a response which states that the request was not executed.
    fn reject(&self, status: u16, id: &str) -> String {
        let fields = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Not-Executed: 1\r\nSparrouter-Instance-Id: {}\r\n",
            self.settings.id
        );
        plain_response(status, &fields, "")
    }

    /// Serves a client's request; `None` if the connection cannot be used again.
    async fn serve(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        let id = header_value(request, "sparrouter-attempt-id");
        let _slot = match self.acquire_slot(request, &id).await {
            Ok(slot) => slot,
            Err(status) => {
                let answer = self.reject(status, &id);
                return stream.write_all(answer.as_bytes()).await.ok();
            }
        };
        let _running = CountGuard::new(&self.running);
        let resumed = header_value(request, "last-event-id")
            .trim()
            .parse()
            .unwrap_or(0);
        let run = self.ledger.record_run(Run {
            id: id.clone(),
            instance: self.settings.id.clone(),
            path: String::from_utf8_lossy(&request.head.target).into_owned(),
            body: String::from_utf8_lossy(&request.body.contiguous()).into_owned(),
            began_at: Instant::now(),
            version: self.version.get(),
            resumed,
        });
        sleep(self.settings.work).await;
        let fields = self.answer_fields(&id, run);
        if kind_of(request.path()).is_stream() {
            return self.stream_events(stream, &fields, run, resumed).await;
        }
        let answer = plain_response(200, &fields, &body_of(run));
        stream.write_all(answer.as_bytes()).await.ok()
    }

    /// Waits for a free slot. The error is the HTTP status with which the request is rejected.
    async fn acquire_slot(&self, request: &Request, id: &str) -> Result<SemaphorePermit<'_>, u16> {
        let expects_version = |version: u64| {
            let expected = request.head.fields.text("expect-version");
            expected.is_none_or(|v| v.parse() == Ok(version))
        };
        let expected_instance = request.head.fields.text("sparrouter-expected-instance");
        if expected_instance.is_some_and(|expected| expected != self.settings.id) {
            return Err(421);
        }
        if id.is_empty() {
            return Err(400);
        }
        if self.loading.get() || self.queued.get() >= self.settings.slots * 2 {
            return Err(503);
        }
        if !expects_version(self.version.get()) {
            return Err(421);
        }
        let deadline_ms = header_value(request, "sparrouter-deadline-ms").parse();
        let remaining = Duration::from_millis(deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        let slot = {
            let _queued = CountGuard::new(&self.queued);
            let slot = tokio::time::timeout(remaining, self.slots.acquire()).await;
            slot.ok().and_then(Result::ok).ok_or(503u16)?
        };
        // New weights may have been ordered, or loaded, while the request waited.
        if self.loading.get() {
            return Err(503);
        }
        if !expects_version(self.version.get()) {
            return Err(421);
        }
        Ok(slot)
    }

    /// Returns the header fields of a response to an executed request.
    fn answer_fields(&self, id: &str, run: usize) -> String {
        format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: {}\r\nVersions: {}\r\n\
             Sparrouter-Instance-Load: {},{},{}\r\n",
            seal_of(run),
            self.version.get(),
            self.running.get(),
            self.queued.get(),
            self.settings.slots
        )
    }

    /// Sends a response with a stream of events, starting after the event `resumed`.
    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        fields: &str,
        run: usize,
        resumed: u64,
    ) -> Option<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for event in resumed + 1..=self.settings.events {
            let text = event_of(run, event);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).await.ok()?;
            if event < self.settings.events {
                sleep(self.settings.gap).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }
}

/// Returns the value of a header field, or an empty string if it is absent.
fn header_value(request: &Request, name: &str) -> String {
    let value = request.head.fields.text(name);
    value.unwrap_or_default().to_owned()
}

/// Returns the kind of a request, determined by the first segment of its path, which is the name of its route.
pub fn kind_of(path: &str) -> RequestKind {
    match path.split('/').nth(1) {
        Some("swap") => RequestKind::Idempotent,
        Some("assign") => RequestKind::NonIdempotent,
        Some("audit") => RequestKind::Resumable,
        _ => RequestKind::Streaming,
    }
}

/// Formats a response with a body of known length. `fields`: additional header fields, each ending in CR LF.
fn plain_response(status: u16, fields: &str, body: &str) -> String {
    let reason = http::reason(status);
    format!(
        "HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
