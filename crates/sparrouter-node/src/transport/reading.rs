//! Complete messages from a stream, with bounded buffers.
use super::budget::{Body, BodyMemory, Reservation};
use crate::protocol::chunks::{ChunkDecoder, ChunkEvent};
use crate::protocol::head::Framing;
use crate::protocol::{MAX_HEAD, ParseError};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;

pub use sparrouter_http::reading::{ReadError, more, read_available};

/// Reads a head up to and including its empty line, of at most `MAX_HEAD` bytes.
///
/// # Errors
///
/// As [`sparrouter_http::reading::head`].
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    begins: &[u8],
) -> Result<Bytes, ReadError> {
    sparrouter_http::reading::head(stream, buffer, begins, MAX_HEAD).await
}

/// What may be read of one body.
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

/// Reads a body, as long as there is memory for it.
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
            // Nothing but its end tells how long it is: if that were cut off, it would pass for complete.
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
