//! Binary encoding of records and messages; no input makes the decoder panic, loop or allocate beyond its own length.
//!
//! `nanoserde` allocates whatever length the input states, so lists and strings are read here; the rest is derived.
use nanoserde::{DeBin, DeBinErr, SerBin};

/// First byte of every encoded value; a decoder refuses any other.
pub const FORMAT: u8 = 1;
/// Longest name or address, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// Why bytes could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The input is longer than the caller allows.
    #[error(
        "{length} bytes where at most {max} are taken: raise the limit at the receiver or send less"
    )]
    TooLong {
        /// Length of the input in bytes.
        length: usize,
        /// The limit in bytes.
        max: usize,
    },
    /// The input was written in another format.
    #[error("format {found}, this release reads {FORMAT}: bring both ends to one release")]
    Format {
        /// The format byte of the input.
        found: u8,
    },
    /// The input has the right format byte and is no value of the expected type, or has bytes left over.
    #[error(
        "bytes that are no record or message of this format, at {offset}: drop them and look at their sender"
    )]
    Malformed {
        /// Where decoding stopped, in bytes from the start.
        offset: usize,
    },
}

/// Encodes a value, format byte first.
pub fn encode<T: SerBin>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    value.ser_bin(&mut bytes);
    bytes
}

/// Decodes a value that takes up all of `bytes`, of which there may be `max_bytes`, format byte included.
///
/// # Errors
/// The input is too long, of another format, or no value of this type.
pub fn decode<T: DeBin>(bytes: &[u8], max_bytes: usize) -> Result<T, CodecError> {
    if bytes.len() > max_bytes {
        return Err(CodecError::TooLong {
            length: bytes.len(),
            max: max_bytes,
        });
    }
    match bytes.first() {
        Some(&FORMAT) => {}
        Some(&found) => return Err(CodecError::Format { found }),
        None => return Err(CodecError::Malformed { offset: 0 }),
    }
    let mut offset = 1;
    let value =
        T::de_bin(&mut offset, bytes).map_err(|error| CodecError::Malformed { offset: error.o })?;
    if offset == bytes.len() {
        Ok(value)
    } else {
        Err(CodecError::Malformed { offset })
    }
}

pub(crate) fn write_bytes(bytes: &[u8], out: &mut Vec<u8>) {
    (bytes.len() as u32).ser_bin(out);
    out.extend_from_slice(bytes);
}

pub(crate) fn read_bytes(
    offset: &mut usize,
    input: &[u8],
    max_bytes: usize,
) -> Result<Vec<u8>, DeBinErr> {
    let length = u32::de_bin(offset, input)? as usize;
    let end = offset
        .checked_add(length)
        .filter(|&end| end <= input.len() && length <= max_bytes);
    let end = end.ok_or_else(|| DeBinErr::new(*offset, length, input.len()))?;
    let bytes = input[*offset..end].to_vec();
    *offset = end;
    Ok(bytes)
}

pub(crate) fn read_text(offset: &mut usize, input: &[u8]) -> Result<String, DeBinErr> {
    let start = *offset;
    let bytes = read_bytes(offset, input, MAX_TEXT_BYTES)?;
    String::from_utf8(bytes).map_err(|_| DeBinErr::new(start, 0, input.len()))
}

pub(crate) fn write_list<T: SerBin>(list: &[T], out: &mut Vec<u8>) {
    (list.len() as u16).ser_bin(out);
    list.iter().for_each(|item| item.ser_bin(out));
}

pub(crate) fn read_list<T: DeBin>(
    offset: &mut usize,
    input: &[u8],
    max_items: usize,
) -> Result<Vec<T>, DeBinErr> {
    let start = *offset;
    let length = u16::de_bin(offset, input)? as usize;
    if length > max_items {
        return Err(DeBinErr::new(start, length, max_items));
    }
    // The list grows with what is really there: a stated length alone reserves nothing.
    let mut list = Vec::new();
    for _ in 0..length {
        list.push(T::de_bin(offset, input)?);
    }
    Ok(list)
}
