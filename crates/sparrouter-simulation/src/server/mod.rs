//! A model server by its page: beats, slots and a queue, streams and bodies, resumption, weights by order, faults.
//!
//! What it answers is told by the path's last word: `sN` a stream of N events, `bN` a body of N bytes. Every event and
//! body names the run it comes from, so that the judge can tell pieces of two runs apart.
mod heartbeats;
mod requests;

pub use requests::{body_of, event_of};

use crate::checkers::{CachedBlock, Monitor};
use crate::http_messages::{next_call, response_text};
use crate::network::connection::End;
use crate::network::interface::NetworkInterface;
use bytes::{Bytes, BytesMut};
use fastrand::Rng;
use sparrouter_http::head::RequestHead;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The one model of these stories.
pub const MODEL: &str = "daka510000";
/// Parts that a server or store keeps: under which salt and id, made by whom.
pub type BlockStore = Rc<RefCell<BTreeMap<(String, String), CachedBlock>>>;
/// All of them by address, as `Kv-Fetch` and `Kv-Save` name them.
pub type BlockStores = Rc<RefCell<BTreeMap<SocketAddr, BlockStore>>>;

/// What a server does wrong, as chances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerFaults {
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
pub struct ClusterSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub version: u64,
    pub heartbeat: Duration,
    /// After it takes requests.
    pub first_heartbeat_after: Duration,
    pub drain_timeout: Duration,
    /// Until its first token, between two, and how long new weights take.
    pub work: Duration,
    pub gap: Duration,
    pub load: Duration,
    /// Addresses that serve control, as the operator's list has them.
    pub control: Rc<RefCell<Vec<SocketAddr>>>,
    pub block_stores: BlockStores,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
}

pub struct Server {
    pub settings: ClusterSettings,
    net: NetworkInterface,
    monitor: Rc<Monitor>,
    rng: RefCell<Rng>,
    pub faults: Cell<ServerFaults>,
    state: Cell<State>,
    version: Cell<u64>,
    loading: Cell<bool>,
    orders: Cell<u64>,
    fencing_token: Cell<u64>,
    call_sequence: Cell<u64>,
    target: Cell<Option<SocketAddr>>,
    slots: Semaphore,
    queued: Cell<u32>,
    running: Cell<u32>,
    kept: BlockStore,
    /// What it kept and let go, as it tells it; and how often it took a part from another.
    told: RefCell<Vec<String>>,
    pub moves: Cell<u32>,
    /// Who acknowledged that it drains.
    pub drained_by: Cell<Option<SocketAddr>>,
    /// A delayed copy of its first beat, sent once more after it drains.
    pub duplicate_first_heartbeat: Cell<bool>,
}

impl Server {
    pub fn new(
        settings: ClusterSettings,
        net: NetworkInterface,
        monitor: Rc<Monitor>,
        rng: Rng,
    ) -> Rc<Server> {
        let kept = BlockStore::default();
        settings
            .block_stores
            .borrow_mut()
            .insert(settings.address, kept.clone());
        Rc::new(Server {
            version: Cell::new(settings.version),
            slots: Semaphore::new(settings.slots as usize),
            settings,
            net,
            monitor,
            rng: RefCell::new(rng),
            faults: Cell::default(),
            state: Cell::new(State::Ready),
            loading: Cell::new(false),
            orders: Cell::new(0),
            fencing_token: Cell::new(0),
            call_sequence: Cell::new(0),
            target: Cell::new(None),
            queued: Cell::new(0),
            running: Cell::new(0),
            kept,
            told: RefCell::default(),
            moves: Cell::new(0),
            drained_by: Cell::new(None),
            duplicate_first_heartbeat: Cell::new(false),
        })
    }

    pub fn version(&self) -> u64 {
        self.version.get()
    }
    /// Whether it keeps this part of a prompt, under any salt.
    pub fn keeps(&self, part: &str) -> bool {
        self.kept.borrow().keys().any(|key| key.1 == part)
    }
    pub fn orders(&self) -> u64 {
        self.orders.get()
    }

    async fn serve_connection(self: Rc<Self>, mut stream: End, from: SocketAddr) {
        let mut talk = ServerConnection::default();
        while let Some((head, body)) = next_call(&mut stream, &mut talk.buffer).await {
            let late = std::mem::take(&mut talk.late);
            if !late.is_empty() && stream.write_all(late.as_bytes()).await.is_err() {
                return;
            }
            let path = String::from_utf8_lossy(&head.target).into_owned();
            let answer = match (&head.method[..], path.as_str()) {
                (b"GET", "/health") => response_text(
                    if self.state.get() == State::Ready {
                        200
                    } else {
                        503
                    },
                    &format!("Sparrouter-Instance-Id: {}\r\n", self.settings.id),
                    "",
                ),
                (b"GET", "/api/report") => response_text(200, "", &self.report()),
                (b"POST", "/api/order") => self.clone().order(&head, &body, from),
                (b"GET", path) if path.starts_with("/api/kv-events") => {
                    self.events(path, &head).await
                }
                (b"GET", "/api/kv-list") => response_text(
                    200,
                    "",
                    "{\"epoch\":1,\"next_page_token\":0,\"held_count\":[]}",
                ),
                _ => match self
                    .serve(&mut stream, &mut talk, &head, &body, &path, from)
                    .await
                {
                    Some(true) => continue,
                    Some(false) => return,
                    None => return stream.abort(),
                },
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || !head.keep_alive {
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

    fn tell(&self, salt: &str, id: &str, tokens: u32) {
        let mut told = self.told.borrow_mut();
        let (number, sign) = (told.len() + 1, if tokens > 0 { "+" } else { "-" });
        told.push(format!(
            "[{number},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"{MODEL}\"]"
        ));
    }

    /// Held until there are some, or for as long as was asked.
    async fn events(&self, path: &str, head: &RequestHead) -> String {
        let since = path
            .split("since_time=")
            .nth(1)
            .and_then(|n| n.parse::<usize>().ok())
            .unwrap_or(0);
        let wait = head
            .fields
            .text("wait-ms")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(u64::min(wait, 1_000));
        while self.told.borrow().len() <= since && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
        let told = self.told.borrow();
        let news = told.get(since..).unwrap_or_default().join(",");
        let next = told.len();
        response_text(
            200,
            "",
            &format!(
                "{{\"epoch\":1,\"next_page_token\":{next},\"lost_count\":false,\"events\":[{news}]}}"
            ),
        )
    }

    fn order(self: Rc<Self>, head: &RequestHead, body: &Bytes, from: SocketAddr) -> String {
        let expected = head.fields.text("sparrouter-expected-instance");
        if expected.is_some_and(|id| id != self.settings.id) {
            let own = format!("Sparrouter-Instance-Id: {}\r\n", self.settings.id);
            return response_text(421, &own, "");
        }
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
        let Ok(order) = miniserde::json::from_str::<Order>(text) else {
            return response_text(400, "", "");
        };
        self.monitor.command_received(
            &self.settings.id,
            &order.holder_id,
            order.fence_token,
            from.ip(),
        );
        if order.operation != "version" || order.model != MODEL || order.method != "queue" {
            return response_text(400, "", "");
        }
        if order.fence_token < self.fencing_token.get() && self.monitor.bounds.fencing {
            return response_text(412, "", "");
        }
        self.fencing_token.set(order.fence_token);
        if order.version <= self.version.get() {
            return response_text(200, "", "");
        }
        if self.loading.get() || order.expected_count.is_some_and(|n| n != self.orders.get()) {
            return response_text(409, "", "");
        }
        self.orders.set(self.orders.get() + 1);
        self.monitor.load_started(&self.settings.id, order.version);
        self.loading.set(true);
        let server = self.clone();
        spawn_local(async move {
            // Runs finish first.
            while server.running.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(server.settings.load).await;
            let dropped = std::mem::take(&mut *server.kept.borrow_mut());
            dropped
                .keys()
                .for_each(|(salt, id)| server.tell(salt, id, 0));
            server.version.set(order.version);
            server.loading.set(false);
        });
        response_text(202, "", "")
    }
}

/// A connection between two calls: what came ahead, and an answer too many that is still to come.
#[derive(Default)]
struct ServerConnection {
    buffer: BytesMut,
    late: String,
}
