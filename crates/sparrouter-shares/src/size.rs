//! How many we are, as far as that is certain enough to take a part by it.
//!
//! Told of more nodes, this one's part shrinks at once; told of fewer, it grows only when those that went can use
//! nothing any more. A process that has just started has no part of its own until nobody can still be using the
//! larger part of a smaller fleet: after the time in which everybody has been told, or sooner by what peers say.
use crate::{Nanos, NodeIx};
use std::collections::{BTreeMap, VecDeque};

/// What a node says of the fleet's size as it counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterSizeView {
    /// Its own part is no more than one of so many.
    pub nodes: usize,
    /// What it counted before that, 0 where it never counted otherwise.
    pub previous_nodes: usize,
    /// For so long; 0 where its process has started since and can't know.
    pub unchanged_for: Nanos,
}

/// Peers whose word is kept; where more would be needed only time helps.
const KEPT: usize = 64;
/// One peer alone is not believed.
const VOUCH: usize = 2;

#[derive(Clone, Debug)]
pub struct ClusterSize {
    own: NodeIx,
    nodes: usize,
    /// Since when this number has been in force here, and the one before.
    since: Nanos,
    before: usize,
    /// Larger numbers that still bind, until when.
    larger: VecDeque<(usize, Nanos)>,
    /// Everybody has been told, and leases of before have ended, after so long.
    settles: Nanos,
    began: Nanos,
    /// No longer fresh.
    known: bool,
    says: BTreeMap<NodeIx, ClusterSizeView>,
}

impl ClusterSize {
    pub fn new(own: NodeIx, nodes: usize, settles: Nanos, now: Nanos) -> ClusterSize {
        let nodes = nodes.max(1);
        ClusterSize {
            own,
            nodes,
            since: now,
            before: 0,
            larger: VecDeque::new(),
            settles,
            began: now,
            known: nodes == 1,
            says: BTreeMap::new(),
        }
    }

    pub fn own(&self) -> NodeIx {
        self.own
    }
    /// The last number told.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Told anew how many there are.
    pub fn update(&mut self, own: NodeIx, nodes: usize, now: Nanos) {
        let nodes = nodes.max(1);
        if nodes == self.nodes && own == self.own {
            return;
        }
        if nodes < self.nodes {
            self.larger.push_back((self.nodes, now + self.settles));
            // Bounded: where it changes ever again the largest binds.
            if self.larger.len() > KEPT {
                let first = self.larger.pop_front().map_or(0, |l| l.0);
                self.larger[0].0 = self.larger[0].0.max(first);
            }
        }
        // Another number is another one's part: as if just started.
        if own != self.own {
            self.forget(now);
        }
        (self.before, self.own, self.nodes, self.since) = (self.nodes, own, nodes, now);
        self.says.clear();
    }

    /// The clock stood still for this process, or what it knows may be old for another reason.
    pub fn forget(&mut self, now: Nanos) {
        (self.began, self.known) = (now, self.nodes == 1);
        self.says.clear();
    }

    /// Of how many equal parts this node has one.
    pub fn share_count(&mut self, now: Nanos) -> usize {
        self.larger.retain(|l| l.1 > now);
        self.larger.iter().map(|l| l.0).fold(self.nodes, usize::max)
    }

    /// What is said of it to others. `fits`: what is lent fits the part of which it is lent.
    pub fn own_view(&mut self, fits: bool, now: Nanos) -> ClusterSizeView {
        if !fits {
            // Not in force yet: what was lent of the larger part is still used.
            return ClusterSizeView {
                nodes: self.before.min(self.nodes).max(1),
                previous_nodes: self.before,
                unchanged_for: 0,
            };
        }
        let parts = self.share_count(now);
        // A smaller number in waiting is not vouched for.
        let held = if self.known && parts == self.nodes {
            now - self.since.max(self.began)
        } else {
            0
        };
        ClusterSizeView {
            nodes: parts,
            previous_nodes: self.before,
            unchanged_for: held,
        }
    }

    /// What a peer says, as it was when this node asked or later.
    pub fn receive(&mut self, peer: NodeIx, says: ClusterSizeView) {
        if self.known || peer == self.own {
            return;
        }
        if says.nodes < self.nodes {
            self.says.remove(&peer);
        } else if self.says.contains_key(&peer) || self.says.len() < KEPT {
            self.says.insert(peer, says);
        }
    }

    /// Those that it would help to ask.
    pub fn unheard_peers(&self) -> impl Iterator<Item = NodeIx> {
        let all = if self.known || self.old() > KEPT {
            0
        } else {
            self.old()
        };
        (0..all).filter(|n| *n != self.own && !self.says.contains_key(n))
    }

    /// Nodes up to this number may have been there before us: by the word of those that counted otherwise before, or
    /// that have counted so for long; all, where nobody knows.
    fn old(&self) -> usize {
        let knows = |s: &&ClusterSizeView| s.previous_nodes > 0 || s.unchanged_for >= self.settles;
        let before = |s: &ClusterSizeView| {
            if s.previous_nodes > 0 && s.unchanged_for < self.settles {
                s.previous_nodes
            } else {
                self.nodes
            }
        };
        let old = self.says.values().filter(knows).map(before).max();
        old.unwrap_or(self.nodes).min(self.nodes)
    }

    /// Whether this node has a part of its own.
    pub fn is_agreed(&mut self, now: Nanos) -> bool {
        if self.known {
            return true;
        }
        let passed = now >= self.began.max(self.since) + self.settles;
        // Who has counted so for long says that all have been told.
        let vouch = self
            .says
            .values()
            .filter(|s| s.unchanged_for >= self.settles)
            .count();
        let enough = VOUCH.min(self.nodes - 1);
        let all = self.says.len() >= enough
            && self.old() <= KEPT
            && self.unheard_peers().next().is_none();
        self.known = passed || vouch >= enough || all;
        self.known
    }

    /// Since when this process counts, or counts anew.
    pub fn began(&self) -> Nanos {
        self.began
    }
}
