//! The state of one connection: what is in flight in each direction, and what the systems of its two machines know of it.

use super::{SimulatedNetwork, USER_TIMEOUT};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// Bytes that may be in flight or unread in one direction: a peer that does not read stops the writer.
const WINDOW: usize = 256 << 10;

#[derive(Debug)]
pub(super) enum Payload {
    Bytes(Bytes),
    /// The sender writes nothing more.
    Fin,
    Reset,
}

#[derive(Debug)]
struct Segment {
    arrives_at: Instant,
    payload: Payload,
}

/// Which end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Dialed,
    Accepted,
}

impl Side {
    const BOTH: [Side; 2] = [Side::Dialed, Side::Accepted];

    fn peer(self) -> Side {
        match self {
            Side::Dialed => Side::Accepted,
            Side::Accepted => Side::Dialed,
        }
    }
}

/// One end, as its machine's system knows it.
#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    /// Power cycles of the machine when the connection was established.
    power_cycles: u64,
    /// A process has the socket open.
    is_open: bool,
    /// It disappeared without a message to the peer.
    is_gone: bool,
    fin_sent: bool,
    fin_received: bool,
    /// It gives up on bytes that are not acknowledged within [`USER_TIMEOUT`].
    has_user_timeout: bool,
    /// Segments to this end, in the order of their arrival.
    in_flight: VecDeque<Segment>,
    /// Bytes that arrived.
    unread: BytesMut,
    error: Option<ErrorKind>,
    /// Since when bytes that were written wait for their acknowledgement.
    unacknowledged_since: Option<Instant>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Endpoint {
    fn new(address: SocketAddr, power_cycles: u64) -> Endpoint {
        Endpoint {
            address,
            power_cycles,
            is_open: true,
            is_gone: false,
            fin_sent: false,
            fin_received: false,
            has_user_timeout: false,
            in_flight: VecDeque::new(),
            unread: BytesMut::new(),
            error: None,
            unacknowledged_since: None,
            reader: None,
            writer: None,
        }
    }

    fn ip(&self) -> IpAddr {
        self.address.ip()
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn wake_writer(&mut self) {
        if let Some(writer) = self.writer.take() {
            writer.wake();
        }
    }

    fn wake(&mut self) {
        self.wake_reader();
        self.wake_writer();
    }

    /// Bytes that occupy the window toward this end.
    fn pending_bytes(&self) -> usize {
        let in_flight = self.in_flight.iter().map(|segment| match &segment.payload {
            Payload::Bytes(bytes) => bytes.len(),
            Payload::Fin | Payload::Reset => 0,
        });
        self.unread.len() + in_flight.sum::<usize>()
    }

    fn fail(&mut self, kind: ErrorKind) {
        self.error.get_or_insert(kind);
        self.wake();
    }

    fn reset_is_in_flight(&self) -> bool {
        self.in_flight
            .iter()
            .any(|segment| matches!(segment.payload, Payload::Reset))
    }
}

/// A write that the window admits.
pub(super) struct AdmittedWrite {
    /// Bytes that are written.
    pub length: usize,
    /// No process has the other end open: its machine answers with a reset.
    pub is_answered_by_reset: bool,
    pub from: IpAddr,
    pub to: IpAddr,
}

/// A connection between two machines.
#[derive(Debug)]
pub(crate) struct ConnectionState([RefCell<Endpoint>; 2]);

impl ConnectionState {
    pub(super) fn new(addresses: [SocketAddr; 2], network: &SimulatedNetwork) -> Rc<Self> {
        let endpoint = |address: SocketAddr| {
            RefCell::new(Endpoint::new(address, network.power_cycles(address.ip())))
        };
        Rc::new(ConnectionState(addresses.map(endpoint)))
    }

    fn end(&self, side: Side) -> &RefCell<Endpoint> {
        &self.0[side as usize]
    }

    pub(super) fn ip(&self, side: Side) -> IpAddr {
        self.end(side).borrow().ip()
    }

    pub(super) fn set_user_timeout(&self, side: Side, has_user_timeout: bool) {
        self.end(side).borrow_mut().has_user_timeout = has_user_timeout;
    }

    pub(super) fn involves(&self, ip: IpAddr) -> bool {
        Side::BOTH.iter().any(|side| self.ip(*side) == ip)
    }

    pub(super) fn wake(&self) {
        for side in Side::BOTH {
            self.end(side).borrow_mut().wake();
        }
    }

    /// Resets both ends.
    pub(super) fn reset(&self) {
        for side in Side::BOTH {
            self.end(side).borrow_mut().fail(ErrorKind::ConnectionReset);
        }
    }

    /// Spoils what the process of this end has not read, so that closing the socket sends a reset.
    pub(super) fn leave_unread(&self, side: Side) {
        self.end(side).borrow_mut().unread.extend_from_slice(b"!");
    }

    /// The machine loses power: its end disappears without a message, and what a partition delays of its bytes is lost.
    pub(super) fn lose_power(&self, ip: IpAddr, network: &SimulatedNetwork) {
        for side in Side::BOTH {
            if self.ip(side) != ip {
                continue;
            }
            self.end(side).borrow_mut().is_gone = true;
            if !network.reaches(ip, self.ip(side.peer())) {
                self.end(side.peer()).borrow_mut().in_flight.clear();
            }
        }
    }

    /// Acknowledges what has arrived; an end whose bytes wait for longer than its time-out gives up.
    pub(super) fn acknowledge(&self, network: &SimulatedNetwork, now: Instant) {
        for side in Side::BOTH {
            let mut own = self.end(side).borrow_mut();
            let mut peer = self.end(side.peer()).borrow_mut();
            let is_linked =
                network.reaches(own.ip(), peer.ip()) && network.reaches(peer.ip(), own.ip());
            let waits_too_long = own
                .unacknowledged_since
                .is_some_and(|since| now - since >= USER_TIMEOUT);
            if is_linked && !peer.is_gone {
                own.unacknowledged_since = None;
            } else if own.has_user_timeout && waits_too_long {
                own.is_gone = true;
                own.fail(ErrorKind::TimedOut);
                // Nobody sends again what a partition delayed, so it never arrives.
                if network.is_partitioned(own.ip(), peer.ip()) {
                    peer.in_flight.clear();
                }
            }
        }
    }

    /// Puts a segment in flight to the peer of `from`, behind those that are in flight.
    pub(super) fn send(&self, from: Side, payload: Payload, network: &SimulatedNetwork) {
        let own_ip = self.ip(from);
        let mut peer = self.end(from.peer()).borrow_mut();
        let sent_at = match &payload {
            Payload::Bytes(bytes) => network.transmitted_at(own_ip, bytes.len()),
            Payload::Fin | Payload::Reset => Instant::now(),
        };
        let arrives_at = sent_at + network.delay(own_ip, peer.ip());
        let last = peer.in_flight.back().map(|segment| segment.arrives_at);
        let arrives_at = last.map_or(arrives_at, |last| arrives_at.max(last));
        peer.in_flight.push_back(Segment {
            arrives_at,
            payload,
        });
        peer.wake_reader();
    }

    /// Delivers the segments whose time has come, if the link lets them through.
    pub(super) fn deliver(&self, side: Side, network: &SimulatedNetwork) {
        let mut own = self.end(side).borrow_mut();
        let peer = self.end(side.peer()).borrow();
        // What was in flight when the sender disappeared is not delayed by that.
        let is_linked =
            network.reaches(peer.ip(), own.ip()) || (peer.is_gone && network.has_power(own.ip()));
        let now = Instant::now();
        while is_linked && let Some(segment) = own.in_flight.pop_front_if(|s| s.arrives_at <= now) {
            match segment.payload {
                Payload::Bytes(bytes) => own.unread.extend_from_slice(&bytes),
                Payload::Fin => own.fin_received = true,
                Payload::Reset => own.error = Some(ErrorKind::ConnectionReset),
            }
        }
    }

    /// Bytes, the end of the stream (0) or an error, if the end has any of these now.
    pub(super) fn read(
        &self,
        side: Side,
        buffer: &mut [u8],
        network: &SimulatedNetwork,
    ) -> Option<io::Result<usize>> {
        self.deliver(side, network);
        let mut own = self.end(side).borrow_mut();
        if !own.unread.is_empty() {
            let length = own.unread.len().min(buffer.len());
            buffer[..length].copy_from_slice(&own.unread[..length]);
            own.unread.advance(length);
            self.end(side.peer()).borrow_mut().wake_writer();
            return Some(Ok(length));
        }
        if let Some(kind) = own.error {
            return Some(Err(kind.into()));
        }
        own.fin_received.then_some(Ok(0))
    }

    /// Registers a reader. Returns when the next segment arrives, if that is in the future. A segment whose time is over
    /// waits for the link, and whoever repairs that wakes all connections.
    pub(super) fn wait_for_segment(&self, side: Side, context: &Context) -> Option<Instant> {
        let mut own = self.end(side).borrow_mut();
        own.reader = Some(context.waker().clone());
        let next = own.in_flight.front()?.arrives_at;
        (next > Instant::now()).then_some(next)
    }

    /// Admits a write of up to `wanted` bytes, or registers the writer until the window opens.
    pub(super) fn admit_write(
        &self,
        side: Side,
        wanted: usize,
        network: &SimulatedNetwork,
        context: &Context,
    ) -> Poll<io::Result<AdmittedWrite>> {
        let mut own = self.end(side).borrow_mut();
        let peer = self.end(side.peer()).borrow();
        if let Some(kind) = own.error {
            return Poll::Ready(Err(kind.into()));
        }
        if own.fin_sent {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let window = WINDOW.saturating_sub(peer.pending_bytes());
        // The window does not open once its reader has gone: a writer of more waits for the reset that is in flight.
        let waits_for_reset = own.reset_is_in_flight() && window < wanted;
        if (window == 0 && peer.is_open) || waits_for_reset {
            own.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        own.unacknowledged_since.get_or_insert_with(Instant::now);
        let is_closed = !peer.is_open && !peer.is_gone;
        // A machine that lost power since does not know the connection.
        let is_unknown = peer.is_gone
            && network.power_cycles(peer.ip()) != peer.power_cycles
            && network.has_power(peer.ip());
        Poll::Ready(Ok(AdmittedWrite {
            length: if window == 0 {
                wanted
            } else {
                wanted.min(window)
            },
            is_answered_by_reset: is_closed || is_unknown,
            from: own.ip(),
            to: peer.ip(),
        }))
    }

    /// Puts bytes in flight, or the reset that answers them.
    pub(super) fn write(
        &self,
        side: Side,
        admitted: &AdmittedWrite,
        bytes: &[u8],
        network: &SimulatedNetwork,
    ) {
        if admitted.is_answered_by_reset {
            self.send(side.peer(), Payload::Reset, network);
            return;
        }
        let bytes = Bytes::copy_from_slice(&bytes[..admitted.length]);
        self.send(side, Payload::Bytes(bytes), network);
    }

    /// Signals to the peer that nothing more is written; a second call does nothing.
    pub(super) fn shut_down(&self, side: Side, network: &SimulatedNetwork) {
        let was_sent = std::mem::replace(&mut self.end(side).borrow_mut().fin_sent, true);
        if !was_sent {
            self.send(side, Payload::Fin, network);
        }
    }

    /// The process closes its socket: with a reset if there are unread bytes.
    pub(super) fn close(&self, side: Side, network: &SimulatedNetwork) {
        if network.has_power(self.ip(side)) {
            self.deliver(side, network);
        }
        if let Some(last) = self.last_segment(side) {
            let is_linked = network.reaches(self.ip(side), self.ip(side.peer()));
            if !is_linked && matches!(last, Payload::Reset) {
                // What the partition delays is lost with the reset of its sender.
                self.end(side.peer()).borrow_mut().in_flight.clear();
            }
            self.send(side, last, network);
        }
        self.wake();
    }

    /// Marks an end as closed. Returns what its system sends to the peer.
    fn last_segment(&self, side: Side) -> Option<Payload> {
        let mut own = self.end(side).borrow_mut();
        own.is_open = false;
        if own.is_gone {
            return None;
        }
        if !own.unread.is_empty() {
            return Some(Payload::Reset);
        }
        (!own.fin_sent).then_some(Payload::Fin)
    }
}
