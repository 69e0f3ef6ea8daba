//! Tenant quotas: each attempt of a request needs a permit.
use super::{Exchange, may_have_run_response};
use crate::node::tenant_counts::QuotaEvent;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::quota::{HeldPermit, PermitError};
use sparrouter_config::TenantQuota;
use std::time::Duration;

/// Minimum retry delay for a client that was rejected because of its quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Retry delays are extended by a random fraction of at most this ratio, so that rejected clients don't all retry at
/// once.
const MAX_JITTER_RATIO: f64 = 0.25;

impl Exchange<'_> {
    /// The name and quota of the request's tenant by the active configuration, which may be newer than the one by which
    /// the request was accepted. `None` if the tenant has no limit.
    fn quota(&self) -> Option<(&str, TenantQuota)> {
        let accepted = self
            .tenant
            .filter(|_| self.sent_count == 0 || rules::retries_need_permit())?;
        let active = self.node.active_configuration();
        let table = active.table.as_deref();
        let key = self.request.head.fields.text("sparrouter-key");
        let current_tenant = key.and_then(|key| table?.tenant_of(key));
        // A key that was removed or given to another tenant says nothing about the accepted tenant's limit, so the
        // tenant's earlier quota still applies.
        let quota = match current_tenant {
            Some(current) if current.name == accepted.name => current.quota,
            _ => accepted.quota,
        };
        Some((accepted.name.as_str(), quota?))
    }

    /// Whether the next attempt needs a permit that the request doesn't hold.
    pub(super) fn lacks_permit(&self) -> bool {
        let is_usable = self.permit.as_ref().is_some_and(HeldPermit::is_usable);
        !is_usable && self.quota().is_some()
    }

    /// Rejects a request if this node already knows that the tenant's quota is used up, without asking a lease holder.
    ///
    /// # Errors
    ///
    /// Returns the response to send to the client.
    pub(super) fn check_quota(&self) -> Result<(), Response> {
        let refusal = self
            .quota()
            .filter(|_| self.lacks_permit())
            .and_then(|(tenant, quota)| self.node.known_quota_refusal(tenant, quota));
        refusal.map_or(Ok(()), |error| Err(self.reject_quota(error)))
    }

    /// Takes a permit for the next attempt. Returns `None` if the next attempt needs no further permit.
    ///
    /// # Errors
    ///
    /// Returns the response to send if no permit is available.
    pub(super) async fn take_permit(&self) -> Result<Option<HeldPermit>, Response> {
        let Some((tenant, quota)) = self.quota().filter(|_| self.lacks_permit()) else {
            return Ok(None);
        };
        let taken = self.node.take_permit(tenant, quota).await;
        taken.map(Some).map_err(|error| self.reject_quota(error))
    }

    /// Spends the request's permit immediately before its bytes are sent. Returns false if the request needs a permit
    /// and has no valid one.
    pub(super) fn spend_permit(&mut self) -> bool {
        let needs_permit = self.quota().is_some();
        let is_spent = self.permit.as_mut().is_some_and(HeldPermit::spend);
        self.is_under_permit = is_spent;
        if is_spent {
            self.count_for_tenant(QuotaEvent::Sent);
        }
        is_spent || !needs_permit
    }

    /// Makes the permit of the last attempt available to the next one, because the last attempt was certainly not run.
    pub(super) fn undo_permit(&mut self) {
        // If the last attempt needed no permit, the permit of an earlier attempt stays spent.
        if let Some(permit) = self.permit.as_mut().filter(|_| self.is_under_permit) {
            permit.undo_spend();
        }
    }

    fn reject_quota(&self, error: PermitError) -> Response {
        self.count_for_tenant(match error {
            PermitError::LimitReached(_) => QuotaEvent::Refused,
            PermitError::Unavailable(_) => QuotaEvent::Unavailable,
        });
        if !self.is_proven_not_run {
            return may_have_run_response();
        }
        match error {
            PermitError::LimitReached(after) => {
                let text = "the quota of this tenant is used up";
                Response::too_many_requests(text, self.with_jitter(after))
            }
            PermitError::Unavailable(after) => Response::retry_later(self.with_jitter(after)),
        }
    }

    /// Counts the event for the request's tenant, unless the active configuration no longer has that tenant.
    fn count_for_tenant(&self, event: QuotaEvent) {
        let active = self.node.active_configuration();
        let key = self.request.head.fields.text("sparrouter-key");
        let current = key.and_then(|key| active.table.as_deref()?.tenant_of(key));
        let accepted = self.tenant.map(|tenant| tenant.name.as_str());
        if let Some(tenant) = current.filter(|tenant| Some(tenant.name.as_str()) == accepted) {
            let counts = &self.node.tenant_counts;
            counts.record(&tenant.name, event, &active);
        }
    }

    fn with_jitter(&self, after: Duration) -> Duration {
        let jitter_ratio = self.node.rng.borrow_mut().f64() * MAX_JITTER_RATIO;
        after.max(MIN_RETRY_AFTER).mul_f64(1.0 + jitter_ratio)
    }
}
