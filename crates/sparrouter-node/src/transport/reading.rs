//! Reads complete messages from a stream into bounded buffers.
use super::budget::{Body, BodyMemory, Reservation};
use crate::protocol::chunks::{ChunkDecoder, ChunkEvent};
use crate::protocol::head::Framing;
use crate::protocol::{MAX_HEAD, ParseError};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;

pub use sparrouter_http::reading::{ReadError, more, read_available};

/// Reads a head up to and including its empty line, of at most `MAX_HEAD` bytes. A head that does not
/// start with `prefix` is rejected at once.
///
/// # Errors
///
/// Returns the errors of [`sparrouter_http::reading::head`].
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    prefix: &[u8],
) -> Result<Bytes, ReadError> {
    sparrouter_http::reading::head(stream, buffer, prefix, MAX_HEAD).await
}

/// Limit for the size of one body.
struct BodyLimit<'a> {
    memory: &'a BodyMemory,
    reservations: Vec<Reservation>,
}

impl BodyLimit<'_> {
    fn check(&mut self, length: usize) -> Result<(), ParseError> {
        match self.memory.reserve(length, &mut self.reservations) {
            true => Ok(()),
            false => Err(ParseError("body too long")),
        }
    }
}

/// Reads a body, within the memory budget.
///
/// # Errors
///
/// The connection ended before the body, the chunks are malformed, or the body is too long.
pub async fn body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    framing: Framing,
    memory: &BodyMemory,
) -> Result<Body, ReadError> {
    let mut limit = BodyLimit {
        memory,
        reservations: Vec::new(),
    };
    let bytes = match framing {
        Framing::Length(length) => {
            limit.check(length)?;
            while buffer.len() < length {
                buffer.reserve(length - buffer.len());
                more(stream, buffer).await?;
            }
            buffer.split_to(length).freeze()
        }
        Framing::Chunked => chunked(stream, buffer, &mut limit).await?,
        Framing::ToEnd => {
            // Only the end of the stream marks the end of the body. A read error must not count as that end: a
            // truncated body would be accepted as complete.
            loop {
                match more(stream, buffer).await {
                    Ok(()) => limit.check(buffer.len())?,
                    Err(ReadError::Closed) => break,
                    Err(error) => return Err(error),
                }
            }
            buffer.split().freeze()
        }
    };
    Ok(Body {
        bytes,
        reservations: limit.reservations,
    })
}

async fn chunked(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    limit: &mut BodyLimit<'_>,
) -> Result<Bytes, ReadError> {
    let mut chunks = ChunkDecoder::default();
    let mut body = BytesMut::new();
    loop {
        match chunks.next(buffer)? {
            ChunkEvent::Data(bytes) => {
                limit.check(body.len() + bytes.len())?;
                body.extend_from_slice(&bytes);
            }
            ChunkEvent::Incomplete => more(stream, buffer).await?,
            ChunkEvent::End => return Ok(body.freeze()),
        }
    }
}
