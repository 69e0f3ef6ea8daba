//! Merges records that arrive at this node, and handles the consequences of a change.
use super::Node;
use super::live_nodes::has_core_changed;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_membership::{MembershipDelta, ServerDirective};

/// Prefix of the keys of directives on stores; the store's address follows.
const STORE_DIRECTIVE_PREFIX: &str = "store/";

impl Node {
    /// Merges records that were made here or sent by another node.
    pub fn merge_records(&self, delta: MembershipDelta) {
        let now = self.now();
        let has_changed = self.membership.borrow_mut().merge(delta, now);
        if has_changed {
            self.raise_incarnation();
            self.observe_core();
            self.apply_store_directives();
            self.publish_changes();
        }
    }

    /// Merges one directive.
    pub fn merge_directive(&self, directive: ServerDirective) {
        self.merge_records(MembershipDelta {
            directives: vec![directive].into(),
            ..MembershipDelta::default()
        });
    }

    /// Raises this node's incarnation to refute records from other nodes that report it as unresponsive or that
    /// describe an earlier process with the same name.
    fn raise_incarnation(&self) {
        let mut own = self.own_record.borrow_mut();
        let mut membership = self.membership.borrow_mut();
        let incarnation = membership.next_incarnation(&own);
        if incarnation != own.incarnation {
            own.incarnation = incarnation;
            membership.merge_node(own.clone(), self.now());
        }
    }

    /// Announces that this node is leaving.
    pub fn announce_leaving(&self) {
        self.is_leaving.set(true);
        let record = {
            let mut own = self.own_record.borrow_mut();
            own.leaving = true;
            own.clone()
        };
        let now = self.now();
        self.membership.borrow_mut().merge_node(record, now);
        self.publish_changes();
    }

    /// Detects that control nodes joined, left, or became unresponsive: such a change restarts the time limits of
    /// versions.
    fn observe_core(&self) {
        let live = self.live_nodes();
        let states = live.counted_states();
        let mut observed = self.observed_core.borrow_mut();
        if observed.as_slice() == states {
            return;
        }
        let now = self.now();
        let is_start = now < nanos(self.settings.borrow().bounds.contact);
        let learns_existing = is_start && rules::start_moves_no_limits();
        if has_core_changed(&observed, states, learns_existing) {
            count(&self.counters.core_changes);
            log::info!("core changed: nodes={states:?}");
            let versions = &mut self.server_table.borrow_mut().versions;
            versions.record_core_change(now);
        }
        *observed = states.to_vec();
    }

    /// Removes the cached prefixes of stores that were restarted empty.
    fn apply_store_directives(&self) {
        let membership = self.membership.borrow();
        let mut epochs = self.owned_keys.store_epochs.borrow_mut();
        for (directive, _) in membership.directives_with_prefix(STORE_DIRECTIVE_PREFIX) {
            let address = &directive.key[STORE_DIRECTIVE_PREFIX.len()..];
            let store = sparrouter_rendezvous::hash(address.as_bytes());
            let known = epochs.insert(store, directive.version);
            if known.is_some_and(|known| known != directive.version) {
                let mut index = self.owned_keys.prefix_index.borrow_mut();
                index.remove_source(store);
            }
        }
    }
}
