//! The network in memory: the machines on it, the state of the links between them, listeners, connections.
//!
//! | fault | what connections see |
//! | --- | --- |
//! | partition, freeze, no power | nothing arrives, and bytes wait until it is over; an end with a user time-out gives up after [`USER_TIMEOUT`], and what a partition delayed then is lost |
//! | refusing partition | new connections are refused, bytes on established ones wait |
//! | no listener | new connections are refused |
//! | end of a process | the end of the stream, or a reset where bytes were unread or arrive later |
//! | loss of power | nothing; a reset once the machine has power again and receives bytes of an old connection |

mod connection;
pub mod interface;
pub mod socket;

use connection::{ConnectionState, Side};
use socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// An end with a user time-out gives up on bytes that are not acknowledged for so long, as with TCP_USER_TIMEOUT.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often acknowledgements are checked.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two SYN packets, and how many are sent before a connection attempt times out.
const SYN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_SYNS: u32 = 30;
/// Ports of dialing ends begin after this one.
const FIRST_PORT: u16 = 20_000;

/// A partition of the link between two machines, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Packets are lost.
    PacketsLost,
    /// Packets are lost, and connection attempts are refused.
    Refusing,
}

#[derive(Clone, Debug)]
struct Machine {
    zone: String,
    has_power: bool,
    is_frozen: bool,
    /// Counts losses of power: the machine does not know connections of an earlier cycle.
    power_cycles: u64,
}

/// A connection that was established, and the address that it comes from.
type Accepted = (Socket, SocketAddr);

#[derive(Default)]
struct State {
    machines: BTreeMap<IpAddr, Machine>,
    partitions: BTreeMap<(IpAddr, IpAddr), Partition>,
    listeners: BTreeMap<SocketAddr, mpsc::UnboundedSender<Accepted>>,
    connections: Vec<Weak<ConnectionState>>,
    last_port: u16,
}

/// The network between all machines of a simulation.
pub struct SimulatedNetwork {
    state: RefCell<State>,
    delay_in_zone: Duration,
    delay_across_zones: Duration,
    /// Bytes written, by machine and the machine that they are for.
    written: RefCell<BTreeMap<(IpAddr, IpAddr), u64>>,
    /// Bytes a second that each machine can send; `None`: without limit.
    pub send_rate: Cell<Option<u64>>,
    /// When each machine has sent what was written so far; only with a `send_rate`.
    busy_until: RefCell<BTreeMap<IpAddr, Instant>>,
}

impl SimulatedNetwork {
    /// A network without machines. Delays are one way, in whole ms, the resolution of the runtime's clock.
    pub fn new(delay_in_zone: Duration, delay_across_zones: Duration) -> Rc<SimulatedNetwork> {
        let network = Rc::new(SimulatedNetwork {
            state: RefCell::new(State {
                last_port: FIRST_PORT,
                ..State::default()
            }),
            delay_in_zone,
            delay_across_zones,
            written: RefCell::default(),
            send_rate: Cell::new(None),
            busy_until: RefCell::default(),
        });
        spawn_local(acknowledge_all(Rc::downgrade(&network)));
        network
    }

    /// Adds a machine with power.
    pub fn add(&self, ip: IpAddr, zone: &str) {
        let machine = Machine {
            zone: zone.to_owned(),
            has_power: true,
            is_frozen: false,
            power_cycles: 0,
        };
        self.state.borrow_mut().machines.insert(ip, machine);
    }

    fn change_machine(&self, ip: IpAddr, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.state.borrow_mut().machines.get_mut(&ip) {
            change(machine);
        }
        self.wake_all();
    }

    /// Switches a machine's power. Without power it sends nothing, and its connections are forgotten.
    pub fn power(&self, ip: IpAddr, on: bool) {
        if !on {
            for connection in self.connections() {
                connection.lose_power(ip, self);
            }
        }
        self.change_machine(ip, |machine| {
            machine.has_power = on;
            machine.power_cycles += u64::from(!on);
        });
    }

    /// Freezes a machine or lets it continue.
    pub fn freeze(&self, ip: IpAddr, is_frozen: bool) {
        self.change_machine(ip, |machine| machine.is_frozen = is_frozen);
    }

    /// Partitions one direction of a link; `None` repairs it.
    pub fn partition(&self, from: IpAddr, to: IpAddr, partition: Option<Partition>) {
        {
            let partitions = &mut self.state.borrow_mut().partitions;
            match partition {
                Some(partition) => partitions.insert((from, to), partition),
                None => partitions.remove(&(from, to)),
            };
        }
        self.wake_all();
    }

    /// Partitions both directions of a link; `None` repairs them.
    pub fn partition_both(&self, a: IpAddr, b: IpAddr, partition: Option<Partition>) {
        self.partition(a, b, partition);
        self.partition(b, a, partition);
    }

    /// Resets all connections of a machine, at both ends.
    pub fn reset(&self, ip: IpAddr) {
        for connection in self.connections() {
            if connection.involves(ip) {
                connection.reset();
            }
        }
    }

    fn connections(&self) -> Vec<Rc<ConnectionState>> {
        let state = self.state.borrow();
        state.connections.iter().filter_map(Weak::upgrade).collect()
    }

    fn wake_all(&self) {
        for connection in self.connections() {
            connection.wake();
        }
    }

    /// One-way delay between two machines.
    pub fn delay(&self, a: IpAddr, b: IpAddr) -> Duration {
        let state = self.state.borrow();
        let zone = |ip| state.machines.get(ip).map(|machine| machine.zone.as_str());
        if zone(&a) == zone(&b) {
            self.delay_in_zone
        } else {
            self.delay_across_zones
        }
    }

    /// Whether a packet gets from one machine to the other now.
    pub fn reaches(&self, from: IpAddr, to: IpAddr) -> bool {
        let state = self.state.borrow();
        let runs = |ip| {
            let machine = state.machines.get(ip);
            machine.is_some_and(|machine| machine.has_power && !machine.is_frozen)
        };
        runs(&from) && runs(&to) && !state.partitions.contains_key(&(from, to))
    }

    /// How often a machine has lost power.
    pub fn power_cycles(&self, ip: IpAddr) -> u64 {
        let state = self.state.borrow();
        state.machines.get(&ip).map_or(0, |m| m.power_cycles)
    }

    /// Whether a machine has power.
    pub fn has_power(&self, ip: IpAddr) -> bool {
        let state = self.state.borrow();
        state.machines.get(&ip).is_some_and(|m| m.has_power)
    }

    /// Whether the link from one machine to the other is partitioned.
    pub fn is_partitioned(&self, from: IpAddr, to: IpAddr) -> bool {
        self.state.borrow().partitions.contains_key(&(from, to))
    }

    fn refuses(&self, from: IpAddr, to: IpAddr) -> bool {
        self.state.borrow().partitions.get(&(from, to)) == Some(&Partition::Refusing)
    }

    /// Establishes a connection, however long that takes, up to [`MAX_SYNS`] attempts.
    pub(crate) async fn dial(
        self: &Rc<Self>,
        from: IpAddr,
        to: SocketAddr,
        has_user_timeout: bool,
    ) -> io::Result<Socket> {
        for _ in 0..MAX_SYNS {
            if self.refuses(from, to.ip()) {
                sleep(self.delay(from, to.ip())).await;
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if self.reaches(from, to.ip()) && self.reaches(to.ip(), from) {
                return self.establish(from, to, has_user_timeout).await;
            }
            sleep(SYN_INTERVAL).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    async fn establish(
        self: &Rc<Self>,
        from: IpAddr,
        to: SocketAddr,
        has_user_timeout: bool,
    ) -> io::Result<Socket> {
        let delay = self.delay(from, to.ip());
        sleep(delay).await;
        let listener = self.state.borrow().listeners.get(&to).cloned();
        let listener = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
        let own = SocketAddr::new(from, self.next_port());
        let connection = ConnectionState::new([own, to], self);
        self.state
            .borrow_mut()
            .connections
            .push(Rc::downgrade(&connection));
        let accepted = Socket::new(connection.clone(), Side::Accepted, self.clone(), true);
        let dialed = Socket::new(connection, Side::Dialed, self.clone(), has_user_timeout);
        if listener.send((accepted, own)).is_err() {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        sleep(delay).await;
        Ok(dialed)
    }

    fn next_port(&self) -> u16 {
        let last_port = &mut self.state.borrow_mut().last_port;
        *last_port = last_port.checked_add(1).unwrap_or(FIRST_PORT);
        *last_port
    }

    /// When so many bytes that are written now have left a machine, which sends in the order of writing.
    fn transmitted_at(&self, from: IpAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let Some(rate) = self.send_rate.get() else {
            return now;
        };
        let mut busy_until = self.busy_until.borrow_mut();
        let busy_until = busy_until.entry(from).or_insert(now);
        let duration = Duration::from_secs_f64(bytes as f64 / rate as f64);
        *busy_until = (*busy_until).max(now) + duration;
        *busy_until
    }

    fn count_written(&self, from: IpAddr, to: IpAddr, bytes: usize) {
        *self.written.borrow_mut().entry((from, to)).or_default() += bytes as u64;
    }

    /// Bytes that a machine wrote to another one so far, on all connections.
    pub fn written(&self, from: IpAddr, to: IpAddr) -> u64 {
        self.written.borrow().get(&(from, to)).copied().unwrap_or(0)
    }

    fn open(&self, address: SocketAddr) -> io::Result<mpsc::UnboundedReceiver<Accepted>> {
        let listeners = &mut self.state.borrow_mut().listeners;
        if listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (sender, accepted) = mpsc::unbounded_channel();
        listeners.insert(address, sender);
        Ok(accepted)
    }

    fn close(&self, address: SocketAddr) {
        let listener = self.state.borrow_mut().listeners.remove(&address);
        // Connections that nobody accepted are closed with it, which borrows the state.
        drop(listener);
    }
}

/// Acknowledges what arrived on all connections, for as long as the network exists, and forgets closed connections.
async fn acknowledge_all(network: Weak<SimulatedNetwork>) {
    loop {
        sleep(ACKNOWLEDGE_INTERVAL).await;
        let Some(network) = network.upgrade() else {
            return;
        };
        let connections = network.connections();
        let now = Instant::now();
        for connection in &connections {
            connection.acknowledge(&network, now);
        }
        network
            .state
            .borrow_mut()
            .connections
            .retain(|connection| connection.strong_count() > 0);
    }
}
