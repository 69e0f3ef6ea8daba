//! A stand-in model server by PROTOCOL.md: heartbeats, slots and a queue, streams and plain answers, resumption, orders.
use crate::ledger::{Ledger, Order, RequestKind, Run, body_of, event_of, seal_of};
use crate::{MODEL, SERVICE};
use bytes::BytesMut;
use miniserde::{Deserialize, json};
use sparrouter_fleet::client::call::{Call, Outcome, send_once};
use sparrouter_fleet::platform::http::{self, ReadLimits, Request};
use sparrouter_fleet::platform::net::Sockets;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Limits on requests.
const READ_LIMITS: ReadLimits = ReadLimits {
    max_head_bytes: 32 << 10,
    max_body_bytes: 1 << 20,
    header_timeout: Duration::from_secs(5),
};
/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The default of `bounds.drain_timeout_ms`, which the machines of the lab use.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a server serves beyond that.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);
/// How often leaving is announced before the server stops all the same.
const LEAVE_ATTEMPTS: u32 = 5;
/// How long a call for KV events is held.
const KV_EVENTS_WAIT: Duration = Duration::from_millis(200);
/// Deadline of a request that gives none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The settings of a server.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Its instance id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at a time; twice as many may wait.
    pub slots: usize,
    /// Time from the beginning of a request to its first event or its answer.
    pub work: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Time to load new weights.
    pub load: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Version of the weights at the start.
    pub version: u64,
    /// Control addresses of nodes.
    pub control: Vec<SocketAddr>,
}

/// A running server.
pub struct ModelServer {
    /// Its settings.
    pub settings: ServerSettings,
    ledger: Rc<Ledger>,
    rng: RefCell<fastrand::Rng>,
    slots: Semaphore,
    queued: Cell<usize>,
    running: Cell<usize>,
    /// Version of the weights that it runs.
    pub version: Cell<u64>,
    loading: Cell<bool>,
    /// Orders that were accepted.
    orders: Cell<u64>,
    /// Highest fencing token so far.
    highest_fencing_token: Cell<u64>,
    /// Number of the last call to the fleet.
    call_sequence: Cell<u64>,
    draining: Cell<bool>,
    /// The node that the fleet named for heartbeats.
    heartbeat_target: Cell<Option<SocketAddr>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// The fleet's answer to a heartbeat.
#[derive(Deserialize)]
struct HeartbeatAnswer {
    heartbeat_target: Option<String>,
}

/// The body of an order.
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
    /// Starts a server, with its heartbeats.
    ///
    /// # Errors
    ///
    /// If it cannot listen on its address.
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

    /// Crashes: all connections end at once.
    pub fn crash(&self) {
        self.ledger
            .crashed
            .borrow_mut()
            .insert(self.settings.id.clone());
        self.stop();
    }

    /// Stops all tasks of the server.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    /// Announces that it drains, serves on as long as it must, announces that it leaves, and stops.
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

    /// Sends a heartbeat (PUT), or that it leaves (DELETE). True if that was acknowledged.
    async fn call_fleet(&self, method: &'static str) -> bool {
        self.call_sequence.set(self.call_sequence.get() + 1);
        let settings = &self.settings;
        let call = Call {
            method,
            path: format!("/api/instances/{}", settings.id),
            if_match: None,
            body: (method == "PUT").then(|| self.heartbeat().into_bytes()),
        };
        let any = settings.control[self.rng.borrow_mut().usize(..settings.control.len())];
        let to = self.heartbeat_target.get().unwrap_or(any);
        match send_once(&Sockets, &call, &call.path, to).await {
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

    /// The body of a heartbeat.
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
        // If this fails, small pieces are only sent later.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        loop {
            let deadline = Instant::now() + IDLE_TIMEOUT;
            let Ok(request) =
                http::read_request(&mut stream, &mut buffer, READ_LIMITS, deadline).await
            else {
                return;
            };
            let method = &request.head.method[..];
            let answer = match (method, request.path()) {
                (b"GET", "/health") => plain(
                    200,
                    &format!("Sparrouter-Instance-Id: {}\r\n", self.settings.id),
                    "",
                ),
                (b"GET", "/api/report") => plain(200, "", &self.report()),
                (b"POST", "/api/order") => self.clone().accept_order(&request),
                (b"GET", "/api/kv-events") => {
                    sleep(KV_EVENTS_WAIT).await;
                    plain(
                        200,
                        "",
                        "{\"epoch\":1,\"next_page_token\":0,\"lost_count\":false,\"events\":[]}",
                    )
                }
                (b"GET", "/api/kv-list") => plain(
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

    /// The body of its report.
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

    /// Takes an order to load new weights.
    fn accept_order(self: Rc<Self>, request: &Request) -> String {
        let text = std::str::from_utf8(&request.body).unwrap_or_default();
        let Ok(order) = json::from_str::<OrderBody>(text) else {
            return plain(400, "", "");
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
            return plain(400, "", "");
        }
        if order.fence_token < self.highest_fencing_token.get() {
            return plain(412, "", "");
        }
        self.highest_fencing_token.set(order.fence_token);
        if order.version <= self.version.get() {
            return plain(200, "", "");
        }
        if self.loading.get() || order.expected_count.is_some_and(|n| n != self.orders.get()) {
            return plain(409, "", "");
        }
        self.orders.set(self.orders.get() + 1);
        self.loading.set(true);
        let loading = spawn_local(self.clone().load(order.version));
        self.tasks.borrow_mut().push(loading);
        plain(202, "", "")
    }

    /// Loads weights once all runs have finished.
    async fn load(self: Rc<Self>, version: u64) {
        while self.running.get() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(self.settings.load).await;
        self.version.set(version);
        self.loading.set(false);
    }

    /// An answer that says that the request did not run.
    fn decline(&self, status: u16, id: &str) -> String {
        let fields = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Not-Executed: 1\r\nSparrouter-Instance-Id: {}\r\n",
            self.settings.id
        );
        plain(status, &fields, "")
    }

    /// Serves a request of a client. `None` if the connection cannot carry another one.
    async fn serve(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        let id = text_of(request, "sparrouter-attempt-id");
        let _slot = match self.acquire_slot(request, &id).await {
            Ok(slot) => slot,
            Err(status) => {
                let answer = self.decline(status, &id);
                return stream.write_all(answer.as_bytes()).await.ok();
            }
        };
        let _running = CountGuard::new(&self.running);
        let resumed = text_of(request, "last-event-id")
            .trim()
            .parse()
            .unwrap_or(0);
        let run = self.ledger.record_run(Run {
            id: id.clone(),
            instance: self.settings.id.clone(),
            path: String::from_utf8_lossy(&request.head.target).into_owned(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
            began_at: Instant::now(),
            version: self.version.get(),
            resumed,
        });
        sleep(self.settings.work).await;
        let fields = self.answer_fields(&id, run);
        if kind_of(request.path()).is_stream() {
            return self.stream_events(stream, &fields, run, resumed).await;
        }
        let answer = plain(200, &fields, &body_of(run));
        stream.write_all(answer.as_bytes()).await.ok()
    }

    /// Waits for a slot. The error is the status that declines the request.
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
        let deadline_ms = text_of(request, "sparrouter-deadline-ms").parse();
        let left = Duration::from_millis(deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        let slot = {
            let _queued = CountGuard::new(&self.queued);
            let slot = tokio::time::timeout(left, self.slots.acquire()).await;
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

    /// The header fields of an answer that is this server's own.
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

    /// Answers with a stream of events, beginning behind the event `resumed`.
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

/// The value of a header field; empty without one.
fn text_of(request: &Request, name: &str) -> String {
    let value = request.head.fields.text(name);
    value.unwrap_or_default().to_owned()
}

/// The kind of a request by the first segment of its path, as the operator's routes are named.
pub fn kind_of(path: &str) -> RequestKind {
    match path.split('/').nth(1) {
        Some("swap") => RequestKind::Idempotent,
        Some("assign") => RequestKind::NonIdempotent,
        Some("audit") => RequestKind::Resumable,
        _ => RequestKind::Streaming,
    }
}

/// An answer with a body of known length. `fields`: further header fields, each with its line end.
fn plain(status: u16, fields: &str, body: &str) -> String {
    let reason = http::reason(status);
    format!(
        "HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Adds one to a count for as long as this lives.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> CountGuard<'a> {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
