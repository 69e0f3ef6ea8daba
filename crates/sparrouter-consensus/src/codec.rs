//! Binary encoding of records and messages. No input makes the decoder panic, loop for ever, or allocate more than the
//! length of the input.
//!
//! Lists and strings are decoded here, because `nanoserde` allocates the length that the input states without checking
//! it; the rest is derived.
use nanoserde::{DeBin, DeBinErr, SerBin};

/// The first byte of every encoded value. The decoder rejects any other first byte.
pub const FORMAT: u8 = 1;
/// Maximum length of a name or an address, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// The reason why decoding failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The input is longer than the caller allows.
    #[error(
        "the input has {length} bytes, at most {max} are allowed: raise the limit at the receiver or send a smaller value"
    )]
    TooLong {
        /// Length of the input in bytes.
        length: usize,
        /// The limit in bytes.
        max: usize,
    },
    /// The input was written in another format.
    #[error(
        "the input has format {found}, this release reads format {FORMAT}: bring both ends to one release"
    )]
    Format {
        /// The format byte of the input.
        found: u8,
    },
    /// The input has the right format byte but is not a value of the expected type, or has trailing bytes.
    #[error(
        "decoding failed at byte {offset}, the input is not a valid record or message of this format: drop the input and check its sender"
    )]
    Malformed {
        /// Offset at which decoding stopped, in bytes from the start of the input.
        offset: usize,
    },
}

/// Encodes a value, preceded by the format byte.
pub fn encode<T: SerBin>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    value.ser_bin(&mut bytes);
    bytes
}

/// Decodes a value that takes up all of `bytes`, whose length is at most `max_bytes` including the format byte.
///
/// # Errors
/// The input is too long, has another format, or is not a value of this type.
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
    // Nothing is reserved for the stated length: the list grows as its items are decoded.
    let mut list = Vec::new();
    for _ in 0..length {
        list.push(T::de_bin(offset, input)?);
    }
    Ok(list)
}
