//! Reads message heads from a stream into bounded buffers.
use crate::{ParseError, Parsed, head};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::ops::Deref;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Minimum free capacity of the buffer before each read, in bytes.
const READ_SIZE: usize = 4 << 10;

/// The error for a message head that exceeds the length limit.
pub const HEAD_TOO_LONG: ParseError = ParseError("message head is too long");

/// The reason why a message cannot be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection gracefully.
    #[error("the peer closed the connection: open another connection")]
    Closed,
    /// The connection was reset, or could not be established.
    #[error("the connection was reset or not established: retry on another connection")]
    Reset,
    /// The peer sent input that violates HTTP.
    #[error(transparent)]
    Bad(#[from] ParseError),
}

/// Reads once from the stream and appends the bytes to the buffer. Cancel-safe: bytes that were read stay in the buffer.
///
/// # Errors
///
/// [`ReadError::Closed`] at the end of the stream; [`ReadError::Reset`] if the read fails.
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

/// Reads bytes that the operating system has buffered for this socket, without waiting. Returns `None` if no bytes are
/// buffered, and `Some(Ok(0))` at the end of the stream.
///
/// Queries the operating system rather than the async runtime, because the runtime only knows the state as of its last poll
/// and would miss bytes or a close that arrived since.
pub fn read_available(stream: &TcpStream, buffer: &mut [u8]) -> Option<io::Result<usize>> {
    match SockRef::from(stream).deref().read(buffer) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        result => Some(result),
    }
}

/// Reads a message head up to and including its empty line, and removes it from the buffer. Cancel-safe.
///
/// The head must begin with `prefix`, which may be empty. Other input is rejected immediately, since it may never contain the
/// end of a head. `max_length` is the largest allowed length of a head in bytes.
///
/// # Errors
///
/// The same errors as [`more`]; [`ReadError::Bad`] if the head does not begin with `prefix` or is too long.
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    prefix: &[u8],
    max_length: usize,
) -> Result<Bytes, ReadError> {
    let mut searched = 0;
    loop {
        if buffer.iter().zip(prefix).any(|(a, b)| a != b) {
            return Err(ParseError("not an HTTP message").into());
        }
        if let Some(head) = split_head(buffer, searched, max_length)? {
            return Ok(head);
        }
        searched = buffer.len();
        more(stream, buffer).await?;
    }
}

/// Removes a message head up to and including its empty line from the buffer; `None` if it is incomplete. The caller has
/// already searched the first `searched` bytes. `max_length` is the largest allowed length of a head in bytes.
///
/// # Errors
///
/// [`HEAD_TOO_LONG`] if the head is longer, also if it is incomplete.
pub fn split_head(
    buffer: &mut BytesMut,
    searched: usize,
    max_length: usize,
) -> Parsed<Option<Bytes>> {
    match head::find_end(buffer, searched) {
        Some(end) if end > max_length => Err(HEAD_TOO_LONG),
        Some(end) => Ok(Some(buffer.split_to(end).freeze())),
        None if buffer.len() > max_length => Err(HEAD_TOO_LONG),
        None => Ok(None),
    }
}
