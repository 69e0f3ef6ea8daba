//! FetchFull messages from a stream, with bounded buffers.
use super::budget::{Body, BodyMemory};
use crate::protocol::chunks::{ChunkDecoder, ChunkEvent};
use crate::protocol::head::Framing;
use crate::protocol::{MAX_HEAD, ParseError};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;

pub use sparrouter_http::reading::{ReadError, more, read_available};

/// Up to and with the empty line, as long as this program allows.
pub async fn head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    begins: &[u8],
) -> Result<Bytes, ReadError> {
    sparrouter_http::reading::head(stream, buffer, begins, MAX_HEAD).await
}

/// As long as there is room for it.
pub async fn body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    framing: Framing,
    memory: &BodyMemory,
) -> Result<Body, ReadError> {
    let mut reservations = Vec::new();
    let mut fits = |length| match memory.reserve(length, &mut reservations) {
        true => Ok(()),
        false => Err(ParseError("body too long")),
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
            let (mut chunks, mut whole) = (ChunkDecoder::default(), BytesMut::new());
            loop {
                match chunks.next(buffer)? {
                    ChunkEvent::Data(piece) => {
                        fits(whole.len() + piece.len())?;
                        whole.extend_from_slice(&piece);
                    }
                    ChunkEvent::More => more(stream, buffer).await?,
                    ChunkEvent::End => break whole.freeze(),
                }
            }
        }
        Framing::ToEnd => {
            // Nothing but its end tells how long it is: cut off, it would be taken for whole.
            loop {
                match more(stream, buffer).await {
                    Ok(()) => fits(buffer.len())?,
                    Err(ReadError::Closed) => break,
                    Err(broken) => return Err(broken),
                }
            }
            buffer.split().freeze()
        }
    };
    Ok(Body {
        bytes,
        reservations,
    })
}
