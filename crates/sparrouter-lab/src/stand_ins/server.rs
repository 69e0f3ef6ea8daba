//! A cache server or the origin on a socket: takes forwards, does their work, answers or fails as it is
//! told to. Every forward that it sees goes to the ledger exactly once.
use super::Lab;
use super::fleet::Fleet;
use super::model::{CacheStore, IdempotencyKeys, RecentWork, is_selected, warmth, work};
use crate::http::{self, Message, PeekResult, ReadError};
use crate::ledger::{ForwardOutcome, ORIGIN, ObservedForward, Record};
use crate::scenario::arrivals::operation_of;
use crate::{MS, Nanos, SECOND, nanos};
use bytes::BytesMut;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Cache,
    Origin,
}

pub struct Server {
    pub number: u32,
    pub role: Role,
    /// Where it listens.
    pub at: SocketAddr,
    cores: usize,
    queue_capacity: usize,
    speed: f64,
    lab: Arc<Lab>,
    fleet: Weak<Fleet>,
    state: Mutex<State>,
    /// Counts its lives; a connection of an earlier one is reset.
    incarnation: AtomicU64,
    pub open: AtomicUsize,
    tasks: Mutex<HashMap<u64, AbortHandle>>,
    next: AtomicU64,
}

struct State {
    up: bool,
    started: Option<Nanos>,
    draining: bool,
    hangs: bool,
    paused_until: Nanos,
    errors: f64,
    resets: f64,
    busy: usize,
    queue: VecDeque<oneshot::Sender<Core>>,
    store: CacheStore,
    idempotency_keys: IdempotencyKeys,
    recent_work: RecentWork,
    fallen: bool,
    listener: Option<AbortHandle>,
}

/// The right to one core, handed to the next in line when dropped.
struct Core(Arc<Server>);

impl Drop for Core {
    fn drop(&mut self) {
        let server = self.0.clone();
        let next = |server: &Server| server.state().queue.pop_front();
        while let Some(waiter) = next(&server) {
            match waiter.send(Core(server.clone())) {
                Ok(()) => return,
                // Gone meanwhile; the core is still this one's to hand on.
                Err(core) => std::mem::forget(core),
            }
        }
        let mut state = server.state();
        state.busy = state.busy.saturating_sub(1);
    }
}

/// A forward in hand; told to the ledger when dropped, whatever ends it.
struct InFlightForward {
    server: Arc<Server>,
    incarnation: u64,
    f: ObservedForward,
}

impl InFlightForward {
    fn end(mut self, how: ForwardOutcome) {
        self.f.outcome = how;
    }
    /// Ends with an answer, unless the node has gone away before it could have any: what it sends
    /// elsewhere from then on does not overlap.
    fn answer(self, how: ForwardOutcome, stream: &TcpStream) {
        self.end(if http::probe(stream) == PeekResult::Ended {
            ForwardOutcome::Withdrawn
        } else {
            how
        });
    }
}

impl Drop for InFlightForward {
    fn drop(&mut self) {
        let lab = &self.server.lab;
        (self.f.ended, self.f.end_lag) = (lab.now(), lab.lag());
        if self.f.outcome == ForwardOutcome::Open && !lab.over.load(Relaxed) {
            let reset = self.incarnation != self.server.incarnation.load(Relaxed);
            self.f.outcome = if reset {
                ForwardOutcome::Reset
            } else {
                ForwardOutcome::Withdrawn
            };
        }
        lab.record(Record::ObservedForward(self.f));
    }
}

/// A connection; closed by a reset where its process has died.
struct Conn {
    server: Arc<Server>,
    incarnation: u64,
    task: u64,
    stream: Option<TcpStream>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Relaxed);
        self.server
            .tasks
            .lock()
            .expect("not poisoned")
            .remove(&self.task);
        if self.incarnation != self.server.incarnation.load(Relaxed)
            && let Some(a) = self.stream.take()
        {
            http::reset(a)
        }
    }
}

/// How work came out.
enum WorkOutcome {
    Done,
    Full,
    Withdrawn,
}

impl Server {
    pub fn new(
        lab: &Arc<Lab>,
        fleet: &Weak<Fleet>,
        number: u32,
        speed: f64,
    ) -> std::io::Result<Arc<Server>> {
        let s = &lab.scenario;
        let role = if number == ORIGIN {
            Role::Origin
        } else {
            Role::Cache
        };
        let at = SocketAddr::from((lab.address(), 9000));
        // As many at once as make its stated rate at its stated time.
        let (cores, queue_capacity, keys) = match role {
            Role::Cache => (s.caches.cores, s.caches.waiting, s.caches.keys),
            Role::Origin => {
                let cores = (s.origin.per_s * s.origin.takes_ms / 1e3).round().max(1.0) as usize;
                (cores, (s.origin.per_s * s.origin.queue_s) as usize, 0)
            }
        };
        Ok(Arc::new(Server {
            number,
            role,
            at,
            cores,
            queue_capacity,
            speed,
            lab: lab.clone(),
            fleet: fleet.clone(),
            state: Mutex::new(State {
                up: false,
                started: None,
                draining: false,
                hangs: false,
                paused_until: 0,
                errors: 0.0,
                resets: 0.0,
                busy: 0,
                queue: VecDeque::new(),
                store: CacheStore::new(keys),
                idempotency_keys: IdempotencyKeys::default(),
                recent_work: RecentWork::new(nanos(s.rules.fall_s)),
                fallen: false,
                listener: None,
            }),
            incarnation: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            tasks: Mutex::new(HashMap::new()),
            next: AtomicU64::new(0),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic holds it")
    }

    // -- what a scenario does to it --

    /// The process starts: cold (and empty) unless it stood there before the run began.
    pub fn start(self: &Arc<Self>, cold: bool) {
        let mut state = self.state();
        if state.up || state.fallen {
            return;
        }
        state.up = true;
        (state.hangs, state.draining, state.started) = (false, false, None);
        state.idempotency_keys = IdempotencyKeys::default();
        state.recent_work.clear();
        if cold && self.role == Role::Cache {
            state.started = Some(self.lab.now());
            state.store.clear();
        }
        drop(state);
        let server = self.clone();
        self.lab.workers.run(move || async move {
            // The address is its own: whoever held it was this server's earlier process.
            for _ in 0..200 {
                if let Ok(listener) = TcpListener::bind(server.at).await {
                    let task = spawn_local(server.clone().accept(listener));
                    server.state().listener = Some(task.abort_handle());
                    return;
                }
                sleep(Duration::from_millis(5)).await;
            }
            log_bind_failure(&server);
        });
    }

    /// The process dies: its connections are reset and new ones refused.
    pub fn die(&self) {
        self.incarnation.fetch_add(1, Relaxed);
        let mut state = self.state();
        state.up = false;
        state.queue.clear();
        if let Some(l) = state.listener.take() {
            l.abort()
        }
        drop(state);
        self.tasks
            .lock()
            .expect("not poisoned")
            .drain()
            .for_each(|(_, task)| task.abort());
    }
    pub fn drain(&self) {
        self.state().draining = true;
    }
    pub fn hang(&self, hangs: bool) {
        self.state().hangs = hangs;
    }
    pub fn pause_for(&self, ms: f64) {
        self.state().paused_until = self.lab.now() + nanos(ms / 1e3);
    }
    pub fn spoil(&self, errors: f64, resets: f64) {
        let mut state = self.state();
        (state.errors, state.resets) = (errors, resets);
    }
    pub fn flush(&self, keys: &[u64], part: f64) {
        self.state().store.flush(keys, part);
    }
    pub fn void(&self, key: u64) {
        self.state().store.void(key);
    }
    /// Before the run begins.
    pub fn prefill(&self, key: u64) {
        self.state().store.put(key);
    }
    pub fn keep(&self, key: u64) {
        let mut state = self.state();
        if state.up {
            state.store.put(key);
        }
    }

    // -- what can be seen of it --

    pub fn up(&self) -> bool {
        self.state().up
    }
    pub fn draining(&self) -> bool {
        self.state().draining
    }
    pub fn warmth(&self) -> f64 {
        let s = &self.lab.scenario.caches;
        warmth(self.state().started, s.cold_from, s.cold_s, self.lab.now())
    }
    pub fn pending_count(&self) -> usize {
        let state = self.state();
        state.busy + state.queue.len()
    }

    // -- connections --

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let incarnation = self.incarnation.load(Relaxed);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            self.lab.record(Record::Connected { at: self.lab.now() });
            let Ok(stream) = stream.into_std() else {
                continue;
            };
            let server = self.clone();
            self.open.fetch_add(1, Relaxed);
            self.lab.workers.run(move || async move {
                let task = server.next.fetch_add(1, Relaxed);
                let stream = TcpStream::from_std(stream).ok();
                let conn = Conn {
                    server: server.clone(),
                    incarnation,
                    task,
                    stream,
                };
                let tasks = server.tasks.lock();
                let mut tasks = tasks.expect("not poisoned");
                let handle = spawn_local(serve_connection(conn)).abort_handle();
                tasks.insert(task, handle);
                drop(tasks);
                // Accepted by a process that has died since.
                if server.incarnation.load(Relaxed) != incarnation
                    && let Some(t) = server.tasks.lock().expect("not poisoned").remove(&task)
                {
                    t.abort()
                }
            });
        }
    }

    fn limit(&self) -> usize {
        if self.role == Role::Origin {
            usize::MAX
        } else {
            self.lab.scenario.caches.connections
        }
    }

    fn mean_work(&self, id: u64) -> f64 {
        let ops = &self.lab.scenario.operation;
        let mean = ops
            .get(usize::from(operation_of(id)))
            .map_or(0.0, |o| o.work_ms / 1e3);
        match self.role {
            Role::Cache => mean,
            Role::Origin => self.cores as f64 / self.lab.scenario.origin.per_s,
        }
    }

    /// Takes one core's time, in line where all are busy. `stream` tells when the node goes away.
    async fn work(
        self: &Arc<Self>,
        seconds: f64,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> WorkOutcome {
        let place = {
            let mut state = self.state();
            if state.busy < self.cores {
                state.busy += 1;
                Ok(Core(self.clone()))
            } else if state.queue.len() >= self.queue_capacity {
                return WorkOutcome::Full;
            } else {
                let (give, take) = oneshot::channel();
                state.queue.push_back(give);
                Err(take)
            }
        };
        let drops = self.lab.scenario.caches.drops_withdrawn;
        let core = match place {
            Ok(core) => core,
            Err(mut take) => tokio::select! {
                biased;
                core = &mut take => match core {
                    Ok(core) => core,
                    Err(_) => return WorkOutcome::Withdrawn,
                },
                () = closed(stream, buffer), if drops => return WorkOutcome::Withdrawn,
            },
        };
        // Work that has begun goes on, also where nobody waits for it any more.
        let mut left = false;
        tokio::select! {
            biased;
            () = sleep(Duration::from_secs_f64(seconds)) => {}
            () = closed(stream, buffer) => left = true,
        }
        if left {
            let server = self.clone();
            spawn_local(async move {
                sleep(Duration::from_secs_f64(seconds / 2.0)).await;
                drop((core, server));
            });
            return WorkOutcome::Withdrawn;
        }
        drop(core);
        WorkOutcome::Done
    }

    /// Pushed over by too much work within the window. True where it just fell.
    fn overloads(&self, work: f64, now: Nanos) -> bool {
        let s = &self.lab.scenario;
        let (window, multiple) = match self.role {
            Role::Cache => (s.rules.fall_s, s.rules.fall_multiple),
            Role::Origin => (s.rules.fall_s, s.origin.stops_at),
        };
        let mut state = self.state();
        if multiple <= 0.0 || state.started.is_none() && self.role == Role::Cache {
            return false;
        }
        let (warmth, sum) = (
            warmth(state.started, s.caches.cold_from, s.caches.cold_s, now),
            state.recent_work.add(work, now),
        );
        if warmth >= 1.0 && self.role == Role::Cache {
            state.started = None;
            return false;
        }
        let capacity = match self.role {
            Role::Cache => self.cores as f64 * self.speed * warmth * window,
            Role::Origin => s.origin.per_s * window,
        };
        sum > multiple * capacity
    }

    fn fail_overloaded(self: &Arc<Self>, now: Nanos) {
        match self.role {
            Role::Cache => {
                self.state().fallen = true;
                self.lab.record(Record::CacheFell {
                    at: now,
                    cache: self.number,
                    cold: true,
                });
                self.die();
            }
            Role::Origin => {
                self.lab.record(Record::OriginStopped { at: now });
                let (server, stopped) = (self.clone(), self.lab.scenario.origin.stopped_s);
                self.die();
                self.lab.workers.run(move || async move {
                    sleep(Duration::from_secs_f64(stopped)).await;
                    server.start(false);
                });
            }
        }
    }
}

fn log_bind_failure(server: &Server) {
    eprintln!("lab: {} could not be bound again", server.at);
}

/// Until the other side has closed.
async fn closed(stream: &mut TcpStream, buffer: &mut BytesMut) {
    use tokio::io::AsyncReadExt;
    loop {
        match stream.read_buf(buffer).await {
            Ok(read) if read > 0 && buffer.len() < 1 << 17 => {}
            _ => return,
        }
    }
}

async fn serve_connection(mut conn: Conn) {
    let (server, incarnation) = (conn.server.clone(), conn.incarnation);
    let Some(stream) = conn.stream.as_mut() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let idle = Duration::from_secs_f64(server.lab.scenario.caches.idle_s);
    let full = server.open.load(Relaxed) > server.limit();
    let mut buffer = BytesMut::with_capacity(1024);
    let mut first = true;
    loop {
        let (mut began, mut began_lag) = (0, 0);
        let begun = || (began, began_lag) = (server.lab.now(), server.lab.lag());
        let message = match timeout(idle, http::read(stream, &mut buffer, begun)).await {
            Ok(Ok(message)) => message,
            Ok(Err(ReadError::Bad(_))) => {
                http::write(stream, &http::reply("400 Bad Request", "", b"")).await;
                return;
            }
            _ => return,
        };
        if message.start_line.1.starts_with("/health/") {
            let ok = http::reply("200 OK", "", b"");
            if !http::write(stream, &ok).await {
                return;
            }
            continue;
        }
        let Some(id) = message.id else {
            http::write(stream, &http::reply("404 Not Found", "", b"")).await;
            return;
        };
        let now = server.lab.now();
        let f = ObservedForward {
            id,
            to: server.number,
            first_byte_at: began,
            complete_at: Some(now),
            ended: now,
            first_lag: began_lag,
            end_lag: 0,
            outcome: ForwardOutcome::Open,
            ran: false,
            cold: server.warmth() < 1.0,
            withdrawn_unseen: http::probe(stream) == PeekResult::Ended,
        };
        let flight = InFlightForward {
            server: server.clone(),
            incarnation,
            f,
        };
        // A crowd of new connections is accepted late; what was withdrawn meanwhile never runs.
        if flight.f.withdrawn_unseen {
            return flight.end(ForwardOutcome::Withdrawn);
        }
        if server.overloads(server.offered(&message, id), now) {
            drop(flight);
            server.fail_overloaded(now);
            // Ended by its own death; nothing is awaited any more.
            return;
        }
        if full {
            flight.answer(ForwardOutcome::NotRun, stream);
            let reply = http::reply(
                "503 Service Unavailable",
                "X-Not-Run: 1\r\nConnection: close\r\n",
                b"",
            );
            http::write(stream, &reply).await;
            return;
        }
        let connect_s = if first {
            server.lab.scenario.caches.connect_ms / 1e3
        } else {
            0.0
        };
        first = false;
        if serve(&server, stream, &mut buffer, message, flight, connect_s)
            .await
            .is_none()
        {
            return;
        }
    }
}

impl Server {
    /// In core seconds of the yardstick; for the origin, in forwards.
    fn offered(&self, message: &Message, id: u64) -> f64 {
        if self.role == Role::Origin {
            return 1.0;
        }
        let part = if message.writes() {
            MISS_WORK_RATIO
        } else {
            1.0
        };
        part * work(id, self.mean_work(id))
    }
}

/// Work of a miss beside that of a hit.
const MISS_WORK_RATIO: f64 = 0.1;

/// One forward; none where the connection is over.
async fn serve(
    server: &Arc<Server>,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    message: Message,
    mut flight: InFlightForward,
    connect_s: f64,
) -> Option<()> {
    let (id, key) = (flight.f.id, message.key());
    let lab = &server.lab;
    let (hangs, stands, errors, resets, started) = {
        let state = server.state();
        (
            state.hangs,
            state.paused_until,
            state.errors,
            state.resets,
            state.started,
        )
    };
    if hangs {
        closed(stream, buffer).await;
        return None;
    }
    if stands > lab.now() {
        tokio::select! {
            biased;
            () = sleep(Duration::from_nanos(stands - lab.now())) => {}
            // A process that stands still learns of it later; the ledger must not.
            () = closed(stream, buffer) => return None,
        }
    }
    let held = match server.role {
        Role::Cache => !message.writes() && server.state().store.has(key),
        Role::Origin => true,
    };
    let s = &lab.scenario;
    let warm = warmth(started, s.caches.cold_from, s.caches.cold_s, lab.now());
    let mean = server.mean_work(id);
    let part = if held { 1.0 } else { MISS_WORK_RATIO };
    let seconds = match server.role {
        Role::Cache => (part * work(id, mean) + connect_s) / (server.speed * warm),
        Role::Origin => work(id, mean),
    };
    if seconds > 0.0 {
        match server.work(seconds, stream, buffer).await {
            WorkOutcome::Done => {}
            WorkOutcome::Full => {
                flight.answer(ForwardOutcome::NotRun, stream);
                let reply = http::reply("503 Service Unavailable", "X-Not-Run: 1\r\n", b"");
                return http::write(stream, &reply).await.then_some(());
            }
            WorkOutcome::Withdrawn => {
                flight.end(ForwardOutcome::Withdrawn);
                return None;
            }
        }
    }
    if is_selected(id, u64::from(server.number) + 1, errors) {
        flight.answer(ForwardOutcome::Error, stream);
        return http::write(stream, &http::reply("500 Oops", "", b""))
            .await
            .then_some(());
    }
    if !held {
        server
            .fleet
            .upgrade()
            .inspect(|fleet| fleet.missed(id, server.number));
        flight.answer(ForwardOutcome::Miss, stream);
        return http::write(
            stream,
            &http::reply("404 Not Found", "X-Cache: miss\r\n", b""),
        )
        .await
        .then_some(());
    }
    let mut how = ForwardOutcome::Done;
    if message.writes() {
        let window = s
            .operation
            .get(usize::from(operation_of(id)))
            .map_or(0, |o| o.window_ms * MS);
        let now = lab.now();
        let fresh = message.idempotency_key.is_none_or(|m| {
            server
                .state()
                .idempotency_keys
                .insert_if_new(m, window.max(SECOND / 1000), now)
        });
        flight.f.ran = fresh;
        how = if fresh {
            ForwardOutcome::Done
        } else {
            ForwardOutcome::Repeat
        };
        server.fleet.upgrade().inspect(|fleet| fleet.void(key));
    }
    let mut body = format!("{id:016x}").into_bytes();
    body.resize(s.caches.body_bytes.max(16), b'.');
    let reply = http::reply("200 OK", "X-Cache: hit\r\n", &body);
    if is_selected(id, u64::from(server.number) + 77, resets) {
        // Half an answer, then the end.
        http::write(stream, &reply[..reply.len() - 7]).await;
        flight.end(ForwardOutcome::Reset);
        return None;
    }
    if server.role == Role::Origin && !message.writes() {
        server
            .fleet
            .upgrade()
            .inspect(|fleet| fleet.answered(id, key));
    }
    // Told before the write: the client may have the answer before this task runs again.
    flight.answer(how, stream);
    http::write(stream, &reply).await.then_some(())
}
