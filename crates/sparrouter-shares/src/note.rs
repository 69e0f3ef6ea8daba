//! Notes between nodes, as bytes: one that asks for parts, one that gives them. Each says what its sender takes the
//! fleet's size to be. Numbers are little-endian.
//!
//! Format 1: 0xA5 (readers of other notes know it as none of theirs), 1 (the format), 0 to ask or 1 to give,
//! fingerprint of the limits (2 bytes), nodes, nodes before (2 bytes each), held in tenths of a second (2 bytes), the
//! ask's number (4 bytes), then rows: number of the limit (a byte) and, to ask, what one has and needs a second
//! (4-byte floats), to give, what is given; a checksum of all before it (2 bytes). 256 bytes at the most.
use crate::size::ClusterSizeView;
use crate::{Nanos, SECOND};

pub const FIRST_BYTE: u8 = 0xA5;
const FORMAT: u8 = 1;
const HEAD: usize = 15;
const MAX: usize = 256;
/// Rows that fit one note that asks.
pub const ROWS: usize = (MAX - HEAD - 2) / 9;

#[derive(Clone, Debug, PartialEq)]
pub enum QuotaRows {
    /// Limit, what the sender has, what it needs.
    Request(Vec<(u8, f64, f64)>),
    Give(Vec<(u8, f64)>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct QuotaMessage {
    pub fingerprint: u16,
    pub size_view: ClusterSizeView,
    pub sequence: u32,
    pub rows: QuotaRows,
}

const TENTH: Nanos = SECOND / 10;

impl QuotaMessage {
    pub fn write(&self) -> Vec<u8> {
        let mut text = vec![
            FIRST_BYTE,
            FORMAT,
            u8::from(matches!(self.rows, QuotaRows::Give(_))),
        ];
        let short = |n: usize| n.min(usize::from(u16::MAX)) as u16;
        text.extend(self.fingerprint.to_le_bytes());
        text.extend(short(self.size_view.nodes).to_le_bytes());
        text.extend(short(self.size_view.previous_nodes).to_le_bytes());
        text.extend(short((self.size_view.unchanged_for / TENTH) as usize).to_le_bytes());
        text.extend(self.sequence.to_le_bytes());
        match &self.rows {
            QuotaRows::Request(rows) => rows.iter().take(ROWS).for_each(|(limit, have, need)| {
                text.push(*limit);
                text.extend((*have as f32).to_le_bytes());
                text.extend((*need as f32).to_le_bytes());
            }),
            QuotaRows::Give(rows) => rows.iter().take(ROWS).for_each(|(limit, amount)| {
                text.push(*limit);
                // Never more than was reckoned with.
                text.extend((*amount as f32).next_down().max(0.0).to_le_bytes());
            }),
        }
        text.extend((crc32fast::hash(&text) as u16).to_le_bytes());
        text
    }

    /// None where it is no such note, cut short, spoilt, or has numbers that are none.
    pub fn read(text: &[u8]) -> Option<QuotaMessage> {
        let (text, sum) = text.split_last_chunk::<2>()?;
        if (crc32fast::hash(text) as u16).to_le_bytes() != *sum || text.len() < HEAD {
            return None;
        }
        let short = |at: usize| u16::from_le_bytes([text[at], text[at + 1]]);
        let number = |b: &[u8]| {
            let x = f64::from(f32::from_le_bytes([b[0], b[1], b[2], b[3]]));
            (x.is_finite() && x >= 0.0).then_some(x)
        };
        if text[0] != FIRST_BYTE || text[1] != FORMAT {
            return None;
        }
        let says = ClusterSizeView {
            nodes: short(5).into(),
            previous_nodes: short(7).into(),
            unchanged_for: Nanos::from(short(9)) * TENTH,
        };
        let rest = &text[HEAD..];
        let rows = match text[2] {
            0 if rest.len().is_multiple_of(9) => {
                let row = |r: &[u8]| Some((r[0], number(&r[1..5])?, number(&r[5..9])?));
                QuotaRows::Request(rest.chunks_exact(9).map(row).collect::<Option<_>>()?)
            }
            1 if rest.len().is_multiple_of(5) => {
                let row = |r: &[u8]| Some((r[0], number(&r[1..5])?));
                QuotaRows::Give(rest.chunks_exact(5).map(row).collect::<Option<_>>()?)
            }
            _ => return None,
        };
        let number = u32::from_le_bytes([text[11], text[12], text[13], text[14]]);
        Some(QuotaMessage {
            fingerprint: short(3),
            size_view: says,
            sequence: number,
            rows,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Golden: what a node of another version must still read, byte for byte.
    #[test]
    fn the_format_stands() {
        let says = ClusterSizeView {
            nodes: 16,
            previous_nodes: 4,
            unchanged_for: 3 * SECOND,
        };
        let note = QuotaMessage {
            fingerprint: 0x1234,
            size_view: says,
            sequence: 7,
            rows: QuotaRows::Request(vec![(2, 1.5, 4.0)]),
        };
        let text = note.write();
        let golden = [
            0xa5, 1, 0, 0x34, 0x12, 16, 0, 4, 0, 30, 0, 7, 0, 0, 0, 2, 0, 0, 0xc0, 0x3f, 0, 0,
            0x80, 0x40,
        ];
        assert_eq!(text[..24], golden);
        assert_eq!(QuotaMessage::read(&text), Some(note));
        for cut in 0..text.len() {
            assert_eq!(QuotaMessage::read(&text[..cut]), None);
        }
        let full = QuotaMessage {
            fingerprint: 0,
            size_view: says,
            sequence: 0,
            rows: QuotaRows::Request(vec![(0, 1.0, 1.0); 100]),
        };
        assert!(full.write().len() <= MAX);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
        #[test]
        fn rubbish_is_no_note_and_what_is_given_is_never_more(
            mut text in prop::collection::vec(any::<u8>(), 0..300), amount in 0.0..1e6f64,
        ) {
            text.truncate(256);
            let _ = QuotaMessage::read(&text);
            let rows = QuotaRows::Give(vec![(0, amount)]);
            let note = QuotaMessage { fingerprint: 1, size_view: ClusterSizeView::default(), sequence: 9, rows };
            let Some(QuotaMessage { rows: QuotaRows::Give(rows), .. }) = QuotaMessage::read(&note.write()) else { panic!() };
            prop_assert!(rows[0].1 <= amount);
        }
    }
}
