//! The token buckets of one shard, kept by the shard's lease holder.
use crate::Nanos;
use crate::bucket::TokenBucket;
use crate::limit::BucketShape;
use std::collections::BTreeMap;

/// A tenant's token bucket in one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantBucket {
    /// Name of the tenant.
    pub tenant: String,
    /// Rate and capacity of the tenant's bucket in this shard.
    pub shape: BucketShape,
}

/// The result of [`BucketTable::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The number of tokens taken, from 1 to the number wanted.
    Granted(u32),
    /// The bucket is empty; the caller may retry after this time.
    Refused(Nanos),
    /// No part of the tenant's limit is in this shard, according to the configuration that this node has.
    UnknownTenant,
}

/// Unspent tokens that a node returns to the lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnedTokens {
    /// Fencing token of the lease under which they were granted.
    pub fencing_token: u64,
    /// When they were granted, by the lease holder's clock.
    pub granted_at: Nanos,
    /// Number of tokens.
    pub count: u32,
}

/// The token buckets of one shard during one lease. A process that acquires the lease again creates a new table.
///
/// Invariant: no token is granted before `active_from`. Each bucket is empty at `active_from`, or, if the tenant's limit
/// is set later, at that moment.
#[derive(Clone, Debug)]
pub struct BucketTable {
    fencing_token: u64,
    active_from: Nanos,
    buckets: BTreeMap<String, TokenBucket>,
    granted: u64,
    refused: u64,
    returned: u64,
}

impl BucketTable {
    /// Creates the table of a lease. `active_from`: the moment from which no earlier holder can grant tokens.
    pub fn new(fencing_token: u64, active_from: Nanos) -> BucketTable {
        BucketTable {
            fencing_token,
            active_from,
            buckets: BTreeMap::new(),
            granted: 0,
            refused: 0,
            returned: 0,
        }
    }

    /// Fencing token of the lease.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// The moment from which no earlier holder can grant tokens.
    pub fn active_from(&self) -> Nanos {
        self.active_from
    }

    /// Replaces all limits from `now` on. A tenant that is added, or removed and added again, starts with an empty
    /// bucket.
    pub fn set_limits(&mut self, limits: Vec<TenantBucket>, now: Nanos) {
        let mut buckets = BTreeMap::new();
        for TenantBucket { tenant, shape } in limits {
            let bucket = match self.buckets.remove(&tenant) {
                Some(mut existing) => {
                    if existing.shape() != shape {
                        existing.reshape(shape, now);
                    }
                    existing
                }
                None => TokenBucket::empty(shape, now.max(self.active_from)),
            };
            buckets.insert(tenant, bucket);
        }
        self.buckets = buckets;
    }

    /// Takes up to `wanted` tokens from a tenant's bucket. The caller has checked that the lease is valid at `now`.
    pub fn take(&mut self, tenant: &str, wanted: u32, now: Nanos) -> TakeOutcome {
        let active_from = self.active_from;
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return TakeOutcome::UnknownTenant;
        };
        if now < active_from {
            self.refused += 1;
            return TakeOutcome::Refused(active_from - now);
        }
        let granted = bucket.take(wanted, now);
        if granted > 0 {
            self.granted += u64::from(granted);
            TakeOutcome::Granted(granted)
        } else {
            self.refused += 1;
            TakeOutcome::Refused(bucket.retry_after(now))
        }
    }

    /// Returns unspent tokens that were granted under this lease, as [`TokenBucket::give_back`] does. Tokens of another
    /// lease are ignored, because the buckets of that lease no longer exist.
    pub fn give_back(&mut self, tenant: &str, returned: ReturnedTokens, now: Nanos) {
        if returned.fencing_token != self.fencing_token {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.give_back(returned.count, returned.granted_at, now);
            self.returned += u64::from(returned.count);
        }
    }

    /// Tokens in a tenant's bucket at `now`; `None` if no part of the tenant's limit is in this shard.
    pub fn level(&self, tenant: &str, now: Nanos) -> Option<f64> {
        self.buckets.get(tenant).map(|bucket| bucket.level(now))
    }

    /// Number of tenants that have a bucket in this shard.
    pub fn tenant_count(&self) -> usize {
        self.buckets.len()
    }

    /// Tokens granted since the lease was acquired.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Requests for tokens that were refused since the lease was acquired.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Tokens that were returned unspent since the lease was acquired.
    pub fn returned(&self) -> u64 {
        self.returned
    }
}
