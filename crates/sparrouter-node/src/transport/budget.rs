//! The descriptors a process may hold, dealt out to those who open sockets, and memory for long answers.
use crate::protocol::{MAX_BODY, MAX_HEAD};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Kept for the runtime, the listener, datagrams, discovery and the log.
const OWN: usize = 24;
/// Of the rest: client connections, and those beyond them that are still accepted.
const CLIENTS: f64 = 0.6;
const SPARE: f64 = 0.05;
/// Of all: client connections that idle between invocations.
const IDLE: f64 = 0.1;

/// One side's part.
pub struct DescriptorBudget {
    limit: usize,
    held: Cell<usize>,
    freed: Notify,
}

/// The right to hold so much of a share, given back when dropped.
pub struct Reservation(Rc<DescriptorBudget>, usize);

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - self.1);
        self.0.freed.notify_one();
    }
}

impl DescriptorBudget {
    pub fn new(limit: usize) -> Rc<DescriptorBudget> {
        Rc::new(DescriptorBudget {
            limit: limit.max(1),
            held: Cell::new(0),
            freed: Notify::new(),
        })
    }
    pub fn held(&self) -> usize {
        self.held.get()
    }
    pub fn take(self: &Rc<Self>) -> Option<Reservation> {
        self.take_of(1)
    }
    fn take_of(self: &Rc<Self>, count: usize) -> Option<Reservation> {
        (count <= self.limit - self.held.get()).then(|| {
            self.held.set(self.held.get() + count);
            Reservation(self.clone(), count)
        })
    }
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// Memory for what of a body goes beyond the usual `MAX_BODY`. Guards against answers of some hundred
/// KiB that were good and thrown away, and against many at once that would be the node's end.
#[derive(Clone)]
pub struct BodyMemory(Option<Rc<DescriptorBudget>>);

impl BodyMemory {
    /// None but the usual.
    pub const USUAL: BodyMemory = BodyMemory(None);
    /// A quarter of the node's memory.
    pub fn of(memory: usize) -> BodyMemory {
        BodyMemory(Some(DescriptorBudget::new(memory / 4 / MAX_BODY)))
    }
    /// For a body of this length, beyond what was reservations for it before: one gets a quarter at most.
    /// False where there is no room.
    pub fn reserve(&self, length: usize, reservations: &mut Vec<Reservation>) -> bool {
        let pages = length.div_ceil(MAX_BODY).saturating_sub(1);
        let more = pages.saturating_sub(reservations.iter().map(|p| p.1).sum());
        if more == 0 {
            return true;
        }
        let permit = self
            .0
            .as_ref()
            .filter(|s| pages <= s.limit / 4)
            .and_then(|s| s.take_of(more));
        permit.map(|p| reservations.push(p)).is_some()
    }
}

/// A whole body, with the right to the memory that it takes.
#[derive(Default)]
pub struct Body {
    pub bytes: Bytes,
    pub reservations: Vec<Reservation>,
}

/// For clients, with how many of them are served in full, and for peers. Each may at the worst hold a
/// message that is read and one that is written, so memory bounds them too.
pub fn split(sockets: usize, memory: usize) -> (Rc<DescriptorBudget>, usize, Rc<DescriptorBudget>) {
    let free = sockets.saturating_sub(OWN) as f64;
    let most = (memory / 4 / (MAX_HEAD + MAX_BODY)).max(1);
    let (clients, spare) = ((free * CLIENTS) as usize, (free * SPARE).ceil() as usize);
    let (peers, clients) = (
        (free as usize - clients - spare).min(most),
        clients.min(most).max(1),
    );
    (
        DescriptorBudget::new(clients + spare),
        clients,
        DescriptorBudget::new(peers),
    )
}

/// So long the first message of a connection is waited for before others may have its descriptor.
const GRACE: Duration = Duration::from_millis(250);

type Waiting = RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>;

/// Client connections between invocations: they go when others need their descriptors, first those that
/// have sent nothing for a while, then the longest idle. Guards against floods that only connect; and
/// against closing those that have just come, which displaced one another by hundreds a second, each
/// before its message arrived. Of the others so many may idle at once, the longest idle go beyond that:
/// where clients ask once and stay, all that they may hold idled, and nobody else could connect.
pub struct IdleConnections {
    most: usize,
    next: Cell<u64>,
    /// Those that have sent nothing yet, and the others.
    mute: Waiting,
    spoke: Waiting,
}

pub struct IdleConnection {
    context: Rc<IdleConnections>,
    spoke: bool,
    number: u64,
    asked: Rc<Notify>,
}

impl IdleConnections {
    pub fn new(sockets: usize) -> Rc<IdleConnections> {
        let most = (sockets as f64 * IDLE).ceil() as usize;
        Rc::new(IdleConnections {
            most,
            next: Cell::new(0),
            mute: Waiting::default(),
            spoke: Waiting::default(),
        })
    }
    /// `spoke`: it has sent a whole message before.
    pub fn enter(self: &Rc<Self>, spoke: bool) -> IdleConnection {
        let (number, asked) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(number + 1);
        self.waiting(spoke)
            .borrow_mut()
            .insert(number, (Instant::now(), asked.clone()));
        let mut kept = self.spoke.borrow_mut();
        let longest = if kept.len() > self.most {
            kept.pop_first()
        } else {
            None
        };
        longest.inspect(|(_, (_, asked))| asked.notify_one());
        IdleConnection {
            context: self.clone(),
            spoke,
            number,
            asked,
        }
    }
    fn waiting(&self, spoke: bool) -> &Waiting {
        if spoke { &self.spoke } else { &self.mute }
    }
    /// Asks the first to close; false where all are at work.
    pub fn ask_first(&self) -> bool {
        let mut mute = self.mute.borrow_mut();
        let silent = mute
            .first_entry()
            .filter(|e| e.get().0.elapsed() > GRACE)
            .map(|e| e.remove());
        let oldest = silent.or_else(|| self.spoke.borrow_mut().pop_first().map(|(_, place)| place));
        oldest.inspect(|(_, asked)| asked.notify_one()).is_some()
    }
}

impl IdleConnection {
    pub async fn asked(&self) {
        self.asked.notified().await;
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.context
            .waiting(self.spoke)
            .borrow_mut()
            .remove(&self.number);
    }
}
