//! When this process last heard from a node with quorum contact, and whether a quorum has confirmed the process's
//! configuration since its start.
use sparrouter_routing::Nanos;
use std::cell::Cell;

/// Contact with the fleet's quorum, direct or through a source.
#[derive(Default)]
pub(crate) struct FleetContact {
    /// See [`FleetContact::is_informed`].
    is_informed: Cell<bool>,
    last_at: Cell<Nanos>,
}

impl FleetContact {
    /// Records that a node with quorum contact, which may be this node, was heard from at `now`.
    pub(crate) fn record(&self, now: Nanos) {
        self.last_at.set(now);
    }

    /// When a node with quorum contact was last heard from; 0 if never.
    pub(crate) fn last_at(&self) -> Nanos {
        self.last_at.get()
    }

    /// Whether a quorum has confirmed the configuration in force since this process started.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.get()
    }

    /// Records that a quorum confirmed the configuration in force.
    pub(crate) fn mark_informed(&self) {
        self.is_informed.set(true);
    }
}
