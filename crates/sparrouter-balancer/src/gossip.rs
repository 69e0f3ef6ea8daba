//! What nodes tell each other, as bytes. What is told, to whom and what follows is decided in
//! `policy.rs`.
//!
//! Numbers are little-endian. Format 0: counts of tenants and of cache servers (a byte each), arrivals (2 bytes each), part
//! turned away and arrivals of all keys (4 bytes each), rows of cache servers, then of keys (12 bytes each, to the end).
//! Format 1 adds a tail of 4 bytes: the sender's tenants, and a checksum of all before it. Readers of format 0 pass over
//! what is no whole row, so that both read each other. A tail of 8 bytes is a later format's that still begins as
//! format 1; a first byte from 128 on one that has nothing in common: readers of format 0 find it cut short. A later
//! format's checksum stands last, over all before it.

/// Formats that are read; the last is written.
pub const FORMATS: [u8; 2] = [0, 1];
/// A row, and the tail of format 1.
const ROW: usize = 12;
const TAIL: usize = 4;
/// First bytes from here on are of formats that have nothing in common with ours.
const OTHERWISE: u8 = 128;

/// A name's hash and two sums.
pub type Sums = (u32, f64, f64);

#[derive(Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// Arrivals by tenant in the last second.
    pub arrived: Vec<u16>,
    /// Part of the load that the sender turns away.
    pub excess: f64,
    /// Bad endings and all, of single cache servers.
    pub caches: Vec<Sums>,
    /// Arrivals of all keys, then arrivals and slowness of single ones.
    pub total: f64,
    pub keys: Vec<Sums>,
    /// A fingerprint of the tenants that arrivals are counted by; none in format 0.
    pub tenants: Option<u16>,
}

fn checksum(text: &[u8]) -> [u8; 2] {
    (crc32fast::hash(text) as u16).to_le_bytes()
}

impl GossipMessage {
    pub fn write(&self) -> Vec<u8> {
        let mut text = vec![self.arrived.len() as u8, self.caches.len() as u8];
        text.extend(self.arrived.iter().flat_map(|n| n.to_le_bytes()));
        text.extend((self.excess as f32).to_le_bytes());
        text.extend((self.total as f32).to_le_bytes());
        for &(name, a, b) in self.caches.iter().chain(&self.keys) {
            text.extend(name.to_le_bytes());
            text.extend((a as f32).to_le_bytes());
            text.extend((b as f32).to_le_bytes());
        }
        if let Some(tenants) = self.tenants {
            text.extend(tenants.to_le_bytes());
            text.extend(checksum(&text));
        }
        text
    }

    /// None where the text is cut short, spoilt, or of a format that has nothing in common with ours; numbers that
    /// are none count as 0.
    pub fn read(text: &[u8]) -> Option<GossipMessage> {
        let (&[tenants, caches], rest) = text.split_first_chunk()?;
        let (arrived, rest) = rest.split_at_checked(2 * usize::from(tenants))?;
        if tenants >= OTHERWISE {
            return None;
        }
        let rows = rest.len().checked_sub(8)?;
        let (rest, tail) = rest.split_at(rest.len() - rows % ROW);
        let told = match *tail {
            [] => None,
            [a, b, ref later @ .., _, _] if matches!(later.len() + TAIL, TAIL | 8) => {
                let (before, sum) = text.split_at(text.len() - 2);
                (checksum(before) == sum).then_some(Some(u16::from_le_bytes([a, b])))?
            }
            _ => return None,
        };
        let (excess, rest) = rest.split_first_chunk::<4>()?;
        let (total, rest) = rest.split_first_chunk::<4>()?;
        let number = |b: &[u8]| {
            let n = f32::from_le_bytes([b[0], b[1], b[2], b[3]]);
            if n.is_nan() {
                0.0
            } else {
                n.clamp(0.0, 1e6).into()
            }
        };
        let row = |b: &[u8]| {
            (
                u32::from_le_bytes([b[0], b[1], b[2], b[3]]),
                number(&b[4..]),
                number(&b[8..]),
            )
        };
        let mut rows: Vec<Sums> = rest.chunks_exact(ROW).map(row).collect();
        let keys = rows.split_off(rows.len().min(caches.into()));
        let arrived = arrived
            .chunks_exact(2)
            .map(|b| u16::from_le_bytes([b[0], b[1]]))
            .collect();
        Some(GossipMessage {
            arrived,
            excess: number(excess),
            caches: rows,
            total: number(total),
            keys,
            tenants: told,
        })
    }
}
