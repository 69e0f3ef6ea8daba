//! Rendezvous hashing (HRW): every node scores all members for a key alone and finds the same order.
//!
//! Sources: Deb Allen, "Hash Load Balancing and Persistence on BIG-IP LTM" (the election hash of the present
//! program, see docs/design.md); Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998;
//! the finaliser is Stafford's variant 13 of MurmurHash3's.
mod slots;

pub use slots::{Member, SLOT_COUNT, SlotTable};

/// Spreads the bits of a number over all 64.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number for some bytes, the same in every process and release.
pub fn hash(bytes: &[u8]) -> u64 {
    // FNV-1a, finished by `mix`: ids are short, and its weak high bits are what `mix` mends.
    let folded = bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, &b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    mix(folded)
}

/// A member's draw for a key, strictly between 0 and 1.
pub fn unit(member: u64, key: u64) -> f64 {
    ((mix(member ^ mix(key)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A member's score for a key; its part of all keys is its weight's part of the sum. Highest wins.
pub fn score(member: u64, key: u64, weight: f64) -> f64 {
    weight / -unit(member, key).ln()
}

/// All members, best first; equal scores go by the member's own hash, so that every node agrees.
pub fn order<T: Copy>(members: impl Iterator<Item = (u64, T)>, key: u64) -> Vec<T> {
    let mut scored: Vec<_> = members.map(|(m, t)| (unit(m, key), m, t)).collect();
    scored.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    scored.into_iter().map(|(_, _, t)| t).collect()
}
