//! A forwarding node's permits, and which shards refused a tenant or are unavailable.
use crate::Nanos;
use std::collections::BTreeMap;

/// Maximum number of tenants whose refusals are stored. Beyond it, first the entries without a current refusal are
/// dropped, then the entry whose last refusal expires first; that tenant then costs one more request to a lease holder.
const MAX_TENANTS: usize = 4_096;

/// Permission to send one request of a tenant.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    /// The shard whose lease holder granted the permit.
    pub shard: u16,
    /// Fencing token of the lease under which the permit was granted.
    pub fencing_token: u64,
    /// When the permit was granted, by the lease holder's clock; sent back with a returned permit.
    pub granted_at: Nanos,
    /// When the permit expires. The lifetime counts from before the permit was requested, so that the permit expires no
    /// later than the lease holder assumes.
    pub expires_at: Nanos,
}

impl Permit {
    /// Whether the permit may still be spent. Callers must check this immediately before they send the request, since the
    /// process may have been suspended after any earlier check.
    pub fn is_valid(&self, now: Nanos) -> bool {
        now < self.expires_at
    }
}

/// The next step of a request that needs a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Request a permit from the lease holder of this shard.
    Ask(u16),
    /// All parts of the limit are used up; the client may retry after this time.
    LimitReached(Nanos),
    /// Tokens may be available, but the lease holders of those parts are unavailable; one of them may be asked again after
    /// this time.
    Unavailable(Nanos),
}

/// The refusals and unavailable shards that a node remembers, so that a tenant above its limit does not cost a message
/// per request.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    /// By tenant and shard: the time until which the shard has no token for the tenant.
    refused_until: BTreeMap<String, BTreeMap<u16, Nanos>>,
    /// By shard: the time until which its lease holder is not asked, because it was unavailable.
    unavailable_until: BTreeMap<u16, Nanos>,
}

impl PermitTable {
    /// The next step of a request of `tenant`, whose parts are in `shards`; the request has already asked the shards in
    /// `asked`.
    pub fn next_step(&self, tenant: &str, shards: &[u16], asked: &[u16], now: Nanos) -> NextStep {
        let refusals = self.refused_until.get(tenant);
        let mut refused_until: Option<Nanos> = None;
        let mut unavailable_until: Option<Nanos> = None;
        for shard in shards {
            let refusal_expiry = refusals.and_then(|refusals| refusals.get(shard));
            let unavailability_expiry = self.unavailable_until.get(shard);
            let unexpired = |expiry: Option<&Nanos>| expiry.copied().filter(|expiry| *expiry > now);
            if let Some(expiry) = unexpired(refusal_expiry) {
                refused_until = Some(refused_until.map_or(expiry, |earliest| earliest.min(expiry)));
            } else if let Some(expiry) = unexpired(unavailability_expiry) {
                unavailable_until =
                    Some(unavailable_until.map_or(expiry, |earliest| earliest.min(expiry)));
            } else if !asked.contains(shard) {
                return NextStep::Ask(*shard);
            }
        }
        match (refused_until, unavailable_until) {
            (Some(expiry), _) => NextStep::LimitReached(expiry - now),
            (None, Some(expiry)) => NextStep::Unavailable(expiry - now),
            (None, None) => NextStep::Unavailable(0),
        }
    }

    /// Records that a lease holder had no token for a tenant and expects one after `retry_after`.
    pub fn record_refusal(&mut self, tenant: &str, shard: u16, retry_after: Nanos, now: Nanos) {
        if !self.refused_until.contains_key(tenant) {
            self.evict_if_full(now);
        }
        let refused_until = now.saturating_add(retry_after);
        let shards = self.refused_until.entry(tenant.to_owned()).or_default();
        shards.insert(shard, refused_until);
    }

    /// Makes room for one more tenant if the table is full; see [`MAX_TENANTS`].
    fn evict_if_full(&mut self, now: Nanos) {
        if self.refused_until.len() < MAX_TENANTS {
            return;
        }
        self.refused_until
            .retain(|_, shards| shards.values().any(|expiry| *expiry > now));
        if self.refused_until.len() < MAX_TENANTS {
            return;
        }
        let first_to_expire = self
            .refused_until
            .iter()
            .min_by_key(|(_, shards)| shards.values().max())
            .map(|(tenant, _)| tenant.clone());
        if let Some(tenant) = first_to_expire {
            self.refused_until.remove(&tenant);
        }
    }

    /// Records that the lease holder of a shard was unavailable, and is to be asked again after `retry_after`.
    pub fn record_unavailable(&mut self, shard: u16, retry_after: Nanos, now: Nanos) {
        self.unavailable_until
            .insert(shard, now.saturating_add(retry_after));
    }

    /// Records that the lease holder of a shard answered.
    pub fn record_answer(&mut self, shard: u16) {
        self.unavailable_until.remove(&shard);
    }

    /// Shards whose lease holders are currently recorded as unavailable.
    pub fn unavailable(&self, now: Nanos) -> Vec<u16> {
        self.unavailable_until
            .iter()
            .filter(|(_, expiry)| **expiry > now)
            .map(|(shard, _)| *shard)
            .collect()
    }
}
