//! Creates a policy from settings, and applies changed settings to a running policy.
use super::admission::{Admission, Band, band_count, band_index};
use super::caches::CacheSet;
use super::latency::LatencyEstimate;
use super::origin::OriginGuard;
use super::quota::Quota;
use super::{OperationState, Policy};
use crate::types::{
    CacheRecord, Environment, ForwardLimits, LifecycleState, ListKind, Nanos, Operation,
    OperationMapping, OriginMode, Rules, SECOND, Tenant,
};
use sparrouter_rendezvous::mix;

/// Numbers of cache servers and keys that the fingerprint of [`Policy::placement`] covers.
const FINGERPRINT_CACHES: usize = 16;
const FINGERPRINT_KEYS: u64 = 256;

impl Policy {
    /// Creates the policy of a node that has just started, without any cache server.
    pub fn new(
        environment: Environment,
        operations: Vec<Operation>,
        tenants: &[Tenant],
        limits: ForwardLimits,
        rules: Rules,
        mode: OriginMode,
    ) -> Policy {
        let origin_kind = match mode {
            OriginMode::Aside { kind } => Some(kind),
            OriginMode::Through => None,
        };
        let node_fraction = 1.0 / environment.nodes.max(1) as f64;
        let targets = operations.iter().map(|o| o.latency_target);
        let shortest_target = targets.min().unwrap_or(SECOND).max(1);
        let quota = |tenant: &Tenant| Quota::new(tenant.quota_per_s, node_fraction);
        let operation = |settings| OperationState {
            settings,
            limits,
            latency: LatencyEstimate::default(),
        };
        Policy {
            rng: fastrand::Rng::with_seed(environment.seed),
            caches: CacheSet::new(&environment, rules, origin_kind, shortest_target),
            origin: OriginGuard::new(node_fraction, shortest_target),
            admission: Admission::new(tenants.iter().map(quota).collect(), operations.len()),
            environment,
            operations: operations.into_iter().map(operation).collect(),
            retry_success: 1.0,
            ..Policy::default()
        }
    }

    /// Applies the settings of `fresh`, a newly created policy. Invocations that are already in progress keep the
    /// settings that they arrived under. `mappings` has, for each operation of `fresh`, its index in this policy;
    /// `tenants` has, for each tenant of `fresh`, its index under the old settings.
    ///
    /// # Panics
    ///
    /// If `fresh` has no operation.
    pub fn apply_settings(
        &mut self,
        now: Nanos,
        fresh: Policy,
        mappings: &[OperationMapping],
        tenants: &[Option<usize>],
    ) {
        self.now = now;
        // With a different number of nodes, this node's part of all shared limits changes by this ratio.
        let ratio = self.environment.nodes.max(1) as f64 / fresh.environment.nodes.max(1) as f64;
        self.apply_operations(fresh.operations, mappings);
        // Warm-up budgets follow from the rate of answers. A decrease applies immediately and an increase only as
        // answers arrive, so that rule 4 holds in the meantime.
        self.caches.answer_rate.per_second *= ratio.min(1.0);
        self.caches.rules = fresh.caches.rules;
        self.caches.first_check_delay = fresh.caches.first_check_delay;
        self.origin.apply_settings(&fresh.origin, ratio);
        self.apply_quotas(fresh.admission.quotas, tenants, ratio);
        // The indices of peers may refer to other nodes now, so their reports expire with the next second. If they
        // were removed now, the first message would be taken for the only information, as at a node that has just
        // started.
        for report in self.peers.values_mut() {
            report.received_at = 0;
        }
        self.environment = Environment {
            seed: self.environment.seed,
            ..fresh.environment
        };
    }

    fn apply_operations(&mut self, fresh: Vec<OperationState>, mappings: &[OperationMapping]) {
        let indices = mappings.iter().map(|m| m.new_index + 1);
        let count = indices.fold(self.operations.len(), usize::max);
        self.operations.resize(count, fresh[0].clone());
        let bands = &mut self.admission.bands;
        bands.resize(band_count(count), Band::default());
        for (mapping, operation) in mappings.iter().zip(fresh) {
            // An operation keeps its latency estimate and its admission bands.
            let old = mapping.old_index;
            let latency = old.map_or(LatencyEstimate::default(), |o| self.operations[o].latency);
            self.operations[mapping.new_index] = OperationState {
                latency,
                ..operation
            };
            for is_within_quota in [false, true] {
                let band = |operation| band_index(operation, is_within_quota);
                let learnt = old.map_or(Band::default(), |o| bands[band(o)]);
                bands[band(mapping.new_index)] = learnt;
            }
        }
    }

    fn apply_quotas(&mut self, fresh: Vec<Quota>, tenants: &[Option<usize>], ratio: f64) {
        let old_quotas = std::mem::replace(&mut self.admission.quotas, fresh);
        for (quota, old_index) in self.admission.quotas.iter_mut().zip(tenants) {
            let Some(old) = old_index.and_then(|t| old_quotas.get(t)) else {
                continue;
            };
            *quota = Quota {
                per_s: quota.per_s,
                fraction: (old.fraction * ratio).min(1.0),
                ..*old
            };
        }
    }

    /// Fingerprint of the placement of keys: nodes with different fingerprints disagree on a key's cache server.
    pub fn placement() -> u64 {
        let record = |index: usize| CacheRecord {
            cache: index,
            id_hash: mix(index as u64 + 1),
            state: LifecycleState::Ready,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0 + (index % 3) as f64,
            ready_at: 0,
        };
        let records: Vec<CacheRecord> = (0..FINGERPRINT_CACHES).map(record).collect();
        let mut caches = CacheSet::default();
        caches.apply_list(ListKind::Full, &records, 1);
        (0..FINGERPRINT_KEYS).fold(0, |fingerprint, key| {
            let winner = caches.rank(mix(key), 0, 1)[0];
            mix(fingerprint ^ (winner as u64 + 1))
        })
    }
}
