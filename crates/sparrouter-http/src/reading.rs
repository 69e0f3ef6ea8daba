//! Whole heads from a stream, with bounded buffers.
use crate::{Bad, head};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::ops::Deref;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Least room that a read is given.
const ROOM: usize = 4 << 10;

/// What a head that is longer than allowed is called.
pub const HEAD_TOO_LONG: Bad = Bad("head too long");

#[derive(Debug)]
pub enum Broken {
    /// The other side ended the connection, in its own time.
    Ended,
    /// It was reset, or never came up.
    Reset,
    Bad(Bad),
}

impl From<Bad> for Broken {
    fn from(bad: Bad) -> Broken {
        Broken::Bad(bad)
    }
}

/// Cancel-safe: what was read stays in the buffer.
pub async fn more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<(), Broken> {
    buffer.reserve(ROOM);
    match stream.read_buf(buffer).await {
        Ok(0) => Err(Broken::Ended),
        Err(_) => Err(Broken::Reset),
        Ok(_) => Ok(()),
    }
}

/// What the system holds for us now, straight from it: what the runtime knows of a socket is as old as its last
/// look, and bytes or an end that came since would be closed over. None where there is nothing yet.
pub fn at_hand(stream: &TcpStream, buffer: &mut [u8]) -> Option<io::Result<usize>> {
    match SockRef::from(stream).deref().read(buffer) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => None,
        read => Some(read),
    }
}

/// Up to and with the empty line, `most` bytes at the longest. What does not begin as it must is not waited for:
/// noise may have no end, and its sender stays silent after it.
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    begins: &[u8],
    most: usize,
) -> Result<Bytes, Broken> {
    let mut seen = 0;
    loop {
        if buffer.iter().zip(begins).any(|(a, b)| a != b) {
            return Err(Bad("no HTTP").into());
        }
        if let Some(end) = head::end(buffer, seen) {
            if end > most {
                return Err(HEAD_TOO_LONG.into());
            }
            return Ok(buffer.split_to(end).freeze());
        }
        if buffer.len() > most {
            return Err(HEAD_TOO_LONG.into());
        }
        seen = buffer.len();
        more(stream, buffer).await?;
    }
}
