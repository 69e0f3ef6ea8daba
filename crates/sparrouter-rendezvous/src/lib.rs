//! Rendezvous hashing (highest random weight, HRW): each node computes a score for every member and key, and all
//! nodes get the same order without communication.
//!
//! | module | responsibility |
//! | --- | --- |
//! | this one | hashes, scores, and the order of members for a key |
//! | `slot_table` | a precomputed table of owners for lookups in constant time |
//!
//! Sources: Deb Allen, "Hash Load Balancing and Persistence on BIG-IP LTM" (see docs/design.md); Thaler and
//! Ravishankar, "Using name-based mappings to increase hit rates", 1998; the finaliser is Stafford's variant 13 of
//! MurmurHash3's.
mod slot_table;

pub use slot_table::{Member, SLOT_COUNT, SlotTable};

/// The FNV-1a offset basis and prime for 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Number of bits in the significand of an `f64`: this many random bits convert to a number between 0 and 1 without
/// rounding.
const SIGNIFICAND_BITS: u32 = 53;

/// Mixes the bits of a number, so that each bit of the result depends on all bits of the input. The function is a
/// bijection.
pub fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hashes bytes to a number that is the same in every process and release. Not suitable for keys that an attacker can
/// choose.
pub fn hash(bytes: &[u8]) -> u64 {
    // FNV-1a mixes the high bits of short ids poorly, so `mix` is applied as a finaliser.
    let folded = bytes.iter().fold(FNV_OFFSET, |state, &byte| {
        (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(folded)
}

/// Pseudo-random number for a member and a key, strictly between 0 and 1. `member` is the hash of the member.
pub fn unit(member: u64, key: u64) -> f64 {
    let random_bits = mix(member ^ mix(key)) >> (u64::BITS - SIGNIFICAND_BITS);
    (random_bits as f64 + 0.5) / (1u64 << SIGNIFICAND_BITS) as f64
}

/// Score of a member for a key; the member with the highest score wins the key. `member` is the hash of the member.
/// Each member wins a fraction of all keys in proportion to its `weight`, which must be above 0.
pub fn score(member: u64, key: u64, weight: f64) -> f64 {
    weight / -unit(member, key).ln()
}

/// Orders members by descending score for a key. Each member is given by its hash and a payload; the payloads are
/// returned. Equal scores are ordered by the member's hash, so that all nodes agree.
pub fn order<T: Copy>(members: impl Iterator<Item = (u64, T)>, key: u64) -> Vec<T> {
    let mut scored: Vec<_> = members
        .map(|(member, payload)| (unit(member, key), member, payload))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    scored.into_iter().map(|(_, _, payload)| payload).collect()
}
