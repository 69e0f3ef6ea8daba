//! Who asks for what, and when: drawn ahead from the seed, whatever the nodes answer.
use super::{Fault, Scenario};
use crate::{Nanos, nanos};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp1, Zipf};

/// One invocation that a client owes itself to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its number, from 0.
    pub number: u64,
    /// When it is due.
    pub at: Nanos,
    /// Index of its operation.
    pub operation: u8,
    /// Index of its tenant.
    pub tenant: u8,
    /// Its key.
    pub key: u64,
    /// Deals clients out to nodes.
    pub draw: u32,
    /// The client closes its connection after this part of its patience.
    pub leaves_after: Option<f32>,
}

/// Id of an invocation: operation, number and which try of its client it is. Cache servers see nothing
/// else of an operation.
pub fn id(operation: u8, number: u64, tried: u8) -> u64 {
    u64::from(operation) << 56 | (number & 0xf_ffff_ffff_ffff) << 4 | u64::from(tried & 15)
}
/// Index of the operation of an invocation's id.
pub fn operation_of(id: u64) -> u8 {
    (id >> 56) as u8
}
/// The first try that an id belongs to.
pub fn root(id: u64) -> u64 {
    id & !15
}

/// Spreads the bits, the same on any machine (the finalizer of SplitMix64; Steele, Lea, Flood 2014).
pub fn scramble(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Name of the key of this rank, the most popular first.
pub fn key(seed: u64, rank: usize) -> u64 {
    scramble(seed ^ (rank as u64) << 20)
}

struct HotKeys {
    from: Nanos,
    to: Nanos,
    part: f64,
    keys: u64,
}

/// The arrivals of a scenario in the order of time: an iterator.
pub struct Arrivals {
    rng: ChaCha8Rng,
    seed: u64,
    at: f64,
    end: f64,
    number: u64,
    rate: f64,
    ramp_to: f64,
    bursts: Vec<(f64, f64, f64)>,
    hot: Vec<HotKeys>,
    operations: WeightedIndex<f64>,
    tenants: WeightedIndex<f64>,
    keys: Zipf<f64>,
    leave_part: f64,
}

impl Arrivals {
    /// For a scenario whose defaults are filled in.
    ///
    /// # Panics
    ///
    /// If the scenario has no valid distribution of keys, which its check rules out.
    pub fn new(s: &Scenario) -> Arrivals {
        let mut bursts = Vec::new();
        let mut hot = Vec::new();
        for f in &s.fault {
            match *f {
                Fault::Burst {
                    at_s,
                    length_s,
                    times,
                } => bursts.push((at_s, at_s + length_s, times)),
                Fault::HotKey {
                    at_s,
                    length_s,
                    part,
                    keys,
                } => hot.push(HotKeys {
                    from: nanos(at_s),
                    to: nanos(at_s + length_s),
                    part,
                    keys: keys as u64,
                }),
                _ => {}
            }
        }
        let weights = |all: Vec<f64>| WeightedIndex::new(all).expect("shares were checked");
        let sends: Vec<f64> = s.tenant.iter().map(|t| t.sends).collect();
        let sends = if sends.iter().sum::<f64>() > 0.0 {
            sends
        } else {
            vec![1.0; sends.len()]
        };
        Arrivals {
            rng: ChaCha8Rng::seed_from_u64(s.seed),
            seed: s.seed,
            at: 0.0,
            end: s.length_s,
            number: 0,
            rate: s.load.rate_per_s,
            ramp_to: s.load.ramp_to,
            bursts,
            hot,
            operations: weights(s.operation.iter().map(|o| o.share).collect()),
            tenants: weights(sends),
            keys: Zipf::new(s.load.keys as f64, s.load.zipf).expect("the exponent was checked"),
            leave_part: s.load.leave_part,
        }
    }

    fn rate_at(&self, at: f64) -> f64 {
        let ramp = 1.0 + (self.ramp_to - 1.0) * at / self.end;
        let inside = self.bursts.iter().filter(|b| (b.0..b.1).contains(&at));
        // A multiple of 0 would never draw a next arrival.
        (self.rate * ramp * inside.map(|b| b.2).product::<f64>()).max(0.01)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let rate = self.rate_at(self.at);
        // A step of at most 10 ms at a time, so that a slow rate does not leap over a burst's start.
        let mut left = gap / rate;
        while left > 0.01 {
            let before = self.rate_at(self.at);
            self.at += 0.01;
            left = (left - 0.01) * before / self.rate_at(self.at);
            if self.at >= self.end {
                return None;
            }
        }
        self.at += left;
        if self.at >= self.end {
            return None;
        }
        let at = nanos(self.at);
        self.number += 1;
        let mut rank = self.keys.sample(&mut self.rng) as usize - 1;
        let draw: f64 = self.rng.random();
        if let Some(hot) = self
            .hot
            .iter()
            .find(|h| (h.from..h.to).contains(&at) && draw < h.part)
        {
            // Keys that were nobody's favourites before.
            rank = 1_000_000_000 + (self.number % hot.keys) as usize;
        }
        let operation = self.operations.sample(&mut self.rng) as u8;
        let tenant = self.tenants.sample(&mut self.rng) as u8;
        let leaves_after =
            (self.rng.random::<f64>() < self.leave_part).then(|| self.rng.random::<f32>());
        let draw = self.rng.random();
        let key = key(self.seed, rank);
        Some(Arrival {
            number: self.number,
            at,
            operation,
            tenant,
            key,
            draw,
            leaves_after,
        })
    }
}
