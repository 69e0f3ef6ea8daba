//! Request counts of each tenant's quota at this node: requests sent, and refusals by reason.
use super::ActiveConfiguration;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Request counts of one tenant, since the process started or the tenant was added to the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCount {
    /// Requests that were sent under a permit. A request that was not run and is sent again counts again.
    pub sent: u64,
    /// Requests that were refused because the limit is used up.
    pub refused: u64,
    /// Requests that were refused because no holder of the limit answered.
    pub unavailable: u64,
}

/// The outcome of a request of a tenant with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// The request was sent under a permit.
    Sent,
    /// The request was refused because the limit is used up.
    Refused,
    /// The request was refused because no holder of the limit answered.
    Unavailable,
}

/// Request counts of all tenants at this process.
///
/// Invariant: only tenants of the configuration in force have an entry, which their first request adds.
#[derive(Debug, Default)]
pub struct TenantCounts {
    by_tenant: RefCell<BTreeMap<String, TenantCount>>,
    /// Version of the configuration with which the entries were last compared.
    compared_version: Cell<u64>,
}

impl TenantCounts {
    /// Counts the outcome of a request. The caller has looked the tenant up in `active`.
    pub fn record(&self, tenant: &str, event: QuotaEvent, active: &ActiveConfiguration) {
        self.drop_absent(active);
        let mut by_tenant = self.by_tenant.borrow_mut();
        // The name is copied only at a tenant's first request.
        if !by_tenant.contains_key(tenant) {
            by_tenant.insert(tenant.to_owned(), TenantCount::default());
        }
        let Some(count) = by_tenant.get_mut(tenant) else {
            return;
        };
        match event {
            QuotaEvent::Sent => count.sent += 1,
            QuotaEvent::Refused => count.refused += 1,
            QuotaEvent::Unavailable => count.unavailable += 1,
        }
    }

    /// The counts of a tenant; `None` if it has sent no request.
    pub fn of(&self, tenant: &str) -> Option<TenantCount> {
        self.by_tenant.borrow().get(tenant).copied()
    }

    /// The entries of all tenants in `active`, sorted by name.
    pub fn all(&self, active: &ActiveConfiguration) -> Vec<(String, TenantCount)> {
        self.drop_absent(active);
        let by_tenant = self.by_tenant.borrow();
        by_tenant
            .iter()
            .map(|(tenant, count)| (tenant.clone(), *count))
            .collect()
    }

    /// Drops the entries of tenants that are not in the configuration, once for each configuration version.
    fn drop_absent(&self, active: &ActiveConfiguration) {
        if self.compared_version.replace(active.version) == active.version {
            return;
        }
        let mut known = self.by_tenant.borrow_mut();
        let tenants = active.table.iter().flat_map(|table| &table.tenants);
        let kept = tenants.filter_map(|tenant| known.remove_entry(&tenant.name));
        let kept = kept.collect();
        *known = kept;
    }
}
