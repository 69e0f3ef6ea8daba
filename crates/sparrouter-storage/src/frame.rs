//! The byte format of one file: a head, then the record. Numbers are little-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..8 | `cellar\r\n`; the line end shows whether a transfer converted line ends |
//! | 8..10 | format version |
//! | 10..18 | version of the record, as in the file's name |
//! | 18..22 | length of the record in bytes |
//! | 22..26 | CRC-32 (IEEE) of bytes 8..22 and the record |
//! | 26.. | the record |

/// The first bytes of each file. Older data directories hold them, so they stay.
pub const MAGIC: [u8; 8] = *b"cellar\r\n";
/// The newest format version that this release reads and writes.
pub const FORMAT: u16 = 1;
/// Length of the head in bytes.
pub const HEAD: usize = 26;

/// What a file holds.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    /// A whole record.
    Good(Vec<u8>),
    /// A file of a newer release, with its format version.
    Newer(u16),
    /// Anything else.
    Damaged,
}

/// The bytes of the file for a record. Records are smaller than 4 GiB (see [`crate::store::MAX_RECORD_BYTES`]).
pub fn write(version: u64, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + record.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    let checksum = checksum(&bytes[MAGIC.len()..], record);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// Checks the bytes of a file whose name gives this version.
pub fn read(version: u64, bytes: &[u8]) -> Opened {
    let Some((head, record)) = bytes.split_at_checked(HEAD) else {
        return Opened::Damaged;
    };
    if head[..8] != MAGIC {
        return Opened::Damaged;
    }
    // The format is checked before the checksum, because a newer release may compute that differently.
    let format = u16::from_le_bytes([head[8], head[9]]);
    if format > FORMAT {
        return Opened::Newer(format);
    }
    let number = |from: usize, n: usize| {
        head[from..from + n]
            .iter()
            .rev()
            .fold(0u64, |x, &b| x << 8 | u64::from(b))
    };
    let is_whole = format == FORMAT
        && number(10, 8) == version
        && number(18, 4) == record.len() as u64
        && number(22, 4) == u64::from(checksum(&head[MAGIC.len()..22], record));
    if is_whole {
        Opened::Good(record.to_vec())
    } else {
        Opened::Damaged
    }
}

fn checksum(head: &[u8], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(record);
    hasher.finalize()
}
