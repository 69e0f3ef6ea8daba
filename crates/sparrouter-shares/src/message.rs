//! Format of the messages by which nodes request and grant quota shares.
//!
//! Format 1, at most 256 bytes, numbers little-endian:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | 0xA5; no other type of datagram between nodes starts with it |
//! | 1 | format number, 1 |
//! | 2 | 0 for a request, 1 for a grant |
//! | 3, 4 | fingerprint of the names of the limits |
//! | 5, 6 | number of nodes in the sender's view |
//! | 7, 8 | previous number of nodes in the sender's view, 0 if none |
//! | 9, 10 | tenths of a second for which the number of nodes has not changed |
//! | 11 to 14 | sequence number of the request, repeated in the grant |
//! | then rows | request: index of the limit (1 byte), rate in use, rate needed (4-byte floats); grant: index of the limit (1 byte), rate (4-byte float) |
//! | last 2 | low half of the CRC-32 of all bytes before |
//!
//! Nodes of different versions exchange messages, so the bytes must not change under this format number.
use crate::size::ClusterSizeView;
use crate::{Nanos, SECOND};

/// First byte of every message. No other type of datagram between nodes starts with it.
pub const FIRST_BYTE: u8 = 0xA5;
const FORMAT: u8 = 1;
const REQUEST: u8 = 0;
const GRANT: u8 = 1;
const HEADER_LENGTH: usize = 15;
const CHECKSUM_LENGTH: usize = 2;
const MAX_LENGTH: usize = 256;
const REQUEST_ROW_LENGTH: usize = 9;
const GRANT_ROW_LENGTH: usize = 5;
/// Maximum number of rows of a request.
pub const MAX_ROWS: usize = (MAX_LENGTH - HEADER_LENGTH - CHECKSUM_LENGTH) / REQUEST_ROW_LENGTH;

/// Unit of times in a message, in nanoseconds.
const TENTH_OF_SECOND: Nanos = SECOND / 10;

/// Rows of a message. Each row starts with the index of a limit; rates are in units per second.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaRows {
    /// Request for shares. Each row is a limit, the rate that the sender may use now, and the rate that it needs.
    Request(Vec<(u8, f64, f64)>),
    /// Response to a request. Each row is a limit and the granted rate; a rate of 0 ends the previous grant.
    Grant(Vec<(u8, f64)>),
}

/// A request for quota shares, or the grant that answers it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaMessage {
    /// Fingerprint of the ordered names of the limits. Nodes ignore messages with a different fingerprint.
    pub fingerprint: u16,
    /// The sender's view of the cluster's size.
    pub size_view: ClusterSizeView,
    /// Random number of the request. A grant is accepted only if it repeats the number of the outstanding request.
    pub sequence: u32,
    /// Requested or granted rates. Rows beyond [`MAX_ROWS`] are not written.
    pub rows: QuotaRows,
}

fn to_u16(number: usize) -> u16 {
    number.min(usize::from(u16::MAX)) as u16
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes([bytes[offset], bytes[offset + 1]])
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}

/// Reads a rate; `None` if it is not finite or negative.
fn rate_at(bytes: &[u8], offset: usize) -> Option<f64> {
    let rate = f64::from(f32::from_bits(u32_at(bytes, offset)));
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

impl QuotaRows {
    fn write(&self, bytes: &mut Vec<u8>) {
        match self {
            QuotaRows::Request(rows) => {
                for (limit, in_use, needed) in rows.iter().take(MAX_ROWS) {
                    bytes.push(*limit);
                    bytes.extend((*in_use as f32).to_le_bytes());
                    bytes.extend((*needed as f32).to_le_bytes());
                }
            }
            QuotaRows::Grant(rows) => {
                for (limit, granted) in rows.iter().take(MAX_ROWS) {
                    bytes.push(*limit);
                    // The rate is rounded down, as the borrower must not use more than the lender has reserved.
                    bytes.extend((*granted as f32).next_down().max(0.0).to_le_bytes());
                }
            }
        }
    }

    fn read(kind: u8, bytes: &[u8]) -> Option<QuotaRows> {
        match kind {
            REQUEST if bytes.len().is_multiple_of(REQUEST_ROW_LENGTH) => bytes
                .chunks_exact(REQUEST_ROW_LENGTH)
                .map(|row| Some((row[0], rate_at(row, 1)?, rate_at(row, 5)?)))
                .collect::<Option<_>>()
                .map(QuotaRows::Request),
            GRANT if bytes.len().is_multiple_of(GRANT_ROW_LENGTH) => bytes
                .chunks_exact(GRANT_ROW_LENGTH)
                .map(|row| Some((row[0], rate_at(row, 1)?)))
                .collect::<Option<_>>()
                .map(QuotaRows::Grant),
            _ => None,
        }
    }
}

impl QuotaMessage {
    /// Encodes the message in the format that the module documentation describes.
    pub fn write(&self) -> Vec<u8> {
        let kind = match self.rows {
            QuotaRows::Request(_) => REQUEST,
            QuotaRows::Grant(_) => GRANT,
        };
        let unchanged_tenths = (self.size_view.unchanged_for / TENTH_OF_SECOND) as usize;
        let mut bytes = vec![FIRST_BYTE, FORMAT, kind];
        bytes.extend(self.fingerprint.to_le_bytes());
        bytes.extend(to_u16(self.size_view.nodes).to_le_bytes());
        bytes.extend(to_u16(self.size_view.previous_nodes).to_le_bytes());
        bytes.extend(to_u16(unchanged_tenths).to_le_bytes());
        bytes.extend(self.sequence.to_le_bytes());
        self.rows.write(&mut bytes);
        bytes.extend((crc32fast::hash(&bytes) as u16).to_le_bytes());
        bytes
    }

    /// Decodes a message. Returns `None` for another type of datagram, a truncated or corrupt datagram, an unknown format,
    /// or a rate that is negative or not finite.
    pub fn read(datagram: &[u8]) -> Option<QuotaMessage> {
        let (bytes, checksum) = datagram.split_last_chunk::<CHECKSUM_LENGTH>()?;
        let is_intact = (crc32fast::hash(bytes) as u16).to_le_bytes() == *checksum;
        if !is_intact || bytes.len() < HEADER_LENGTH {
            return None;
        }
        if bytes[0] != FIRST_BYTE || bytes[1] != FORMAT {
            return None;
        }
        Some(QuotaMessage {
            fingerprint: u16_at(bytes, 3),
            size_view: ClusterSizeView {
                nodes: u16_at(bytes, 5).into(),
                previous_nodes: u16_at(bytes, 7).into(),
                unchanged_for: Nanos::from(u16_at(bytes, 9)) * TENTH_OF_SECOND,
            },
            sequence: u32_at(bytes, 11),
            rows: QuotaRows::read(bytes[2], &bytes[HEADER_LENGTH..])?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn message(rows: QuotaRows) -> QuotaMessage {
        QuotaMessage {
            fingerprint: 0x1234,
            size_view: ClusterSizeView {
                nodes: 16,
                previous_nodes: 4,
                unchanged_for: 3 * SECOND,
            },
            sequence: 7,
            rows,
        }
    }

    /// Golden test: nodes of other versions must be able to decode these bytes.
    #[test]
    fn given_a_request_when_encoded_then_the_bytes_are_golden_and_truncated_ones_are_rejected() {
        let request = message(QuotaRows::Request(vec![(2, 1.5, 4.0)]));
        let bytes = request.write();
        let golden = [
            0xa5, 1, 0, 0x34, 0x12, 16, 0, 4, 0, 30, 0, 7, 0, 0, 0, 2, 0, 0, 0xc0, 0x3f, 0, 0,
            0x80, 0x40,
        ];
        assert_eq!(bytes[..24], golden);
        assert_eq!(QuotaMessage::read(&bytes), Some(request));
        for length in 0..bytes.len() {
            assert_eq!(QuotaMessage::read(&bytes[..length]), None);
        }
        let full = message(QuotaRows::Request(vec![(0, 1.0, 1.0); 100]));
        assert!(full.write().len() <= MAX_LENGTH);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
        #[test]
        fn given_random_bytes_when_decoded_then_nothing_panics_and_a_decoded_grant_is_never_higher(
            mut random in prop::collection::vec(any::<u8>(), 0..300), granted in 0.0..1e6f64,
        ) {
            random.truncate(256);
            let _ = QuotaMessage::read(&random);
            let grant = message(QuotaRows::Grant(vec![(0, granted)]));
            let Some(QuotaMessage { rows: QuotaRows::Grant(rows), .. }) = QuotaMessage::read(&grant.write()) else { panic!() };
            prop_assert!(rows[0].1 <= granted);
        }
    }
}
