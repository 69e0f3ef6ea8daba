//! Whom this node of the core hears, whose silence it tells of, and whether a part's duty is its own.
use super::{CONFIG, Control};
use crate::boot::nanos;
use sparrouter_consensus::Member;
use sparrouter_consensus::lease::Lease;
use std::time::Duration;

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
        self.pollers.borrow_mut().retain(|name, at| {
            let is_quiet = now.saturating_sub(*at) > nanos(QUIET);
            if is_quiet {
                quiet.push(name.clone());
            }
            !is_quiet
        });
        let mut changed = false;
        for name in quiet {
            changed |= self.node.rows.borrow_mut().node_silent(&name, now);
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
                    .rows
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
                .rows
                .borrow()
                .node(name)
                .is_some_and(|n| n.leaving)
        };
        let live = |m: &&Member| {
            m.disk == self.me.disk || (self.heard_within(&m.name, TOUCH) && !leaving(&m.name))
        };
        sparrouter_consensus::owner::ranked(part, &members)
            .into_iter()
            .find(live)
            .is_some_and(|m| m.disk == self.me.disk)
    }

    fn heard_within(&self, name: &str, span: Duration) -> bool {
        let now = self.node.now();
        self.contacts
            .borrow()
            .get(name)
            .is_some_and(|at| now.saturating_sub(*at) < nanos(span))
    }

    /// This node has what is in force, and hears a majority of the group.
    pub fn in_touch(&self) -> bool {
        let members = self.members(CONFIG);
        let there = members
            .iter()
            .filter(|m| m.disk == self.me.disk || self.heard_within(&m.name, TOUCH))
            .count();
        self.caught_up.get() && self.is_member() && there * 2 > members.len()
    }
}
