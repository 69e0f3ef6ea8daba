//! Selection of the sources that a node polls, and the state that the node keeps for each source.
use crate::node::{ControlNode, Node};
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_membership::sources;
use sparrouter_routing::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a failed source is avoided if there are others.
const AVOID_TIME: Duration = Duration::from_millis(800);
/// If no node with quorum contact has answered for this long, a poll goes to a seed with a probability of one half.
const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time that a poll may take beyond the maximum delay of the source's reply.
const REPLY_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of times that the poll time-out doubles on a node without a configuration. Many nodes that start at
/// once may saturate the sources' links with large replies, and a reply is sent again if a node gives up on it.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// Revision up to which this node has a source's records; valid for the source's process with this epoch.
#[derive(Clone, Copy, Default)]
pub(super) struct KnownRevision {
    pub(super) epoch: u64,
    pub(super) revision: u64,
}

/// The fields of a node's own record that change while the node runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct RecordVersion {
    pub(super) incarnation: u64,
    pub(super) leaving: bool,
}

/// State of the sources at this node.
#[derive(Default)]
pub(super) struct Sources {
    /// Sources that failed or have no quorum contact, with the time until which each is avoided.
    avoided: RefCell<HashMap<SocketAddr, Nanos>>,
    /// The source that each poll loop is polling, by loop index.
    polled: RefCell<Vec<Option<SocketAddr>>>,
    /// The record revision that this node has of each source.
    pub(super) revisions: RefCell<HashMap<SocketAddr, KnownRevision>>,
    /// The version of this node's own record that each source has, with the epoch of the source.
    pub(super) sent_records: RefCell<HashMap<SocketAddr, (u64, RecordVersion)>>,
    /// Whether the next poll requests the complete text of the configuration.
    pub(super) needs_complete_text: Cell<bool>,
    /// Number of consecutive polls without a reply.
    pub(super) unanswered: Cell<u32>,
}

impl Sources {
    /// Sets the number of poll loops.
    pub(super) fn set_loop_count(&self, count: usize) {
        self.polled.borrow_mut().resize(count, None);
    }

    /// Records the source that a loop polls.
    pub(super) fn begin_poll(&self, loop_index: usize, source: SocketAddr) {
        self.polled.borrow_mut()[loop_index] = Some(source);
    }

    /// Records that a source failed or has no quorum contact.
    pub(super) fn avoid(&self, node: &Node, source: SocketAddr) {
        let avoided_until = node.now() + nanos(AVOID_TIME);
        self.avoided.borrow_mut().insert(source, avoided_until);
    }

    fn is_avoided(&self, source: SocketAddr) -> bool {
        self.avoided.borrow().contains_key(&source)
    }

    /// Whether this loop may poll a source: the source is not avoided, and no other loop polls it.
    fn is_free(&self, source: SocketAddr, loop_index: usize) -> bool {
        let polled = self.polled.borrow();
        let mut others = polled
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != loop_index);
        !self.is_avoided(source) && !others.any(|(_, polled_source)| *polled_source == Some(source))
    }

    /// The source that a loop polls next; `None` if there is none.
    pub(super) fn next(&self, node: &Node, loop_index: usize) -> Option<SocketAddr> {
        let now = node.now();
        self.avoided
            .borrow_mut()
            .retain(|_, avoided_until| *avoided_until > now);
        let ranked = self.ranked_control_nodes(node);
        let seeds = seeds(node);
        let is_free = |source: &SocketAddr| self.is_free(*source, loop_index);
        let any_seed = || {
            let free: Vec<SocketAddr> = seeds.iter().copied().filter(is_free).collect();
            random_source(node, &free)
        };
        let any_source = || {
            let all: Vec<SocketAddr> = ranked.iter().chain(&seeds).copied().collect();
            random_source(node, &all)
        };
        let last_resort = if loop_index == 0 { any_source() } else { None };
        // Polls of removed machines take longer to time out than the machines are avoided. Without polls of seeds, a
        // node that was partitioned while all nodes known to it were replaced would poll those forever.
        let tries_seeds = !has_recent_quorum_contact(node) && node.rng.borrow_mut().bool();
        let seed_first = if tries_seeds { any_seed() } else { None };
        seed_first
            .or_else(|| ranked.iter().copied().find(is_free))
            .or_else(any_seed)
            .or(last_resort)
    }

    /// The other control nodes in this node's order of preference. Avoided, unresponsive and leaving nodes come last.
    fn ranked_control_nodes(&self, node: &Node) -> Vec<SocketAddr> {
        let own_address = node.own_address();
        let others: Vec<ControlNode> = node
            .control_nodes()
            .into_iter()
            .filter(|control_node| control_node.address != own_address)
            .collect();
        let membership = node.membership.borrow();
        let is_unavailable = |name: &str| {
            membership
                .node(name)
                .is_some_and(|n| n.unresponsive || n.leaving)
        };
        let candidates = others.iter().map(|n| {
            (
                n.name.as_str(),
                !self.is_avoided(n.address) && !is_unavailable(&n.name),
            )
        });
        let own_name = node.settings.borrow().node_name.clone();
        sources(&own_name, candidates, others.len())
            .into_iter()
            .filter_map(|name| others.iter().find(|n| n.name == name))
            .map(|control_node| control_node.address)
            .collect()
    }

    /// Time-out of a poll whose source may delay its reply by up to `max_wait`.
    pub(super) fn poll_timeout(&self, node: &Node, max_wait: Duration) -> Duration {
        let has_configuration = node.active_configuration().slot > 0;
        let doublings = if has_configuration || !rules::arriving_replies_extend_timeout() {
            0
        } else {
            self.unanswered.get().min(MAX_TIMEOUT_DOUBLINGS)
        };
        (max_wait + REPLY_MARGIN) * (1 << doublings)
    }
}

/// The internal addresses of the configured seeds, except this node's own. They serve a node that knows no other node
/// that answers.
fn seeds(node: &Node) -> Vec<SocketAddr> {
    let own_address = node.own_address();
    let settings = node.settings.borrow();
    let addresses = settings.seeds.iter().map(|s| settings.internal_of(s.ip()));
    addresses.filter(|a| *a != own_address).collect()
}

fn random_source(node: &Node, sources: &[SocketAddr]) -> Option<SocketAddr> {
    if sources.is_empty() {
        return None;
    }
    Some(sources[node.rng.borrow_mut().usize(..sources.len())])
}

/// Whether a node with quorum contact has answered this node within [`QUORUM_CONTACT_TIMEOUT`].
pub(super) fn has_recent_quorum_contact(node: &Node) -> bool {
    let elapsed = node.now().saturating_sub(node.fleet_contact.last_at());
    elapsed <= nanos(QUORUM_CONTACT_TIMEOUT)
}
