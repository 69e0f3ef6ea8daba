//! The memory that requests may make the process hold. One count of bytes, taken before the memory is, bounds it for all
//! connections together; a [`Reservation`] gives its bytes back when it is dropped.
//!
//! The memory is divided into two pools, so that clients cannot take what operators and servers need. Within a pool, a
//! part is kept for small requests, so that large ones cannot exhaust it. If a pool is exhausted, requests that have
//! stopped arriving are evicted in favor of others, the one that stopped first before the others.
use super::connections::Progress;
use super::defects::rules;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Bytes in one MB of the setting `limits.memory_mb`.
const BYTES_PER_MB: usize = 1_000_000;
/// Fraction of the machine's memory that requests of clients may hold.
const CLIENT_FRACTION: f64 = 0.3;
/// Fraction of the machine's memory that requests of operators, servers, the platform and scrapers may hold.
const CONTROL_FRACTION: f64 = 0.1;
/// Minimum of the clients' pool in bytes: a body of the default `max_body_bytes` fits beside small requests.
const MIN_CLIENT_BYTES: usize = 6 << 20;
/// Minimum of the control pool in bytes: the longest configuration fits beside small requests.
const MIN_CONTROL_BYTES: usize = 14 << 20;
/// Inverse of the fraction of a pool that is kept for small requests.
const SMALL_REQUESTS_DIVISOR: usize = 4;
/// Inverse of the fraction of a pool up to which bytes are reserved that requests can do without.
const OPTIONAL_DIVISOR: usize = 2;
/// A request that holds no more than this is small.
pub const SMALL_REQUEST_BYTES: usize = 64 << 10;
/// Time without progress after which a request that is arriving may be evicted.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that must arrive for a request to have made progress, so that single bytes do not keep one from being evicted.
const PROGRESS_BYTES: usize = 4 << 10;
/// Longest time that a request waits for evicted ones to give back their memory.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum time between two log lines about one pool.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The memory for requests is in use: the request has not run and may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests is in use: retry later")]
pub struct MemoryExhausted;

/// The memory of a process for requests.
pub struct RequestMemory {
    /// For requests of clients.
    pub clients: Rc<MemoryPool>,
    /// For requests of operators, servers, the platform and scrapers.
    pub control: Rc<MemoryPool>,
}

impl RequestMemory {
    /// Divides the memory of a machine; `memory_mb` is the setting `limits.memory_mb`.
    pub fn for_machine(memory_mb: u64) -> RequestMemory {
        let machine = usize::try_from(memory_mb)
            .unwrap_or(usize::MAX)
            .saturating_mul(BYTES_PER_MB);
        let fraction_of_machine =
            |fraction: f64, min: usize| ((machine as f64 * fraction) as usize).max(min);
        RequestMemory {
            clients: MemoryPool::new(
                "clients",
                fraction_of_machine(CLIENT_FRACTION, MIN_CLIENT_BYTES),
            ),
            control: MemoryPool::new(
                "control",
                fraction_of_machine(CONTROL_FRACTION, MIN_CONTROL_BYTES),
            ),
        }
    }
}

/// A bounded number of bytes that requests share.
pub struct MemoryPool {
    /// Name of the pool in log lines and metrics.
    pub name: &'static str,
    /// Most bytes that all requests may hold together.
    pub limit_bytes: usize,
    reserved_bytes: Cell<usize>,
    peak_bytes: Cell<usize>,
    refused: Cell<u64>,
    evicted: Cell<u64>,
    displaced: Cell<u64>,
    too_long: Cell<u64>,
    /// Requests whose bytes are still arriving, in the order of their beginning.
    arriving: RefCell<BTreeMap<u64, Rc<Arrival>>>,
    next_id: Cell<u64>,
    /// Notified when bytes are given back.
    released: Notify,
    last_report: Cell<Option<Instant>>,
}

/// The state of a request that is arriving.
struct Arrival {
    reserved_bytes: Cell<usize>,
    last_progress: Progress,
    /// Bytes that have arrived since `last_progress`.
    arrived_bytes: Cell<usize>,
    is_evicted: Cell<bool>,
    eviction: Notify,
}

impl MemoryPool {
    /// Creates a pool in which nothing is held.
    pub fn new(name: &'static str, limit_bytes: usize) -> Rc<MemoryPool> {
        Rc::new(MemoryPool {
            name,
            limit_bytes,
            reserved_bytes: Cell::new(0),
            peak_bytes: Cell::new(0),
            refused: Cell::new(0),
            evicted: Cell::new(0),
            displaced: Cell::new(0),
            too_long: Cell::new(0),
            arriving: RefCell::default(),
            next_id: Cell::new(0),
            released: Notify::new(),
            last_report: Cell::new(None),
        })
    }

    /// Creates a pool without a limit, for stand-ins in tests.
    pub fn unlimited() -> Rc<MemoryPool> {
        MemoryPool::new("unlimited", usize::MAX)
    }

    /// Bytes that are held now.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }

    /// Most bytes that have been held at the same time.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes.get()
    }

    /// Requests that were refused because the pool was exhausted.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Requests that were evicted because they had stopped arriving while others needed memory.
    pub fn evicted(&self) -> u64 {
        self.evicted.get()
    }

    /// Connections that were closed in favor of others, as they had waited long for their callers.
    pub fn displaced(&self) -> u64 {
        self.displaced.get()
    }

    /// Requests that were refused because their bodies are longer than allowed.
    pub fn too_long(&self) -> u64 {
        self.too_long.get()
    }

    /// Counts a displaced connection, and reports it unless one was reported lately.
    pub(super) fn record_displaced(&self) {
        self.displaced.set(self.displaced.get() + 1);
        if self.should_report() {
            log::warn!(
                "connections are in use, those that wait for their callers are closed: pool={} closed={}",
                self.name,
                self.displaced.get()
            );
        }
    }

    /// Whether no line about the pool was logged lately; the next one is due only after a pause.
    fn should_report(&self) -> bool {
        let now = Instant::now();
        let is_old = |report: Instant| now.saturating_duration_since(report) >= REPORT_INTERVAL;
        let should_report = self.last_report.get().is_none_or(is_old);
        if should_report {
            self.last_report.set(Some(now));
        }
        should_report
    }

    /// Begins a reservation, without bytes, for a request that is arriving.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        let arrival = Rc::new(Arrival {
            reserved_bytes: Cell::new(0),
            last_progress: Rc::new(Cell::new(Instant::now())),
            arrived_bytes: Cell::new(0),
            is_evicted: Cell::new(false),
            eviction: Notify::new(),
        });
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.arriving.borrow_mut().insert(id, arrival.clone());
        Reservation {
            pool: self.clone(),
            id,
            arrival,
        }
    }

    /// Most bytes that all requests may hold after one of them has grown to `request_bytes`.
    fn limit_for(&self, request_bytes: usize) -> usize {
        if request_bytes <= SMALL_REQUEST_BYTES && rules::memory_is_kept_for_small_requests() {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_REQUESTS_DIVISOR
        }
    }

    fn set_reserved(&self, reserved_bytes: usize) {
        self.reserved_bytes.set(reserved_bytes);
        self.peak_bytes
            .set(self.peak_bytes.get().max(reserved_bytes));
    }

    /// The requests other than `newcomer` that have stopped arriving, the one that stopped first before the others.
    fn stalled(&self, newcomer: &Rc<Arrival>) -> Vec<Rc<Arrival>> {
        let now = Instant::now();
        let is_stalled = |arrival: &&Rc<Arrival>| {
            let stalled_time = now.saturating_duration_since(arrival.last_progress.get());
            stalled_time >= STALL_TIMEOUT && !Rc::ptr_eq(arrival, newcomer)
        };
        let arriving = self.arriving.borrow();
        let mut stalled: Vec<Rc<Arrival>> = arriving.values().filter(is_stalled).cloned().collect();
        stalled.sort_by_key(|arrival| arrival.last_progress.get());
        stalled
    }

    /// Evicts as many stalled requests as hold `excess_bytes` together, in favor of the request `newcomer`. Returns false,
    /// without an eviction, if all of them hold less.
    fn evict(&self, excess_bytes: usize, newcomer: &Rc<Arrival>) -> bool {
        if !rules::stalled_requests_are_evicted() {
            return false;
        }
        let mut chosen = Vec::new();
        let mut freed_bytes = 0;
        for arrival in self.stalled(newcomer) {
            if freed_bytes >= excess_bytes {
                break;
            }
            freed_bytes += arrival.reserved_bytes.get();
            chosen.push(arrival);
        }
        if freed_bytes < excess_bytes {
            return false;
        }
        for arrival in chosen {
            if !arrival.is_evicted.replace(true) {
                self.evicted.set(self.evicted.get() + 1);
                arrival.eviction.notify_one();
            }
        }
        true
    }

    /// Counts a refused request, and reports it unless one was reported lately.
    fn record_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
        if self.should_report() {
            log::warn!(
                "memory for requests is in use, requests are refused: pool={} held={} limit={} refused={} evicted={}",
                self.name,
                self.reserved_bytes.get(),
                self.limit_bytes,
                self.refused.get(),
                self.evicted.get()
            );
        }
    }
}

/// The memory of one request, from its first byte until its response is complete. Dropping it gives the memory back.
pub struct Reservation {
    pool: Rc<MemoryPool>,
    id: u64,
    arrival: Rc<Arrival>,
}

impl Reservation {
    /// Bytes that the request holds.
    pub fn reserved_bytes(&self) -> usize {
        self.arrival.reserved_bytes.get()
    }

    /// Bytes above the limit if the request grows by `bytes`.
    fn excess(&self, bytes: usize) -> usize {
        if !rules::request_memory_is_bounded() {
            return 0;
        }
        let limit = self
            .pool
            .limit_for(self.reserved_bytes().saturating_add(bytes));
        let total_after = self.pool.reserved_bytes().saturating_add(bytes);
        total_after.saturating_sub(limit)
    }

    /// Reserves further bytes if they are available now.
    pub fn grow_now(&mut self, bytes: usize) -> bool {
        if self.excess(bytes) > 0 {
            return false;
        }
        self.arrival
            .reserved_bytes
            .set(self.reserved_bytes() + bytes);
        self.pool.set_reserved(self.pool.reserved_bytes() + bytes);
        true
    }

    /// Reserves further bytes that the request can do without, if less than half of the pool is held: they never compete
    /// with requests.
    pub fn grow_optional(&mut self, bytes: usize) -> bool {
        let total_after = self.pool.reserved_bytes().saturating_add(bytes);
        total_after <= self.pool.limit_bytes / OPTIONAL_DIVISOR && self.grow_now(bytes)
    }

    /// Reserves further bytes. If they are not available, stalled requests are evicted and their memory is awaited.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`] if other requests hold the memory and none of them is stalled.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let deadline = Instant::now() + EVICTION_TIMEOUT;
        while !self.grow_now(bytes) {
            let is_freed = self.pool.evict(self.excess(bytes), &self.arrival);
            let remaining = deadline.saturating_duration_since(Instant::now());
            let released = self.pool.released.notified();
            if !is_freed || remaining.is_zero() || timeout(remaining, released).await.is_err() {
                self.pool.record_refusal();
                return Err(MemoryExhausted);
            }
        }
        Ok(())
    }

    /// Reserves further bytes until the request holds `bytes`, as [`Reservation::grow`] does.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`] as for [`Reservation::grow`].
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        match bytes.checked_sub(self.reserved_bytes()) {
            Some(missing) if missing > 0 => self.grow(missing).await,
            _ => Ok(()),
        }
    }

    /// Checks that a body of this length can be held at all, by evicting stalled requests if it must be. Nothing is
    /// reserved: the length is only announced.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`] if other requests hold the memory and none of them is stalled.
    pub fn check_available(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let excess = self.excess(bytes);
        let stalled_bytes = || -> usize {
            let stalled = self.pool.stalled(&self.arrival);
            stalled
                .iter()
                .map(|arrival| arrival.reserved_bytes.get())
                .sum()
        };
        if excess > 0 && stalled_bytes() < excess {
            self.pool.record_refusal();
            return Err(MemoryExhausted);
        }
        Ok(())
    }

    /// The moment at which the request last made progress.
    pub fn progress(&self) -> Progress {
        self.arrival.last_progress.clone()
    }

    /// Records that bytes of the request have arrived.
    pub fn record_arrival(&self, bytes: usize) {
        let arrived = self.arrival.arrived_bytes.get() + bytes;
        if arrived < PROGRESS_BYTES {
            return self.arrival.arrived_bytes.set(arrived);
        }
        self.arrival.arrived_bytes.set(0);
        self.arrival.last_progress.set(Instant::now());
    }

    /// Counts the request as one whose body is longer than allowed, and reports it unless something was reported lately.
    pub fn record_too_long(&self, max_bytes: usize) {
        let pool = &self.pool;
        pool.too_long.set(pool.too_long.get() + 1);
        if pool.should_report() {
            log::warn!(
                "bodies are longer than allowed, requests are refused: pool={} limit={max_bytes} refused={}",
                pool.name,
                pool.too_long.get()
            );
        }
    }

    /// Completes when the request is evicted; its memory must then be given back.
    pub async fn evicted(&self) {
        self.arrival.eviction.notified().await;
    }

    /// Records that the request has arrived completely, so that it is no longer evicted.
    pub fn complete(&self) {
        self.pool.arriving.borrow_mut().remove(&self.id);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.complete();
        self.pool
            .set_reserved(self.pool.reserved_bytes() - self.reserved_bytes());
        self.pool.released.notify_waiters();
    }
}
