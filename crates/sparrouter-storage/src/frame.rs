//! The bytes of one file: head and record.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..8 | `cellar\r\n`: a transfer that touched line ends shows |
//! | 8..10 | format, little endian |
//! | 10..18 | version of the record, the same as in the file's name |
//! | 18..22 | length of the record |
//! | 22..26 | CRC-32 (IEEE) of bytes 8..22 and the record |
//! | 26.. | the record |
pub const MAGIC: [u8; 8] = *b"cellar\r\n";
pub const FORMAT: u16 = 1;
pub const HEAD: usize = 26;

#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    Good(Vec<u8>),
    Newer(u16),
    Damaged,
}

pub fn write(version: u64, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + record.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    let sum = checksum(&bytes[MAGIC.len()..], record);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes.extend_from_slice(record);
    bytes
}

pub fn read(version: u64, bytes: &[u8]) -> Opened {
    let Some((head, record)) = bytes.split_at_checked(HEAD) else {
        return Opened::Damaged;
    };
    if head[..8] != MAGIC {
        return Opened::Damaged;
    }
    // The format comes before the checksum: what a newer release sums, and how, this one can't know.
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
    let whole = format == FORMAT
        && number(10, 8) == version
        && number(18, 4) == record.len() as u64
        && number(22, 4) == u64::from(checksum(&head[MAGIC.len()..22], record));
    if whole {
        Opened::Good(record.to_vec())
    } else {
        Opened::Damaged
    }
}

fn checksum(head: &[u8], record: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(head);
    sum.update(record);
    sum.finalize()
}
