//! Whether the key that a request carries still lets it go to a server, where revocation is strict.
//!
//! A request is asked when it comes and again before each server that it goes to: it may have waited meanwhile, and a
//! further server may be asked long after the first.
use super::{Exchange, admission};
use crate::node::Node;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use std::time::Duration;

/// After so long a client that is refused for want of a confirmed configuration may ask another node.
const ELSEWHERE: Duration = Duration::from_millis(150);

/// What is known of the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyState {
    /// It lets the request go on.
    Good,
    /// A newer configuration removed it or gave it to another tenant.
    Removed,
    /// A newer configuration may have removed it: no quorum confirmed lately what is in force here.
    Unconfirmed,
}

/// Whether requests with keys may go by what is in force here.
pub(super) fn may_go_by(node: &Node) -> bool {
    node.has_configuration_lease() || !rules::keys_need_lease()
}

/// The answer to a request that has not run, where the configuration here may be old.
pub(super) fn unconfirmed(node: &Node) -> Response {
    count(&node.counters.refused_without_lease);
    Response::retry_later(node.jitter(ELSEWHERE))
}

impl Exchange<'_> {
    /// The state of the request's key now.
    pub(super) fn key_state(&self) -> KeyState {
        let Some(tenant) = self.tenant else {
            return KeyState::Good;
        };
        if !self.node.configuration.lease.borrow().is_needed() {
            return KeyState::Good;
        }
        if !may_go_by(self.node) {
            return KeyState::Unconfirmed;
        }
        let in_force = self.node.active_configuration();
        let is_same = in_force
            .table
            .as_deref()
            .is_some_and(|table| std::ptr::eq(table, self.table));
        if is_same || !rules::retries_need_known_key() {
            return KeyState::Good;
        }
        let key = self.request.head.fields.text("sparrouter-key");
        let holder = key.and_then(|key| in_force.table.as_ref()?.tenant_of(key));
        match holder {
            Some(holder) if holder.name == tenant.name => KeyState::Good,
            _ => KeyState::Removed,
        }
    }

    /// The answer to give in place of a further send, where the key does not allow one. `proved`: it has not run.
    pub(super) fn check_key(&self, proved: bool) -> Result<(), Response> {
        let refusal = match self.key_state() {
            KeyState::Good => return Ok(()),
            KeyState::Removed => Response::plain(401, "Sparrouter-Key is not known any more"),
            KeyState::Unconfirmed => unconfirmed(self.node),
        };
        Err(if proved {
            refusal
        } else {
            admission::may_have_run()
        })
    }
}
