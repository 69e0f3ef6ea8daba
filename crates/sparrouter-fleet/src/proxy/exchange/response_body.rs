//! The body of a server's response in chunks, by any framing.
use bytes::{Bytes, BytesMut};
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::Framing;

/// The body of a response, as far as it was read.
pub(super) struct ResponseBody {
    framing: Framing,
    chunks: ChunkDecoder,
    /// Bytes that are still to come; meaningful with a length alone.
    remaining: usize,
    /// Any of it has arrived.
    pub(super) has_begun: bool,
    /// The connection has ended, which ends a body without a length.
    is_connection_closed: bool,
}

/// What follows in a body.
pub(super) enum BodyEvent {
    Data(Bytes),
    /// More bytes have to be read from the connection.
    NeedsMore,
    End,
}

/// The chunks of a body are malformed.
pub(super) struct MalformedBody;

impl ResponseBody {
    pub(super) fn new(framing: Framing) -> ResponseBody {
        let remaining = match framing {
            Framing::Length(length) => length,
            Framing::Chunked | Framing::ToEnd => 0,
        };
        ResponseBody {
            framing,
            chunks: ChunkDecoder::default(),
            remaining,
            has_begun: false,
            is_connection_closed: false,
        }
    }

    /// Whether the body ends with its connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::ToEnd
    }

    /// The connection has ended.
    pub(super) fn close(&mut self) {
        self.is_connection_closed = true;
    }

    /// Takes what follows from the bytes that were read.
    pub(super) fn next(&mut self, buffer: &mut BytesMut) -> Result<BodyEvent, MalformedBody> {
        let event = match self.framing {
            Framing::Length(_) if self.remaining == 0 => BodyEvent::End,
            Framing::Length(_) if buffer.is_empty() => BodyEvent::NeedsMore,
            Framing::Length(_) => {
                let chunk = buffer.split_to(self.remaining.min(buffer.len())).freeze();
                self.remaining -= chunk.len();
                BodyEvent::Data(chunk)
            }
            Framing::Chunked => match self.chunks.next(buffer).map_err(|_| MalformedBody)? {
                ChunkEvent::Data(chunk) => BodyEvent::Data(chunk),
                ChunkEvent::Incomplete => BodyEvent::NeedsMore,
                ChunkEvent::End => BodyEvent::End,
            },
            Framing::ToEnd if !buffer.is_empty() => BodyEvent::Data(buffer.split().freeze()),
            Framing::ToEnd if self.is_connection_closed => BodyEvent::End,
            Framing::ToEnd => BodyEvent::NeedsMore,
        };
        self.has_begun |= matches!(event, BodyEvent::Data(_));
        Ok(event)
    }
}
