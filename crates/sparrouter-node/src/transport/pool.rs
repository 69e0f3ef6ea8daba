//! Idle links to all peers, under one bound on descriptors.
use super::budget::{DescriptorBudget, Reservation};
use super::link::Link;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// So many ages of idle links are told apart, each reaching twice as far as the one before.
const AGES: usize = 8;
/// Exchanges of one age that broke, and the part of all beyond that of new links, that speak against it.
const BROKE: (f64, f64) = (2.0, 0.1);
/// What was learnt fades by half in so many of the longest idle times.
const MEMORY: u32 = 10;

/// How exchanges ended by how long their link had stood idle; the last place is for new links. Guards
/// against writing into links that something on the way, or the other side, dropped long before the
/// stated time, without a word: each such write ends as a reset, which may have run.
#[derive(Default)]
struct Ages {
    ended: [(f64, f64); AGES + 1],
    halved: Option<Instant>,
}

impl Ages {
    fn place(longest: Duration, idle: Duration) -> usize {
        (0..AGES - 1)
            .find(|n| idle <= longest / (1 << (AGES - 1 - n)))
            .unwrap_or(AGES - 1)
    }
    fn learn(&mut self, place: usize, broke: bool, memory: Duration) {
        let now = Instant::now();
        if now - *self.halved.get_or_insert(now) > memory {
            self.ended
                .iter_mut()
                .for_each(|e| *e = (e.0 / 2.0, e.1 / 2.0));
            self.halved = Some(now);
        }
        let ended = &mut self.ended[place];
        *ended = (ended.0 + f64::from(u8::from(broke)), ended.1 + 1.0);
    }
    /// So long a link may stand idle.
    fn limit(&self, longest: Duration) -> Duration {
        let usual = self.ended[AGES].0 / self.ended[AGES].1.max(1.0);
        let bad = |e: &(f64, f64)| e.0 > BROKE.0 && e.0 / e.1 > usual + BROKE.1;
        let first = self.ended[..AGES].iter().position(bad);
        first.map_or(longest, |n| longest / (1 << (AGES - n)))
    }
}

pub struct Pool {
    /// Links that came up since the start.
    pub opened: Rc<Cell<u64>>,
    share: Rc<DescriptorBudget>,
    longest: Duration,
    ages: RefCell<Ages>,
    /// By time since they were last used, the longest idle first.
    idle: RefCell<VecDeque<(usize, Link, Instant)>>,
}

impl Pool {
    /// `longest`: how long a link may stand idle, well before the other side would close it.
    pub fn new(share: Rc<DescriptorBudget>, longest: Duration) -> Rc<Pool> {
        let (opened, ages, idle) = (Rc::default(), RefCell::default(), RefCell::default());
        Rc::new(Pool {
            opened,
            share,
            longest,
            ages,
            idle,
        })
    }

    /// The link last used, so that those not needed grow old together.
    pub fn take(&self, peer: usize) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let limit = self.limit();
        while let Some(at) = idle.iter().rposition(|(p, ..)| *p == peer) {
            let (_, mut link, since) = idle.remove(at)?;
            let age = since.elapsed();
            if age < limit && link.is_quiet() {
                link.idle = Some(age);
                return Some(link);
            }
        }
        None
    }
    fn limit(&self) -> Duration {
        self.ages.borrow().limit(self.longest)
    }
    /// An exchange on a link that had stood idle so long, or on a new one, ended or `broke`.
    pub fn learn(&self, idle: Option<Duration>, broke: bool) {
        let place = idle.map_or(AGES, |idle| Ages::place(self.longest, idle));
        self.ages
            .borrow_mut()
            .learn(place, broke, self.longest * MEMORY);
    }
    pub fn put(&self, peer: usize, link: Link) {
        self.idle
            .borrow_mut()
            .push_back((peer, link, Instant::now()));
    }
    /// BodyMemory for a new link; the longest idle one makes it where there is none.
    pub fn reserve_descriptor(&self) -> Option<Reservation> {
        self.share.take().or_else(|| {
            drop(self.idle.borrow_mut().pop_front());
            self.share.take()
        })
    }
    /// Closes those of a peer that is gone or has moved.
    pub fn close(&self, peer: usize) {
        self.idle.borrow_mut().retain(|(p, ..)| *p != peer);
    }
    /// Guards against writing into a connection that the other side is about to close: that would end
    /// as a reset, which may have run.
    pub async fn retire(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.longest / 8).await;
            let limit = self.limit();
            self.idle
                .borrow_mut()
                .retain(|(_, link, since)| since.elapsed() < limit && link.is_quiet());
        }
    }
}
