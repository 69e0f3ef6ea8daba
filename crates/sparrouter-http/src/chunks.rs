//! Incremental decoding of a chunked body (RFC 9112, section 7.1) from a buffer.
use crate::{ParseError, Parsed};
use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk-size line (with extensions) or trailer field, in bytes without the line end.
const MAX_LINE_LENGTH: usize = 1 << 10;

/// Largest number of hexadecimal digits in a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// The element of the chunked body that the decoder expects next.
#[derive(Clone, Copy, Debug, Default)]
enum Expected {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// Data of the current chunk; contains the number of remaining bytes, at least 1.
    Data(usize),
    /// The line end after the data of a chunk.
    DataEnd,
    /// A trailer field, or the empty line that ends the body.
    Trailer,
    /// No further input, because the body is complete.
    Finished,
}

/// Decoder of one chunked body. [`ChunkDecoder::default`] is the initial state.
#[derive(Debug, Default)]
pub struct ChunkDecoder(Expected);

/// The result of one decoding step.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkEvent {
    /// Data of the body, at least one byte.
    Data(Bytes),
    /// The buffer contains no complete element. The caller must read more input.
    Incomplete,
    /// The body is complete. Bytes that remain in the buffer belong to the next message.
    End,
}

/// Removes a line from the buffer and returns it without its line end; `None` if the line is incomplete.
fn split_line(buffer: &mut BytesMut) -> Parsed<Option<BytesMut>> {
    match buffer.windows(2).position(|bytes| bytes == b"\r\n") {
        Some(length) if length <= MAX_LINE_LENGTH => {
            let line = buffer.split_to(length);
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= MAX_LINE_LENGTH => Ok(None),
        _ => Err(ParseError("chunk-size line or trailer field is too long")),
    }
}

/// Parses the chunk size in bytes from a chunk-size line.
fn parse_size(line: &[u8]) -> Parsed<usize> {
    let digits = line
        .split(|&byte| byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    // `from_str_radix` would also accept a sign.
    let is_plain =
        (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_plain);
    text.and_then(|text| usize::from_str_radix(text, 16).ok())
        .ok_or(ParseError(
            "chunk size is not a hexadecimal number of at most 8 digits",
        ))
}

impl ChunkDecoder {
    /// Decodes the next data of the body and removes the decoded bytes from the buffer.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the framing is malformed. The connection cannot be reused after this error.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Parsed<ChunkEvent> {
        loop {
            match self.0 {
                Expected::Size => {
                    let Some(line) = split_line(buffer)? else {
                        return Ok(ChunkEvent::Incomplete);
                    };
                    self.0 = match parse_size(&line)? {
                        0 => Expected::Trailer,
                        size => Expected::Data(size),
                    };
                }
                Expected::Data(_) if buffer.is_empty() => return Ok(ChunkEvent::Incomplete),
                Expected::Data(remaining) => {
                    let data = buffer.split_to(remaining.min(buffer.len())).freeze();
                    self.0 = match remaining - data.len() {
                        0 => Expected::DataEnd,
                        remaining => Expected::Data(remaining),
                    };
                    return Ok(ChunkEvent::Data(data));
                }
                Expected::DataEnd if buffer.len() < 2 => return Ok(ChunkEvent::Incomplete),
                Expected::DataEnd => {
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(ParseError("chunk data is not followed by a line end"));
                    }
                    self.0 = Expected::Size;
                }
                Expected::Trailer => {
                    let Some(line) = split_line(buffer)? else {
                        return Ok(ChunkEvent::Incomplete);
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
