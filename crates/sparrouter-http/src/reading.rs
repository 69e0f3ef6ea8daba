//! Reads message heads from a stream, with bounded buffers.
use crate::{ParseError, head};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::ops::Deref;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Free space in bytes that the buffer has before each read.
const READ_SIZE: usize = 4 << 10;

/// The error for a head that is longer than allowed.
pub const HEAD_TOO_LONG: ParseError = ParseError("head too long");

/// Why nothing more can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection in order.
    #[error("the peer closed the connection: open another one")]
    Closed,
    /// The connection was reset, or could not be established.
    #[error("the connection was reset or not established: retry on another one")]
    Reset,
    /// The peer sent input that violates the protocol.
    #[error(transparent)]
    Bad(#[from] ParseError),
}

/// Reads once, appending to the buffer. Cancel-safe: what was read stays in the buffer.
///
/// # Errors
///
/// [`ReadError::Closed`] at the end of the stream, [`ReadError::Reset`] after any other error.
pub async fn more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<(), ReadError> {
    buffer.reserve(READ_SIZE);
    match stream.read_buf(buffer).await {
        Ok(0) => Err(ReadError::Closed),
        Err(_) => Err(ReadError::Reset),
        Ok(_) => Ok(()),
    }
}

/// Reads what the operating system has buffered for this socket, without waiting. `None` if there is nothing yet;
/// `Some(Ok(0))` at the end of the stream.
///
/// This queries the system and not the async runtime: the runtime knows the state of its last poll only, and would miss
/// bytes or a close that arrived since.
pub fn read_available(stream: &TcpStream, buffer: &mut [u8]) -> Option<io::Result<usize>> {
    match SockRef::from(stream).deref().read(buffer) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        result => Some(result),
    }
}

/// Reads a head up to and including its empty line, and splits it off the buffer. Cancel-safe.
///
/// `prefix`: how the head must begin (may be empty). Anything else is refused at once, since it may have no end.
/// `max_length`: largest head in bytes.
///
/// # Errors
///
/// As [`more`]; [`ReadError::Bad`] if the head begins wrongly or is too long.
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    prefix: &[u8],
    max_length: usize,
) -> Result<Bytes, ReadError> {
    let mut searched = 0;
    loop {
        if buffer.iter().zip(prefix).any(|(a, b)| a != b) {
            return Err(ParseError("no HTTP").into());
        }
        if let Some(end) = head::find_end(buffer, searched) {
            if end > max_length {
                return Err(HEAD_TOO_LONG.into());
            }
            return Ok(buffer.split_to(end).freeze());
        }
        if buffer.len() > max_length {
            return Err(HEAD_TOO_LONG.into());
        }
        searched = buffer.len();
        more(stream, buffer).await?;
    }
}
