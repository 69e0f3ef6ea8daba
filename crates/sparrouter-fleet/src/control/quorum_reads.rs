//! The reads of the configuration's shard on which quorum contact and the lease on the configuration are based.
use super::{CONFIG, Control};
use crate::platform::defects::{self, rules};
use sparrouter_consensus::Outcome;
use sparrouter_routing::{Nanos, timestamp_before};
use std::rc::Rc;
use std::time::Duration;

/// How long a confirmed read counts as contact, from its beginning. Well below `bounds.config_apply_ms`, so that a node
/// that starts with the configuration it reads here is not behind by more than that bound.
pub(super) const CONTACT_WINDOW: Duration = Duration::from_millis(1_600);
/// Mean time between two confirmed reads while there is contact; each interval is half to one and a half of it. Two
/// reads may fail before contact is lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads while there is no contact.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether a node that is in no group has joined one.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);

impl Control {
    /// Whether a quorum's recent answer proves that this member knows every change that was acknowledged before the
    /// read.
    pub fn has_quorum_contact(&self) -> bool {
        if !rules::contact_needs_confirmed_read() {
            return self.hears_majority();
        }
        self.is_member() && self.quorum_contact.borrow().is_confirmed(self.node.now())
    }

    /// Whether this process had contact with a quorum and has lost it: it was partitioned or frozen, or too few members
    /// remain. False in a process that has had no contact since its start.
    pub fn lost_quorum_contact(&self) -> bool {
        self.quorum_contact.borrow().is_lost(self.node.now())
    }

    /// When the read began on which quorum contact is based now; `None` without contact, or if this release cannot read
    /// the confirmed state, since the configuration that the node has may then be older.
    pub fn confirmed_read(&self) -> Option<Nanos> {
        if !self.node.reads_newest_state() {
            return None;
        }
        if !self.has_quorum_contact() {
            return (!rules::lease_needs_quorum()).then(|| self.node.now());
        }
        let read_began = self.quorum_contact.borrow().newest_read();
        read_began.or_else(|| (!rules::contact_needs_confirmed_read()).then(|| self.node.now()))
    }

    /// Reads the configuration's shard by a quorum periodically; see `quorum_contact` for what depends on it.
    ///
    /// A read for which the members agree costs one small frame to each other member and one back, and no write.
    pub(super) async fn keep_quorum_contact(self: Rc<Self>) {
        loop {
            let pause = self.renew_quorum_contact().await;
            tokio::time::sleep(self.node.jitter(pause)).await;
        }
    }

    /// Runs one confirmed read if this node is a member. Returns the delay until the next one.
    async fn renew_quorum_contact(&self) -> Duration {
        let has_caught_up = self.node.fleet_contact.is_informed();
        if !self.is_member() || (defects::hidden_by_reads() && has_caught_up) {
            return MEMBERSHIP_INTERVAL;
        }
        if !self.confirm_contact().await {
            return RETRY_INTERVAL;
        }
        let lease = self.node.configuration.lease.borrow();
        lease.renewal_interval(RENEWAL_INTERVAL)
    }

    /// Runs one confirmed read. Returns whether there is contact after it.
    async fn confirm_contact(&self) -> bool {
        let had_contact = self.has_quorum_contact();
        let began = self.node.now();
        let outcome = self.read_here(CONFIG, READ_TIMEOUT).await;
        let now = self.node.now();
        if !matches!(outcome, Outcome::Answered(_)) {
            return false;
        }
        self.node.confirm_configuration(timestamp_before(began, 0));
        let is_confirmed = self.quorum_contact.borrow_mut().confirm(began, now);
        if is_confirmed {
            self.node.fleet_contact.mark_informed();
            self.node.fleet_contact.record(now);
        }
        if is_confirmed && !had_contact {
            // Nodes that poll this one wait for the confirmation.
            self.node.notify_subscribers();
        }
        is_confirmed
    }
}
