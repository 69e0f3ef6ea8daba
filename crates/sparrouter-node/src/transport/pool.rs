//! Idle connections to all peers, under one budget of descriptors.
use super::budget::{Budget, Reservation};
use super::link::Link;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Ages of idle connections that are counted apart, each twice as long as the one before.
const AGE_CLASSES: usize = 8;
/// More exchanges than this of one age have to break before they count against it.
const MIN_BROKEN: f64 = 2.0;
/// They count against it where their rate is higher than that of new connections by more than this.
const EXCESS_BROKEN_RATE: f64 = 0.1;
/// The counts are halved each time that so many of the longest idle times have passed.
const HALVING_INTERVAL: u32 = 10;

/// Exchanges on connections of one age; halved with time.
#[derive(Clone, Copy, Default)]
struct ExchangeCounts {
    broken: f64,
    all: f64,
}

/// How exchanges ended by how long their connection had stood idle; the last entry is for new connections.
///
/// Guards against writing into connections that a middlebox, or the other side, dropped silently long before the stated
/// time: each such write ends as a reset, which may have run.
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

    /// How long a connection may stand idle.
    fn limit(&self, max_idle: Duration) -> Duration {
        let new = &self.counts[AGE_CLASSES];
        let usual_rate = new.broken / new.all.max(1.0);
        let is_bad = |c: &ExchangeCounts| {
            c.broken > MIN_BROKEN && c.broken / c.all > usual_rate + EXCESS_BROKEN_RATE
        };
        let first_bad = self.counts[..AGE_CLASSES].iter().position(is_bad);
        first_bad.map_or(max_idle, |class| max_idle / (1 << (AGE_CLASSES - class)))
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
    /// Connections established since the start.
    pub opened: Rc<Cell<u64>>,
    budget: Rc<Budget>,
    max_idle: Duration,
    statistics: RefCell<AgeStatistics>,
    /// By time since they were last used, the longest idle first.
    idle: RefCell<VecDeque<IdleLink>>,
}

impl Pool {
    /// `max_idle`: how long a connection may stand idle, well before the other side would close it.
    pub fn new(budget: Rc<Budget>, max_idle: Duration) -> Rc<Pool> {
        Rc::new(Pool {
            opened: Rc::default(),
            budget,
            max_idle,
            statistics: RefCell::default(),
            idle: RefCell::default(),
        })
    }

    /// The connection to a peer that was used last, so that those not needed grow old together.
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

    /// Counts how an exchange ended on a connection that had stood idle so long, or on a new one.
    pub fn learn(&self, idle: Option<Duration>, is_broken: bool) {
        let class = idle.map_or(AGE_CLASSES, |idle| {
            AgeStatistics::class(self.max_idle, idle)
        });
        self.statistics
            .borrow_mut()
            .learn(class, is_broken, self.max_idle * HALVING_INTERVAL);
    }

    /// Takes a connection back that can carry another exchange.
    pub fn release(&self, peer: usize, link: Link) {
        self.idle.borrow_mut().push_back(IdleLink {
            peer,
            link,
            since: Instant::now(),
        });
    }

    /// A descriptor for a new connection; the longest idle connection is closed where there is none.
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

    /// Closes old connections, for good. Guards against writing into a connection that the other side is about to
    /// close: that would end as a reset, which may have run.
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
