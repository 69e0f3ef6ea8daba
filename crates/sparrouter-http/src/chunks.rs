//! Decodes a chunked body (RFC 9112, section 7.1) incrementally from a buffer.
use crate::{ParseError, Parsed};
use bytes::{Buf, Bytes, BytesMut};

/// Longest line between chunks (size with extensions, trailer field), in bytes.
const MAX_LINE_LENGTH: usize = 1 << 10;

/// Largest number of hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, Default)]
enum Expected {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// So many more bytes of the current chunk, at least one.
    Data(usize),
    /// The line end behind the data of a chunk.
    DataEnd,
    /// A trailer field, or the empty line that ends the body.
    Trailer,
    /// Nothing: the body has ended.
    Finished,
}

/// The state of decoding one chunked body. Starts with [`ChunkDecoder::default`].
#[derive(Debug, Default)]
pub struct ChunkDecoder(Expected);

/// What decoding a buffer gave.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkEvent {
    /// Bytes of the body, at least one.
    Data(Bytes),
    /// The buffer has nothing more that is complete: read more first.
    More,
    /// The body has ended; what remains in the buffer belongs to the next message.
    End,
}

/// Splits a line off the buffer, without its line end; `None` until it is complete.
fn split_line(buffer: &mut BytesMut) -> Parsed<Option<BytesMut>> {
    match buffer.windows(2).position(|bytes| bytes == b"\r\n") {
        Some(length) if length <= MAX_LINE_LENGTH => {
            let line = buffer.split_to(length);
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= MAX_LINE_LENGTH => Ok(None),
        _ => Err(ParseError("line between chunks too long")),
    }
}

/// The size in bytes that a chunk's first line gives.
fn parse_size(line: &[u8]) -> Parsed<usize> {
    let digits = line
        .split(|&byte| byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    // The parser would also accept a sign.
    let is_plain =
        (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_plain);
    text.and_then(|text| usize::from_str_radix(text, 16).ok())
        .ok_or(ParseError("chunk size"))
}

impl ChunkDecoder {
    /// Decodes the next data of the body, and splits off the buffer what it has decoded.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the framing is malformed; the connection cannot be used any more then.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Parsed<ChunkEvent> {
        loop {
            match self.0 {
                Expected::Size => {
                    let Some(line) = split_line(buffer)? else {
                        return Ok(ChunkEvent::More);
                    };
                    self.0 = match parse_size(&line)? {
                        0 => Expected::Trailer,
                        size => Expected::Data(size),
                    };
                }
                Expected::Data(_) if buffer.is_empty() => return Ok(ChunkEvent::More),
                Expected::Data(remaining) => {
                    let data = buffer.split_to(remaining.min(buffer.len())).freeze();
                    self.0 = match remaining - data.len() {
                        0 => Expected::DataEnd,
                        remaining => Expected::Data(remaining),
                    };
                    return Ok(ChunkEvent::Data(data));
                }
                Expected::DataEnd if buffer.len() < 2 => return Ok(ChunkEvent::More),
                Expected::DataEnd => {
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(ParseError("no line end after a chunk"));
                    }
                    self.0 = Expected::Size;
                }
                Expected::Trailer => {
                    let Some(line) = split_line(buffer)? else {
                        return Ok(ChunkEvent::More);
                    };
                    if line.is_empty() {
                        self.0 = Expected::Finished;
                    }
                }
                Expected::Finished => return Ok(ChunkEvent::End),
            }
        }
    }
}
