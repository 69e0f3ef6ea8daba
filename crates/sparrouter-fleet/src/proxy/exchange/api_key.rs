//! Whether the API key that a request carries still lets it go to a server, where revocation is strict.
//!
//! A request is checked when it arrives and again before each server that it goes to: it may have waited meanwhile, and
//! another server may be attempted long after the first.
use super::{Exchange, may_have_run};
use crate::node::Node;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use std::time::Duration;

/// A client that is rejected for want of a confirmed configuration may ask another node after this.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(150);

/// What is known of the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// It lets the request go on.
    Valid,
    /// A newer configuration removed it or gave it to another tenant.
    Removed,
    /// A newer configuration may have removed it: no quorum lately confirmed the one in force here.
    Unconfirmed,
}

/// Whether requests with keys may go by the configuration in force here.
pub(super) fn has_lease(node: &Node) -> bool {
    node.has_configuration_lease() || !rules::keys_need_lease()
}

/// The response to a request that has not run, where the configuration here may be outdated.
pub(super) fn reject_unconfirmed(node: &Node) -> Response {
    count(&node.counters.refused_without_lease);
    Response::retry_later(node.jitter(RETRY_ELSEWHERE))
}

impl Exchange<'_> {
    /// The state of the request's key now.
    pub(super) fn key_state(&self) -> KeyState {
        let Some(tenant) = self.tenant else {
            return KeyState::Valid;
        };
        if !self.node.configuration.lease.borrow().is_needed() {
            return KeyState::Valid;
        }
        if !has_lease(self.node) {
            return KeyState::Unconfirmed;
        }
        let active = self.node.active_configuration();
        let table = active.table.as_deref();
        let is_same_table = table.is_some_and(|table| std::ptr::eq(table, self.table));
        if is_same_table || !rules::retries_need_known_key() {
            return KeyState::Valid;
        }
        let key = self.request.head.fields.text("sparrouter-key");
        let tenant_now = key.and_then(|key| table?.tenant_of(key));
        match tenant_now {
            Some(now) if now.name == tenant.name => KeyState::Valid,
            _ => KeyState::Removed,
        }
    }

    /// Checks that the key allows another send.
    ///
    /// # Errors
    ///
    /// The response to give instead.
    pub(super) fn check_key(&self) -> Result<(), Response> {
        let rejection = match self.key_state() {
            KeyState::Valid => return Ok(()),
            KeyState::Removed => Response::plain(401, "Sparrouter-Key is not known any more"),
            KeyState::Unconfirmed => reject_unconfirmed(self.node),
        };
        Err(if self.is_proven_not_run {
            rejection
        } else {
            may_have_run()
        })
    }
}
