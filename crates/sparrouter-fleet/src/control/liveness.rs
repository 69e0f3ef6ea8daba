//! Which members and pollers this node hears from, and which member ranks first for a lease.
use super::{CONFIG, Control};
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_consensus::Member;
use sparrouter_consensus::lease::{Lease, LeaseHolder};
use std::time::Duration;

/// A control node from which no frame arrives for this long counts as unreachable; control nodes poll each other more
/// often.
const PEER_CONTACT_WINDOW: Duration = Duration::from_millis(1_600);
/// A node that polled this one counts as unresponsive if it does not poll again for this long.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Liveness of another node that holds a lease, as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderLiveness {
    /// This node recently received a frame from the holder.
    Reachable,
    /// This node recently received no frame from the holder, but no node reports it as unresponsive or leaving.
    ReachableByOthers,
    /// The holder is leaving, unresponsive, or no longer a member.
    Gone,
}

impl Control {
    /// Liveness of the holder of a shard's lease, by the newest state of the lease on this node; `None` if that state
    /// names no holder, or `own`.
    pub(crate) fn lease_holder_liveness(
        &self,
        shard: u16,
        own: &LeaseHolder,
    ) -> Option<HolderLiveness> {
        let holder = self.unconfirmed_lease(shard)?.holder?;
        if holder == *own {
            return None;
        }
        let members = self.members(shard);
        let is_holder = |m: &&Member| holder.name == format!("{}@{}", m.name, m.address);
        let Some(member) = members.iter().find(is_holder) else {
            return Some(HolderLiveness::Gone);
        };
        let membership = self.node.membership.borrow();
        let is_gone = membership
            .node(&member.name)
            .is_none_or(|record| record.leaving || record.unresponsive);
        Some(if is_gone {
            HolderLiveness::Gone
        } else if self.is_in_contact(member) {
            HolderLiveness::Reachable
        } else {
            HolderLiveness::ReachableByOthers
        })
    }

    /// Records that a frame of a control node arrived.
    pub fn record_contact(&self, name: &str) {
        self.last_contacts
            .borrow_mut()
            .insert(name.to_owned(), self.node.now());
    }

    /// Records that a node polled this one, and so expects this one to monitor it.
    pub fn record_poll(&self, name: &str) {
        self.last_polls
            .borrow_mut()
            .insert(name.to_owned(), self.node.now());
    }

    /// Marks nodes that stopped polling as unresponsive. A node that polls another source refutes this mark.
    pub fn mark_unresponsive_pollers(&self) {
        let now = self.node.now();
        if !self.has_quorum_contact() && rules::watching_needs_contact() {
            // This node was partitioned or frozen: its pollers have moved to other sources.
            self.last_polls.borrow_mut().clear();
        }
        let mut overdue = Vec::new();
        self.last_polls.borrow_mut().retain(|name, polled_at| {
            let is_overdue = now.saturating_sub(*polled_at) > nanos(POLL_TIMEOUT);
            if is_overdue {
                overdue.push(name.clone());
            }
            !is_overdue
        });
        let mut has_changed = false;
        for name in overdue {
            let mut membership = self.node.membership.borrow_mut();
            has_changed |= membership.mark_node_unresponsive(&name, now);
        }
        self.node
            .publication
            .set_poller_count(self.last_polls.borrow().len());
        if has_changed {
            self.node.publish_changes();
        }
    }

    /// The newest lease of a shard on this node's disk, which a quorum may have replaced since. It is a hint: except
    /// under injected defects, it never proves that a node holds the lease.
    pub fn unconfirmed_lease(&self, shard: u16) -> Option<Lease> {
        let registers = self.registers.borrow();
        Lease::decode(&registers.get(usize::from(shard))?.unconfirmed()?.body)
    }

    /// Whether this node ranks first among the live members of the shard, and so should hold its lease.
    pub fn is_first(&self, shard: u16) -> bool {
        let members = self.members(shard);
        let is_leaving = |name: &str| {
            let membership = self.node.membership.borrow();
            membership.node(name).is_some_and(|n| n.leaving)
        };
        let is_live =
            |m: &&Member| self.is_own(m) || (self.is_in_contact(m) && !is_leaving(&m.name));
        sparrouter_consensus::owner::ranked(shard, &members)
            .into_iter()
            .find(is_live)
            .is_some_and(|m| self.is_own(m))
    }

    /// Whether frames of a majority arrived recently. This does not prove quorum contact: see `quorum_contact`.
    pub(super) fn hears_majority(&self) -> bool {
        let members = self.members(CONFIG);
        let in_contact = members
            .iter()
            .filter(|m| self.is_own(m) || self.is_in_contact(m))
            .count();
        self.is_member() && in_contact * 2 > members.len()
    }

    fn is_own(&self, member: &Member) -> bool {
        member.disk_id == self.own_member.disk_id
    }

    /// Whether a frame of another member arrived recently.
    fn is_in_contact(&self, member: &Member) -> bool {
        let now = self.node.now();
        self.last_contacts
            .borrow()
            .get(&member.name)
            .is_some_and(|at| now.saturating_sub(*at) < nanos(PEER_CONTACT_WINDOW))
    }
}
