//! One connection: what is on its way in each direction, and the two ends that processes hold.
use crate::network::{SimulatedNetwork, UNACKNOWLEDGED};
use bytes::{Buf, Bytes, BytesMut};
use sparrouter_fleet::platform::net::Connection;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Bytes that may be on their way or unread in one direction: a peer that does not read holds the writer up.
const WINDOW: usize = 256 << 10;

enum What {
    Bytes(Bytes),
    /// Nothing more comes.
    Over,
    Reset,
}

struct Segment {
    due: Instant,
    what: What,
}

/// One end as its machine's system knows it.
struct Side {
    address: SocketAddr,
    /// Of the machine's power when the connection came up.
    generation: u64,
    /// A process holds it.
    held: bool,
    /// It went without a word.
    vanished: bool,
    said_over: bool,
    hasty: bool,
    coming: VecDeque<Segment>,
    unread: BytesMut,
    over: bool,
    broken: Option<ErrorKind>,
    /// Since when bytes that were written wait for their acknowledgement.
    unacknowledged: Option<Instant>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Side {
    fn wake(&mut self) {
        self.reader
            .take()
            .into_iter()
            .chain(self.writer.take())
            .for_each(Waker::wake);
    }

    fn pending(&self) -> usize {
        let coming = self.coming.iter().map(|p| {
            if let What::Bytes(b) = &p.what {
                b.len()
            } else {
                0
            }
        });
        self.unread.len() + coming.sum::<usize>()
    }

    fn break_off(&mut self, kind: ErrorKind) {
        self.broken.get_or_insert(kind);
        self.wake();
    }
}

pub struct ConnectionState(RefCell<[Side; 2]>);

impl ConnectionState {
    pub(crate) fn new(
        addresses: [SocketAddr; 2],
        network: &SimulatedNetwork,
    ) -> Rc<ConnectionState> {
        let side = |address: SocketAddr| Side {
            address,
            generation: network.generation(address.ip()),
            held: true,
            vanished: false,
            said_over: false,
            hasty: false,
            coming: VecDeque::new(),
            unread: BytesMut::new(),
            over: false,
            broken: None,
            unacknowledged: None,
            reader: None,
            writer: None,
        };
        Rc::new(ConnectionState(RefCell::new(addresses.map(side))))
    }

    pub(crate) fn touches(&self, ip: IpAddr) -> bool {
        self.0.borrow().iter().any(|s| s.address.ip() == ip)
    }

    pub(crate) fn wake(&self) {
        self.0.borrow_mut().iter_mut().for_each(Side::wake);
    }

    pub(crate) fn reset(&self) {
        self.0
            .borrow_mut()
            .iter_mut()
            .for_each(|s| s.break_off(ErrorKind::ConnectionReset));
    }

    /// The machine loses power: its end is gone without a word, and what a cut holds up of its bytes is lost.
    pub(crate) fn vanish(&self, ip: IpAddr, network: &SimulatedNetwork) {
        let sides = &mut *self.0.borrow_mut();
        for from in 0..2 {
            if sides[from].address.ip() == ip {
                sides[from].vanished = true;
                let to = sides[1 - from].address.ip();
                if !network.reaches(ip, to) {
                    sides[1 - from].coming.clear();
                }
            }
        }
    }

    /// Acknowledges what has arrived; a hasty end whose bytes wait too long gives up.
    pub(crate) fn look(&self, network: &SimulatedNetwork, now: Instant) {
        let sides = &mut *self.0.borrow_mut();
        for from in 0..2 {
            let (own, other) = (sides[from].address.ip(), sides[1 - from].address.ip());
            let there = network.reaches(own, other) && network.reaches(other, own);
            if there && !sides[1 - from].vanished {
                sides[from].unacknowledged = None;
            } else if sides[from].hasty
                && sides[from]
                    .unacknowledged
                    .is_some_and(|since| now - since >= UNACKNOWLEDGED)
            {
                sides[from].vanished = true;
                sides[from].break_off(ErrorKind::TimedOut);
                // Nobody sends again what a cut held up, so it never arrives.
                if network.is_cut(own, other) {
                    sides[1 - from].coming.clear();
                }
            }
        }
    }

    fn send(&self, from: usize, what: What, network: &SimulatedNetwork) {
        let sides = &mut *self.0.borrow_mut();
        let (own, other) = (sides[from].address.ip(), sides[1 - from].address.ip());
        let to = &mut sides[1 - from];
        let left = match &what {
            What::Bytes(bytes) => network.leave_at(own, bytes.len()),
            What::Over | What::Reset => Instant::now(),
        };
        let due = left + network.delay(own, other);
        let due = to.coming.back().map_or(due, |last| due.max(last.due));
        to.coming.push_back(Segment { due, what });
        to.reader.take().into_iter().for_each(Waker::wake);
    }

    /// Moves what has come into the end's hands.
    fn arrive(&self, at: usize, network: &SimulatedNetwork) {
        let sides = &mut *self.0.borrow_mut();
        let (own, other) = (sides[at].address.ip(), sides[1 - at].address.ip());
        // What was on its way when the sender went is not held up by that.
        let open = network.reaches(other, own) || (sides[1 - at].vanished && network.powered(own));
        let now = Instant::now();
        let side = &mut sides[at];
        while open && side.coming.front().is_some_and(|p| p.due <= now) {
            match side.coming.pop_front().map(|p| p.what) {
                Some(What::Bytes(bytes)) => side.unread.extend_from_slice(&bytes),
                Some(What::Over) => side.over = true,
                Some(What::Reset) => side.broken = Some(ErrorKind::ConnectionReset),
                None => {}
            }
        }
    }

    /// Bytes, an end (0) or an error that the end may have now.
    fn take(
        &self,
        at: usize,
        buffer: &mut [u8],
        network: &SimulatedNetwork,
    ) -> Option<io::Result<usize>> {
        self.arrive(at, network);
        let sides = &mut *self.0.borrow_mut();
        let side = &mut sides[at];
        if !side.unread.is_empty() {
            let length = side.unread.len().min(buffer.len());
            buffer[..length].copy_from_slice(&side.unread[..length]);
            side.unread.advance(length);
            sides[1 - at]
                .writer
                .take()
                .into_iter()
                .for_each(Waker::wake);
            return Some(Ok(length));
        }
        if let Some(kind) = side.broken {
            return Some(Err(kind.into()));
        }
        side.over.then_some(Ok(0))
    }
}

/// What a process holds of a connection.
pub struct End {
    line: Rc<ConnectionState>,
    at: usize,
    network: Rc<SimulatedNetwork>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl End {
    pub(crate) fn new(
        line: Rc<ConnectionState>,
        at: usize,
        network: Rc<SimulatedNetwork>,
        hasty: bool,
    ) -> End {
        line.0.borrow_mut()[at].hasty = hasty;
        End {
            line,
            at,
            network,
            timer: None,
        }
    }

    /// Ends it with a reset, whatever was read.
    pub fn abort(self) {
        self.line.0.borrow_mut()[self.at]
            .unread
            .extend_from_slice(b"!");
    }
}

impl Connection for End {
    fn read_available(&self, buffer: &mut [u8]) -> Option<io::Result<usize>> {
        self.line.take(self.at, buffer, &self.network)
    }
}

impl AsyncRead for End {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let room = buffer.initialize_unfilled();
            if let Some(read) = self.line.take(self.at, room, &self.network) {
                return Poll::Ready(read.map(|length| buffer.advance(length)));
            }
            let due = {
                let side = &mut self.line.0.borrow_mut()[self.at];
                side.reader = Some(context.waker().clone());
                // Past its time a parcel waits for the way, and whoever opens that wakes everybody.
                side.coming
                    .front()
                    .map(|p| p.due)
                    .filter(|due| *due > Instant::now())
            };
            let Some(due) = due else { return Poll::Pending };
            let mut timer = Box::pin(sleep_until(due));
            if timer.as_mut().poll(context).is_pending() {
                self.timer = Some(timer);
                return Poll::Pending;
            }
        }
    }
}

impl AsyncWrite for End {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let (length, answered, from, to) = {
            let sides = &mut *self.line.0.borrow_mut();
            if let Some(kind) = sides[self.at].broken {
                return Poll::Ready(Err(kind.into()));
            }
            if sides[self.at].said_over {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            let other = &sides[1 - self.at];
            let room = WINDOW.saturating_sub(other.pending());
            // The window opens no more once its reader has gone: a writer of more waits for the reset that is under way.
            let reset_comes = sides[self.at]
                .coming
                .iter()
                .any(|parcel| matches!(parcel.what, What::Reset));
            if (room == 0 && other.held) || (reset_comes && room < bytes.len()) {
                sides[self.at].writer = Some(context.waker().clone());
                return Poll::Pending;
            }
            let ip = other.address.ip();
            // Nobody holds the other end: its machine answers with a reset, if it is there.
            let unknown = other.vanished && self.network.generation(ip) != other.generation;
            let answered =
                (!other.held && !other.vanished) || (unknown && self.network.powered(ip));
            sides[self.at]
                .unacknowledged
                .get_or_insert_with(Instant::now);
            (
                if room == 0 {
                    bytes.len()
                } else {
                    bytes.len().min(room)
                },
                answered,
                sides[self.at].address.ip(),
                ip,
            )
        };
        self.network.count_written(from, to, length);
        if answered {
            self.line.send(1 - self.at, What::Reset, &self.network);
        } else {
            self.line.send(
                self.at,
                What::Bytes(Bytes::copy_from_slice(&bytes[..length])),
                &self.network,
            );
        }
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let said = std::mem::replace(&mut self.line.0.borrow_mut()[self.at].said_over, true);
        if !said {
            self.line.send(self.at, What::Over, &self.network);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for End {
    fn drop(&mut self) {
        let ip = self.line.0.borrow()[self.at].address.ip();
        if self.network.powered(ip) {
            self.line.arrive(self.at, &self.network);
        }
        let (last, cut) = {
            let sides = &mut *self.line.0.borrow_mut();
            let other = sides[1 - self.at].address.ip();
            let side = &mut sides[self.at];
            side.held = false;
            let unread = !side.unread.is_empty();
            let last = match (side.vanished, unread, side.said_over) {
                (true, ..) => None,
                (_, true, _) => Some(What::Reset),
                (_, _, false) => Some(What::Over),
                _ => None,
            };
            (last, !self.network.reaches(ip, other))
        };
        if let Some(last) = last {
            if cut && matches!(last, What::Reset) {
                // What the cut holds up is lost with the reset of its sender.
                self.line.0.borrow_mut()[1 - self.at].coming.clear();
            }
            self.line.send(self.at, last, &self.network);
        }
        self.line.wake();
    }
}
