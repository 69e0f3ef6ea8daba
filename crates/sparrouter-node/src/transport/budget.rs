//! The descriptors that a process may hold, split between those who open sockets, and memory for long answers.
use crate::protocol::{MAX_BODY, MAX_HEAD};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors for the runtime, the listener, gossip, discovery and the log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Fraction of the rest for client connections.
const CLIENT_FRACTION: f64 = 0.6;
/// Fraction of the rest for client connections beyond those, which are accepted to be rejected.
const OVERFLOW_FRACTION: f64 = 0.05;

/// So many descriptors, or pages of memory, for one use.
pub struct Budget {
    limit: usize,
    /// The sum of all reservations; at most `limit`.
    reserved: Cell<usize>,
    released: Notify,
}

/// The right to so much of a budget, given back when dropped.
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
    /// A budget of `limit`, at least 1.
    pub fn new(limit: usize) -> Rc<Budget> {
        Rc::new(Budget {
            limit: limit.max(1),
            reserved: Cell::new(0),
            released: Notify::new(),
        })
    }

    /// How much is reserved now.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Reserves one, if there is one left.
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

    /// Waits until a reservation is given back.
    pub async fn released(&self) {
        self.released.notified().await;
    }
}

/// Memory for what of a body goes beyond the usual `MAX_BODY`. Guards against answers of some hundred KiB that were
/// valid and thrown away, and against many at once that would exhaust the node's memory.
#[derive(Clone)]
pub struct BodyMemory(Option<Rc<Budget>>);

impl BodyMemory {
    /// None beyond the usual.
    pub const USUAL: BodyMemory = BodyMemory(None);

    /// A quarter of the node's memory, which is in bytes.
    pub fn of(memory: usize) -> BodyMemory {
        BodyMemory(Some(Budget::new(memory / 4 / MAX_BODY)))
    }

    /// Reserves memory for a body of `length` bytes, beyond what was reserved for it before. One body gets a quarter at
    /// most. False where there is not enough.
    pub fn reserve(&self, length: usize, reservations: &mut Vec<Reservation>) -> bool {
        let pages = length.div_ceil(MAX_BODY).saturating_sub(1);
        let reserved = reservations.iter().map(|r| r.count).sum();
        let missing = pages.saturating_sub(reserved);
        if missing == 0 {
            return true;
        }
        let reservation = self
            .0
            .as_ref()
            .filter(|budget| pages <= budget.limit / 4)
            .and_then(|budget| budget.reserve_many(missing));
        reservation.map(|r| reservations.push(r)).is_some()
    }
}

/// A complete body, with the right to the memory that it takes.
#[derive(Default)]
pub struct Body {
    /// Its bytes.
    pub bytes: Bytes,
    /// What was reserved for it beyond the usual.
    pub reservations: Vec<Reservation>,
}

/// How the descriptors are split.
pub struct DescriptorSplit {
    /// For client connections, also those that are accepted to be rejected.
    pub clients: Rc<Budget>,
    /// How many clients are served.
    pub max_served: usize,
    /// For connections to peers.
    pub peers: Rc<Budget>,
}

/// Splits `sockets` descriptors. Each connection may at the worst have one message that is read and one that is
/// written, so `memory`, in bytes, bounds them too.
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
