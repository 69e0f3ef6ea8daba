//! A model server by its page: beats, slots and a queue, streams and bodies, resumption, weights by order, faults.
//!
//! What it answers is told by the path's last word: `sN` a stream of N events, `bN` a body of N bytes. Every event and
//! body names the run it comes from, so that the judge can tell pieces of two runs apart.
use crate::judge::{Judge, Run};
use crate::line::End;
use crate::net::{MemoryDoor, MemoryNet};
use crate::speech::{self, next_call, whole};
use bytes::{Bytes, BytesMut};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use wicket::head::{CallHead, Fields};
use wicket::reading;

/// The one model of these stories.
pub const MODEL: &str = "daka510000";
/// A caller waits a second for an acknowledgement.
const PATIENCE: Duration = Duration::from_secs(1);
/// It serves on so long beyond its drain time, and waits so long where nobody acknowledges.
const LINGER: Duration = Duration::from_millis(400);
const UNHEARD: Duration = Duration::from_secs(5);

/// Parts that a server or store keeps: under which salt and id, made at which version of the weights.
pub type Memory = Rc<RefCell<BTreeMap<(String, String), u64>>>;
/// All of them by address, as `Kv-Fetch` and `Kv-Save` name them.
pub type Memories = Rc<RefCell<BTreeMap<SocketAddr, Memory>>>;

/// What a server does wrong, as chances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Breaks a stream off midway.
    pub breaks: f64,
    /// Runs a request and resets the connection without a word.
    pub resets: f64,
    /// Sends another whole answer behind one, at once or in the place of the next.
    pub surplus: f64,
    /// Sends bytes that are no answer, and closes.
    pub garbles: f64,
    /// Says nothing more.
    pub hangs: f64,
}

#[derive(Clone, Debug)]
pub struct Terms {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub version: u64,
    pub heartbeat: Duration,
    /// After it takes requests.
    pub first_beat: Duration,
    pub drain_timeout: Duration,
    /// Until its first token, between two, and how long new weights take.
    pub work: Duration,
    pub gap: Duration,
    pub load: Duration,
    /// Addresses that serve control, as the operator's list has them.
    pub control: Rc<RefCell<Vec<SocketAddr>>>,
    pub memories: Memories,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
}

pub struct Server {
    pub terms: Terms,
    net: MemoryNet,
    judge: Rc<Judge>,
    rng: RefCell<Rng>,
    pub faults: Cell<Faults>,
    state: Cell<State>,
    version: Cell<u64>,
    loading: Cell<bool>,
    orders: Cell<u64>,
    fence: Cell<u64>,
    call_sequence: Cell<u64>,
    target: Cell<Option<SocketAddr>>,
    slots: Semaphore,
    queued: Cell<u32>,
    running: Cell<u32>,
    kept: Memory,
    /// Who acknowledged that it drains.
    pub drained_by: Cell<Option<SocketAddr>>,
    /// A delayed copy of its first beat, sent once more after it drains.
    pub late_beat: Cell<bool>,
}

impl Server {
    pub fn new(terms: Terms, net: MemoryNet, judge: Rc<Judge>, rng: Rng) -> Rc<Server> {
        let kept = Memory::default();
        terms.memories.borrow_mut().insert(terms.address, kept.clone());
        Rc::new(Server {
            version: Cell::new(terms.version),
            slots: Semaphore::new(terms.slots as usize),
            terms,
            net,
            judge,
            rng: RefCell::new(rng),
            faults: Cell::default(),
            state: Cell::new(State::Ready),
            loading: Cell::new(false),
            orders: Cell::new(0),
            fence: Cell::new(0),
            call_sequence: Cell::new(0),
            target: Cell::new(None),
            queued: Cell::new(0),
            running: Cell::new(0),
            kept,
            drained_by: Cell::new(None),
            late_beat: Cell::new(false),
        })
    }

    pub fn version(&self) -> u64 {
        self.version.get()
    }
    pub fn orders(&self) -> u64 {
        self.orders.get()
    }

    /// Its whole life: it ends by itself only after `drain`.
    pub async fn live(self: Rc<Self>, door: MemoryDoor) {
        let serving = self.clone();
        spawn_local(async move {
            loop {
                let (stream, from) = door.next().await;
                let server = serving.clone();
                spawn_local(async move { server.attend(stream, from).await });
            }
        });
        sleep(self.terms.first_beat).await;
        let first = self.beat_body();
        while self.state.get() == State::Ready {
            self.beat().await;
            let pause = self.terms.heartbeat.mul_f64(0.9 + 0.2 * self.rng.borrow_mut().f64());
            let until = Instant::now() + pause;
            while self.state.get() == State::Ready && Instant::now() < until {
                sleep(Duration::from_millis(20)).await;
            }
        }
        let began = Instant::now();
        let mut acknowledged = None;
        while acknowledged.is_none() && began.elapsed() < UNHEARD {
            acknowledged = self.beat().await;
            if acknowledged.is_none() {
                sleep(Duration::from_millis(50)).await;
            }
        }
        if let Some(by) = acknowledged {
            self.drained_by.set(Some(by));
            self.judge.draining(&self.terms.id, by);
            if self.late_beat.get() {
                let path = format!("/api/instances/{}", self.terms.id);
                let _ = speech::call(&self.net, by, "PUT", &path, &[], &first, PATIENCE).await;
            }
            sleep(self.terms.drain_timeout + LINGER).await;
        }
        for _ in 0..3 {
            let path = format!("/api/instances/{}", self.terms.id);
            if let Some(to) = self.whom()
                && let Ok(reply) = speech::call(&self.net, to, "DELETE", &path, &[], "", PATIENCE).await
                && reply.status < 300
            {
                self.judge.draining(&self.terms.id, to);
                break;
            }
            self.target.set(None);
        }
        // What it is still working on may end.
        let until = Instant::now() + LINGER;
        while self.running.get() > 0 && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.state.get() == State::Draining
    }

    /// Announces its end.
    pub fn drain(&self) {
        self.state.set(State::Draining);
    }

    fn whom(&self) -> Option<SocketAddr> {
        let list = self.terms.control.borrow();
        let any = || (!list.is_empty()).then(|| list[self.rng.borrow_mut().usize(..list.len())]);
        self.target.get().or_else(any)
    }

    fn beat_body(&self) -> String {
        self.call_sequence.set(self.call_sequence.get() + 1);
        let t = &self.terms;
        let state = if self.state.get() == State::Ready { "ready" } else { "draining" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slot_count\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"serving_stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\
             \"version\":{},\"adapters\":[]}}],\"call_sequence\":{}}}",
            t.service,
            t.address,
            t.zone,
            t.slots,
            self.version.get(),
            self.call_sequence.get()
        )
    }

    /// One beat; gives back who acknowledged it.
    async fn beat(&self) -> Option<SocketAddr> {
        for _ in 0..3 {
            let to = self.whom()?;
            let path = format!("/api/instances/{}", self.terms.id);
            let body = self.beat_body();
            match speech::call(&self.net, to, "PUT", &path, &[], &body, PATIENCE).await {
                Ok(reply) if reply.status < 300 && reply.body.len() <= 4 << 10 => {
                    let told = reply.text().split("\"heartbeat_target\":\"").nth(1);
                    let told = told.and_then(|t| t.split('"').next()).and_then(|t| t.parse().ok());
                    if told.is_some() {
                        self.target.set(told);
                    }
                    return Some(to);
                }
                _ => self.target.set(None),
            }
        }
        None
    }

    async fn attend(self: Rc<Self>, mut stream: End, from: SocketAddr) {
        let mut talk = Talk::default();
        while let Some((head, body)) = next_call(&mut stream, &mut talk.buffer).await {
            let late = std::mem::take(&mut talk.late);
            if !late.is_empty() && stream.write_all(late.as_bytes()).await.is_err() {
                return;
            }
            let path = String::from_utf8_lossy(&head.target).into_owned();
            let answer = match (&head.method[..], path.as_str()) {
                (b"GET", "/health") => whole(
                    if self.state.get() == State::Ready { 200 } else { 503 },
                    &format!("Sparrouter-Instance-Id: {}\r\n", self.terms.id),
                    "",
                ),
                (b"GET", "/api/report") => whole(200, "", &self.report()),
                (b"POST", "/api/order") => self.clone().order(&body, from),
                (b"GET", path) if path.starts_with("/api/kv-events") => {
                    whole(200, "", "{\"epoch\":1,\"next_page_token\":0,\"lost_count\":false,\"events\":[]}")
                }
                (b"GET", "/api/kv-list") => {
                    whole(200, "", "{\"epoch\":1,\"next_page_token\":0,\"held_count\":[]}")
                }
                _ => match self.serve(&mut stream, &mut talk, &head, &body, &path, from).await {
                    Some(true) => continue,
                    Some(false) => return,
                    None => return stream.abort(),
                },
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || !head.keep {
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

    fn order(self: Rc<Self>, body: &Bytes, from: SocketAddr) -> String {
        #[derive(miniserde::Deserialize)]
        struct Order {
            operation: String,
            model: String,
            version: u64,
            method: String,
            holder_id: String,
            fence_token: u64,
            expected_count: Option<u64>,
        }
        let text = std::str::from_utf8(body).unwrap_or_default();
        let Ok(order) = miniserde::json::from_str::<Order>(text) else { return whole(400, "", "") };
        self.judge.ordered(&self.terms.id, &order.holder_id, order.fence_token, from.ip());
        if order.operation != "version" || order.model != MODEL || order.method != "queue" {
            return whole(400, "", "");
        }
        if order.fence_token < self.fence.get() {
            return whole(412, "", "");
        }
        self.fence.set(order.fence_token);
        if order.version <= self.version.get() {
            return whole(200, "", "");
        }
        if self.loading.get() || order.expected_count.is_some_and(|n| n != self.orders.get()) {
            return whole(409, "", "");
        }
        self.orders.set(self.orders.get() + 1);
        self.judge.loads(&self.terms.id, order.version);
        self.loading.set(true);
        let server = self.clone();
        spawn_local(async move {
            // Runs finish first.
            while server.running.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(server.terms.load).await;
            server.kept.borrow_mut().clear();
            server.version.set(order.version);
            server.loading.set(false);
        });
        whole(202, "", "")
    }

    /// Declines with the words that prove it.
    async fn decline(&self, stream: &mut End, status: u16, id: &str) -> Option<bool> {
        let fields = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Not-Executed: 1\r\nSparrouter-Instance-Id: {}\r\nVersions: {}\r\n",
            self.terms.id,
            self.version.get()
        );
        Some(stream.write_all(whole(status, &fields, "").as_bytes()).await.is_ok())
    }

    /// One request. Whether the connection may carry another; None: it is to be reset.
    async fn serve(
        &self, stream: &mut End, talk: &mut Talk, head: &CallHead, body: &Bytes, path: &str, from: SocketAddr,
    ) -> Option<bool> {
        let fields = &head.fields;
        let text = |name: &str| fields.text(name).unwrap_or_default().to_owned();
        let id = text("sparrouter-attempt-id");
        let expected = fields.text("sparrouter-expected-instance");
        if expected.is_some_and(|e| e != self.terms.id) {
            return self.decline(stream, 421, &id).await;
        }
        if id.is_empty() {
            return self.decline(stream, 400, &id).await;
        }
        self.judge.arrived(&self.terms.service, &id, &self.terms.id, from.ip());
        let wanted = |v: u64| fields.text("expect-version").is_none_or(|e| e.parse() == Ok(v));
        if !wanted(self.version.get()) && !self.loading.get() {
            return self.decline(stream, 421, &id).await;
        }
        if self.loading.get() || self.queued.get() > self.terms.slots * 3 {
            return self.decline(stream, 503, &id).await;
        }
        let left = text("sparrouter-deadline-ms").parse().unwrap_or(30_000);
        let until = Instant::now() + Duration::from_millis(left);
        self.queued.set(self.queued.get() + 1);
        let got = tokio::select! {
            biased;
            got = self.slots.acquire() => got.ok(),
            () = gone(stream, &mut talk.buffer) => None,
            () = tokio::time::sleep_until(until) => None,
        };
        self.queued.set(self.queued.get() - 1);
        let Some(slot) = got else { return self.decline(stream, 503, &id).await };
        if self.loading.get() {
            drop(slot);
            return self.decline(stream, 503, &id).await;
        }
        if !wanted(self.version.get()) {
            drop(slot);
            return self.decline(stream, 421, &id).await;
        }
        let run = self.begin(fields, head, body, path, &id, from);
        self.running.set(self.running.get() + 1);
        let _working = Working(&self.running);
        let ended = tokio::select! {
            biased;
            ended = self.answer(stream, path, fields, &id, run, &mut talk.late) => ended,
            () = tokio::time::sleep_until(until) => Some(false),
        };
        drop(slot);
        ended.map(|keep| keep && head.keep)
    }

    fn begin(
        &self, fields: &Fields, head: &CallHead, body: &Bytes, path: &str, id: &str, from: SocketAddr,
    ) -> u64 {
        let salt = fields.text("cache-salt").unwrap_or_default().to_owned();
        let version = self.version.get();
        let mut made = Vec::new();
        let memory = |name: &str| {
            let at: SocketAddr = fields.text(name)?.parse().ok()?;
            self.terms.memories.borrow().get(&at).cloned()
        };
        let (fetch, save) = (memory("kv-fetch"), memory("kv-save"));
        for part in fields.text("sparrouter-prompt-prefix").unwrap_or_default().split(',') {
            let key = (salt.clone(), part.split(':').next().unwrap_or_default().to_owned());
            let held = self.kept.borrow().get(&key).copied();
            let fetched = || fetch.as_ref().and_then(|m| m.borrow().get(&key).copied());
            let at = held.or_else(fetched).unwrap_or(version);
            self.kept.borrow_mut().insert(key.clone(), at);
            if let Some(store) = &save {
                // What it has stays as it was first made.
                store.borrow_mut().entry(key).or_insert(at);
            }
            made.push(at);
        }
        self.judge.ran(Run {
            attempt: id.to_owned(),
            service: self.terms.service.clone(),
            instance: self.terms.id.clone(),
            by: from.ip(),
            method: String::from_utf8_lossy(&head.method).into_owned(),
            path: path.to_owned(),
            body: body.clone(),
            tenant: fields.text("sparrouter-tenant").map(str::to_owned),
            key: fields.text("sparrouter-key").map(str::to_owned),
            version,
            made,
            resumed: fields.text("last-event-id").and_then(|l| l.trim().parse().ok()).unwrap_or(0),
        })
    }

    async fn answer(
        &self, stream: &mut End, path: &str, fields: &Fields, id: &str, run: u64, late: &mut String,
    ) -> Option<bool> {
        let chance = |of: f64| of > 0.0 && self.rng.borrow_mut().f64() < of;
        let faults = self.faults.get();
        if chance(faults.resets) {
            self.judge.faulty(run);
            return None;
        }
        sleep(self.terms.work).await;
        if chance(faults.hangs) {
            self.judge.faulty(run);
            std::future::pending::<()>().await;
        }
        if chance(faults.garbles) {
            self.judge.faulty(run);
            // No more can come of it, whether it is heard or not.
            let _ = stream.write_all(b"\x16\x03\x01 no answer at all\r\n\r\n").await;
            return Some(false);
        }
        let own = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal-{run}\r\nVersions: {}\r\n\
             Sparrouter-Instance-Load: {},{},{}\r\n",
            self.version.get(),
            self.running.get(),
            self.queued.get(),
            self.terms.slots
        );
        let word = path.split('?').next().unwrap_or_default().rsplit('/').next().unwrap_or_default();
        let count: u64 = word.get(1..).and_then(|n| n.parse().ok()).unwrap_or(1);
        if !word.starts_with('s') {
            let answer = whole(200, &own, &body_of(run, count as usize));
            stream.write_all(answer.as_bytes()).await.ok()?;
            if chance(faults.surplus) {
                self.surplus(stream, answer, late).await?;
            }
            return Some(true);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        let first = fields.text("last-event-id").and_then(|l| l.trim().parse::<u64>().ok()).unwrap_or(0);
        let breaks = chance(faults.breaks).then(|| self.rng.borrow_mut().u64(first..=count));
        for event in first + 1..=count {
            let text = event_of(run, event);
            if breaks == Some(event - 1) {
                self.judge.faulty(run);
                // Anywhere in an event, and as often at its end.
                let upto = self.rng.borrow_mut().usize(..text.len() * 2).min(text.len());
                if upto > 0 {
                    let piece = &text[..upto];
                    stream.write_all(format!("{upto:x}\r\n{piece}\r\n").as_bytes()).await.ok()?;
                }
                return None;
            }
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.ok()?;
            if event < count {
                sleep(self.terms.gap).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.ok()?;
        if chance(faults.surplus) {
            self.surplus(stream, whole(200, &own, "surplus"), late).await?;
        }
        Some(true)
    }

    async fn surplus(&self, stream: &mut End, answer: String, late: &mut String) -> Option<()> {
        if self.rng.borrow_mut().bool() {
            *late = answer;
            return Some(());
        }
        stream.write_all(answer.as_bytes()).await.ok()
    }
}

/// A connection between two calls: what came ahead, and an answer too many that is still to come.
#[derive(Default)]
struct Talk {
    buffer: BytesMut,
    late: String,
}

/// One event of a run.
pub fn event_of(run: u64, event: u64) -> String {
    format!("id: {event}\ndata: run {run} event {event}\n\n")
}

/// The body of a run, as long as was asked for.
pub fn body_of(run: u64, length: usize) -> String {
    format!("run {run} ").chars().cycle().take(length.max(1)).collect()
}

/// Ends once the caller has left.
async fn gone(stream: &mut End, buffer: &mut BytesMut) {
    while reading::more(stream, buffer).await.is_ok() {}
}

struct Working<'a>(&'a Cell<u32>);

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
