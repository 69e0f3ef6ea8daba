//! Pool of idle connections to all peers, within one budget of descriptors.
use super::budget::{Budget, Reservation};
use super::link::Link;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of idle-time classes with separate counts; each class covers twice the idle time of the previous one.
const AGE_CLASSES: usize = 8;
/// An idle-time class counts as unsafe only if more than this number of its exchanges broke.
const MIN_BROKEN: f64 = 2.0;
/// An idle-time class counts as unsafe only if its rate of broken exchanges exceeds the rate of new connections by more
/// than this.
const EXCESS_BROKEN_RATE: f64 = 0.1;
/// Interval at which the counts are halved, in multiples of the longest idle time.
const HALVING_INTERVAL: u32 = 10;

/// Counts of exchanges on connections of one idle-time class; they are halved periodically.
#[derive(Clone, Copy, Default)]
struct ExchangeCounts {
    broken: f64,
    all: f64,
}

/// Counts of broken exchanges by the idle time of their connection; the last entry is for new connections.
///
/// Guards against writes to connections that a middlebox or the peer dropped silently long before the stated idle
/// timeout: each such write ends in a reset, after which it is unknown whether the request was executed.
#[derive(Default)]
struct AgeStatistics {
    counts: [ExchangeCounts; AGE_CLASSES + 1],
    halved_at: Option<Instant>,
}

impl AgeStatistics {
    fn class(max_idle: Duration, idle: Duration) -> usize {
        (0..AGE_CLASSES - 1)
            .find(|n| idle <= max_idle / (1 << (AGE_CLASSES - 1 - n)))
            .unwrap_or(AGE_CLASSES - 1)
    }

    fn learn(&mut self, class: usize, is_broken: bool, halving_interval: Duration) {
        let now = Instant::now();
        if now - *self.halved_at.get_or_insert(now) > halving_interval {
            for counts in &mut self.counts {
                counts.broken /= 2.0;
                counts.all /= 2.0;
            }
            self.halved_at = Some(now);
        }
        let counts = &mut self.counts[class];
        counts.broken += f64::from(u8::from(is_broken));
        counts.all += 1.0;
    }

    /// Returns the idle time after which connections are closed: the start of the first unsafe idle-time class, or
    /// `max_idle` if there is none.
    fn limit(&self, max_idle: Duration) -> Duration {
        let new = &self.counts[AGE_CLASSES];
        let usual_rate = new.broken / new.all.max(1.0);
        let is_unsafe = |c: &ExchangeCounts| {
            c.broken > MIN_BROKEN && c.broken / c.all > usual_rate + EXCESS_BROKEN_RATE
        };
        let first_unsafe = self.counts[..AGE_CLASSES].iter().position(is_unsafe);
        first_unsafe.map_or(max_idle, |class| max_idle / (1 << (AGE_CLASSES - class)))
    }
}

/// An idle connection.
struct IdleLink {
    peer: usize,
    link: Link,
    since: Instant,
}

/// The idle connections to all peers.
pub struct Pool {
    /// Number of connections established since the start.
    pub opened: Rc<Cell<u64>>,
    budget: Rc<Budget>,
    max_idle: Duration,
    statistics: RefCell<AgeStatistics>,
    /// Idle connections, the longest idle first.
    idle: RefCell<VecDeque<IdleLink>>,
}

impl Pool {
    /// Creates an empty pool. `max_idle` is the idle timeout of connections, well below the peers' own idle timeout.
    pub fn new(budget: Rc<Budget>, max_idle: Duration) -> Rc<Pool> {
        Rc::new(Pool {
            opened: Rc::default(),
            budget,
            max_idle,
            statistics: RefCell::default(),
            idle: RefCell::default(),
        })
    }

    /// Returns the most recently used connection to a peer, so that surplus connections age and are closed. `None` if
    /// the pool has no usable connection to the peer.
    pub fn acquire(&self, peer: usize) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let limit = self.idle_limit();
        while let Some(index) = idle.iter().rposition(|i| i.peer == peer) {
            let IdleLink {
                mut link, since, ..
            } = idle.remove(index)?;
            let age = since.elapsed();
            if age < limit && link.is_quiet() {
                link.idle = Some(age);
                return Some(link);
            }
        }
        None
    }

    fn idle_limit(&self) -> Duration {
        self.statistics.borrow().limit(self.max_idle)
    }

    /// Counts the result of an exchange. `idle` is the connection's idle time before it; `None` for a new connection.
    pub fn learn(&self, idle: Option<Duration>, is_broken: bool) {
        let class = idle.map_or(AGE_CLASSES, |idle| {
            AgeStatistics::class(self.max_idle, idle)
        });
        self.statistics
            .borrow_mut()
            .learn(class, is_broken, self.max_idle * HALVING_INTERVAL);
    }

    /// Returns a reusable connection to the pool.
    pub fn release(&self, peer: usize, link: Link) {
        self.idle.borrow_mut().push_back(IdleLink {
            peer,
            link,
            since: Instant::now(),
        });
    }

    /// Reserves a descriptor for a new connection. If none is available, the longest idle connection is closed.
    pub fn reserve_descriptor(&self) -> Option<Reservation> {
        self.budget.reserve().or_else(|| {
            drop(self.idle.borrow_mut().pop_front());
            self.budget.reserve()
        })
    }

    /// Closes the idle connections to a peer that has left or moved.
    pub fn close(&self, peer: usize) {
        self.idle.borrow_mut().retain(|i| i.peer != peer);
    }

    /// Closes connections at the end of their idle time, until the task ends. Guards against a write to a connection
    /// that the peer is about to close, which would end in a reset with an unknown result.
    pub async fn retire(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.max_idle / 8).await;
            let limit = self.idle_limit();
            self.idle
                .borrow_mut()
                .retain(|i| i.since.elapsed() < limit && i.link.is_quiet());
        }
    }
}
