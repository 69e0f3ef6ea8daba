//! A cache server or the origin on a socket: accepts forwards, does their work, answers or fails as it is told to.
//! Every forward that it sees is recorded exactly once.
mod connection;
mod forward;
mod work;

use super::Lab;
use super::fleet::Fleet;
use super::model::{CacheStore, IdempotencyKeys, RecentWork, warmth};
use crate::arrival::stamp_arrivals;
use crate::ledger::ORIGIN;
use crate::{Nanos, nanos};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;
use work::Core;

/// What a server stands in for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Holds some keys and misses the others.
    Cache,
    /// Holds every key and carries writes out.
    Origin,
}

/// A cache server or the origin, with the process that serves for it now.
pub struct Server {
    /// The cache server's number, or [`ORIGIN`].
    pub number: u32,
    /// What it stands in for.
    pub role: Role,
    /// Where it listens.
    pub at: SocketAddr,
    cores: usize,
    queue_capacity: usize,
    speed: f64,
    lab: Arc<Lab>,
    fleet: Weak<Fleet>,
    state: Mutex<State>,
    /// Counts the processes that served here; a connection of an earlier one is reset.
    incarnation: AtomicU64,
    /// Open connections.
    pub open: AtomicUsize,
    /// By number: the tasks of open connections.
    tasks: Mutex<HashMap<u64, AbortHandle>>,
    next_task: AtomicU64,
}

struct State {
    up: bool,
    /// While it warms up: when its process started.
    started: Option<Nanos>,
    draining: bool,
    hangs: bool,
    paused_until: Nanos,
    /// Parts of the replies that are errors, and that end in a reset.
    errors: f64,
    resets: f64,
    /// Cores at work, at most `cores`.
    busy: usize,
    /// Forwards that wait for a core, at most `queue_capacity`.
    queue: VecDeque<oneshot::Sender<Core>>,
    store: CacheStore,
    idempotency_keys: IdempotencyKeys,
    recent_work: RecentWork,
    /// Stopped by overload while cold; never starts again.
    fallen: bool,
    listener: Option<AbortHandle>,
}

impl State {
    /// Of a server that does not run yet. `keys`: as many it holds; 0: all.
    fn new(keys: usize, overload_window: Nanos) -> State {
        State {
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
            recent_work: RecentWork::new(overload_window),
            fallen: false,
            listener: None,
        }
    }
}

impl Server {
    /// A server that does not run yet. `number` is the cache server's, or [`ORIGIN`]; `speed` is the work of a core as a
    /// multiple of the yardstick.
    ///
    /// # Errors
    ///
    /// No address can be bound.
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
            state: Mutex::new(State::new(keys, nanos(s.rules.fall_s))),
            incarnation: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            tasks: Mutex::new(HashMap::new()),
            next_task: AtomicU64::new(0),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic holds it")
    }

    // What a scenario does to it.

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
                    stamp_arrivals(&listener);
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
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn die(&self) {
        self.incarnation.fetch_add(1, Relaxed);
        let mut state = self.state();
        state.up = false;
        state.queue.clear();
        if let Some(listener) = state.listener.take() {
            listener.abort();
        }
        drop(state);
        self.tasks
            .lock()
            .expect("not poisoned")
            .drain()
            .for_each(|(_, task)| task.abort());
    }

    /// Its health says that it is draining; it goes on serving.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// While it hangs it takes forwards and answers nothing.
    pub fn hang(&self, hangs: bool) {
        self.state().hangs = hangs;
    }

    /// Does nothing for this many milliseconds.
    pub fn pause_for(&self, ms: f64) {
        self.state().paused_until = self.lab.now() + nanos(ms / 1e3);
    }

    /// Sets the parts of its replies that are errors, and that end in a reset.
    pub fn spoil(&self, errors: f64, resets: f64) {
        let mut state = self.state();
        (state.errors, state.resets) = (errors, resets);
    }

    /// Removes this part of the keys.
    pub fn flush(&self, keys: &[u64], part: f64) {
        self.state().store.flush(keys, part);
    }

    /// Removes a key whose value has changed.
    pub fn void(&self, key: u64) {
        self.state().store.void(key);
    }

    /// Stores a key before the run begins.
    pub fn prefill(&self, key: u64) {
        self.state().store.put(key);
    }

    /// Stores a key, where its process runs.
    pub fn keep(&self, key: u64) {
        let mut state = self.state();
        if state.up {
            state.store.put(key);
        }
    }

    // What can be seen of it.

    /// Its process runs.
    pub fn up(&self) -> bool {
        self.state().up
    }

    /// It was asked to drain.
    pub fn draining(&self) -> bool {
        self.state().draining
    }

    /// Part of its full speed that it has now, up to 1.
    pub fn warmth(&self) -> f64 {
        let s = &self.lab.scenario.caches;
        warmth(self.state().started, s.cold_from, s.cold_s, self.lab.now())
    }

    /// Forwards on cores and in the queue.
    pub fn pending_count(&self) -> usize {
        let state = self.state();
        state.busy + state.queue.len()
    }
}

fn log_bind_failure(server: &Server) {
    eprintln!("lab: {} could not be bound again", server.at);
}
