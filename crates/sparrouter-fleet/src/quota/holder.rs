//! This node as a lease holder: grants permits and renews its leases.
use super::limits::{any_limits, buckets_of, quota_settings};
use crate::control::shard_lease::ShardLease;
use crate::node::Node;
use crate::node::quotas::{GrantingLease, GrantingShard};
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_config::RouteTable;
use sparrouter_quota::{BucketTable, ReturnedTokens, TakeOutcome};
use sparrouter_routing::Nanos;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval at which a lease and its buckets are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A lease is renewed after its granting time divided by this, so that two renewals may fail before the granting time
/// ends.
const RENEWAL_DIVISOR: u32 = 4;

/// A node's reply to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Grant {
    /// `count` permits, granted under the lease with this fencing token.
    Permits {
        fencing_token: u64,
        granted_at: Nanos,
        count: u32,
    },
    /// The shard's part of the quota is used up; a permit may be available after `retry_after` nanoseconds.
    Exhausted { retry_after: Nanos },
    /// The node has no valid lease (`None`), or it may grant only after `active_in` nanoseconds.
    NotHolder { active_in: Option<Nanos> },
}

/// Starts the tasks that renew this node's leases while the configuration limits any tenant. The tasks run until the
/// process ends.
pub(crate) fn start(node: &Rc<Node>, leases: &[Rc<ShardLease>]) {
    for lease in leases {
        spawn_local(run(node.clone(), lease.clone()));
    }
}

async fn run(node: Rc<Node>, lease: Rc<ShardLease>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !any_limits(&node) {
            node.quotas.shards.borrow_mut().remove(&lease.shard());
            continue;
        }
        let Some(active) = lease.active() else {
            continue;
        };
        let interval = nanos(lease.granting_time() / RENEWAL_DIVISOR);
        if lease.since_renewal() >= interval {
            lease.renew(active).await;
        }
        // The buckets fill from now on, so that the first request finds permits.
        if let Some(granting) = node.quotas.lease(lease.shard()) {
            node.update_buckets(lease.shard(), granting);
        }
    }
}

impl Node {
    /// Grants up to `wanted` permits of a tenant's quota, if this node currently holds the shard's lease.
    pub(crate) fn grant_permits(&self, shard: u16, tenant: &str, wanted: u32) -> Grant {
        let now = self.now();
        let valid_lease = self
            .quotas
            .lease(shard)
            .filter(|lease| now < lease.valid_until || !rules::grants_need_valid_lease());
        let Some(lease) = valid_lease else {
            return Grant::NotHolder { active_in: None };
        };
        if now < lease.active_from {
            let active_in = Some(lease.active_from - now);
            return Grant::NotHolder { active_in };
        }
        self.update_buckets(shard, lease);
        let mut shards = self.quotas.shards.borrow_mut();
        let Some(granting) = shards.get_mut(&shard) else {
            return Grant::NotHolder { active_in: None };
        };
        match granting.buckets.take(tenant, wanted, now) {
            TakeOutcome::Granted(count) => Grant::Permits {
                fencing_token: lease.fencing_token,
                granted_at: now,
                count,
            },
            TakeOutcome::Refused(retry_after) => Grant::Exhausted { retry_after },
            // The requesting node and this one have different configurations, of which only one has this tenant.
            TakeOutcome::UnknownTenant => Grant::Exhausted {
                retry_after: nanos(CHECK_INTERVAL),
            },
        }
    }

    /// Accepts the return of permits that were granted by this node and not spent.
    pub(crate) fn take_back_permits(&self, shard: u16, tenant: &str, returned: ReturnedTokens) {
        let now = self.now();
        if let Some(granting) = self.quotas.shards.borrow_mut().get_mut(&shard) {
            granting.buckets.give_back(tenant, returned, now);
        }
    }

    /// Updates the buckets of a shard to its current lease and the active configuration.
    fn update_buckets(&self, shard: u16, lease: GrantingLease) {
        let active = self.active_configuration();
        let Some(table) = &active.table else { return };
        let mut shards = self.quotas.shards.borrow_mut();
        let granting = shards
            .entry(shard)
            .or_insert_with(|| GrantingShard::under(lease));
        if granting.buckets.fencing_token() != lease.fencing_token {
            *granting = GrantingShard::under(lease);
        }
        if granting.config_slot != active.slot {
            let limits = buckets_of(table, shard, &quota_settings(self));
            granting.buckets.set_limits(limits, self.now());
            granting.inject_full_buckets(table, self.now());
            granting.config_slot = active.slot;
        }
    }
}

impl GrantingShard {
    /// A shard without buckets, under this lease.
    fn under(lease: GrantingLease) -> GrantingShard {
        GrantingShard {
            buckets: BucketTable::new(lease.fencing_token, lease.active_from),
            config_slot: 0,
        }
    }

    /// Injected fault: the buckets are full when a lease begins.
    fn inject_full_buckets(&mut self, table: &RouteTable, now: Nanos) {
        let is_takeover = self.buckets.active_from() > now;
        let starts_empty = if is_takeover {
            rules::takeovers_start_empty()
        } else {
            rules::restarts_start_empty()
        };
        if starts_empty || self.config_slot != 0 {
            return;
        }
        let returned = ReturnedTokens {
            fencing_token: self.buckets.fencing_token(),
            granted_at: Nanos::MAX,
            count: u32::MAX,
        };
        for tenant in &table.tenants {
            self.buckets.give_back(&tenant.name, returned, now);
        }
    }
}
