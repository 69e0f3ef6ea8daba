//! Clients: open loop. Arrivals are dealt out when they are due, whatever became of those before; what
//! an answer took counts from then, so that a node that stalls can't hide it.
use crate::http::{self, ReadError, Message, PeekResult};
use crate::ledger::{ClientAttempt, ClientOutcome, Record};
use crate::scenario::arrivals::{Arrival, Arrivals, id, scramble};
use crate::scenario::{Effect, Operation};
use crate::stand_ins::Lab;
use crate::workers::Workers;
use crate::{MS, Nanos, nanos};
use bytes::BytesMut;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long after its timeout a client still listens, to tell a late answer from none.
const LATE_ANSWER_WAIT: Nanos = 500 * MS;
/// A connection that idles longer is closed by its client, before a node may close it.
const MAX_IDLE: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Deals clients out to nodes.
pub struct Front {
    pub nodes: Vec<SocketAddr>,
    dealt: RwLock<Vec<usize>>,
    /// This part of all goes to those below this number.
    skew: RwLock<(f64, usize)>,
}

impl Front {
    pub fn new(nodes: Vec<SocketAddr>) -> Arc<Front> {
        let dealt = RwLock::new((0..nodes.len()).collect());
        Arc::new(Front {
            nodes,
            dealt,
            skew: RwLock::new((0.0, 0)),
        })
    }
    /// A node is, or is no longer, dealt out.
    pub fn set(&self, node: usize, on: bool) {
        let mut dealt = self.dealt.write().expect("not poisoned");
        dealt.retain(|n| *n != node);
        if on {
            dealt.push(node);
        }
    }
    pub fn skew(&self, part: f64, nodes: usize) {
        *self.skew.write().expect("not poisoned") = (part, nodes);
    }
    fn pick(&self, draw: u32) -> Option<usize> {
        let dealt = self.dealt.read().expect("not poisoned");
        let (part, nodes) = *self.skew.read().expect("not poisoned");
        let again = scramble(u64::from(draw) ^ 0x5ce3);
        if part > 0.0 && ((again >> 11) as f64 / (1u64 << 53) as f64) < part {
            let few: Vec<usize> = dealt.iter().copied().filter(|n| *n < nodes).collect();
            if !few.is_empty() {
                return Some(few[draw as usize % few.len()]);
            }
        }
        (!dealt.is_empty()).then(|| dealt[draw as usize % dealt.len()])
    }
}

struct Idle {
    stream: TcpStream,
    since: Instant,
    /// The invocation that it last carried.
    last: u64,
}

/// One worker's clients.
struct Clients {
    lab: Arc<Lab>,
    front: Arc<Front>,
    idle: Vec<RefCell<Vec<Idle>>>,
    room: Vec<Semaphore>,
    open: Arc<AtomicUsize>,
}

/// Plays all arrivals of the scenario; returns once each has ended, or long after it had to.
pub fn play(lab: &Arc<Lab>, front: &Arc<Front>, workers: &Workers, progress: impl Fn(Nanos)) {
    let s = &lab.scenario;
    let open = Arc::new(AtomicUsize::new(0));
    let share = (s.load.connections / workers.count()).max(1);
    let workers_used = workers.count().min(s.load.connections);
    let mut inboxes = Vec::new();
    for n in 0..workers_used {
        let (inbox, arrivals) = mpsc::unbounded_channel::<Arrival>();
        let (lab, front, open) = (lab.clone(), front.clone(), open.clone());
        let nodes = front.nodes.len();
        workers.run_on(n, move || async move {
            let idle = (0..nodes).map(|_| RefCell::default()).collect();
            let room = (0..nodes).map(|_| Semaphore::new(share)).collect();
            let clients = Rc::new(Clients {
                lab,
                front,
                idle,
                room,
                open,
            });
            clients.attend(arrivals).await;
        });
        inboxes.push(inbox);
    }
    for (n, arrival) in Arrivals::new(s).enumerate() {
        let due = lab.instant(arrival.at);
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            progress(arrival.at);
            std::thread::sleep(wait);
        }
        open.fetch_add(1, Relaxed);
        let _ = inboxes[n % inboxes.len()].send(arrival);
    }
    let tries = u64::from(s.load.retries) + 1;
    let longest =
        (s.longest_ms() * MS + LATE_ANSWER_WAIT + nanos(s.load.backoff_ms / 1e3)) * tries + 2000 * MS;
    let latest = Instant::now() + Duration::from_nanos(longest);
    while open.load(Relaxed) > 0 && Instant::now() < latest {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// How one try went.
struct AttemptResult {
    asked: ClientAttempt,
    retry_after_s: Option<f64>,
}

impl Clients {
    async fn attend(self: Rc<Self>, mut arrivals: mpsc::UnboundedReceiver<Arrival>) {
        while let Some(arrival) = arrivals.recv().await {
            spawn_local(self.clone().invocation(arrival));
        }
        // Whatever still comes on idle connections came behind somebody's answer.
        for idle in self
            .idle
            .iter()
            .flat_map(|i| i.borrow_mut().drain(..).collect::<Vec<_>>())
        {
            self.alive(&idle);
        }
    }

    /// One invocation with its client's retries.
    async fn invocation(self: Rc<Self>, arrival: Arrival) {
        let lab = &self.lab;
        let op = &lab.scenario.operation[usize::from(arrival.operation)];
        let mut due = arrival.at;
        for tried in 0..=lab.scenario.load.retries {
            let dealt = lab.now();
            let one = self.one(&arrival, op, tried as u8, due, dealt).await;
            let end = one.asked.outcome;
            lab.record(Record::ClientAttempt(one.asked));
            // What may have run is not tried again where it must not run twice.
            let harmless = matches!(end, ClientOutcome::Throttled | ClientOutcome::Unconnected);
            let again = harmless || end != ClientOutcome::Succeeded && op.effect != Effect::NonIdempotent;
            if !again || arrival.leaves.is_some() || tried == lab.scenario.load.retries {
                break;
            }
            let wait = one
                .retry_after_s
                .map_or(lab.scenario.load.backoff_ms / 1e3, |s| s.min(5.0));
            sleep(Duration::from_secs_f64(wait)).await;
            due = lab.now();
        }
        self.open.fetch_sub(1, Relaxed);
    }

    async fn one(
        &self,
        arrival: &Arrival,
        op: &Operation,
        tried: u8,
        due: Nanos,
        dealt: Nanos,
    ) -> AttemptResult {
        let lab = &self.lab;
        let id = id(arrival.operation, arrival.number, tried);
        let draw = if tried == 0 {
            arrival.draw
        } else {
            scramble(id) as u32
        };
        let node = self.front.pick(draw);
        let mut asked = ClientAttempt {
            id,
            tenant: arrival.tenant,
            node: node.unwrap_or(0) as u16,
            first_scheduled_at: arrival.at,
            scheduled_at: due,
            dispatched_at: dealt,
            written_at: None,
            outcome: ClientOutcome::Unconnected,
            ended_at: dealt,
            end_lag: 0,
        };
        let mut retry_after_s = None;
        if let Some(node) = node {
            let text = self.text(arrival, op, id, tried);
            let _place = self.room[node].acquire().await;
            let exchange = self.exchange(node, &text, arrival, op, &mut asked);
            retry_after_s = exchange.await.and_then(|m| m.retry_after_s);
        }
        (asked.ended_at, asked.end_lag) = (lab.now(), lab.lag());
        AttemptResult {
            asked,
            retry_after_s,
        }
    }

    fn text(&self, a: &Arrival, op: &Operation, id: u64, tried: u8) -> Vec<u8> {
        let s = &self.lab.scenario;
        let (method, body) = if op.write {
            ("PUT", "new value")
        } else {
            ("GET", "")
        };
        let mut text = format!(
            "{method} /api/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id:016x}\r\nX-Class: {}\r\n\
             X-Tenant: {}\r\nX-Deadline-Ms: {}\r\n",
            a.key,
            op.name,
            s.tenant[usize::from(a.tenant)].name,
            op.client_timeout_ms
        );
        if op.effect == Effect::Deduplicated {
            text += &format!(
                "Idempotency-Key: {:016x}\r\n",
                crate::scenario::arrivals::root(id)
            );
        }
        if tried > 0 && s.load.marks_retries {
            text += "X-Retry: 1\r\n";
        }
        if op.write {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        (text + "\r\n" + body).into_bytes()
    }

    /// False where the other side has closed, or has sent what nobody asked for.
    fn alive(&self, idle: &Idle) -> bool {
        match http::peek(&idle.stream) {
            PeekResult::Nothing => idle.since.elapsed() < MAX_IDLE,
            PeekResult::Bytes => {
                self.lab.record(Record::ExtraBytes {
                    at: self.lab.now(),
                    id: idle.last,
                });
                false
            }
            PeekResult::Ended => false,
        }
    }

    fn take(&self, node: usize) -> Option<Idle> {
        loop {
            let idle = self.idle[node].borrow_mut().pop()?;
            if self.alive(&idle) {
                return Some(idle);
            }
        }
    }

    /// The next answer that is not the earlier invocation's over again.
    async fn own_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        last: Option<u64>,
    ) -> Result<Message, ReadError> {
        loop {
            let answer = http::read(stream, buffer, || {}).await?;
            match last {
                Some(last) if end(&answer, last) == ClientOutcome::Succeeded => {
                    self.lab.record(Record::ExtraBytes {
                        at: self.lab.now(),
                        id: last,
                    });
                }
                _ => return Ok(answer),
            }
        }
    }

    /// Sends and listens; what became of it stands in `asked`.
    async fn exchange(
        &self,
        node: usize,
        text: &[u8],
        arrival: &Arrival,
        op: &Operation,
        asked: &mut ClientAttempt,
    ) -> Option<Message> {
        let s = &self.lab.scenario;
        let mut kept = self.take(node);
        loop {
            let (used, last) = (kept.is_some(), kept.as_ref().map(|k| k.last));
            let stream = match kept.take() {
                Some(idle) => Some(idle.stream),
                None => timeout(CONNECT_TIMEOUT, TcpStream::connect(self.front.nodes[node]))
                    .await
                    .ok()?
                    .ok(),
            };
            let mut stream = stream?;
            let _ = stream.set_nodelay(true);
            if let Some(part) = arrival.leaves.filter(|p| *p < 0.3) {
                // Goes while it is still sending.
                http::write(&mut stream, &text[..(text.len() as f32 * part) as usize]).await;
                asked.outcome = ClientOutcome::Left;
                return None;
            }
            let written = http::write(&mut stream, text).await;
            asked.written_at = written.then(|| self.lab.now());
            // Closed between invocations just as this one was sent, it is sent once more on another. On
            // loopback that shows at once, or as a reset: an end that comes later, in order, is the end of
            // one that had been read.
            if used && (!written || http::peek(&stream) == PeekResult::Ended) {
                continue;
            }
            let patience = op.client_timeout_ms * MS;
            let (wait, goes) = match arrival.leaves {
                Some(part) => (op.objective_ms as f64 * MS as f64 * f64::from(part), true),
                None if s.load.try_part < 1.0 => (patience as f64 * s.load.try_part, true),
                None => ((patience + LATE_ANSWER_WAIT) as f64, false),
            };
            let mut buffer = BytesMut::with_capacity(512);
            let read = self.own_answer(&mut stream, &mut buffer, last);
            match timeout(Duration::from_nanos(wait as u64), read).await {
                Err(_) => asked.outcome = if goes { ClientOutcome::Left } else { ClientOutcome::Silent },
                Ok(Err(ReadError::Reset)) if used => continue,
                Ok(Err(_)) => asked.outcome = ClientOutcome::Closed,
                Ok(Ok(answer)) => {
                    asked.outcome = end(&answer, asked.id);
                    if !buffer.is_empty() {
                        let (at, id) = (self.lab.now(), asked.id);
                        self.lab.record(Record::ExtraBytes { at, id });
                    } else if !answer.close && asked.outcome != ClientOutcome::Foreign {
                        let (since, last) = (Instant::now(), asked.id);
                        self.idle[node].borrow_mut().push(Idle {
                            stream,
                            since,
                            last,
                        });
                    }
                    return Some(answer);
                }
            }
            return None;
        }
    }
}

fn end(answer: &Message, id: u64) -> ClientOutcome {
    match answer.status() {
        200 if answer.body.starts_with(format!("{id:016x}").as_bytes()) => ClientOutcome::Succeeded,
        200 => ClientOutcome::Foreign,
        429 | 503 => ClientOutcome::Throttled,
        _ => ClientOutcome::Errored,
    }
}
