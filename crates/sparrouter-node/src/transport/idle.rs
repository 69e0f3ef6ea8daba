//! Idle client connections, and which of them is closed when descriptors run out.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of client connections that idle between invocations, as a fraction of all descriptors.
const IDLE_FRACTION: f64 = 0.1;
/// Time that a new connection has for its first message before its descriptor may be used for another client.
const FIRST_MESSAGE_GRACE: Duration = Duration::from_millis(250);

/// Idle connections in the order in which they became idle, each with that time and the notification to close.
type IdleQueue = RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>;

/// The idle client connections. They are closed when other clients need their descriptors: first those that have not
/// sent a complete message within the grace time, then the longest idle.
///
/// The order guards against floods of connects without messages. The grace time guards against closing new connections
/// before their message arrives: without it, new connections displaced each other at hundreds per second. The number of
/// used idle connections is limited, and the longest idle are closed beyond the limit: clients that sent one request
/// and kept the connection occupied all client descriptors, and no other client could connect.
pub struct IdleConnections {
    max_idle: usize,
    next_number: Cell<u64>,
    /// Connections that have not sent a complete message yet.
    new: IdleQueue,
    /// Connections that have sent a complete message; at most `max_idle`, briefly one more.
    used: IdleQueue,
}

/// Registration of an idle connection; dropping it marks the connection as not idle.
pub struct IdleConnection {
    all: Rc<IdleConnections>,
    is_used: bool,
    number: u64,
    close: Rc<Notify>,
}

impl IdleConnections {
    /// Returns an empty registry for a node with `sockets` descriptors.
    pub fn new(sockets: usize) -> Rc<IdleConnections> {
        Rc::new(IdleConnections {
            max_idle: (sockets as f64 * IDLE_FRACTION).ceil() as usize,
            next_number: Cell::new(0),
            new: IdleQueue::default(),
            used: IdleQueue::default(),
        })
    }

    /// Registers a connection as idle. `is_used` is true if it has sent a complete message before.
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

    /// Asks one connection to close. Returns false if none can be closed.
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
