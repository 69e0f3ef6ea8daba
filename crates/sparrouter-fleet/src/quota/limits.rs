//! The limits of the active configuration, divided among shards.
use crate::control::LEASE_SHARDS;
use crate::node::Node;
use crate::settings::nanos;
use sparrouter_config::{RouteTable, TenantQuota};
use sparrouter_quota::{Division, QuotaLimit, QuotaSettings, TenantBucket};
use std::time::Duration;

/// Lifetime of a permit, from the time at which it is requested. It is long enough to establish a connection to a
/// server. A limit's burst is reduced by the permits that may be granted before a window and spent within it.
pub(super) const PERMIT_LIFETIME: Duration = Duration::from_millis(200);

/// The settings by which limits are divided in this deployment.
pub(super) fn quota_settings(node: &Node) -> QuotaSettings {
    QuotaSettings {
        window: nanos(node.settings.borrow().bounds.quota_window),
        permit_lifetime: nanos(PERMIT_LIFETIME),
        shards: LEASE_SHARDS,
    }
}

/// The division of a quota among shards.
pub(super) fn division_of(quota: TenantQuota, settings: &QuotaSettings) -> Division {
    let limit = QuotaLimit {
        rate_per_s: quota.rate_per_s,
        burst_size: quota.burst_size,
    };
    Division::of(limit, settings)
}

/// The buckets of a shard according to a configuration.
pub(super) fn buckets_of(
    table: &RouteTable,
    shard: u16,
    settings: &QuotaSettings,
) -> Vec<TenantBucket> {
    let bucket = |tenant: &sparrouter_config::Tenant| {
        let division = division_of(tenant.quota?, settings);
        let is_in_shard = division.shards(&tenant.name, settings).contains(&shard);
        is_in_shard.then(|| TenantBucket {
            tenant: tenant.name.clone(),
            shape: division.shape,
        })
    };
    table.tenants.iter().filter_map(bucket).collect()
}

/// Whether the active configuration limits any tenant.
pub(super) fn any_limits(node: &Node) -> bool {
    let active = node.active_configuration();
    let table = active.table.as_deref();
    table.is_some_and(RouteTable::has_quotas)
}
