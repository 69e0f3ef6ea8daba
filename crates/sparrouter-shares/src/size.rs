//! Agreement on the number of nodes, which a node needs before it may use its own share.
//!
//! When the number of nodes increases, a node's share shrinks at once. When it decreases, the share grows only after all
//! shares and leases of the removed nodes have expired. A process that has just started has no own share until no node can
//! still use the larger share of a smaller cluster: after the time within which every node is informed, or earlier if the
//! reports of peers confirm it.
use crate::{Nanos, NodeIx};
use std::collections::{BTreeMap, VecDeque};

/// A node's view of the cluster size, as it reports it to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterSizeView {
    /// Number of nodes. The sender's own share is at most the limit divided by it.
    pub nodes: usize,
    /// Previous number of nodes, 0 if the sender has seen no other number.
    pub previous_nodes: usize,
    /// Time for which `nodes` has not changed; 0 if the sender does not know it.
    pub unchanged_for: Nanos,
}

/// Maximum number of stored peer views, and of larger sizes that are still in force. If agreement needs more views, it is
/// reached only by waiting.
const MAX_VIEWS: usize = 64;
/// Number of peers with a long unchanged view that is sufficient for agreement. A single peer is not trusted.
const REQUIRED_CONFIRMATIONS: usize = 2;

/// An earlier, larger number of nodes that still limits the own share.
#[derive(Clone, Copy, Debug)]
struct LargerSize {
    nodes: usize,
    in_force_until: Nanos,
}

/// One node's knowledge of the cluster's size.
#[derive(Clone, Debug)]
pub struct ClusterSize {
    own: NodeIx,
    /// Latest number of nodes that this node was informed of; at least 1.
    nodes: usize,
    /// Time at which this node was informed of `nodes`.
    changed_at: Nanos,
    /// Number of nodes before `nodes`, 0 if none.
    previous_nodes: usize,
    /// Larger numbers of nodes that are still in force, oldest first; at most [`MAX_VIEWS`].
    larger: VecDeque<LargerSize>,
    /// Time after a change until every node has been informed of it and all earlier leases have expired.
    convergence_time: Nanos,
    /// Time since which this process has tracked the size without interruption.
    tracked_since: Nanos,
    /// Whether this node may use its own share.
    agreed: bool,
    /// Views received from peers since `tracked_since`; used only until `agreed`.
    views: BTreeMap<NodeIx, ClusterSizeView>,
}

impl ClusterSize {
    /// Creates the state of a starting process. A cluster of one node has agreement at once.
    pub fn new(own: NodeIx, nodes: usize, convergence_time: Nanos, now: Nanos) -> ClusterSize {
        let nodes = nodes.max(1);
        ClusterSize {
            own,
            nodes,
            changed_at: now,
            previous_nodes: 0,
            larger: VecDeque::new(),
            convergence_time,
            tracked_since: now,
            agreed: nodes == 1,
            views: BTreeMap::new(),
        }
    }

    /// Returns this node's index.
    pub fn own(&self) -> NodeIx {
        self.own
    }

    /// Returns the latest number of nodes that this node was informed of.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Returns the time since which this process has tracked the size: its start or the last [`ClusterSize::reset`].
    pub fn tracked_since(&self) -> Nanos {
        self.tracked_since
    }

    /// Applies a new number of nodes or a new index of this node.
    pub fn update(&mut self, own: NodeIx, nodes: usize, now: Nanos) {
        let nodes = nodes.max(1);
        if nodes == self.nodes && own == self.own {
            return;
        }
        if nodes < self.nodes {
            self.keep_larger_in_force(now);
        }
        // The share of the new index belonged to another node, so this process must wait as after a start.
        if own != self.own {
            self.reset(now);
        }
        self.previous_nodes = self.nodes;
        self.own = own;
        self.nodes = nodes;
        self.changed_at = now;
        self.views.clear();
    }

    /// Keeps the current number of nodes in force until all shares and leases of the removed nodes have expired.
    fn keep_larger_in_force(&mut self, now: Nanos) {
        self.larger.push_back(LargerSize {
            nodes: self.nodes,
            in_force_until: now + self.convergence_time,
        });
        // The list is bounded: if sizes change too often, the oldest two are merged and the larger one stays in force.
        if self.larger.len() > MAX_VIEWS {
            let oldest = self.larger.pop_front().map_or(0, |size| size.nodes);
            self.larger[0].nodes = self.larger[0].nodes.max(oldest);
        }
    }

    /// Drops the knowledge of this process, which may be outdated, for example because the process was paused.
    pub fn reset(&mut self, now: Nanos) {
        self.tracked_since = now;
        self.agreed = self.nodes == 1;
        self.views.clear();
    }

    /// Returns the number of equal shares that a limit is divided into: the largest number of nodes that is in force.
    pub fn share_count(&mut self, now: Nanos) -> usize {
        self.larger.retain(|size| size.in_force_until > now);
        self.larger
            .iter()
            .map(|size| size.nodes)
            .fold(self.nodes, usize::max)
    }

    /// Returns the view that this node reports to peers.
    ///
    /// `loans_fit` is whether the loaned shares fit the own share under the current number of nodes. Until they do, the
    /// current number is not in force, as borrowers still use loans of the larger share.
    pub fn own_view(&mut self, loans_fit: bool, now: Nanos) -> ClusterSizeView {
        if !loans_fit {
            return ClusterSizeView {
                nodes: self.previous_nodes.min(self.nodes).max(1),
                previous_nodes: self.previous_nodes,
                unchanged_for: 0,
            };
        }
        let nodes = self.share_count(now);
        // A smaller number of nodes that is not in force yet must not be confirmed to peers.
        let unchanged_for = if self.agreed && nodes == self.nodes {
            now - self.changed_at.max(self.tracked_since)
        } else {
            0
        };
        ClusterSizeView {
            nodes,
            previous_nodes: self.previous_nodes,
            unchanged_for,
        }
    }

    /// Records the view of a peer. The view must not be older than this node's request.
    pub fn record_view(&mut self, peer: NodeIx, view: ClusterSizeView) {
        if self.agreed || peer == self.own {
            return;
        }
        if view.nodes < self.nodes {
            self.views.remove(&peer);
        } else if self.views.contains_key(&peer) || self.views.len() < MAX_VIEWS {
            self.views.insert(peer, view);
        }
    }

    /// Returns the peers whose view is still needed for agreement.
    pub fn peers_without_view(&self) -> impl Iterator<Item = NodeIx> {
        let earlier_nodes = self.max_earlier_nodes();
        let relevant = if self.agreed || earlier_nodes > MAX_VIEWS {
            0
        } else {
            earlier_nodes
        };
        (0..relevant).filter(|n| *n != self.own && !self.views.contains_key(n))
    }

    /// Returns the maximum number of nodes that may have run before this process started. It is derived from peers whose
    /// view contains a previous number or has long been unchanged; without such a peer it is the number of all nodes.
    fn max_earlier_nodes(&self) -> usize {
        let is_informed = |view: &&ClusterSizeView| {
            view.previous_nodes > 0 || view.unchanged_for >= self.convergence_time
        };
        let earlier_nodes = |view: &ClusterSizeView| {
            if view.previous_nodes > 0 && view.unchanged_for < self.convergence_time {
                view.previous_nodes
            } else {
                self.nodes
            }
        };
        let informed = self.views.values().filter(is_informed);
        let max = informed.map(earlier_nodes).max();
        max.unwrap_or(self.nodes).min(self.nodes)
    }

    /// Whether this node may use its own share. Once true, it stays true until [`ClusterSize::reset`].
    pub fn is_agreed(&mut self, now: Nanos) -> bool {
        if self.agreed {
            return true;
        }
        let has_converged = now >= self.tracked_since.max(self.changed_at) + self.convergence_time;
        // A view that has been unchanged for the convergence time proves that every node has been informed.
        let confirmations = self
            .views
            .values()
            .filter(|view| view.unchanged_for >= self.convergence_time)
            .count();
        let required = REQUIRED_CONFIRMATIONS.min(self.nodes - 1);
        let knows_all_views = self.views.len() >= required
            && self.max_earlier_nodes() <= MAX_VIEWS
            && self.peers_without_view().next().is_none();
        self.agreed = has_converged || confirmations >= required || knows_all_views;
        self.agreed
    }
}
