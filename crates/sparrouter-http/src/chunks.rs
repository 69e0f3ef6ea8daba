//! Decodes a chunked body (RFC 9112, section 7.1) from a buffer, piece by piece.
use crate::{ParseError, Parsed};
use bytes::{Buf, Bytes, BytesMut};

/// Longest line between chunks (size with extensions, trailer field), in bytes.
const MAX_LINE: usize = 1 << 10;

/// Most hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, Default)]
enum Next {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// So many more bytes of the current chunk.
    Data(usize),
    /// The line end behind the data of a chunk.
    DataEnd,
    /// A trailer field, or the empty line that ends the body.
    Trailer,
    /// Nothing: the body has ended.
    Finished,
}

/// The state of decoding one chunked body. Begins with [`Chunks::default`].
#[derive(Debug, Default)]
pub struct ChunkDecoder(Next);

/// What decoding a buffer gave.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkEvent {
    /// Bytes of the body, at least one.
    Data(Bytes),
    /// The buffer holds nothing more that is whole: read more first.
    More,
    /// The body has ended; what is left in the buffer belongs to the next message.
    End,
}

/// Takes a line out of the buffer, without its line end; `None` until it is whole.
fn take_line(buffer: &mut BytesMut) -> Parsed<Option<BytesMut>> {
    match buffer.windows(2).position(|w| w == b"\r\n") {
        Some(length) if length <= MAX_LINE => {
            let line = buffer.split_to(length);
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= MAX_LINE => Ok(None),
        _ => Err(ParseError("line between chunks too long")),
    }
}

/// The size that a chunk's first line gives, in bytes.
fn parse_size(line: &[u8]) -> Parsed<usize> {
    let digits = line
        .split(|&b| b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    // The parser would also take a sign.
    let is_plain =
        (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_plain);
    text.and_then(|t| usize::from_str_radix(t, 16).ok())
        .ok_or(ParseError("chunk size"))
}

impl ChunkDecoder {
    /// Takes the next piece of the body out of the buffer.
    ///
    /// # Errors
    ///
    /// [`Bad`] if the framing is malformed; the connection cannot be used any more then.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Parsed<ChunkEvent> {
        loop {
            match self.0 {
                Next::Size => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(ChunkEvent::More);
                    };
                    self.0 = match parse_size(&line)? {
                        0 => Next::Trailer,
                        size => Next::Data(size),
                    };
                }
                Next::Data(_) if buffer.is_empty() => return Ok(ChunkEvent::More),
                Next::Data(left) => {
                    let piece = buffer.split_to(left.min(buffer.len())).freeze();
                    self.0 = match left - piece.len() {
                        0 => Next::DataEnd,
                        left => Next::Data(left),
                    };
                    return Ok(ChunkEvent::Data(piece));
                }
                Next::DataEnd if buffer.len() < 2 => return Ok(ChunkEvent::More),
                Next::DataEnd => {
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(ParseError("no line end after a chunk"));
                    }
                    self.0 = Next::Size;
                }
                Next::Trailer => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(ChunkEvent::More);
                    };
                    if line.is_empty() {
                        self.0 = Next::Finished;
                    }
                }
                Next::Finished => return Ok(ChunkEvent::End),
            }
        }
    }
}
