//! Reads the body of a server's response in any HTTP/1.1 framing.
use bytes::{Bytes, BytesMut};
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::Framing;

/// Decoder of a response body.
pub(super) struct ResponseBody {
    framing: Framing,
    chunks: ChunkDecoder,
    /// Number of body bytes not read yet; meaningful only with `Framing::Length`.
    remaining: usize,
    /// Whether any byte of the body has been read.
    pub(super) has_begun: bool,
    /// Whether the connection has been closed, which ends a body without a length.
    is_connection_closed: bool,
}

/// Next part of a body.
pub(super) enum BodyEvent {
    Data(Bytes),
    /// More bytes have to be read from the connection.
    NeedsMore,
    End,
}

/// Error: the chunked encoding of the body is malformed.
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

    /// Whether the end of the connection marks the end of the body.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::ToEnd
    }

    /// Records that the connection has been closed.
    pub(super) fn close(&mut self) {
        self.is_connection_closed = true;
    }

    /// Takes the next part of the body from `buffer`.
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
