//! Checks whether the API key of a request is still valid before the request is sent, if strict revocation is
//! configured.
//!
//! The key is checked when the request arrives and again before each attempt: the request may have waited in between,
//! and another server may be attempted long after the first.
use super::{Exchange, may_have_run_response};
use crate::node::Node;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use std::time::Duration;

/// Retry delay for a client that was rejected because this node's configuration is unconfirmed; another node may have a
/// confirmed one.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(150);

/// State of a request's API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The key is valid.
    Valid,
    /// A newer configuration removed the key or gave it to another tenant.
    Removed,
    /// A newer configuration may have removed the key: no quorum has recently confirmed this node's configuration.
    Unconfirmed,
}

/// Whether this node may accept API keys by its active configuration.
pub(super) fn has_lease(node: &Node) -> bool {
    node.has_configuration_lease() || !rules::keys_need_lease()
}

/// The response to a request that has not run, if this node's configuration may be outdated.
pub(super) fn reject_unconfirmed(node: &Node) -> Response {
    count(&node.counters.refused_without_lease);
    Response::retry_later(node.jitter(RETRY_ELSEWHERE))
}

impl Exchange<'_> {
    /// The current state of the request's API key.
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
        let current_tenant = key.and_then(|key| table?.tenant_of(key));
        match current_tenant {
            Some(current) if current.name == tenant.name => KeyState::Valid,
            _ => KeyState::Removed,
        }
    }

    /// Checks that the API key allows another attempt.
    ///
    /// # Errors
    ///
    /// Returns the response to send to the client.
    pub(super) fn check_key(&self) -> Result<(), Response> {
        let rejection = match self.key_state() {
            KeyState::Valid => return Ok(()),
            KeyState::Removed => Response::plain(401, "Sparrouter-Key is not known any more"),
            KeyState::Unconfirmed => reject_unconfirmed(self.node),
        };
        Err(if self.is_proven_not_run {
            rejection
        } else {
            may_have_run_response()
        })
    }
}
