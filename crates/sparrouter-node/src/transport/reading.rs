//! Whole messages from a stream, with bounded buffers.
use super::budget::{Body, Room};
use crate::protocol::chunks::{Chunks, Piece};
use crate::protocol::head::{self, Framing};
use crate::protocol::{Bad, MAX_HEAD};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::ops::Deref;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Least room that a read is given.
const ROOM: usize = 4 << 10;

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
pub async fn more(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> Result<(), Broken> {
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

/// Up to and with the empty line. What does not begin as it must is not waited for: noise may have no
/// end, and its sender stays silent after it.
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut, begins: &[u8],
) -> Result<Bytes, Broken> {
    let mut seen = 0;
    loop {
        if buffer.iter().zip(begins).any(|(a, b)| a != b) {
            return Err(Bad("no HTTP").into());
        }
        if let Some(end) = head::end(buffer, seen) {
            if end > MAX_HEAD {
                return Err(Bad("head too long").into());
            }
            return Ok(buffer.split_to(end).freeze());
        }
        if buffer.len() > MAX_HEAD {
            return Err(Bad("head too long").into());
        }
        seen = buffer.len();
        more(stream, buffer).await?;
    }
}

/// As long as there is room for it.
pub async fn body(
    stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut, framing: Framing, room: &Room,
) -> Result<Body, Broken> {
    let mut granted = Vec::new();
    let mut fits = |length| match room.grant(length, &mut granted) {
        true => Ok(()),
        false => Err(Bad("body too long")),
    };
    let bytes = match framing {
        Framing::Length(length) => {
            fits(length)?;
            while buffer.len() < length {
                buffer.reserve(length - buffer.len());
                more(stream, buffer).await?;
            }
            buffer.split_to(length).freeze()
        }
        Framing::Chunked => {
            let (mut chunks, mut whole) = (Chunks::default(), BytesMut::new());
            loop {
                match chunks.next(buffer)? {
                    Piece::Data(piece) => {
                        fits(whole.len() + piece.len())?;
                        whole.extend_from_slice(&piece);
                    }
                    Piece::More => more(stream, buffer).await?,
                    Piece::End => break whole.freeze(),
                }
            }
        }
        Framing::ToEnd => {
            // Nothing but its end tells how long it is: cut off, it would be taken for whole.
            loop {
                match more(stream, buffer).await {
                    Ok(()) => fits(buffer.len())?,
                    Err(Broken::Ended) => break,
                    Err(broken) => return Err(broken),
                }
            }
            buffer.split().freeze()
        }
    };
    Ok(Body { bytes, granted })
}
