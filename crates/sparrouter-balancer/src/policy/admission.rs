//! Admission control: which fraction of the arriving load is shed, and which invocations.
//!
//! Invariant: `0 <= shed_fraction <= MAX_SHED_FRACTION`; invocations with the lowest value per unit of work are shed
//! first.
use super::goodput::Goodput;
use super::quota::Quota;
use crate::types::{Nanos, SECOND};

/// Change of the shed fraction per arrival and unit of excess badness.
const STEP_PER_ARRIVAL: f64 = 0.06;
/// Change of the shed fraction per second and unit of excess badness, if arrivals are rare.
const STEP_PER_S: f64 = 2.0;
/// Mean badness of the forwards up to which the shed fraction doesn't rise.
const TOLERATED_BADNESS: f64 = 0.1;
/// Upper bound of the fraction of the load that is shed.
pub const MAX_SHED_FRACTION: f64 = 0.9;
/// Factor by which the load of each band decays with each arrival.
const LOAD_DECAY: f64 = 0.99;

/// The invocations of one operation that are within their tenants' quotas, or those that exceed them.
#[derive(Clone, Copy, Default)]
pub struct Band {
    /// Billed value of an invocation per unit of its work.
    density: f64,
    /// Work that arrived recently, in nanoseconds.
    load: f64,
    /// Billed value of one invocation.
    value: f64,
}

/// Number of bands for a number of operations.
pub fn band_count(operations: usize) -> usize {
    2 * operations
}

/// Index of the band of an operation's invocations that are within quota or exceed it.
pub fn band_index(operation: usize, is_within_quota: bool) -> usize {
    2 * operation + usize::from(is_within_quota)
}

/// State of the admission control.
#[derive(Default)]
pub struct Admission {
    /// Quotas, by tenant index.
    pub quotas: Vec<Quota>,
    /// Fraction of the arriving load to shed, lowest value first.
    pub shed_fraction: f64,
    /// Rate of invocations that were recently answered in time.
    pub goodput: Goodput,
    /// When the shed fraction was last updated.
    stepped_at: Nanos,
    /// Bands, by [`band_index`].
    pub bands: Vec<Band>,
}

impl Admission {
    /// Creates the admission control of a node that has just started.
    pub fn new(quotas: Vec<Quota>, operations: usize) -> Admission {
        Admission {
            quotas,
            bands: vec![Band::default(); band_count(operations)],
            ..Admission::default()
        }
    }

    /// Counts an arrival of a tenant and returns whether it is within the tenant's quota; always true without a
    /// tenant.
    pub fn record_arrival(&mut self, tenant: Option<usize>, now: Nanos) -> bool {
        let quota = tenant.and_then(|t| self.quotas.get_mut(t));
        quota.is_none_or(|q| q.record_arrival(now))
    }

    fn load_where(&self, predicate: impl Fn(f64) -> bool) -> f64 {
        let bands = self.bands.iter().filter(|b| predicate(b.density));
        bands.map(|b| b.load).sum::<f64>()
    }

    /// Returns the probability with which to shed an invocation of this value and work, so that the shed fraction of
    /// the total load is taken from the least valuable bands.
    ///
    /// `badness` is the mean badness of all cache servers, from 0 to 1; the shed fraction rises while it is too high.
    /// It is a mean because one bad cache server or a slow origin is no reason to shed load.
    pub fn shed_chance(
        &mut self,
        band: usize,
        value: f64,
        work: f64,
        badness: f64,
        now: Nanos,
    ) -> f64 {
        let density = value / work;
        for decaying in &mut self.bands {
            decaying.load *= LOAD_DECAY;
        }
        self.bands[band] = Band {
            density,
            load: self.bands[band].load + work,
            value,
        };
        let fraction = self.goodput.limit_shedding(self.shed_fraction, now);
        let total = self.load_where(|_| true);
        let to_shed = fraction * total;
        let load_below = self.load_where(|d| d < density);
        let load_at_density = self.load_where(|d| d == density);
        let chance = ((to_shed - load_below) / load_at_density).clamp(0.0, 1.0);
        self.step(badness - self.tolerated_badness(to_shed, total), now);
        chance
    }

    /// Mean badness up to which the shed fraction doesn't rise: lower if the band to be shed next is worth less.
    fn tolerated_badness(&self, to_shed: f64, total: f64) -> f64 {
        let mean_value = self.bands.iter().map(|b| b.value * b.load).sum::<f64>() / total;
        let is_admitted = |b: &&Band| b.load > 0.0 && self.load_where(|d| d <= b.density) > to_shed;
        let admitted = self.bands.iter().filter(is_admitted);
        let next = admitted.min_by(|a, b| a.density.total_cmp(&b.density));
        let next_value = next.map_or(f64::INFINITY, |b| b.value);
        (TOLERATED_BADNESS * next_value / mean_value).min(1.0)
    }

    fn step(&mut self, excess_badness: f64, now: Nanos) {
        let seconds = now.saturating_sub(self.stepped_at) as f64 / SECOND as f64;
        self.stepped_at = now;
        let step = (STEP_PER_S * seconds).clamp(STEP_PER_ARRIVAL, 4.0 * STEP_PER_ARRIVAL);
        let shed_fraction = self.shed_fraction + step * excess_badness;
        self.shed_fraction = shed_fraction.clamp(0.0, MAX_SHED_FRACTION);
    }
}
