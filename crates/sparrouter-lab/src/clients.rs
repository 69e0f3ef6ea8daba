//! Clients: open loop. Arrivals are dealt out when they are due, whatever became of those before; what
//! an answer took counts from then, so that a node that stalls can't hide it.
use crate::arrival::stamp_arrivals;
use crate::http::{self, Message, PeekResult, ReadError};
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
    /// Address of each node, or of the link before it.
    pub nodes: Vec<SocketAddr>,
    active_nodes: RwLock<Vec<usize>>,
    /// This part of all goes to those below this number.
    skew: RwLock<(f64, usize)>,
}

impl Front {
    /// All nodes are dealt out from the beginning.
    pub fn new(nodes: Vec<SocketAddr>) -> Arc<Front> {
        let active_nodes = RwLock::new((0..nodes.len()).collect());
        Arc::new(Front {
            nodes,
            active_nodes,
            skew: RwLock::new((0.0, 0)),
        })
    }
    /// A node is, or is no longer, dealt out.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn set(&self, node: usize, on: bool) {
        let mut active_nodes = self.active_nodes.write().expect("not poisoned");
        active_nodes.retain(|n| *n != node);
        if on {
            active_nodes.push(node);
        }
    }
    /// Sends this part of the traffic to the first `nodes` nodes; a part of 0 ends it.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn skew(&self, part: f64, nodes: usize) {
        *self.skew.write().expect("not poisoned") = (part, nodes);
    }
    fn pick(&self, draw: u32) -> Option<usize> {
        let active_nodes = self.active_nodes.read().expect("not poisoned");
        let (part, nodes) = *self.skew.read().expect("not poisoned");
        let again = scramble(u64::from(draw) ^ 0x5ce3);
        if part > 0.0 && ((again >> 11) as f64 / (1u64 << 53) as f64) < part {
            let few: Vec<usize> = active_nodes
                .iter()
                .copied()
                .filter(|n| *n < nodes)
                .collect();
            if !few.is_empty() {
                return Some(few[draw as usize % few.len()]);
            }
        }
        (!active_nodes.is_empty()).then(|| active_nodes[draw as usize % active_nodes.len()])
    }
}

struct Idle {
    stream: TcpStream,
    idle_since: Instant,
    /// The invocation that it last carried.
    last: u64,
}

/// One worker's clients.
struct Clients {
    lab: Arc<Lab>,
    front: Arc<Front>,
    idle: Vec<RefCell<Vec<Idle>>>,
    connection_slots: Vec<Semaphore>,
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
            let connection_slots = (0..nodes).map(|_| Semaphore::new(share)).collect();
            let clients = Rc::new(Clients {
                lab,
                front,
                idle,
                connection_slots,
                open,
            });
            clients.serve_arrivals(arrivals).await;
        });
        inboxes.push(inbox);
    }
    for (n, arrival) in Arrivals::new(s).enumerate() {
        let scheduled_at = lab.instant(arrival.at);
        let wait = scheduled_at.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            progress(arrival.at);
            std::thread::sleep(wait);
        }
        open.fetch_add(1, Relaxed);
        let _ = inboxes[n % inboxes.len()].send(arrival);
    }
    let attempts = u64::from(s.load.retries) + 1;
    let longest =
        (s.max_client_timeout_ms() * MS + LATE_ANSWER_WAIT + nanos(s.load.backoff_ms / 1e3))
            * attempts
            + 2000 * MS;
    let latest = Instant::now() + Duration::from_nanos(longest);
    while open.load(Relaxed) > 0 && Instant::now() < latest {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// How one try went.
struct AttemptResult {
    observed: ClientAttempt,
    retry_after_s: Option<f64>,
}

impl Clients {
    async fn serve_arrivals(self: Rc<Self>, mut arrivals: mpsc::UnboundedReceiver<Arrival>) {
        while let Some(arrival) = arrivals.recv().await {
            spawn_local(self.clone().invocation(arrival));
        }
        // Whatever still comes on idle connections came behind somebody's answer.
        for idle in self
            .idle
            .iter()
            .flat_map(|i| i.borrow_mut().drain(..).collect::<Vec<_>>())
        {
            self.is_reusable(&idle);
        }
    }

    /// One invocation with its client's retries.
    async fn invocation(self: Rc<Self>, arrival: Arrival) {
        let lab = &self.lab;
        let op = &lab.scenario.operation[usize::from(arrival.operation)];
        let mut scheduled_at = arrival.at;
        for attempt in 0..=lab.scenario.load.retries {
            let active_nodes = lab.now();
            let one = self
                .attempt_once(&arrival, op, attempt as u8, scheduled_at, active_nodes)
                .await;
            let end = one.observed.outcome;
            lab.record(Record::ClientAttempt(one.observed));
            // What may have run is not tried again where it must not run twice.
            let harmless = matches!(end, ClientOutcome::Throttled | ClientOutcome::Unconnected);
            let again =
                harmless || end != ClientOutcome::Succeeded && op.effect != Effect::NonIdempotent;
            if !again || arrival.leaves_after.is_some() || attempt == lab.scenario.load.retries {
                break;
            }
            let wait = one
                .retry_after_s
                .map_or(lab.scenario.load.backoff_ms / 1e3, |s| s.min(5.0));
            sleep(Duration::from_secs_f64(wait)).await;
            scheduled_at = lab.now();
        }
        self.open.fetch_sub(1, Relaxed);
    }

    async fn attempt_once(
        &self,
        arrival: &Arrival,
        op: &Operation,
        attempt: u8,
        scheduled_at: Nanos,
        active_nodes: Nanos,
    ) -> AttemptResult {
        let lab = &self.lab;
        let id = id(arrival.operation, arrival.number, attempt);
        let draw = if attempt == 0 {
            arrival.draw
        } else {
            scramble(id) as u32
        };
        let node = self.front.pick(draw);
        let mut observed = ClientAttempt {
            id,
            tenant: arrival.tenant,
            node: node.unwrap_or(0) as u16,
            first_scheduled_at: arrival.at,
            scheduled_at,
            dispatched_at: active_nodes,
            written_at: None,
            outcome: ClientOutcome::Unconnected,
            ended_at: active_nodes,
            end_lag: 0,
        };
        let mut answer = None;
        if let Some(node) = node {
            let text = self.text(arrival, op, id, attempt);
            let _slot = self.connection_slots[node].acquire().await;
            let exchange = self.exchange(node, &text, arrival, op, &mut observed);
            answer = exchange.await;
        }
        let arrived_at = answer.as_ref().and_then(|m| m.arrived_at);
        (observed.ended_at, observed.end_lag) = lab.observed_at(arrived_at);
        AttemptResult {
            observed,
            retry_after_s: answer.and_then(|m| m.retry_after_s),
        }
    }

    fn text(&self, a: &Arrival, op: &Operation, id: u64, attempt: u8) -> Vec<u8> {
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
        if attempt > 0 && s.load.marks_retries {
            text += "X-Retry: 1\r\n";
        }
        if op.write {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        (text + "\r\n" + body).into_bytes()
    }

    /// False where the other side has closed, or has sent what nobody asked for.
    fn is_reusable(&self, idle: &Idle) -> bool {
        match http::probe(&idle.stream) {
            PeekResult::Nothing => idle.idle_since.elapsed() < MAX_IDLE,
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

    fn take_idle(&self, node: usize) -> Option<Idle> {
        loop {
            let idle = self.idle[node].borrow_mut().pop()?;
            if self.is_reusable(&idle) {
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
            let answer = http::read(stream, buffer, |_| {}).await?;
            match last {
                Some(last) if classify(&answer, last) == ClientOutcome::Succeeded => {
                    self.lab.record(Record::ExtraBytes {
                        at: self.lab.now(),
                        id: last,
                    });
                }
                _ => return Ok(answer),
            }
        }
    }

    /// Sends and listens; what became of it stands in `observed`.
    async fn exchange(
        &self,
        node: usize,
        text: &[u8],
        arrival: &Arrival,
        op: &Operation,
        observed: &mut ClientAttempt,
    ) -> Option<Message> {
        let mut reused = self.take_idle(node);
        loop {
            let (used, last) = (reused.is_some(), reused.as_ref().map(|k| k.last));
            let mut stream = match reused.take() {
                Some(idle) => idle.stream,
                None => self.connect(node).await?,
            };
            if let Some(part) = arrival.leaves_after.filter(|p| *p < 0.3) {
                // Goes while it is still sending.
                http::write(&mut stream, &text[..(text.len() as f32 * part) as usize]).await;
                observed.outcome = ClientOutcome::Left;
                return None;
            }
            let written = http::write(&mut stream, text).await;
            observed.written_at = written.then(|| self.lab.now());
            // Closed between invocations just as this one was sent, it is sent once more on another. On
            // loopback that shows at once, or as a reset: an end that comes later, in order, is the end of
            // one that had been read.
            if used && (!written || http::probe(&stream) == PeekResult::Ended) {
                continue;
            }
            let Patience { wait, leaves } = self.patience(arrival, op);
            let mut buffer = BytesMut::with_capacity(512);
            let read = self.own_answer(&mut stream, &mut buffer, last);
            let answer = match timeout(wait, read).await {
                Err(_) if leaves => Err(ClientOutcome::Left),
                Err(_) => Err(ClientOutcome::TimedOut),
                Ok(Err(ReadError::Reset)) if used => continue,
                Ok(Err(_)) => Err(ClientOutcome::Closed),
                Ok(Ok(answer)) => Ok(answer),
            };
            return match answer {
                Ok(answer) => {
                    observed.outcome = classify(&answer, observed.id);
                    self.after_answer(node, stream, &buffer, &answer, observed);
                    Some(answer)
                }
                Err(outcome) => {
                    observed.outcome = outcome;
                    None
                }
            };
        }
    }

    /// A new connection to a node.
    async fn connect(&self, node: usize) -> Option<TcpStream> {
        let connecting = TcpStream::connect(self.front.nodes[node]);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        stamp_arrivals(&stream);
        Some(stream)
    }

    /// How long the client of an arrival waits for its answer.
    fn patience(&self, arrival: &Arrival, op: &Operation) -> Patience {
        let timeout = op.client_timeout_ms * MS;
        let try_part = self.lab.scenario.load.try_part;
        let (wait, leaves) = match arrival.leaves_after {
            Some(part) => ((op.objective_ms * MS) as f64 * f64::from(part), true),
            None if try_part < 1.0 => (timeout as f64 * try_part, true),
            None => ((timeout + LATE_ANSWER_WAIT) as f64, false),
        };
        Patience {
            wait: Duration::from_nanos(wait as u64),
            leaves,
        }
    }

    /// Records what came behind an answer, or keeps its connection for another invocation.
    fn after_answer(
        &self,
        node: usize,
        stream: TcpStream,
        rest: &BytesMut,
        answer: &Message,
        observed: &ClientAttempt,
    ) {
        if !rest.is_empty() {
            let (at, id) = (self.lab.now(), observed.id);
            self.lab.record(Record::ExtraBytes { at, id });
        } else if !answer.close && observed.outcome != ClientOutcome::Foreign {
            self.idle[node].borrow_mut().push(Idle {
                stream,
                idle_since: Instant::now(),
                last: observed.id,
            });
        }
    }
}

/// How long a client waits.
struct Patience {
    wait: Duration,
    /// It closes its connection then, before its timeout.
    leaves: bool,
}

fn classify(answer: &Message, id: u64) -> ClientOutcome {
    match answer.status() {
        200 if answer.body.starts_with(format!("{id:016x}").as_bytes()) => ClientOutcome::Succeeded,
        200 => ClientOutcome::Foreign,
        429 | 503 => ClientOutcome::Throttled,
        _ => ClientOutcome::Errored,
    }
}
