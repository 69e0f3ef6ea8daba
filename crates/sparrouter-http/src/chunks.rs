//! Chunked bodies, taken from the buffer piece by piece.
use crate::{Bad, Parsed};
use bytes::{Buf, Bytes, BytesMut};

/// Longest line between chunks (size, extensions, trailer).
const MAX_LINE: usize = 1 << 10;

#[derive(Clone, Copy, Debug, Default)]
enum Next {
    #[default]
    Size,
    Data(usize),
    Gap,
    Trailer,
    Over,
}

#[derive(Debug, Default)]
pub struct Chunks(Next);

#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    Data(Bytes),
    /// More has to be read first.
    More,
    End,
}

fn line(buffer: &mut BytesMut) -> Parsed<Option<BytesMut>> {
    match buffer.windows(2).position(|w| w == b"\r\n") {
        Some(length) if length <= MAX_LINE => {
            let line = buffer.split_to(length);
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() <= MAX_LINE => Ok(None),
        _ => Err(Bad("line between chunks too long")),
    }
}

impl Chunks {
    pub fn next(&mut self, buffer: &mut BytesMut) -> Parsed<Piece> {
        loop {
            match self.0 {
                Next::Size => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    let digits = line[..]
                        .split(|&b| b == b';')
                        .next()
                        .unwrap_or_default()
                        .trim_ascii();
                    let plain =
                        (1..=8).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
                    let text = std::str::from_utf8(digits).ok().filter(|_| plain);
                    let size = text.and_then(|t| usize::from_str_radix(t, 16).ok());
                    let size = size.ok_or(Bad("chunk size"))?;
                    self.0 = if size == 0 {
                        Next::Trailer
                    } else {
                        Next::Data(size)
                    };
                }
                Next::Data(_) if buffer.is_empty() => return Ok(Piece::More),
                Next::Data(left) => {
                    let piece = buffer.split_to(left.min(buffer.len())).freeze();
                    let left = left - piece.len();
                    self.0 = if left == 0 {
                        Next::Gap
                    } else {
                        Next::Data(left)
                    };
                    return Ok(Piece::Data(piece));
                }
                Next::Gap if buffer.len() < 2 => return Ok(Piece::More),
                Next::Gap => {
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(Bad("no line end after a chunk"));
                    }
                    self.0 = Next::Size;
                }
                Next::Trailer => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    if line.is_empty() {
                        self.0 = Next::Over;
                    }
                }
                Next::Over => return Ok(Piece::End),
            }
        }
    }
}
