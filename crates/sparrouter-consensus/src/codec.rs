//! Bytes in and out, for the wire and the disk, such that no bytes make the reader panic, allocate or loop beyond them.
//!
//! `nanoserde` allocates whatever length the input states, so lists and strings are read here; the rest is derived.
use nanoserde::{DeBin, DeBinErr, SerBin};

/// First byte of all that is written; a reader refuses others.
pub const FORMAT: u8 = 1;
/// Longest name or address.
pub const MAX_TEXT_BYTES: usize = 256;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    #[error(
        "{length} bytes where at most {most} are taken: raise the limit at the receiver or send less"
    )]
    TooLong { length: usize, most: usize },
    #[error("format {found}, this release reads {FORMAT}: bring both ends to one release")]
    Format { found: u8 },
    #[error(
        "bytes that are no record or message of this format, at {at}: drop them and look at their sender"
    )]
    Malformed { at: usize },
}

pub fn encode<T: SerBin>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    value.ser_bin(&mut bytes);
    bytes
}

/// `most`: longest input that is looked at, format byte included.
pub fn decode<T: DeBin>(bytes: &[u8], most: usize) -> Result<T, CodecError> {
    if bytes.len() > most {
        return Err(CodecError::TooLong {
            length: bytes.len(),
            most,
        });
    }
    match bytes.first() {
        Some(&FORMAT) => {}
        Some(&found) => return Err(CodecError::Format { found }),
        None => return Err(CodecError::Malformed { at: 0 }),
    }
    let mut at = 1;
    let value = T::de_bin(&mut at, bytes).map_err(|e| CodecError::Malformed { at: e.o })?;
    if at == bytes.len() {
        Ok(value)
    } else {
        Err(CodecError::Malformed { at })
    }
}

pub(crate) fn write_bytes(bytes: &[u8], out: &mut Vec<u8>) {
    (bytes.len() as u32).ser_bin(out);
    out.extend_from_slice(bytes);
}

pub(crate) fn read_bytes(at: &mut usize, input: &[u8], most: usize) -> Result<Vec<u8>, DeBinErr> {
    let length = u32::de_bin(at, input)? as usize;
    let end = at
        .checked_add(length)
        .filter(|&end| end <= input.len() && length <= most);
    let end = end.ok_or_else(|| DeBinErr::new(*at, length, input.len()))?;
    let bytes = input[*at..end].to_vec();
    *at = end;
    Ok(bytes)
}

pub(crate) fn read_text(at: &mut usize, input: &[u8]) -> Result<String, DeBinErr> {
    let from = *at;
    let bytes = read_bytes(at, input, MAX_TEXT_BYTES)?;
    String::from_utf8(bytes).map_err(|_| DeBinErr::new(from, 0, input.len()))
}

pub(crate) fn write_list<T: SerBin>(list: &[T], out: &mut Vec<u8>) {
    (list.len() as u16).ser_bin(out);
    list.iter().for_each(|item| item.ser_bin(out));
}

pub(crate) fn read_list<T: DeBin>(
    at: &mut usize,
    input: &[u8],
    most: usize,
) -> Result<Vec<T>, DeBinErr> {
    let from = *at;
    let length = u16::de_bin(at, input)? as usize;
    if length > most {
        return Err(DeBinErr::new(from, length, most));
    }
    // Grows with what is really there: a stated length alone reserves nothing.
    let mut list = Vec::new();
    for _ in 0..length {
        list.push(T::de_bin(at, input)?);
    }
    Ok(list)
}
