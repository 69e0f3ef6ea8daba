//! When bytes arrived, by the system's own time stamp, however late they are read.
//!
//! On loopback a segment arrives within the call that sends it, so its stamp is the moment at which the other process
//! sent it. A lab whose threads wait for a processor reads late; stamps keep that lateness out of what is judged.
use bytes::BytesMut;
use nix::cmsg_space;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Bytes that one read takes at the most.
const READ_BYTES: usize = 16 << 10;
/// The two clocks are read within this time of each other, or again.
const CLOCK_GAP: Duration = Duration::from_micros(200);
/// Attempts to read both clocks that closely.
const CLOCK_READS: usize = 20;

/// What one read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Bytes appended to the buffer; 0 at the end of the stream.
    pub length: usize,
    /// When the last of them arrived; none where the system stamps nothing on this socket.
    pub arrived_at: Option<Instant>,
}

/// Has the system stamp what arrives on a connection, or on all connections that a listener accepts; it begins a moment
/// after the first such call. A system that cannot do so stamps nothing, which [`Chunk::arrived_at`] shows.
pub fn stamp_arrivals(socket: &impl AsFd) {
    let _ = setsockopt(socket, sockopt::ReceiveTimestampns, &true);
}

/// Reads what there is, once there is something.
///
/// # Errors
///
/// The connection broke.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Chunk> {
    loop {
        stream.readable().await?;
        match stream.try_io(Interest::READABLE, || receive(stream, buffer)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

fn receive(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Chunk> {
    let mut bytes = [0; READ_BYTES];
    let mut slices = [IoSliceMut::new(&mut bytes)];
    let mut control = cmsg_space!(TimeSpec);
    let received = recvmsg::<()>(
        stream.as_raw_fd(),
        &mut slices,
        Some(&mut control),
        MsgFlags::empty(),
    )?;
    let length = received.bytes;
    let stamp = received.cmsgs().ok().and_then(|mut messages| {
        messages.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(stamp) => Some(stamp),
            _ => None,
        })
    });
    buffer.extend_from_slice(&bytes[..length]);
    Ok(Chunk {
        length,
        arrived_at: stamp.and_then(to_instant),
    })
}

/// The moment of a stamp by this process's steady clock. The time of day is read just now for that, so that it matters
/// only if it is set between the stamp and now; a stamp that lies ahead counts as now.
fn to_instant(stamp: TimeSpec) -> Option<Instant> {
    let stamp = UNIX_EPOCH + Duration::from(stamp);
    let (now, wall) = read_clocks();
    let age = wall.duration_since(stamp).unwrap_or_default();
    now.checked_sub(age)
}

/// Both clocks at one moment: a thread that loses its processor between the two readings reads them again.
fn read_clocks() -> (Instant, SystemTime) {
    let mut clocks = (Instant::now(), SystemTime::now());
    for _ in 0..CLOCK_READS {
        if clocks.0.elapsed() < CLOCK_GAP {
            break;
        }
        clocks = (Instant::now(), SystemTime::now());
    }
    clocks
}
