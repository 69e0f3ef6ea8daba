//! The network in memory: which machines are there, what lies between them, connections as bytes with their times.
//!
//! | trouble | what connections see |
//! | --- | --- |
//! | cut, frozen, no power | silence: bytes wait until it is over; a hasty end gives up after `UNACKNOWLEDGED`, and what a cut held up then is lost |
//! | refusing cut | new connections are refused, bytes on old ones wait |
//! | no door | refused |
//! | process ended | an end of stream, or a reset where bytes were unread or come later |
//! | power lost | nothing; a reset once the machine is there again and hears of the old connection |
pub mod connection;
pub mod interface;

use crate::network::connection::{ConnectionState, End};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// A hasty end gives up on bytes that are not acknowledged for so long, as TCP_USER_TIMEOUT has it.
pub const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// A connection that nobody answers is tried again after so long, and given up after so many tries.
const SYN_AGAIN: Duration = Duration::from_secs(1);
const SYN_TRIES: u32 = 30;

/// What lies between two machines, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    PacketsLost,
    Refusing,
}

#[derive(Clone, Debug)]
struct Place {
    zone: String,
    power: bool,
    frozen: bool,
    /// Counts losses of power: connections of an earlier one are unknown to the machine.
    generation: u64,
}

type Listeners = BTreeMap<SocketAddr, mpsc::UnboundedSender<(End, SocketAddr)>>;

struct Inner {
    indices: BTreeMap<IpAddr, Place>,
    cuts: BTreeMap<(IpAddr, IpAddr), Partition>,
    listeners: Listeners,
    lines: Vec<Weak<ConnectionState>>,
    next_port: u16,
}

pub struct SimulatedNetwork {
    inner: RefCell<Inner>,
    pub rng: RefCell<Rng>,
    in_zone: Duration,
    across: Duration,
    /// Bytes written, by machine and the machine that they are for.
    written: RefCell<BTreeMap<(IpAddr, IpAddr), u64>>,
    /// Bytes a second of each machine's line out; `None`: as many as there are.
    pub line_rate: Cell<Option<u64>>,
    /// When each machine's line out has sent what was written so far.
    line_free: RefCell<BTreeMap<IpAddr, Instant>>,
}

impl SimulatedNetwork {
    /// `in_zone`, `across`: one way, in whole ms, as the clock of the runtime knows nothing finer.
    pub fn new(rng: Rng, in_zone: Duration, across: Duration) -> Rc<SimulatedNetwork> {
        let inner = Inner {
            indices: BTreeMap::new(),
            cuts: BTreeMap::new(),
            listeners: BTreeMap::new(),
            lines: Vec::new(),
            next_port: 20_000,
        };
        let network = Rc::new(SimulatedNetwork {
            inner: RefCell::new(inner),
            rng: RefCell::new(rng),
            in_zone,
            across,
            written: RefCell::default(),
            line_rate: Cell::new(None),
            line_free: RefCell::default(),
        });
        spawn_local(look(Rc::downgrade(&network)));
        network
    }

    pub fn add(&self, ip: IpAddr, zone: &str) {
        let index = Place {
            zone: zone.to_owned(),
            power: true,
            frozen: false,
            generation: 0,
        };
        self.inner.borrow_mut().indices.insert(ip, index);
    }

    fn change(&self, ip: IpAddr, change: impl FnOnce(&mut Place)) {
        if let Some(index) = self.inner.borrow_mut().indices.get_mut(&ip) {
            change(index);
        }
        self.wake_all();
    }

    /// Without power a machine says nothing more; its connections are forgotten.
    pub fn power(&self, ip: IpAddr, on: bool) {
        if !on {
            self.lines().iter().for_each(|l| l.vanish(ip, self));
        }
        self.change(ip, |index| {
            index.power = on;
            index.generation += u64::from(!on);
        });
    }

    pub fn freeze(&self, ip: IpAddr, frozen: bool) {
        self.change(ip, |index| index.frozen = frozen);
    }

    /// One direction; `None` joins them again.
    pub fn cut(&self, from: IpAddr, to: IpAddr, cut: Option<Partition>) {
        {
            let mut inner = self.inner.borrow_mut();
            match cut {
                Some(cut) => drop(inner.cuts.insert((from, to), cut)),
                None => drop(inner.cuts.remove(&(from, to))),
            }
        }
        self.wake_all();
    }

    pub fn partition_both(&self, a: IpAddr, b: IpAddr, cut: Option<Partition>) {
        self.cut(a, b, cut);
        self.cut(b, a, cut);
    }

    /// All connections of a machine are reset at both ends.
    pub fn reset(&self, ip: IpAddr) {
        self.lines()
            .iter()
            .filter(|l| l.touches(ip))
            .for_each(|l| l.reset());
    }

    fn lines(&self) -> Vec<Rc<ConnectionState>> {
        self.inner
            .borrow()
            .lines
            .iter()
            .filter_map(Weak::upgrade)
            .collect()
    }

    fn wake_all(&self) {
        self.lines().iter().for_each(|l| l.wake());
    }

    pub fn delay(&self, a: IpAddr, b: IpAddr) -> Duration {
        let inner = self.inner.borrow();
        let zone = |ip| inner.indices.get(ip).map(|p| p.zone.as_str());
        if zone(&a) == zone(&b) {
            self.in_zone
        } else {
            self.across
        }
    }

    /// Whether a word gets from one to the other now.
    pub fn reaches(&self, from: IpAddr, to: IpAddr) -> bool {
        let inner = self.inner.borrow();
        let up = |ip| inner.indices.get(ip).is_some_and(|p| p.power && !p.frozen);
        up(&from) && up(&to) && !inner.cuts.contains_key(&(from, to))
    }

    pub fn generation(&self, ip: IpAddr) -> u64 {
        self.inner
            .borrow()
            .indices
            .get(&ip)
            .map_or(0, |p| p.generation)
    }

    pub fn powered(&self, ip: IpAddr) -> bool {
        self.inner
            .borrow()
            .indices
            .get(&ip)
            .is_some_and(|p| p.power)
    }

    /// Whether the way from one to the other is cut.
    pub fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        self.inner.borrow().cuts.contains_key(&(from, to))
    }

    fn refuses(&self, from: IpAddr, to: IpAddr) -> bool {
        self.inner.borrow().cuts.get(&(from, to)) == Some(&Partition::Refusing)
    }

    pub(crate) async fn dial(
        self: &Rc<Self>,
        from: IpAddr,
        to: SocketAddr,
        hasty: bool,
    ) -> io::Result<End> {
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        for _ in 0..SYN_TRIES {
            if self.refuses(from, to.ip()) {
                sleep(self.delay(from, to.ip())).await;
                return Err(refused());
            }
            if self.reaches(from, to.ip()) && self.reaches(to.ip(), from) {
                sleep(self.delay(from, to.ip())).await;
                let listener = self.inner.borrow().listeners.get(&to).cloned();
                let Some(listener) = listener else {
                    return Err(refused());
                };
                let port = {
                    let mut inner = self.inner.borrow_mut();
                    inner.next_port = inner.next_port.checked_add(1).unwrap_or(20_000);
                    inner.next_port
                };
                let own = SocketAddr::new(from, port);
                let line = ConnectionState::new([own, to], self);
                self.inner.borrow_mut().lines.push(Rc::downgrade(&line));
                let far = End::new(line.clone(), 1, self.clone(), true);
                let near = End::new(line, 0, self.clone(), hasty);
                if listener.send((far, own)).is_err() {
                    return Err(refused());
                }
                sleep(self.delay(from, to.ip())).await;
                return Ok(near);
            }
            sleep(SYN_AGAIN).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// When so many bytes that are written now have left a machine: its line sends what was written first, first.
    pub(crate) fn leave_at(&self, from: IpAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let Some(rate) = self.line_rate.get() else {
            return now;
        };
        let mut lines = self.line_free.borrow_mut();
        let free = lines.entry(from).or_insert(now);
        *free = (*free).max(now) + Duration::from_secs_f64(bytes as f64 / rate as f64);
        *free
    }

    pub(crate) fn count_written(&self, from: IpAddr, to: IpAddr, bytes: usize) {
        *self.written.borrow_mut().entry((from, to)).or_default() += bytes as u64;
    }

    /// Bytes that a machine wrote to another one so far, on all connections.
    pub fn written(&self, from: IpAddr, to: IpAddr) -> u64 {
        self.written.borrow().get(&(from, to)).copied().unwrap_or(0)
    }

    pub(crate) fn open(
        &self,
        at: SocketAddr,
    ) -> io::Result<mpsc::UnboundedReceiver<(End, SocketAddr)>> {
        let mut inner = self.inner.borrow_mut();
        if inner.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (give, take) = mpsc::unbounded_channel();
        inner.listeners.insert(at, give);
        Ok(take)
    }

    pub(crate) fn close(&self, at: SocketAddr) {
        let listener = self.inner.borrow_mut().listeners.remove(&at);
        drop(listener);
    }
}

/// Ends that wait in vain give up; lines that both ends have left are forgotten.
async fn look(network: Weak<SimulatedNetwork>) {
    loop {
        sleep(LOOK).await;
        let Some(network) = network.upgrade() else {
            return;
        };
        let lines = network.lines();
        let now = Instant::now();
        lines.iter().for_each(|l| l.look(&network, now));
        network
            .inner
            .borrow_mut()
            .lines
            .retain(|l| l.strong_count() > 0);
    }
}
