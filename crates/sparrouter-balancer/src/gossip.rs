//! The byte format of gossip messages between nodes. `policy/peers.rs` decides what a message contains, which peers
//! receive it, and how a received message is used.
//!
//! Numbers are little-endian. Format 0: number of tenants and number of cache servers (one byte each), arrivals by
//! tenant (2 bytes each), shed fraction and arrivals of all keys (4 bytes each), then rows of cache servers followed
//! by rows of keys (12 bytes each, to the end of the message). Format 1 appends a tail of 4 bytes: a fingerprint of
//! the sender's tenants, and a checksum of all preceding bytes. Readers of format 0 ignore a remainder that is
//! shorter than a row, so nodes of both formats can read each other's messages.
//!
//! Later formats: a tail of 8 bytes marks a format that extends format 1; its checksum comes last and covers all
//! preceding bytes. A first byte of 128 or more marks an incompatible format, which readers of format 0 reject as
//! truncated.

/// Formats that [`GossipMessage::decode`] reads. [`GossipMessage::encode`] writes the last one.
pub const FORMATS: [u8; 2] = [0, 1];
/// Length of a row, in bytes.
const ROW_LEN: usize = 12;
/// Length of the tail of format 1, in bytes.
const TAIL_LEN: usize = 4;
/// Length of the tail of a later format that extends format 1, in bytes.
const LATER_TAIL_LEN: usize = 8;
/// Lowest first byte that marks an incompatible format.
const FIRST_INCOMPATIBLE: u8 = 128;
/// Upper bound of decoded numbers; higher ones are clamped to it.
const MAX_NUMBER: f32 = 1e6;

/// Outcomes of the forwards to one cache server, as a push-sum pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheRow {
    /// Lower half of the hash of the cache server's id.
    pub id_hash: u32,
    /// Sum of the badness of the forwards, each from 0 to 1.
    pub bad: f64,
    /// Number of forwards, decayed by age.
    pub total: f64,
}

/// Arrivals of invocations with one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRow {
    /// Upper half of the key's hash.
    pub key_hash: u32,
    /// Number of arrivals, decayed by age.
    pub arrivals: f64,
    /// Sum over the key's forwards of the fraction of the latency target that each took.
    pub slowness: f64,
}

/// A gossip message from one node to another.
#[derive(Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// Number of arrivals of each tenant in the last second, by tenant index.
    pub arrivals_by_tenant: Vec<u16>,
    /// Fraction of the load that the sender sheds.
    pub shed_fraction: f64,
    /// Outcomes of individual cache servers.
    pub caches: Vec<CacheRow>,
    /// Number of arrivals of all keys, decayed by age.
    pub total_arrivals: f64,
    /// Arrivals of individual keys.
    pub keys: Vec<KeyRow>,
    /// Fingerprint of the sender's list of tenants, to which the indices of `arrivals_by_tenant` refer; `None` in
    /// format 0.
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

/// The first four bytes of `bytes`.
fn first_four_bytes(bytes: &[u8]) -> [u8; 4] {
    [bytes[0], bytes[1], bytes[2], bytes[3]]
}

fn decode_number(bytes: &[u8]) -> f64 {
    let number = f32::from_le_bytes(first_four_bytes(bytes));
    if number.is_nan() {
        return 0.0;
    }
    number.clamp(0.0, MAX_NUMBER).into()
}

fn decode_cache_row(row: &[u8]) -> CacheRow {
    CacheRow {
        id_hash: u32::from_le_bytes(first_four_bytes(row)),
        bad: decode_number(&row[4..]),
        total: decode_number(&row[8..]),
    }
}

fn decode_key_row(row: &[u8]) -> KeyRow {
    KeyRow {
        key_hash: u32::from_le_bytes(first_four_bytes(row)),
        arrivals: decode_number(&row[4..]),
        slowness: decode_number(&row[8..]),
    }
}

/// Reads the tenants' fingerprint from the tail of a message: `None` if the tail is corrupt, `Some(None)` in format
/// 0.
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
    /// Encodes the message: in format 1 if it has a fingerprint of the tenants, otherwise in format 0.
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

    /// Decodes a message; `None` if the bytes are truncated, corrupt or of an incompatible format. NaN is read as 0.
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
