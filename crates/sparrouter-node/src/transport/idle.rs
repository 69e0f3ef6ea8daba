//! Client connections between two invocations, and which of them is closed when descriptors are short.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Fraction of all descriptors: client connections that idle between invocations.
const IDLE_FRACTION: f64 = 0.1;
/// The first message of a connection is waited for so long before another may have its descriptor.
const FIRST_MESSAGE_GRACE: Duration = Duration::from_millis(250);

/// Idle connections in the order in which they became idle: since when, and what asks them to close.
type IdleQueue = RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>;

/// The idle client connections. They close when others need their descriptors: first those that have sent no complete
/// message for a while, then the longest idle.
///
/// Guards against floods that only connect; and against closing those that were just accepted, which displaced one
/// another by hundreds a second, each before its message arrived. Only so many of the others may idle at once, the
/// longest idle close beyond that: where clients sent one request and stayed, all that they may hold idled, and nobody
/// else could connect.
pub struct IdleConnections {
    max_idle: usize,
    next_number: Cell<u64>,
    /// Those that have sent no complete message yet.
    new: IdleQueue,
    /// Those that have; at most `max_idle`, and one more for a moment.
    used: IdleQueue,
}

/// One idle connection; it is not idle any more once this is dropped.
pub struct IdleConnection {
    all: Rc<IdleConnections>,
    is_used: bool,
    number: u64,
    close: Rc<Notify>,
}

impl IdleConnections {
    /// None yet, of a node with so many descriptors.
    pub fn new(sockets: usize) -> Rc<IdleConnections> {
        Rc::new(IdleConnections {
            max_idle: (sockets as f64 * IDLE_FRACTION).ceil() as usize,
            next_number: Cell::new(0),
            new: IdleQueue::default(),
            used: IdleQueue::default(),
        })
    }

    /// Enters a connection that is idle from now on. `is_used`: it has sent a complete message before.
    pub fn enter(self: &Rc<Self>, is_used: bool) -> IdleConnection {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let close = Rc::new(Notify::new());
        self.queue(is_used)
            .borrow_mut()
            .insert(number, (Instant::now(), close.clone()));
        let mut used = self.used.borrow_mut();
        if used.len() > self.max_idle
            && let Some((_, (_, longest_idle))) = used.pop_first()
        {
            longest_idle.notify_one();
        }
        IdleConnection {
            all: self.clone(),
            is_used,
            number,
            close,
        }
    }

    fn queue(&self, is_used: bool) -> &IdleQueue {
        if is_used { &self.used } else { &self.new }
    }

    /// Asks one connection to close; false where none is idle.
    pub fn close_one(&self) -> bool {
        let mut new = self.new.borrow_mut();
        let unused = new
            .first_entry()
            .filter(|entry| entry.get().0.elapsed() > FIRST_MESSAGE_GRACE)
            .map(|entry| entry.remove());
        let longest_idle = || self.used.borrow_mut().pop_first().map(|(_, idle)| idle);
        match unused.or_else(longest_idle) {
            Some((_, close)) => {
                close.notify_one();
                true
            }
            None => false,
        }
    }
}

impl IdleConnection {
    /// Waits until the connection is asked to close.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.all
            .queue(self.is_used)
            .borrow_mut()
            .remove(&self.number);
    }
}
