//! Status for operators: limits, their parts, and the permits granted by this node. Read-only.
use super::limits::{division_of, quota_settings};
use crate::control::LEASE_SHARDS;
use crate::node::Node;
use crate::settings::nanos;
use sparrouter_config::TenantQuota;
use std::time::Duration;

/// How long a shard stays in the report after no holder answered for it. Shards are asked only when a request needs a
/// permit, so the failure may not be repeated.
const UNAVAILABLE_SHOWN_FOR: Duration = Duration::from_secs(5);

/// A shard whose lease this node has acquired, whether or not the lease is still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldShard {
    pub(crate) shard: u16,
    pub(crate) fencing_token: u64,
    /// Whether this node may currently grant permits of the shard.
    pub(crate) is_active: bool,
    /// Number of tenants that have a part of their quota in this shard.
    pub(crate) tenant_count: usize,
    /// Number of permits granted since the lease was acquired.
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) returned: u64,
}

/// A part of a tenant's limit that this node grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeldPart {
    pub(crate) shard: u16,
    /// Permits that are currently available.
    pub(crate) level: f64,
    /// Maximum number of available permits.
    pub(crate) capacity: f64,
}

impl Node {
    /// The shards whose leases this node has acquired.
    pub(crate) fn held_shards(&self) -> Vec<HeldShard> {
        (1..=LEASE_SHARDS)
            .filter_map(|shard| self.held_shard(shard))
            .collect()
    }

    fn held_shard(&self, shard: u16) -> Option<HeldShard> {
        let lease = self.quotas.lease(shard)?;
        let now = self.now();
        let shards = self.quotas.shards.borrow();
        let buckets = shards.get(&shard).map(|granting| &granting.buckets);
        let buckets = buckets.filter(|buckets| buckets.fencing_token() == lease.fencing_token);
        Some(HeldShard {
            shard,
            fencing_token: lease.fencing_token,
            is_active: (lease.active_from..lease.valid_until).contains(&now),
            tenant_count: buckets.map_or(0, |buckets| buckets.tenant_count()),
            granted: buckets.map_or(0, |buckets| buckets.granted()),
            refused: buckets.map_or(0, |buckets| buckets.refused()),
            returned: buckets.map_or(0, |buckets| buckets.returned()),
        })
    }

    /// The shards among which a tenant's limit is divided, in ascending order.
    pub(crate) fn quota_shards(&self, tenant: &str, quota: TenantQuota) -> Vec<u16> {
        let settings = quota_settings(self);
        let mut shards = division_of(quota, &settings).shards(tenant, &settings);
        shards.sort_unstable();
        shards
    }

    /// The parts of a tenant's limit that this node may currently grant.
    pub(crate) fn held_parts(&self, tenant: &str, quota: TenantQuota) -> Vec<HeldPart> {
        let capacity = division_of(quota, &quota_settings(self)).shape.capacity;
        let held = self.held_shards().into_iter().filter(|held| held.is_active);
        let part = |shard: u16| {
            let shards = self.quotas.shards.borrow();
            let level = shards.get(&shard)?.buckets.level(tenant, self.now())?;
            Some(HeldPart {
                shard,
                level,
                capacity,
            })
        };
        held.filter_map(|held| part(held.shard)).collect()
    }

    /// Shards for which this node recently failed to reach a lease holder and has not reached one since.
    pub(crate) fn unavailable_shards(&self) -> Vec<u16> {
        let failed_since = self.now().saturating_sub(nanos(UNAVAILABLE_SHOWN_FOR));
        self.quotas.permits.borrow().unavailable(failed_since)
    }
}
