//! A stand-in model server by the protocol page: beats, slots and a queue, streams and bodies, resumption, orders.
use crate::ledger::{Kind, Ledger, Order, Run, body_of, event_of, seal_of};
use crate::{MODEL, SERVICE};
use bytes::BytesMut;
use miniserde::{Deserialize, json};
use sparrouter_fleet::client::call::{Call, Outcome, once};
use sparrouter_fleet::http::{self, Request, Room};
use sparrouter_fleet::net::Sockets;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

const ROOM: Room = Room {
    head: 32 << 10,
    body: 1 << 20,
    header_timeout: Duration::from_secs(5),
};
const IDLE: Duration = Duration::from_secs(10);
const BEAT: Duration = Duration::from_millis(400);
/// As in the settings that machines are given: the default of `bounds.drain_timeout_ms`.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// It serves on so long beyond that.
const LINGER: Duration = Duration::from_millis(400);

#[derive(Clone, Debug)]
pub struct Terms {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    pub gap: Duration,
    pub load: Duration,
    pub events: u64,
    pub version: u64,
    /// Addresses that serve control_plane.
    pub control: Vec<SocketAddr>,
}

pub struct Engine {
    pub terms: Terms,
    ledger: Rc<Ledger>,
    rng: RefCell<fastrand::Rng>,
    slots: Semaphore,
    queued: Cell<usize>,
    running: Cell<usize>,
    pub version: Cell<u64>,
    loading: Cell<bool>,
    orders: Cell<u64>,
    fence: Cell<u64>,
    calls: Cell<u64>,
    draining: Cell<bool>,
    target: Cell<Option<SocketAddr>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

#[derive(Deserialize)]
struct Acknowledged {
    heartbeat_target: Option<String>,
}

#[derive(Deserialize)]
struct Ordered {
    operation: String,
    model: String,
    version: u64,
    holder_id: String,
    fence_token: u64,
    expected_count: Option<u64>,
}

impl Engine {
    pub async fn start(
        terms: Terms,
        ledger: Rc<Ledger>,
        rng: fastrand::Rng,
    ) -> std::io::Result<Rc<Engine>> {
        let listener = TcpListener::bind(terms.address).await?;
        let engine = Rc::new(Engine {
            slots: Semaphore::new(terms.slots),
            version: Cell::new(terms.version),
            terms,
            ledger,
            rng: RefCell::new(rng),
            queued: Cell::new(0),
            running: Cell::new(0),
            loading: Cell::new(false),
            orders: Cell::new(0),
            fence: Cell::new(0),
            calls: Cell::new(0),
            draining: Cell::new(false),
            target: Cell::new(None),
            tasks: RefCell::default(),
        });
        let (accepting, beating) = (engine.clone(), engine.clone());
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let one = accepting.clone();
                let task = spawn_local(async move { one.attend(stream).await });
                let mut tasks = accepting.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task);
            }
        });
        let beating = spawn_local(async move {
            while !beating.draining.get() {
                beating.beat("PUT").await;
                sleep(BEAT).await;
            }
        });
        engine.tasks.borrow_mut().extend([accepting, beating]);
        Ok(engine)
    }

    /// Dies without a word: every connection ends as it stands.
    pub fn crash(&self) {
        self.ledger
            .crashed
            .borrow_mut()
            .insert(self.terms.id.clone());
        self.stop();
    }

    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    /// Announces its end, serves on as long as it must, leaves.
    pub async fn drain(&self) {
        self.draining.set(true);
        while !self.beat("PUT").await {
            sleep(Duration::from_millis(50)).await;
        }
        self.ledger
            .drains
            .borrow_mut()
            .insert(self.terms.id.clone(), Instant::now());
        sleep(DRAIN_TIMEOUT + LINGER).await;
        for _ in 0..5 {
            if self.beat("DELETE").await {
                break;
            }
        }
        while self.running.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        self.stop();
    }

    /// One call to the fleet; whether it was acknowledged.
    async fn beat(&self, method: &'static str) -> bool {
        self.calls.set(self.calls.get() + 1);
        let t = &self.terms;
        let state = if self.draining.get() {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slot_count\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"serving_stage\":\"both\",\"models\":[{{\"name\":\
             \"{MODEL}\",\"version\":{},\"adapters\":[]}}],\"call_sequence\":{}}}",
            t.address,
            t.zone,
            t.slots,
            self.version.get(),
            self.calls.get()
        );
        let body = (method == "PUT").then(|| body.into_bytes());
        let call = Call {
            method,
            path: format!("/api/instances/{}", t.id),
            if_match: None,
            body,
        };
        let any = t.control[self.rng.borrow_mut().usize(..t.control.len())];
        let to = self.target.get().unwrap_or(any);
        match once(&Sockets, &call, &call.path, to).await {
            Outcome::Replied(reply) if (200..300).contains(&reply.status) => {
                let told = json::from_str::<Acknowledged>(&reply.body)
                    .ok()
                    .and_then(|a| a.heartbeat_target);
                self.target
                    .set(told.and_then(|t| t.parse().ok()).or(self.target.get()));
                true
            }
            _ => {
                self.target.set(None);
                false
            }
        }
    }

    async fn attend(self: Rc<Self>, mut stream: TcpStream) {
        // Without it pieces only wait for one another.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        loop {
            let until = Instant::now() + IDLE;
            let Ok(request) = http::request(&mut stream, &mut buffer, ROOM, until).await else {
                return;
            };
            let method = &request.head.method[..];
            let answer = match (method, request.path()) {
                (b"GET", "/health") => plain(
                    200,
                    &format!("Sparrouter-Instance-Id: {}\r\n", self.terms.id),
                    "",
                ),
                (b"GET", "/api/report") => plain(200, "", &self.report()),
                (b"POST", "/api/order") => self.clone().order(&request),
                (b"GET", "/api/kv-events") => {
                    sleep(Duration::from_millis(200)).await;
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
                    Some(()) if request.head.keep => continue,
                    _ => return,
                },
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || !request.head.keep {
                return;
            }
        }
    }

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

    fn order(self: Rc<Self>, request: &Request) -> String {
        let text = std::str::from_utf8(&request.body).unwrap_or_default();
        let Ok(order) = json::from_str::<Ordered>(text) else {
            return plain(400, "", "");
        };
        let loads = order.version > self.version.get() && !self.loading.get();
        self.ledger.orders.borrow_mut().push(Order {
            instance: self.terms.id.clone(),
            holder: order.holder_id.clone(),
            fence: order.fence_token,
            version: order.version,
            loads,
        });
        if order.operation != "version" || order.model != MODEL {
            return plain(400, "", "");
        }
        if order.fence_token < self.fence.get() {
            return plain(412, "", "");
        }
        self.fence.set(order.fence_token);
        if order.version <= self.version.get() {
            return plain(200, "", "");
        }
        if self.loading.get() || order.expected_count.is_some_and(|n| n != self.orders.get()) {
            return plain(409, "", "");
        }
        self.orders.set(self.orders.get() + 1);
        self.loading.set(true);
        let engine = self.clone();
        let loading = spawn_local(async move {
            // Runs finish first.
            while engine.running.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(engine.terms.load).await;
            engine.version.set(order.version);
            engine.loading.set(false);
        });
        self.tasks.borrow_mut().push(loading);
        plain(202, "", "")
    }

    fn decline(&self, status: u16, id: &str) -> String {
        let fields = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Not-Executed: 1\r\nSparrouter-Instance-Id: {}\r\n",
            self.terms.id
        );
        plain(status, &fields, "")
    }

    /// One request of a client. None where the connection may carry no other.
    async fn serve(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        let fields = &request.head.fields;
        let text = |name: &str| fields.text(name).unwrap_or_default().to_owned();
        let id = text("sparrouter-attempt-id");
        let wants = |version: u64| {
            fields
                .text("expect-version")
                .is_none_or(|v| v.parse() == Ok(version))
        };
        let refusal = match fields.text("sparrouter-expected-instance") {
            Some(expected) if expected != self.terms.id => Some(421),
            _ if id.is_empty() => Some(400),
            _ if self.loading.get() || self.queued.get() >= self.terms.slots * 2 => Some(503),
            _ if !wants(self.version.get()) => Some(421),
            _ => None,
        };
        let left = Duration::from_millis(text("sparrouter-deadline-ms").parse().unwrap_or(30_000));
        let slot = match refusal {
            Some(_) => None,
            None => {
                let _queued = Counted::new(&self.queued);
                tokio::time::timeout(left, self.slots.acquire())
                    .await
                    .ok()
                    .and_then(Result::ok)
            }
        };
        let declined = match (refusal, &slot) {
            (Some(status), _) => Some(status),
            (None, None) => Some(503),
            (None, Some(_)) if self.loading.get() => Some(503),
            (None, Some(_)) if !wants(self.version.get()) => Some(421),
            _ => None,
        };
        if let Some(status) = declined {
            return stream
                .write_all(self.decline(status, &id).as_bytes())
                .await
                .ok();
        }
        let _running = Counted::new(&self.running);
        let resumed = text("last-event-id").trim().parse().unwrap_or(0);
        let run = self.ledger.ran(Run {
            id: id.clone(),
            instance: self.terms.id.clone(),
            path: String::from_utf8_lossy(&request.head.target).into_owned(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
            at: Instant::now(),
            version: self.version.get(),
            resumed,
        });
        sleep(self.terms.work).await;
        let own = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: {}\r\nVersions: {}\r\n\
             Sparrouter-Instance-Load: {},{},{}\r\n",
            seal_of(run),
            self.version.get(),
            self.running.get(),
            self.queued.get(),
            self.terms.slots
        );
        if !kind_of(request.path()).streams() {
            return stream
                .write_all(plain(200, &own, &body_of(run)).as_bytes())
                .await
                .ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for event in resumed + 1..=self.terms.events {
            let text = event_of(run, event);
            stream
                .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .await
                .ok()?;
            if event < self.terms.events {
                sleep(self.terms.gap).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }
}

/// By the first word of the path, as the routes are named.
pub fn kind_of(path: &str) -> Kind {
    match path.split('/').nth(1) {
        Some("swap") => Kind::Idempotent,
        Some("assign") => Kind::NonIdempotent,
        Some("audit") => Kind::Resumable,
        _ => Kind::Streaming,
    }
}

fn plain(status: u16, fields: &str, body: &str) -> String {
    let reason = http::reason(status);
    format!(
        "HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One more of something, for as long as this lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
