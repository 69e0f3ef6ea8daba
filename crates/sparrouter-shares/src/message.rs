//! Format of the messages by which nodes request and grant quota shares.
//!
//! Format 1, at most 256 bytes, numbers little-endian:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | 0xA5, which readers of other datagrams between nodes reject |
//! | 1 | 1, the format |
//! | 2 | 0: a request, 1: a grant |
//! | 3, 4 | fingerprint of the limits |
//! | 5, 6 | number of nodes as the sender counts it |
//! | 7, 8 | number of nodes that it counted before, 0 for none |
//! | 9, 10 | tenths of a second for which the number has not changed |
//! | 11 to 14 | sequence number of the request; a grant repeats it |
//! | then rows | request: limit (1 byte), rate in use, rate needed (4-byte floats); grant: limit (1 byte), rate (4-byte float) |
//! | last 2 | low half of the CRC-32 of all bytes before |
//!
//! Nodes of different versions run side by side: the bytes must not change under this format number.
use crate::size::ClusterSizeView;
use crate::{Nanos, SECOND};

/// First byte of every message, which no other datagram between nodes starts with.
pub const FIRST_BYTE: u8 = 0xA5;
const FORMAT: u8 = 1;
const REQUEST: u8 = 0;
const GRANT: u8 = 1;
const HEADER_LENGTH: usize = 15;
const CHECKSUM_LENGTH: usize = 2;
const MAX_LENGTH: usize = 256;
const REQUEST_ROW_LENGTH: usize = 9;
const GRANT_ROW_LENGTH: usize = 5;
/// Rows that fit one request.
pub const MAX_ROWS: usize = (MAX_LENGTH - HEADER_LENGTH - CHECKSUM_LENGTH) / REQUEST_ROW_LENGTH;

/// Unit of the time in a message.
const TENTH_OF_SECOND: Nanos = SECOND / 10;

/// The rows of a message: rates in units a second by index of the limit.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaRows {
    /// A request for shares. Each row: limit, rate that the sender may use now, rate that it needs.
    Request(Vec<(u8, f64, f64)>),
    /// The answer to a request. Each row: limit, rate granted; 0 ends an earlier grant.
    Give(Vec<(u8, f64)>),
}

/// A request for quota shares, or the grant that answers it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaMessage {
    /// Fingerprint of the limits' names in their order; nodes ignore messages with another one.
    pub fingerprint: u16,
    /// The sender's view of the cluster's size.
    pub size_view: ClusterSizeView,
    /// Random number of the request. A grant counts only under the number of the request that is outstanding.
    pub sequence: u32,
    /// What is requested or granted; rows beyond [`MAX_ROWS`] are not written.
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

/// A rate, which must be finite and not negative.
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
            QuotaRows::Give(rows) => {
                for (limit, granted) in rows.iter().take(MAX_ROWS) {
                    bytes.push(*limit);
                    // Rounded down: the borrower must not use more than the lender reserved.
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
                .map(QuotaRows::Give),
            _ => None,
        }
    }
}

impl QuotaMessage {
    /// The bytes of the message, as the head of this module describes them.
    pub fn write(&self) -> Vec<u8> {
        let kind = match self.rows {
            QuotaRows::Request(_) => REQUEST,
            QuotaRows::Give(_) => GRANT,
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

    /// Reads a message; `None` for another kind of datagram, a truncated or damaged one, an unknown format, and a rate
    /// that is negative or not finite.
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

    /// Golden bytes, which a node of another version must still read.
    #[test]
    fn the_format_does_not_change() {
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
        fn random_bytes_are_no_message_and_a_grant_is_never_read_as_more(
            mut random in prop::collection::vec(any::<u8>(), 0..300), granted in 0.0..1e6f64,
        ) {
            random.truncate(256);
            let _ = QuotaMessage::read(&random);
            let grant = message(QuotaRows::Give(vec![(0, granted)]));
            let Some(QuotaMessage { rows: QuotaRows::Give(rows), .. }) = QuotaMessage::read(&grant.write()) else { panic!() };
            prop_assert!(rows[0].1 <= granted);
        }
    }
}
