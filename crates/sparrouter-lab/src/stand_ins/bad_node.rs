//! Nodes that do one thing wrong, and one that does nothing wrong: an audit that none of them fails is
//! worth nothing. They run inside the lab, small and slow.
use super::{Lab, unix_ms};
use crate::http::{self, Message};
use crate::scenario::Effect;
use crate::scenario::arrivals::{operation_of, scramble};
use bytes::BytesMut;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// What a bad node does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum BadNodeKind {
    /// Keeps all rules, if slowly.
    Sound,
    /// Answers now and then twice.
    Twice,
    /// Sends a non-idempotent write again after its connection broke.
    Resends,
    /// Goes on sending to drained cache servers.
    Drained,
    /// Swallows one invocation in a thousand.
    Swallows,
    /// Answers now and then after the client timeout.
    Late,
    /// Sends all to whatever started last.
    PushesCold,
    /// Sends a hedged request where none is allowed.
    Overlaps,
    /// Says that trying again is harmless where it is not.
    Throttles,
    /// Makes answers up.
    Invents,
}

#[derive(Clone, Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    model: String,
    state: String,
    boot_ms: u64,
}

#[derive(Deserialize)]
struct Listing {
    targets: Vec<Target>,
}

struct Bad {
    kind: BadNodeKind,
    lab: Arc<Lab>,
    list: RefCell<Vec<Target>>,
    /// All that were ever listed.
    ever: RefCell<Vec<Target>>,
    count: Cell<u64>,
}

/// What came back for one forward.
enum ForwardResult {
    Value(Vec<u8>),
    Miss,
    NeverRan,
    Unknown,
}

/// Serves at this address, following discovery at the other.
pub async fn serve(lab: Arc<Lab>, kind: BadNodeKind, at: SocketAddr, discovery: SocketAddr) {
    let bad = Bad {
        kind,
        lab,
        list: RefCell::default(),
        ever: RefCell::default(),
        count: Cell::new(0),
    };
    let bad = Rc::new(bad);
    bad.follow(discovery).await;
    let Ok(listener) = TcpListener::bind(at).await else {
        return;
    };
    let follower = bad.clone();
    spawn_local(async move {
        loop {
            sleep(Duration::from_millis(100)).await;
            follower.follow(discovery).await;
        }
    });
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(bad.clone().serve_connection(stream));
    }
}

impl Bad {
    async fn follow(&self, discovery: SocketAddr) {
        let asking = async {
            let mut stream = TcpStream::connect(discovery).await.ok()?;
            http::write(&mut stream, b"GET /registry/instances HTTP/1.1\r\n\r\n").await;
            let message = http::read(&mut stream, &mut BytesMut::new(), |_| {})
                .await
                .ok()?;
            serde_json::from_slice::<Listing>(&message.body).ok()
        };
        let Ok(Some(listing)) = timeout(Duration::from_secs(1), asking).await else {
            return;
        };
        let mut ever = self.ever.borrow_mut();
        for t in &listing.targets {
            if ever.iter().all(|e| e.uid != t.uid) {
                ever.push(t.clone());
            }
        }
        *self.list.borrow_mut() = listing.targets;
    }

    /// Cache servers for a key, best first.
    fn order(&self, key: u64) -> Vec<SocketAddr> {
        let cold_ms = (self.lab.scenario.caches.cold_s * 1e3) as u64;
        let warm = |t: &Target| t.boot_ms == 0 || t.boot_ms + cold_ms < unix_ms();
        let cache = |t: &&Target| t.model == "cache";
        let name = |t: &Target| t.uid.bytes().fold(0, |h, b| scramble(h ^ u64::from(b)));
        let mut all: Vec<Target> = match self.kind {
            BadNodeKind::Drained => self.ever.borrow().iter().filter(cache).cloned().collect(),
            BadNodeKind::PushesCold => self.list.borrow().iter().filter(cache).cloned().collect(),
            _ => {
                let list = self.list.borrow();
                list.iter()
                    .filter(cache)
                    .filter(|t| t.state == "in_service" && warm(t))
                    .cloned()
                    .collect()
            }
        };
        all.sort_by_key(|t| scramble(name(t) ^ key));
        if self.kind == BadNodeKind::PushesCold {
            all.sort_by_key(|t| std::cmp::Reverse(t.boot_ms));
        }
        all.iter().map(|t| t.endpoint).collect()
    }
    fn origin(&self) -> Option<SocketAddr> {
        self.list
            .borrow()
            .iter()
            .find(|t| t.model == "origin")
            .map(|t| t.endpoint)
    }
    /// True for one in so many.
    fn every_nth(&self, every: u64) -> bool {
        self.count.set(self.count.get() + 1);
        self.count.get().is_multiple_of(every)
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        while let Ok(message) = http::read(&mut stream, &mut buffer, |_| {}).await {
            if message.start_line.1 == "/health/ready" {
                http::write(&mut stream, &http::reply("200 OK", "", b"ready")).await;
                continue;
            }
            if self.kind == BadNodeKind::Swallows && self.every_nth(1000) {
                return;
            }
            let patience = Duration::from_millis(message.deadline_ms.unwrap_or(1000));
            let limit = patience.saturating_sub(Duration::from_millis(100));
            let answer = match timeout(limit, self.answer(&message)).await {
                Ok(answer) => answer,
                Err(_) if self.effect(&message) == Effect::Idempotent => {
                    http::reply("503 Busy", "", b"")
                }
                Err(_) => http::reply("502 Bad Gateway", "", b""),
            };
            if self.kind == BadNodeKind::Late && self.every_nth(200) {
                sleep(patience + Duration::from_millis(200)).await;
            }
            if !http::write(&mut stream, &answer).await {
                return;
            }
            if self.kind == BadNodeKind::Twice && self.every_nth(50) {
                http::write(&mut stream, &answer).await;
            }
        }
    }

    fn effect(&self, m: &Message) -> Effect {
        let op = operation_of(m.id.unwrap_or(0));
        self.lab
            .scenario
            .operation
            .get(usize::from(op))
            .map_or(Effect::Idempotent, |o| o.effect)
    }

    async fn answer(&self, m: &Message) -> Vec<u8> {
        let good = |body: &[u8]| http::reply("200 OK", "", body);
        let (busy, failed) = (
            http::reply("503 Busy", "", b""),
            http::reply("502 Bad Gateway", "", b""),
        );
        if self.kind == BadNodeKind::Invents && self.every_nth(100) {
            return good(format!("{:016x}................", m.id.unwrap_or(0)).as_bytes());
        }
        if m.writes() {
            let Some(origin) = self.origin() else {
                return busy;
            };
            for again in 0..2 {
                match self.forward(m, origin).await {
                    ForwardResult::Value(body) => return good(&body),
                    ForwardResult::NeverRan | ForwardResult::Miss => return busy,
                    ForwardResult::Unknown if self.kind == BadNodeKind::Resends && again == 0 => {}
                    ForwardResult::Unknown if self.kind == BadNodeKind::Throttles => return busy,
                    ForwardResult::Unknown => return failed,
                }
            }
            return failed;
        }
        let order = self.order(m.key());
        if self.kind == BadNodeKind::Overlaps && self.every_nth(20) && order.len() > 1 {
            let (a, b) = tokio::join!(self.forward(m, order[0]), self.forward(m, order[1]));
            if let (ForwardResult::Value(body), _) | (_, ForwardResult::Value(body)) = (a, b) {
                return good(&body);
            }
        }
        for to in order.iter().take(3) {
            match self.forward(m, *to).await {
                ForwardResult::Value(body) => return good(&body),
                ForwardResult::Miss => break,
                ForwardResult::NeverRan | ForwardResult::Unknown => {}
            }
        }
        let Some(origin) = self.origin() else {
            return busy;
        };
        match self.forward(m, origin).await {
            ForwardResult::Value(body) => good(&body),
            _ => busy,
        }
    }

    async fn forward(&self, m: &Message, to: SocketAddr) -> ForwardResult {
        let Ok(mut stream) = TcpStream::connect(to).await else {
            return ForwardResult::NeverRan;
        };
        let _ = stream.set_nodelay(true);
        let mark = m
            .idempotency_key
            .map_or(String::new(), |k| format!("Idempotency-Key: {k:016x}\r\n"));
        let (method, path) = (&m.start_line.0, &m.start_line.1);
        let id = m.id.unwrap_or(0);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id:016x}\r\n{mark}Content-Length: {}\r\n\r\n",
            m.body.len()
        );
        let text = [head.as_bytes(), &m.body].concat();
        if !http::write(&mut stream, &text).await {
            return ForwardResult::Unknown;
        }
        match http::read(&mut stream, &mut BytesMut::new(), |_| {}).await {
            Ok(answer) if answer.status() == 200 => ForwardResult::Value(answer.body),
            Ok(answer) if answer.status() == 404 => ForwardResult::Miss,
            Ok(answer) if answer.not_run => ForwardResult::NeverRan,
            _ => ForwardResult::Unknown,
        }
    }
}
