//! Budgets of file descriptors, split between clients and peers, and of memory for long answers.
use crate::protocol::{MAX_BODY, MAX_HEAD};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors reserved for the runtime, the listener, gossip, discovery and the log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Fraction of the remaining descriptors for client connections.
const CLIENT_FRACTION: f64 = 0.6;
/// Fraction of the remaining descriptors for excess client connections, which are accepted only to reject their
/// requests.
const OVERFLOW_FRACTION: f64 = 0.05;

/// A limited number of descriptors or memory units for one purpose.
pub struct Budget {
    limit: usize,
    /// Sum of all reservations; at most `limit`.
    reserved: Cell<usize>,
    released: Notify,
}

/// A reserved part of a budget, released on drop.
pub struct Reservation {
    budget: Rc<Budget>,
    count: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.reserved.set(budget.reserved.get() - self.count);
        budget.released.notify_one();
    }
}

impl Budget {
    /// Returns a budget of `limit` units, at least 1.
    pub fn new(limit: usize) -> Rc<Budget> {
        Rc::new(Budget {
            limit: limit.max(1),
            reserved: Cell::new(0),
            released: Notify::new(),
        })
    }

    /// Number of reserved units.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Reserves one unit; `None` if the budget is exhausted.
    pub fn reserve(self: &Rc<Self>) -> Option<Reservation> {
        self.reserve_many(1)
    }

    fn reserve_many(self: &Rc<Self>, count: usize) -> Option<Reservation> {
        (count <= self.limit - self.reserved.get()).then(|| {
            self.reserved.set(self.reserved.get() + count);
            Reservation {
                budget: self.clone(),
                count,
            }
        })
    }

    /// Waits until a reservation is released.
    pub async fn released(&self) {
        self.released.notified().await;
    }
}

/// Memory for bodies longer than the usual `MAX_BODY`. Guards against discarding valid answers of some hundred KiB, as
/// has happened, and against many of them at once exhausting the node's memory.
#[derive(Clone)]
pub struct BodyMemory(Option<Rc<Budget>>);

impl BodyMemory {
    /// No memory beyond `MAX_BODY`.
    pub const USUAL: BodyMemory = BodyMemory(None);

    /// Returns a budget of a quarter of the node's `memory`, in bytes.
    pub fn of(memory: usize) -> BodyMemory {
        BodyMemory(Some(Budget::new(memory / 4 / MAX_BODY)))
    }

    /// Extends the body's reservations to `length` bytes. One body gets at most a quarter of the budget. Returns false
    /// if the remaining budget is too small.
    pub fn reserve(&self, length: usize, reservations: &mut Vec<Reservation>) -> bool {
        let units = length.div_ceil(MAX_BODY).saturating_sub(1);
        let reserved = reservations.iter().map(|r| r.count).sum();
        let missing = units.saturating_sub(reserved);
        if missing == 0 {
            return true;
        }
        let reservation = self
            .0
            .as_ref()
            .filter(|budget| units <= budget.limit / 4)
            .and_then(|budget| budget.reserve_many(missing));
        reservation.map(|r| reservations.push(r)).is_some()
    }
}

/// A complete body with its memory reservations.
#[derive(Default)]
pub struct Body {
    /// The bytes of the body.
    pub bytes: Bytes,
    /// Reservations for the length beyond `MAX_BODY`.
    pub reservations: Vec<Reservation>,
}

/// The split of the descriptors between clients and peers.
pub struct DescriptorSplit {
    /// Descriptors for client connections, including those whose requests are rejected.
    pub clients: Rc<Budget>,
    /// Maximum number of clients that are served.
    pub max_served: usize,
    /// Descriptors for connections to peers.
    pub peers: Rc<Budget>,
}

/// Splits `sockets` descriptors. In the worst case each connection buffers one message for reading and one for writing,
/// so `memory`, in bytes, limits the number of connections too.
pub fn split(sockets: usize, memory: usize) -> DescriptorSplit {
    let free = sockets.saturating_sub(RESERVED_DESCRIPTORS) as f64;
    let max_by_memory = (memory / 4 / (MAX_HEAD + MAX_BODY)).max(1);
    let clients = (free * CLIENT_FRACTION) as usize;
    let overflow = (free * OVERFLOW_FRACTION).ceil() as usize;
    let peers = (free as usize - clients - overflow).min(max_by_memory);
    let max_served = clients.min(max_by_memory).max(1);
    DescriptorSplit {
        clients: Budget::new(max_served + overflow),
        max_served,
        peers: Budget::new(peers),
    }
}
