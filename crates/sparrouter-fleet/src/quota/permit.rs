//! A permit from its grant to its use or return.
use crate::node::Node;
use crate::node::counters::count;
use crate::peer::messages::Call;
use crate::platform::defects::rules;
use sparrouter_quota::{Permit, ReturnedTokens};
use std::rc::Rc;

/// A permit that is held for a request. On drop, an unspent permit is returned to the lease holder that granted it.
pub(crate) struct HeldPermit {
    node: Rc<Node>,
    tenant: String,
    permit: Permit,
    is_spent: bool,
}

impl HeldPermit {
    pub(super) fn new(node: &Rc<Node>, tenant: &str, permit: Permit) -> HeldPermit {
        HeldPermit {
            node: node.clone(),
            tenant: tenant.to_owned(),
            permit,
            is_spent: false,
        }
    }

    /// Whether the permit is unspent and still valid.
    pub(crate) fn is_usable(&self) -> bool {
        let is_valid = self.permit.is_valid(self.node.now());
        !self.is_spent && (is_valid || !rules::permits_checked_before_send())
    }

    /// Spends the permit immediately before a request's bytes are sent. Returns false if the permit has expired or was
    /// already spent.
    pub(crate) fn spend(&mut self) -> bool {
        if !self.is_usable() {
            if !self.is_spent {
                count(&self.node.counters.permits_expired);
            }
            return false;
        }
        self.is_spent = true;
        count(&self.node.counters.permits_spent);
        true
    }

    /// Makes a spent permit usable again until it expires, because the request for which it was spent was certainly not
    /// run.
    pub(crate) fn undo_spend(&mut self) {
        self.is_spent = false;
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if !self.is_spent || !rules::spent_permits_kept() {
            count(&self.node.counters.permits_returned);
            self.node.return_permit(&self.tenant, &self.permit);
        }
    }
}

impl Node {
    /// Returns an unspent permit to the lease holder. If the message is lost, the permit is lost too.
    fn return_permit(&self, tenant: &str, permit: &Permit) {
        let Permit {
            shard,
            fencing_token,
            granted_at,
            ..
        } = *permit;
        let count = if rules::permits_returned_once() { 1 } else { 2 };
        let holder = self.quotas.holders.borrow().get(&shard).copied();
        let Some(holder) = holder.filter(|holder| *holder != self.own_address()) else {
            let returned = ReturnedTokens {
                fencing_token,
                granted_at,
                count,
            };
            return self.take_back_permits(shard, tenant, returned);
        };
        let call = Call::ReturnPermits {
            shard,
            tenant: tenant.to_owned(),
            fencing_token,
            granted_at,
            count,
        };
        self.quota_links.cast(holder, &call);
    }
}
