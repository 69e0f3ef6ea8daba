//! Agreement on the number of nodes, as far as it is certain enough to compute an own share from it.
//!
//! When a node is informed of more nodes, its share shrinks at once; informed of fewer, its share grows only when the
//! nodes that left can use nothing any more. A process that has just started has no own share until nobody can still
//! be using the larger share of a smaller cluster: after the time in which every node is informed, or sooner by what
//! peers report.
use crate::{Nanos, NodeIx};
use std::collections::{BTreeMap, VecDeque};

/// What a node reports of the cluster's size as it counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterSizeView {
    /// Number of nodes: the sender's own share is at most one over it.
    pub nodes: usize,
    /// The number that the sender counted before, 0 where it never counted another.
    pub previous_nodes: usize,
    /// For how long `nodes` has not changed; 0 where the sender's process cannot know.
    pub unchanged_for: Nanos,
}

/// Bound of peers whose views are stored and of larger sizes that still bind. A cluster where more would be needed
/// agrees by time alone.
const MAX_VIEWS: usize = 64;
/// Peers with a long unchanged view that suffice to agree; one alone is not believed.
const REQUIRED_VOUCHERS: usize = 2;

/// A number of nodes from before that still bounds the own share.
#[derive(Clone, Copy, Debug)]
struct LargerSize {
    nodes: usize,
    binding_until: Nanos,
}

/// One node's knowledge of the cluster's size.
#[derive(Clone, Debug)]
pub struct ClusterSize {
    own: NodeIx,
    /// The number of nodes last informed of; at least 1.
    nodes: usize,
    /// Since when `nodes` has been in force here.
    changed_at: Nanos,
    /// The number before `nodes`, 0 for none.
    previous_nodes: usize,
    /// Numbers above `nodes` that still bind, oldest first; at most [`MAX_VIEWS`].
    larger: VecDeque<LargerSize>,
    /// After so long every node has been informed of a change and all leases from before it have expired.
    convergence_time: Nanos,
    /// When this process started to count, or lost its knowledge.
    counting_since: Nanos,
    /// Whether this node may use an own share.
    agreed: bool,
    /// Views of peers since `counting_since`; used only until `agreed`.
    views: BTreeMap<NodeIx, ClusterSizeView>,
}

impl ClusterSize {
    /// A process that starts. A single node agrees with itself at once.
    pub fn new(own: NodeIx, nodes: usize, convergence_time: Nanos, now: Nanos) -> ClusterSize {
        let nodes = nodes.max(1);
        ClusterSize {
            own,
            nodes,
            changed_at: now,
            previous_nodes: 0,
            larger: VecDeque::new(),
            convergence_time,
            counting_since: now,
            agreed: nodes == 1,
            views: BTreeMap::new(),
        }
    }

    /// This node's index.
    pub fn own(&self) -> NodeIx {
        self.own
    }

    /// The number of nodes last informed of.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// When this process started to count, or lost its knowledge by [`ClusterSize::reset`].
    pub fn counting_since(&self) -> Nanos {
        self.counting_since
    }

    /// Takes a new number of nodes, or a new index of this node.
    pub fn update(&mut self, own: NodeIx, nodes: usize, now: Nanos) {
        let nodes = nodes.max(1);
        if nodes == self.nodes && own == self.own {
            return;
        }
        if nodes < self.nodes {
            self.keep_larger_binding(now);
        }
        // The share of another index is another node's share: this process is as if just started.
        if own != self.own {
            self.reset(now);
        }
        self.previous_nodes = self.nodes;
        self.own = own;
        self.nodes = nodes;
        self.changed_at = now;
        self.views.clear();
    }

    /// Keeps the present number binding until nodes that left can use nothing any more.
    fn keep_larger_binding(&mut self, now: Nanos) {
        self.larger.push_back(LargerSize {
            nodes: self.nodes,
            binding_until: now + self.convergence_time,
        });
        // The list is bounded: where sizes change without end, the largest of the oldest two binds for both.
        if self.larger.len() > MAX_VIEWS {
            let oldest = self.larger.pop_front().map_or(0, |size| size.nodes);
            self.larger[0].nodes = self.larger[0].nodes.max(oldest);
        }
    }

    /// Drops what this process knows, which may be outdated: its clock advanced while it did not run, for example.
    pub fn reset(&mut self, now: Nanos) {
        self.counting_since = now;
        self.agreed = self.nodes == 1;
        self.views.clear();
    }

    /// Into how many equal shares a limit is divided now: the largest number of nodes that still binds.
    pub fn share_count(&mut self, now: Nanos) -> usize {
        self.larger.retain(|size| size.binding_until > now);
        self.larger
            .iter()
            .map(|size| size.nodes)
            .fold(self.nodes, usize::max)
    }

    /// The view that this node reports to others.
    ///
    /// `loans_fit`: the loaned shares fit the own share by the present number of nodes. Until they do, the present
    /// number is not in force, as borrowers still use loans of the larger share.
    pub fn own_view(&mut self, loans_fit: bool, now: Nanos) -> ClusterSizeView {
        if !loans_fit {
            return ClusterSizeView {
                nodes: self.previous_nodes.min(self.nodes).max(1),
                previous_nodes: self.previous_nodes,
                unchanged_for: 0,
            };
        }
        let nodes = self.share_count(now);
        // A smaller number that is not in force yet is not vouched for.
        let unchanged_for = if self.agreed && nodes == self.nodes {
            now - self.changed_at.max(self.counting_since)
        } else {
            0
        };
        ClusterSizeView {
            nodes,
            previous_nodes: self.previous_nodes,
            unchanged_for,
        }
    }

    /// Records a peer's view, as it was when this node sent its request or later.
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

    /// Peers whose view would help to agree.
    pub fn peers_without_view(&self) -> impl Iterator<Item = NodeIx> {
        let earlier_nodes = self.max_earlier_nodes();
        let relevant = if self.agreed || earlier_nodes > MAX_VIEWS {
            0
        } else {
            earlier_nodes
        };
        (0..relevant).filter(|n| *n != self.own && !self.views.contains_key(n))
    }

    /// Nodes below this index may have been there before this process: by the views of peers that counted another
    /// number before or have counted this one for long; all nodes, where no peer knows.
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

    /// Whether this node may use an own share. Once true it stays so until [`ClusterSize::reset`].
    pub fn is_agreed(&mut self, now: Nanos) -> bool {
        if self.agreed {
            return true;
        }
        let has_waited = now >= self.counting_since.max(self.changed_at) + self.convergence_time;
        // A peer that has counted the number for so long knows that every node has been informed.
        let vouchers = self
            .views
            .values()
            .filter(|view| view.unchanged_for >= self.convergence_time)
            .count();
        let required = REQUIRED_VOUCHERS.min(self.nodes - 1);
        let knows_all_views = self.views.len() >= required
            && self.max_earlier_nodes() <= MAX_VIEWS
            && self.peers_without_view().next().is_none();
        self.agreed = has_waited || vouchers >= required || knows_all_views;
        self.agreed
    }
}
