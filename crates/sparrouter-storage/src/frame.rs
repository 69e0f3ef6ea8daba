//! The byte format of one file: a header followed by the record. Numbers are little-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..8 | `cellar\r\n`; the line ending reveals whether a file transfer converted line endings |
//! | 8..10 | format version |
//! | 10..18 | version of the record, as in the file name |
//! | 18..22 | length of the record in bytes |
//! | 22..26 | CRC-32 (IEEE) of bytes 8..22 and the record |
//! | 26.. | the record |
use std::ops::Range;

/// The first bytes of each file. They never change, because data directories of older releases contain them.
pub const MAGIC: [u8; 8] = *b"cellar\r\n";
/// The newest format version that this release reads and writes.
pub const FORMAT: u16 = 1;
/// Length of the header in bytes.
pub const HEADER_LENGTH: usize = 26;

// Positions of the fields in the header.
const VERSION_BYTES: Range<usize> = 10..18;
const LENGTH_BYTES: Range<usize> = 18..22;
const CHECKSUM_BYTES: Range<usize> = 22..26;
/// The bytes of the header that the checksum covers.
const CHECKED_BYTES: Range<usize> = 8..22;

/// The decoded content of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodedFile {
    /// A complete record.
    Record(Vec<u8>),
    /// A file of a newer release. Contains the file's format version.
    Newer(u16),
    /// A file that is incomplete, corrupted, or belongs to another version of the record.
    Damaged,
}

/// Encodes the file of a record. Records are smaller than 4 GiB (see [`crate::store::MAX_RECORD_BYTES`]).
pub fn write(version: u64, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + record.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    let checksum = checksum(&bytes[CHECKED_BYTES], record);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// Decodes and checks the bytes of a file. `version` is the record's version according to the file name.
pub fn read(version: u64, bytes: &[u8]) -> DecodedFile {
    let Some((header, record)) = bytes.split_at_checked(HEADER_LENGTH) else {
        return DecodedFile::Damaged;
    };
    if !header.starts_with(&MAGIC) {
        return DecodedFile::Damaged;
    }
    // The format is checked before the checksum, because a newer release may compute the checksum differently.
    let format = u16::from_le_bytes([header[8], header[9]]);
    if format > FORMAT {
        return DecodedFile::Newer(format);
    }
    let expected_checksum = checksum(&header[CHECKED_BYTES], record);
    let is_complete = format == FORMAT
        && read_number(&header[VERSION_BYTES]) == version
        && read_number(&header[LENGTH_BYTES]) == record.len() as u64
        && read_number(&header[CHECKSUM_BYTES]) == u64::from(expected_checksum);
    if is_complete {
        DecodedFile::Record(record.to_vec())
    } else {
        DecodedFile::Damaged
    }
}

/// Decodes a little-endian number of at most eight bytes.
fn read_number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

fn checksum(header: &[u8], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(record);
    hasher.finalize()
}
