//! Rendezvous hashing (highest random weight, HRW): each node scores all members for a key on its own, and all nodes
//! compute the same order.
//!
//! | module | its one job |
//! | --- | --- |
//! | this one | hashes, scores, and the order of members for a key |
//! | `slot_table` | a table of owners, for lookups in constant time |
//!
//! Sources: Deb Allen, "Hash Load Balancing and Persistence on BIG-IP LTM" (see docs/design.md); Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates", 1998; the finaliser is Stafford's variant 13 of MurmurHash3's.
mod slot_table;

pub use slot_table::{Member, SLOT_COUNT, SlotTable};

/// The FNV-1a offset basis and prime for 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Bits of the significand of an `f64`: as many random bits become a number between 0 and 1 without rounding.
const SIGNIFICAND_BITS: u32 = 53;

/// Mixes the bits of a number, so that each bit of the result depends on all bits of `bits`. A bijection.
pub fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hashes bytes: the same number in every process and release. Not for keys that an attacker may choose.
pub fn hash(bytes: &[u8]) -> u64 {
    // FNV-1a alone leaves the high bits of short ids poorly mixed, so `mix` finishes it.
    let folded = bytes.iter().fold(FNV_OFFSET, |state, &byte| {
        (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(folded)
}

/// The pseudo-random number of a member (by its hash) for a key, strictly between 0 and 1.
pub fn unit(member: u64, key: u64) -> f64 {
    let random_bits = mix(member ^ mix(key)) >> (u64::BITS - SIGNIFICAND_BITS);
    (random_bits as f64 + 0.5) / (1u64 << SIGNIFICAND_BITS) as f64
}

/// The score of a member (by its hash) for a key; the highest wins. Over all keys a member wins in proportion to its
/// `weight`, which must be above 0.
pub fn score(member: u64, key: u64, weight: f64) -> f64 {
    weight / -unit(member, key).ln()
}

/// Orders members, each given by its hash and a payload, by falling score for a key. Equal scores are ordered by the
/// member's hash, so that all nodes agree.
pub fn order<T: Copy>(members: impl Iterator<Item = (u64, T)>, key: u64) -> Vec<T> {
    let mut scored: Vec<_> = members
        .map(|(member, payload)| (unit(member, key), member, payload))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    scored.into_iter().map(|(_, _, payload)| payload).collect()
}
