//! Messages between nodes, as bytes. What they carry, to whom and what follows is decided in `policy/peers.rs`.
//!
//! Numbers are little-endian. Format 0: counts of tenants and of cache servers (a byte each), arrivals (2 bytes each), shed
//! fraction and arrivals of all keys (4 bytes each), rows of cache servers, then of keys (12 bytes each, to the end).
//! Format 1 adds a tail of 4 bytes: the sender's tenants, and a checksum of all bytes before it. Readers of format 0 skip
//! a rest that is shorter than a row, so that both read each other. A tail of 8 bytes is a later format's that still begins
//! as format 1; a first byte from 128 on is one that has nothing in common: readers of format 0 find it cut short. A later
//! format's checksum stands last, over all bytes before it.

/// Formats that are read; the last is written.
pub const FORMATS: [u8; 2] = [0, 1];
/// Bytes of a row.
const ROW_LEN: usize = 12;
/// Bytes of the tail of format 1.
const TAIL_LEN: usize = 4;
/// Bytes of the tail of a later format that begins as format 1.
const LATER_TAIL_LEN: usize = 8;
/// First bytes from here on are of formats that have nothing in common with this one.
const FIRST_INCOMPATIBLE: u8 = 128;
/// Highest number that is read; higher ones count as this.
const MAX_NUMBER: f32 = 1e6;

/// Outcomes of one cache server's forwards: a push-sum pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheRow {
    /// The lower half of the hash of its id.
    pub id_hash: u32,
    /// Sum of the badness of its forwards, each from 0 to 1.
    pub bad: f64,
    /// Number of its forwards, faded by age.
    pub total: f64,
}

/// Arrivals with one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRow {
    /// The upper half of the key's hash.
    pub key_hash: u32,
    /// Number of arrivals, faded by age.
    pub arrivals: f64,
    /// Sum of the fractions of their latency target that its forwards took.
    pub slowness: f64,
}

/// A message from one node to another.
#[derive(Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// Arrivals by tenant in the last second.
    pub arrivals_by_tenant: Vec<u16>,
    /// Fraction of the load that the sender sheds.
    pub shed_fraction: f64,
    /// Outcomes of single cache servers.
    pub caches: Vec<CacheRow>,
    /// Arrivals of all keys, faded by age.
    pub total_arrivals: f64,
    /// Arrivals of single keys.
    pub keys: Vec<KeyRow>,
    /// A fingerprint of the tenants that arrivals are counted by; `None` in format 0.
    pub tenants_fingerprint: Option<u16>,
}

fn checksum(bytes: &[u8]) -> [u8; 2] {
    (crc32fast::hash(bytes) as u16).to_le_bytes()
}

fn encode_row(bytes: &mut Vec<u8>, hash: u32, first: f64, second: f64) {
    bytes.extend(hash.to_le_bytes());
    bytes.extend((first as f32).to_le_bytes());
    bytes.extend((second as f32).to_le_bytes());
}

/// The hash at the beginning of a row or the number at the beginning of `bytes`, as four bytes.
fn first_four(bytes: &[u8]) -> [u8; 4] {
    [bytes[0], bytes[1], bytes[2], bytes[3]]
}

fn decode_number(bytes: &[u8]) -> f64 {
    let number = f32::from_le_bytes(first_four(bytes));
    if number.is_nan() {
        return 0.0;
    }
    number.clamp(0.0, MAX_NUMBER).into()
}

fn decode_cache_row(row: &[u8]) -> CacheRow {
    CacheRow {
        id_hash: u32::from_le_bytes(first_four(row)),
        bad: decode_number(&row[4..]),
        total: decode_number(&row[8..]),
    }
}

fn decode_key_row(row: &[u8]) -> KeyRow {
    KeyRow {
        key_hash: u32::from_le_bytes(first_four(row)),
        arrivals: decode_number(&row[4..]),
        slowness: decode_number(&row[8..]),
    }
}

/// The tenants' fingerprint from the tail of a message; `None` if the tail is spoilt, `Some(None)` in format 0.
fn decode_tail(message: &[u8], tail: &[u8]) -> Option<Option<u16>> {
    if tail.is_empty() {
        return Some(None);
    }
    if !matches!(tail.len(), TAIL_LEN | LATER_TAIL_LEN) {
        return None;
    }
    let (before, sum) = message.split_at(message.len() - 2);
    (checksum(before) == sum).then_some(Some(u16::from_le_bytes([tail[0], tail[1]])))
}

impl GossipMessage {
    /// The message's bytes: format 1 with a fingerprint of the tenants, format 0 without.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.arrivals_by_tenant.len() as u8, self.caches.len() as u8];
        for arrivals in &self.arrivals_by_tenant {
            bytes.extend(arrivals.to_le_bytes());
        }
        bytes.extend((self.shed_fraction as f32).to_le_bytes());
        bytes.extend((self.total_arrivals as f32).to_le_bytes());
        for row in &self.caches {
            encode_row(&mut bytes, row.id_hash, row.bad, row.total);
        }
        for row in &self.keys {
            encode_row(&mut bytes, row.key_hash, row.arrivals, row.slowness);
        }
        if let Some(fingerprint) = self.tenants_fingerprint {
            bytes.extend(fingerprint.to_le_bytes());
            bytes.extend(checksum(&bytes));
        }
        bytes
    }

    /// Reads a message's bytes; `None` if they are cut short, spoilt, or of a format that has nothing in common with this
    /// one. A number that is not one (NaN) counts as 0.
    pub fn decode(bytes: &[u8]) -> Option<GossipMessage> {
        let (&[tenants, caches], rest) = bytes.split_first_chunk()?;
        let (arrivals, rest) = rest.split_at_checked(2 * usize::from(tenants))?;
        if tenants >= FIRST_INCOMPATIBLE {
            return None;
        }
        let rows_and_tail = rest.len().checked_sub(8)?;
        let (rest, tail) = rest.split_at(rest.len() - rows_and_tail % ROW_LEN);
        let tenants_fingerprint = decode_tail(bytes, tail)?;
        let (shed_fraction, rest) = rest.split_first_chunk::<4>()?;
        let (total_arrivals, rest) = rest.split_first_chunk::<4>()?;
        let row_count = rest.len() / ROW_LEN;
        let (caches, keys) = rest.split_at(ROW_LEN * row_count.min(caches.into()));
        let arrivals = arrivals.chunks_exact(2);
        Some(GossipMessage {
            arrivals_by_tenant: arrivals
                .map(|pair| u16::from_le_bytes([pair[0], pair[1]]))
                .collect(),
            shed_fraction: decode_number(shed_fraction),
            caches: caches.chunks_exact(ROW_LEN).map(decode_cache_row).collect(),
            total_arrivals: decode_number(total_arrivals),
            keys: keys.chunks_exact(ROW_LEN).map(decode_key_row).collect(),
            tenants_fingerprint,
        })
    }
}
