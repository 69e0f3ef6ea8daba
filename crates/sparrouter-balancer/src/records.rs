//! What the decisions keep in mind: plain records and the arithmetic of their means. What is done
//! with them is decided in `policy.rs`.
use crate::gossip::Sums;
use crate::policy::Policy;
use crate::types::*;
use std::collections::{BTreeMap, HashMap};

/// What to do with the result of a forward; every forward leaves one behind.
pub type Then = fn(&mut Policy, InvocationIndex, &ForwardOutcome);

#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Open,
    NeverRan,
    MayHaveRun,
}

pub struct Forward {
    pub cache: CacheIndex,
    pub at: Nanos,
    pub fate: Fate,
    /// Its connection broke.
    pub broke: bool,
    pub erred: bool,
    /// A fetch that a cold cache server's miss led to.
    pub cold: bool,
    pub then: Then,
}

#[derive(Default)]
pub struct Inv {
    pub arrival: Arrival,
    pub key: u64,
    /// Billed value, cut beyond quota; writes before reads.
    pub value: f64,
    /// End of its latency objective, and when nothing is earned any more.
    pub good_until: Nanos,
    pub give_up: Nanos,
    pub forwards: Vec<Forward>,
    pub over: bool,
    pub begun: bool,
    pub leads: bool,
    /// A cold cache server missed for it.
    pub cold: bool,
}

impl Inv {
    pub fn open(&self) -> usize {
        self.forwards
            .iter()
            .filter(|f| f.fate == Fate::Open)
            .count()
    }
    pub fn live(&self) -> bool {
        !self.over && !self.begun
    }
    /// The first forward that ran, may have run or may still run.
    pub fn first_effect(&self) -> Option<&Forward> {
        self.forwards.iter().find(|f| f.fate != Fate::NeverRan)
    }
}

pub struct Doubt {
    pub until: Nanos,
    pub backoff: Nanos,
    /// A probe was answered, so one invocation may try it.
    pub trial: bool,
}

#[derive(Default)]
pub struct Cache {
    pub id_hash: u64,
    pub standing: LifecycleState,
    /// The list has it no more, which is advice here: it may still be sent to.
    pub missing: bool,
    pub zone: usize,
    pub cell: i64,
    pub kind: usize,
    pub weight: f64,
    pub ready_at: Nanos,
    pub out: u32,
    /// Something was sent there; until then it counts at the mean of the others.
    pub used: bool,
    pub heard: Nanos,
    pub strikes: u32,
    pub unreachable: bool,
    pub doubt: Option<Doubt>,
    /// What this node may have in flight there.
    pub limit: f64,
    /// Forwards of late that came to nothing in time, of how many, and when that was learnt.
    pub bad: f64,
    pub known: f64,
    pub learnt_at: Nanos,
    /// The same over a longer time, with what peers told.
    pub crowd: (f64, f64),
    /// Forwards that may leave now while it is cold, and when that was reckoned.
    pub tokens: f64,
    pub filled_at: Nanos,
}

/// What one ending adds to what is known of a cache server.
pub const LEARN_PART: f64 = 0.2;
pub const LIMIT_MAX: f64 = 16.0;

impl Cache {
    pub fn learn(&mut self, bad: f64, slow: f64, now: Nanos) {
        // Additive rise, multiplicative fall.
        self.limit = if bad > 0.0 {
            self.limit * (1.0 - bad / 2.0)
        } else {
            self.limit + 0.5 / self.limit
        };
        self.limit = self.limit.clamp(1.0, LIMIT_MAX);
        let kept = (1.0 - LEARN_PART) * fade((now - self.learnt_at) / 4);
        (self.bad, self.known) = (
            kept * self.bad + LEARN_PART * bad,
            kept * self.known + LEARN_PART,
        );
        let kept = fade((now - self.learnt_at) / 8);
        self.crowd = (
            self.crowd.0 * kept + bad.max(slow * slow),
            self.crowd.1 * kept + 1.0,
        );
        self.learnt_at = now;
    }
}

/// What is left of knowledge of this age.
pub fn fade(age: Nanos) -> f64 {
    0.5f64.powf(age as f64 / SECOND as f64)
}

/// The middle one: of what many say, few that lie can't move it.
pub fn middle(of: impl Iterator<Item = f64>) -> Option<f64> {
    let mut all: Vec<f64> = of.collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

pub use sparrouter_rendezvous::mix;

#[derive(Clone, Copy, Default)]
pub struct Usual {
    pub mean: f64,
    pub dev: f64,
}

impl Usual {
    /// What nearly all take no longer than. `least`: what the node can tell apart, its tick; where answers
    /// take microseconds a pause of the node itself had forwards by the hundred withdrawn as overdue.
    pub fn patience(&self, least: Nanos) -> Nanos {
        ((self.mean + 4.0 * self.dev) as Nanos).max(least)
    }
    pub fn learn(&mut self, x: f64) {
        if self.mean == 0.0 {
            (self.mean, self.dev) = (x, x / 2.0);
        }
        self.dev += 0.05 * ((x - self.mean).abs() - self.dev);
        self.mean += 0.05 * (x - self.mean);
    }
}

/// Of one key: arrivals of late, and what part of their objectives its forwards took in sum.
#[derive(Clone, Copy, Default)]
pub struct Seen {
    pub arrived: f64,
    pub slow: f64,
    /// Invocations that failed wherever they went, since one with this key last ended well, and when.
    pub failed: f64,
    pub failed_at: Nanos,
}

impl Seen {
    /// What is left of the evidence against this key.
    pub fn failing(&self, now: Nanos) -> f64 {
        self.failed * fade(now.saturating_sub(self.failed_at) / 4)
    }
    pub fn fails(&mut self, now: Nanos) {
        (self.failed, self.failed_at) = (self.failing(now) + 1.0, now);
    }
}

/// Arrivals by key as parts of a total: with notes from peers, of the whole deployment.
#[derive(Default)]
pub struct KeyCounts {
    pub counts: HashMap<u32, Seen>,
    pub total: f64,
    pub halved_at: Nanos,
}

impl KeyCounts {
    pub fn scale(&mut self, part: f64) {
        self.counts
            .values_mut()
            .for_each(|n| (n.arrived, n.slow) = (n.arrived * part, n.slow * part));
        self.total *= part;
        // Small pieces from many peers add up: dropped at a tenth of an arrival, nothing ever mixed.
        let least = (self.total / 1000.0).min(0.1);
        self.counts.retain(|_, n| n.arrived >= least);
    }
    /// Counts an arrival; old ones fade by half every so many, or after a time where few arrive.
    pub fn count(&mut self, key: u64, most: f64, memory: Nanos, now: Nanos) {
        self.counts.entry((key >> 32) as u32).or_default().arrived += 1.0;
        self.total += 1.0;
        if self.total >= most || now > self.halved_at + memory {
            self.scale(0.5);
            self.halved_at = now;
        }
    }
    pub fn get(&mut self, key: u64) -> Option<&mut Seen> {
        self.counts.get_mut(&((key >> 32) as u32))
    }
    pub fn took(&mut self, key: u64, part: f64) {
        if let Some(n) = self.get(key) {
            n.slow += part.min(1.0);
        }
    }
    /// Push-sum (Kempe, Dobra, Gehrke 2003): gives away a part of all counts to each of some peers.
    /// Parts of the total stay right while single nodes see too few arrivals to tell a hot key.
    pub fn give(&mut self, to: usize, rows: usize) -> Vec<Sums> {
        self.scale(1.0 / (1 + to) as f64);
        let mut top: Vec<Sums> = self
            .counts
            .iter()
            .map(|(&key, n)| (key, n.arrived, n.slow))
            .collect();
        top.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        top.truncate(rows);
        top
    }
    pub fn take(&mut self, total: f64, keys: &[Sums]) {
        self.total += total;
        for &(key, n, slow) in keys {
            let sum = self.counts.entry(key).or_default();
            (sum.arrived, sum.slow) = (sum.arrived + n, sum.slow + slow);
        }
    }
}

/// What is known of the origin, and who waits for it.
#[derive(Default)]
pub struct OriginGuard {
    pub limit: f64,
    /// What the limit may grow by: less with many nodes, which all grow at once.
    pub growth: f64,
    /// So long it may take in any case: a third of the shortest objective.
    pub tolerated: f64,
    /// All nodes together may have one fetch out in any case.
    pub least: f64,
    pub learnt_at: Nanos,
    /// When it last answered a fetch, and how long that usually takes.
    pub heard: Nanos,
    pub usual: Usual,
    pub out: usize,
    pub cold_out: usize,
    /// Lowest of the smoothed latency: what it takes when not crowded.
    pub base: f64,
    pub slow: f64,
    pub mean: f64,
    pub strikes: u32,
    /// Nothing goes there before this time: it has just turned something away.
    pub rests_until: Nanos,
    pub queue: Vec<(f64, InvocationIndex)>,
    /// Keys being fetched by this node, and who waits for each.
    pub flights: BTreeMap<u64, Vec<InvocationIndex>>,
}

/// Rates of what came and what was answered in time, a second, and the highest of the latter not long ago.
#[derive(Default)]
pub struct Proven {
    pub came: f64,
    pub good: f64,
    pub rate: f64,
    at: Nanos,
    /// Since when it holds back what is turned away.
    pub binds: Option<Nanos>,
}

/// Memory of what came and of what was answered, and the time in which the highest halves, in seconds.
const MEMORY: (f64, f64, f64) = (1.0, 2.0, 60.0);

impl Proven {
    fn pass(&mut self, now: Nanos) {
        let gap = now.saturating_sub(self.at) as f64 / SECOND as f64;
        let kept = |time: f64| (-gap / time).exp();
        (self.came, self.good, self.at) =
            (self.came * kept(MEMORY.0), self.good * kept(MEMORY.1), now);
        self.rate *= 0.5f64.powf(gap / MEMORY.2);
    }
    pub fn came(&mut self, now: Nanos) {
        self.pass(now);
        self.came += 1.0 / MEMORY.0;
    }
    pub fn good(&mut self, now: Nanos) {
        self.pass(now);
        self.good += 1.0 / MEMORY.1;
        self.rate = self.rate.max(self.good);
    }
    /// A step towards what is answered now.
    pub fn falls(&mut self) {
        self.rate += 0.1 * (self.good.min(self.rate) - self.rate);
    }
}

/// Seconds of its quota that a tenant may save up: small parts come unevenly.
const QUOTA_DEPTH: f64 = 5.0;

impl Quota {
    /// One came; whether it is within this node's part.
    pub fn take(&mut self, now: Nanos) -> bool {
        self.arrived = self.arrived.saturating_add(1);
        let rate = self.per_s * self.part;
        let more = now.saturating_sub(self.filled_at) as f64 / SECOND as f64 * rate;
        (self.tokens, self.filled_at) =
            ((self.tokens + more).min(QUOTA_DEPTH * rate.max(1.0)), now);
        self.tokens -= if self.tokens >= 1.0 {
            1.0
        } else {
            return false;
        };
        true
    }
}

/// A tenant's share, as far as this node has it to give.
#[derive(Default)]
pub struct Quota {
    pub per_s: f64,
    pub tokens: f64,
    pub filled_at: Nanos,
    pub arrived: u16,
    /// This node's part of the tenant's traffic, as far as peers tell.
    pub part: f64,
}
