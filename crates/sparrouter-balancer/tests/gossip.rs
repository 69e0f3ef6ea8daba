//! Formats of gossip messages: the exact bytes of each, and compatibility with readers of an older and a later
//! format.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sparrouter_balancer::gossip::{CacheRow, GossipMessage, KeyRow};

/// A message in format 0, which must be readable for as long as `FORMATS` contains it.
const FORMAT_0: &str = "0201070001010000003f0000c8410d0c0b0a000000400000404001000000000080400000803f02000000000000400000003f";
/// The same message in format 1.
const FORMAT_1: &str = "0201070001010000003f0000c8410d0c0b0a000000400000404001000000000080400000803f02000000000000400000003fcdaba9b0";

/// A row of a cache server or a key, as a reader of format 0 decodes it.
type Row = (u32, f64, f64);

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).unwrap())
        .collect()
}
fn hex(encoded: &[u8]) -> String {
    encoded.iter().map(|b| format!("{b:02x}")).collect()
}
fn cache_row((id_hash, bad, total): Row) -> CacheRow {
    CacheRow {
        id_hash,
        bad,
        total,
    }
}
fn key_row((key_hash, arrivals, slowness): Row) -> KeyRow {
    KeyRow {
        key_hash,
        arrivals,
        slowness,
    }
}
fn sample(tenants_fingerprint: Option<u16>) -> GossipMessage {
    GossipMessage {
        arrivals_by_tenant: vec![7, 257],
        shed_fraction: 0.5,
        caches: vec![cache_row((0x0a0b_0c0d, 2.0, 3.0))],
        total_arrivals: 25.0,
        keys: vec![key_row((1, 4.0, 1.0)), key_row((2, 2.0, 0.5))],
        tenants_fingerprint,
    }
}

/// Decodes a message like the reader of format 0, from before messages had versions.
fn decode_format_0(encoded: &[u8]) -> Option<(Vec<u16>, f32, Vec<Row>)> {
    let (&[tenants, _], rest) = encoded.split_first_chunk()?;
    let (arrivals, rest) = rest.split_at_checked(2 * usize::from(tenants))?;
    let (shed_fraction, rest) = rest.split_first_chunk::<4>()?;
    let (_, rest) = rest.split_first_chunk::<4>()?;
    let first_four_bytes = |b: &[u8]| [b[0], b[1], b[2], b[3]];
    let number = |b: &[u8]| f64::from(f32::from_le_bytes(first_four_bytes(b)));
    let row = |b: &[u8]| {
        (
            u32::from_le_bytes(first_four_bytes(b)),
            number(&b[4..]),
            number(&b[8..]),
        )
    };
    let arrivals = arrivals
        .chunks_exact(2)
        .map(|b| u16::from_le_bytes([b[0], b[1]]))
        .collect();
    Some((
        arrivals,
        f32::from_le_bytes(*shed_fraction),
        rest.chunks_exact(12).map(row).collect(),
    ))
}

#[test]
fn each_format_encodes_to_its_recorded_bytes() {
    for (tenants, golden) in [(None, FORMAT_0), (Some(0xabcd), FORMAT_1)] {
        assert_eq!(hex(&sample(tenants).encode()), golden);
        assert_eq!(GossipMessage::decode(&bytes(golden)), Some(sample(tenants)));
    }
}

#[test]
fn a_reader_of_format_0_reads_format_1_and_skips_the_tail() {
    let (arrivals, shed_fraction, rows) = decode_format_0(&bytes(FORMAT_1)).unwrap();
    assert_eq!((arrivals, shed_fraction), (vec![7, 257], 0.5));
    assert_eq!(
        rows,
        [(0x0a0b_0c0d, 2.0, 3.0), (1, 4.0, 1.0), (2, 2.0, 0.5)]
    );
}

#[test]
fn a_later_format_is_read_if_it_extends_format_1_and_rejected_if_incompatible() {
    let mut extended = bytes(FORMAT_1);
    extended.truncate(extended.len() - 2);
    extended.extend([1, 2, 3, 4]);
    let sum = crc32fast::hash(&extended) as u16;
    extended.extend(sum.to_le_bytes());
    assert_eq!(GossipMessage::decode(&extended), Some(sample(Some(0xabcd))));
    assert_eq!(decode_format_0(&extended).unwrap().0, [7, 257]);
    // An incompatible format: a reader of format 0 rejects it as truncated.
    let mut incompatible = vec![130];
    incompatible.resize(250, 0);
    assert_eq!(GossipMessage::decode(&incompatible), None);
    assert_eq!(decode_format_0(&incompatible), None);
}

#[test]
fn the_longest_message_has_at_most_256_bytes() {
    let row = |n| (n, 1.0, 2.0);
    let full = GossipMessage {
        arrivals_by_tenant: vec![1; 48],
        caches: (0..6).map(row).map(cache_row).collect(),
        keys: (0..6).map(row).map(key_row).collect(),
        ..sample(Some(1))
    };
    assert!(full.encode().len() <= 256, "{}", full.encode().len());
    assert_eq!(GossipMessage::decode(&full.encode()), Some(full));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A message of format 1 with a flipped bit or truncated is rejected, unless the remainder has exactly the length
    /// of format 0, which has no checksum. This can follow from truncation, or from a changed number of tenants.
    #[test]
    fn a_corrupted_message_is_rejected(bit in 0usize..FORMAT_1.len() * 4, cut in 0usize..FORMAT_1.len() / 2) {
        let mut encoded = bytes(FORMAT_1);
        encoded[bit / 8] ^= 1 << (bit % 8);
        match GossipMessage::decode(&encoded) {
            Some(message) if bit < 8 => prop_assert_eq!(message.tenants_fingerprint, None),
            read => prop_assert_eq!(read, None),
        }
        let short = &bytes(FORMAT_1)[..cut];
        if let Some(message) = GossipMessage::decode(short) {
            prop_assert_eq!(message.tenants_fingerprint, None);
        }
    }

    #[test]
    fn random_bytes_never_panic(encoded in prop::collection::vec(any::<u8>(), 0..260)) {
        let _ = GossipMessage::decode(&encoded);
    }
}
