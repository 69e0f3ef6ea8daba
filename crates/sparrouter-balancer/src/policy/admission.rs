//! Admission: which fraction of the arriving load is shed early, and whose.
//!
//! Invariant: `0 <= shed_fraction <= MAX_SHED_FRACTION`; load is shed from the lowest value for its work upwards.
use super::goodput::Goodput;
use super::quota::Quota;
use crate::types::{Nanos, SECOND};

/// How fast the shed fraction follows, an arrival.
const STEP: f64 = 0.06;
/// How fast it follows where few arrive, a second.
const STEP_PER_S: f64 = 2.0;
/// The fraction of the forwards that may end badly before more is shed.
const TOLERATED_BADNESS: f64 = 0.1;
/// Highest fraction of the load that is shed.
pub const MAX_SHED_FRACTION: f64 = 0.9;
/// What is left of a band's load after an arrival.
const LOAD_DECAY: f64 = 0.99;

/// The invocations of one operation, beyond their tenants' quotas or within.
#[derive(Clone, Copy, Default)]
pub struct Band {
    /// Billed value for the work that an invocation brings.
    density: f64,
    /// Work that arrived lately.
    load: f64,
    /// Billed value of an invocation.
    value: f64,
}

/// How many bands there are for so many operations.
pub fn band_count(operations: usize) -> usize {
    2 * operations
}

/// The index of a band: by operation, beyond quota and within.
pub fn band_index(operation: usize, is_within_quota: bool) -> usize {
    2 * operation + usize::from(is_within_quota)
}

/// What decides whether an arrival is admitted.
#[derive(Default)]
pub struct Admission {
    /// By tenant.
    pub quotas: Vec<Quota>,
    /// The fraction of the arriving load that is to be shed, lowest value first.
    pub shed_fraction: f64,
    /// What was lately answered in time.
    pub goodput: Goodput,
    /// When the shed fraction was last moved.
    stepped_at: Nanos,
    /// By [`band_index`].
    pub bands: Vec<Band>,
}

impl Admission {
    /// The admission of a node that has just started.
    pub fn new(quotas: Vec<Quota>, operations: usize) -> Admission {
        Admission {
            quotas,
            bands: vec![Band::default(); band_count(operations)],
            ..Admission::default()
        }
    }

    /// Counts an arrival of a tenant; whether it is within its quota. Without a tenant it always is.
    pub fn record_arrival(&mut self, tenant: Option<usize>, now: Nanos) -> bool {
        let quota = tenant.and_then(|t| self.quotas.get_mut(t));
        quota.is_none_or(|q| q.record_arrival(now))
    }

    fn load_where(&self, is_meant: impl Fn(f64) -> bool) -> f64 {
        let bands = self.bands.iter().filter(|b| is_meant(b.density));
        bands.map(|b| b.load).sum::<f64>()
    }

    /// The chance with which an invocation of this value and work is shed, so that in all the shed fraction is taken from
    /// the bottom. `badness`: that of all cache servers, from 0 to 1; the shed fraction rises while it is too high. One bad
    /// cache server or a slow origin is no reason to shed load.
    pub fn shed_chance(
        &mut self,
        band: usize,
        value: f64,
        work: f64,
        badness: f64,
        now: Nanos,
    ) -> f64 {
        let density = value / work;
        for other in &mut self.bands {
            other.load *= LOAD_DECAY;
        }
        self.bands[band] = Band {
            density,
            load: self.bands[band].load + work,
            value,
        };
        let fraction = self.goodput.limit_shedding(self.shed_fraction, now);
        let total = self.load_where(|_| true);
        let to_shed = fraction * total;
        let below = self.load_where(|d| d < density);
        let equal = self.load_where(|d| d == density);
        let chance = ((to_shed - below) / equal).clamp(0.0, 1.0);
        self.step(badness - self.tolerated_badness(to_shed, total), now);
        chance
    }

    /// The badness up to which no more is shed: the less the band is worth that is shed next, the lower.
    fn tolerated_badness(&self, to_shed: f64, total: f64) -> f64 {
        let mean_value = self.bands.iter().map(|b| b.value * b.load).sum::<f64>() / total;
        let is_left = |b: &&Band| b.load > 0.0 && self.load_where(|d| d <= b.density) > to_shed;
        let left = self.bands.iter().filter(is_left);
        let next = left.min_by(|a, b| a.density.total_cmp(&b.density));
        let next_value = next.map_or(f64::INFINITY, |b| b.value);
        (TOLERATED_BADNESS * next_value / mean_value).min(1.0)
    }

    fn step(&mut self, excess_badness: f64, now: Nanos) {
        let seconds = now.saturating_sub(self.stepped_at) as f64 / SECOND as f64;
        self.stepped_at = now;
        let step = (STEP_PER_S * seconds).clamp(STEP, 4.0 * STEP);
        let moved = self.shed_fraction + step * excess_badness;
        self.shed_fraction = moved.clamp(0.0, MAX_SHED_FRACTION);
    }
}
