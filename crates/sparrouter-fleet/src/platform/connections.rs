//! The connections of one listener: at most so many at a time. At the limit, a new connection displaces the one that has
//! waited longest for its caller, so that callers which only hold connections do not shut out others.
use super::defects::rules;
use super::memory::MemoryPool;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// Time that a connection waits for its caller before it may be displaced.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a new connection looks for one that it may displace.
const DISPLACE_INTERVAL: Duration = Duration::from_millis(50);

/// The moment at which a caller was last heard of on a connection.
pub type Progress = Rc<Cell<Instant>>;

/// The connections of one listener.
pub struct ConnectionLimit {
    max_connections: usize,
    permits: Arc<Semaphore>,
    /// Connections by the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_id: Cell<u64>,
    /// Counts displaced connections.
    pool: Rc<MemoryPool>,
}

struct ConnectionState {
    /// Set while the connection waits for its caller; `None` while a request is served.
    waiting: RefCell<Option<Progress>>,
    is_displaced: Cell<bool>,
    displacement: Notify,
}

impl ConnectionLimit {
    /// Creates the limit of a listener whose requests use the memory of `pool`.
    pub fn new(max_connections: usize, pool: Rc<MemoryPool>) -> Rc<ConnectionLimit> {
        Rc::new(ConnectionLimit {
            max_connections,
            permits: Arc::new(Semaphore::new(max_connections)),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            pool,
        })
    }

    /// Number of connections, including one for which a slot was acquired in advance.
    pub fn in_use(&self) -> usize {
        self.max_connections - self.permits.available_permits()
    }

    /// A slot for a further connection; `None` at the limit.
    pub fn acquire_now(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        Some(self.slot(permit))
    }

    /// Waits for a slot, for a connection that was accepted at the limit. Connections that have waited long for their
    /// callers are displaced until there is one.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionSlot {
        loop {
            self.displace();
            let permit = self.permits.clone().acquire_owned();
            // The semaphore is never closed.
            if let Ok(Ok(permit)) = timeout(DISPLACE_INTERVAL, permit).await {
                return self.slot(permit);
            }
        }
    }

    fn slot(self: &Rc<Self>, permit: OwnedSemaphorePermit) -> ConnectionSlot {
        let state = Rc::new(ConnectionState {
            waiting: RefCell::default(),
            is_displaced: Cell::new(false),
            displacement: Notify::new(),
        });
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.connections.borrow_mut().insert(id, state.clone());
        ConnectionSlot {
            limit: self.clone(),
            id,
            state,
            _permit: permit,
        }
    }

    /// Displaces the connection that has waited longest for its caller, if one has waited long enough.
    fn displace(&self) {
        if !rules::waiting_connections_are_displaced() {
            return;
        }
        let connections = self.connections.borrow();
        let candidates = connections
            .values()
            .filter(|connection| !connection.is_displaced.get());
        let longest = candidates
            .filter_map(|connection| Some((connection.wait_began()?, connection)))
            .min_by_key(|(since, _)| *since);
        let Some((since, connection)) = longest else {
            return;
        };
        if since.elapsed() < MIN_WAIT {
            return;
        }
        connection.is_displaced.set(true);
        connection.displacement.notify_one();
        self.pool.record_displaced();
    }
}

impl ConnectionState {
    fn wait_began(&self) -> Option<Instant> {
        self.waiting
            .borrow()
            .as_ref()
            .map(|progress| progress.get())
    }
}

/// The place of one connection; it is free again when this is dropped.
pub struct ConnectionSlot {
    limit: Rc<ConnectionLimit>,
    id: u64,
    state: Rc<ConnectionState>,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionSlot {
    /// Records that the connection waits for its caller, who was last heard of at `progress`.
    pub fn begin_wait(&self, progress: Progress) {
        *self.state.waiting.borrow_mut() = Some(progress);
    }

    /// Records that a request is served, so that the connection is not displaced.
    pub fn end_wait(&self) {
        *self.state.waiting.borrow_mut() = None;
    }

    /// Completes when the connection is displaced.
    pub fn displaced(&self) -> impl Future<Output = ()> + use<> {
        let state = self.state.clone();
        async move { state.displacement.notified().await }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limit.connections.borrow_mut().remove(&self.id);
    }
}
