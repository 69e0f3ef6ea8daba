//! What nodes tell each other, as bytes. What is told, to whom and what follows is decided in
//! `policy.rs`.

/// A name's hash and two sums.
pub type Sums = (u32, f64, f64);

#[derive(Debug, Default, PartialEq)]
pub struct Telling {
    /// Arrivals by tenant in the last second.
    pub arrived: Vec<u16>,
    /// Part of the load that the sender turns away.
    pub excess: f64,
    /// Bad endings and all, of single cache servers.
    pub caches: Vec<Sums>,
    /// Arrivals of all keys, then arrivals and slowness of single ones.
    pub total: f64,
    pub keys: Vec<Sums>,
}

impl Telling {
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
        text
    }

    /// None where the text is cut short; numbers that are none count as 0.
    pub fn read(text: &[u8]) -> Option<Telling> {
        let (&[tenants, caches], rest) = text.split_first_chunk()?;
        let (arrived, rest) = rest.split_at_checked(2 * usize::from(tenants))?;
        let (excess, rest) = rest.split_first_chunk::<4>()?;
        let (total, rest) = rest.split_first_chunk::<4>()?;
        let number = |b: &[u8]| {
            let n = f32::from_le_bytes([b[0], b[1], b[2], b[3]]);
            if n.is_nan() { 0.0 } else { n.clamp(0.0, 1e6).into() }
        };
        let row = |b: &[u8]| (u32::from_le_bytes([b[0], b[1], b[2], b[3]]), number(&b[4..]), number(&b[8..]));
        let mut rows: Vec<Sums> = rest.chunks_exact(12).map(row).collect();
        let keys = rows.split_off(rows.len().min(caches.into()));
        let arrived = arrived.chunks_exact(2).map(|b| u16::from_le_bytes([b[0], b[1]])).collect();
        Some(Telling { arrived, excess: number(excess), caches: rows, total: number(total), keys })
    }
}
