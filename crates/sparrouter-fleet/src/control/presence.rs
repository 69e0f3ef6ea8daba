//! Whom this member hears, its contact with a quorum, whose silence it tells of, and whether a shard's lease is its own.
use super::{CONFIG, Control};
use crate::platform::defects::{self, rules};
use crate::settings::nanos;
use sparrouter_consensus::lease::Lease;
use sparrouter_consensus::{Member, Outcome};
use sparrouter_routing::{Nanos, timestamp_before};
use std::rc::Rc;
use std::time::Duration;

/// A confirmed read counts as contact for so long after it began. Well below `bounds.config_apply_ms`, so that a node
/// that starts with what it is told here is not behind by more.
pub(super) const CONTACT_WINDOW: Duration = Duration::from_millis(1_600);
/// Between two confirmed reads while there is contact (half to one and a half of it): two may fail before it is lost.
const CONTACT_RENEWAL: Duration = Duration::from_millis(500);
/// Between two reads while there is none.
const CONTACT_RETRY: Duration = Duration::from_millis(20);
/// How long one read may take.
const CONTACT_READ: Duration = Duration::from_millis(500);
/// How often a node that is in no group looks whether it is.
const NO_MEMBER_YET: Duration = Duration::from_millis(100);

/// Polls between nodes of the core come so often that a quiet one for so long is out of touch.
const TOUCH: Duration = Duration::from_millis(1_600);
/// A node that asked here and has not for so long is told to be silent.
const QUIET: Duration = Duration::from_millis(2_500);

impl Control {
    pub fn heard_of(&self, name: &str) {
        self.contacts
            .borrow_mut()
            .insert(name.to_owned(), self.node.now());
    }

    /// This node is one of the sources of the node that polled, and so watches it.
    pub fn polled(&self, name: &str) {
        self.pollers
            .borrow_mut()
            .insert(name.to_owned(), self.node.now());
    }

    /// Tells of nodes that stopped asking. One that asks elsewhere now refutes it.
    pub fn watch(&self) {
        let now = self.node.now();
        let mut quiet = Vec::new();
        if !self.has_quorum_contact() && rules::watching_needs_contact() {
            // Cut off or just thawed: the others are not silent, they ask elsewhere.
            self.pollers.borrow_mut().clear();
        }
        self.pollers.borrow_mut().retain(|name, at| {
            let is_quiet = now.saturating_sub(*at) > nanos(QUIET);
            if is_quiet {
                quiet.push(name.clone());
            }
            !is_quiet
        });
        let mut changed = false;
        for name in quiet {
            changed |= self
                .node
                .membership
                .borrow_mut()
                .mark_node_unresponsive(&name, now);
        }
        self.node.pollers.set(self.pollers.borrow().len());
        if changed {
            self.node.stir();
        }
    }

    /// The newest lease of a shard on this node's disk, which a quorum may have replaced since: planted mistakes alone
    /// act on it.
    pub fn unconfirmed_lease(&self, part: u16) -> Option<Lease> {
        let registers = self.registers.borrow();
        Lease::decode(&registers.get(usize::from(part))?.unconfirmed()?.body)
    }

    /// Whether the duty of a part is this node's: it holds it, or whoever does is not heard of and this node is first.
    pub fn has_duty(&self, part: u16) -> bool {
        let body = self
            .registers
            .borrow()
            .get(usize::from(part))
            .and_then(|r| Some(r.chosen()?.body.clone()));
        let lease = body.and_then(|b| Lease::decode(&b));
        let holder = lease.and_then(|l| l.holder).map(|h| h.name);
        let own = format!("{}@{}", self.me.name, self.me.address);
        match holder {
            Some(holder) if holder == own => true,
            Some(holder) => {
                let name = holder.split('@').next().unwrap_or_default();
                let member = self
                    .members(part)
                    .iter()
                    .any(|m| format!("{}@{}", m.name, m.address) == holder);
                let leaving = self
                    .node
                    .membership
                    .borrow()
                    .node(name)
                    .is_some_and(|n| n.leaving);
                let there = member && self.heard_within(name, TOUCH) && !leaving;
                !there && self.is_first(part)
            }
            None => self.is_first(part),
        }
    }

    /// Whether this node comes first among the live members of the part, and so holds its duty.
    pub fn is_first(&self, part: u16) -> bool {
        let members = self.members(part);
        let leaving = |name: &str| {
            self.node
                .membership
                .borrow()
                .node(name)
                .is_some_and(|n| n.leaving)
        };
        let live = |m: &&Member| {
            m.disk_id == self.me.disk_id || (self.heard_within(&m.name, TOUCH) && !leaving(&m.name))
        };
        sparrouter_consensus::owner::ranked(part, &members)
            .into_iter()
            .find(live)
            .is_some_and(|m| m.disk_id == self.me.disk_id)
    }

    fn heard_within(&self, name: &str, span: Duration) -> bool {
        let now = self.node.now();
        self.contacts
            .borrow()
            .get(name)
            .is_some_and(|at| now.saturating_sub(*at) < nanos(span))
    }

    /// Whether this member knows, by a quorum's recent answer, everything that was acknowledged until then.
    pub fn has_quorum_contact(&self) -> bool {
        if !rules::contact_needs_confirmed_read() {
            return self.hears_majority();
        }
        self.is_member() && self.quorum_contact.borrow().is_confirmed(self.node.now())
    }

    /// Whether this process had contact with a quorum and has lost it: it was cut off or frozen, or too few members are
    /// left. A process that has only started has not lost any.
    pub fn lost_quorum_contact(&self) -> bool {
        self.quorum_contact.borrow().is_lost(self.node.now())
    }

    /// Whether frames of a majority arrived lately. This is no proof of contact: see `quorum_contact`.
    fn hears_majority(&self) -> bool {
        let members = self.members(CONFIG);
        let there = members
            .iter()
            .filter(|m| m.disk_id == self.me.disk_id || self.heard_within(&m.name, TOUCH))
            .count();
        self.is_member() && there * 2 > members.len()
    }

    /// Whether a quorum confirmed in this life what is in force.
    fn caught_up(&self) -> bool {
        self.node.informed.get()
    }

    /// Reads the configuration's shard by a quorum, again and again: see `quorum_contact` for what rests on it.
    ///
    /// A read that finds the members agreed costs one small frame to each other member and one back, and no write.
    pub(super) async fn keep_contact(self: Rc<Self>) {
        loop {
            let pause = if self.is_member() && !(defects::hidden_by_reads() && self.caught_up()) {
                if self.confirm_contact().await {
                    self.contact_renewal()
                } else {
                    CONTACT_RETRY
                }
            } else {
                NO_MEMBER_YET
            };
            tokio::time::sleep(self.node.jitter(pause)).await;
        }
    }

    /// The pause between two confirmed reads.
    fn contact_renewal(&self) -> Duration {
        let lease = self.node.configuration_lease.borrow();
        lease.renewal(CONTACT_RENEWAL)
    }

    /// When the read began that quorum contact rests on now; `None` without contact.
    pub fn confirmed_read(&self) -> Option<Nanos> {
        if !self.has_quorum_contact() {
            return !rules::lease_needs_quorum().then(|| self.node.now());
        }
        let read_began = self.quorum_contact.borrow().newest_read();
        read_began.or_else(|| !rules::contact_needs_confirmed_read().then(|| self.node.now()))
    }

    /// One confirmed read; returns whether there is contact after it.
    async fn confirm_contact(&self) -> bool {
        let had_contact = self.has_quorum_contact();
        let began = self.node.now();
        let outcome = self.operate(CONFIG, None, CONTACT_READ).await;
        let now = self.node.now();
        let is_answered = matches!(outcome, Outcome::Answered(_));
        if is_answered {
            self.node.confirm_configuration(timestamp_before(began, 0));
        }
        let confirmed = is_answered && self.quorum_contact.borrow_mut().confirm(began, now);
        if confirmed {
            self.node.informed.set(true);
            self.node.heard.set(now);
        }
        if confirmed && !had_contact {
            // Nodes that poll this one want to know.
            self.node.changed();
        }
        confirmed
    }
}
