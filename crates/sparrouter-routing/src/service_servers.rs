//! The servers of one service, as an election passes over them: their hashes side by side, and how loaded those are
//! that this node has used.
use crate::{Server, ServerIndex};
use sparrouter_membership::LifecycleState;

/// In flight beyond both of these a server is passed over: a ratio to the mean, and a floor.
const BAR_RATIO: f64 = 2.0;
const BAR_FLOOR: f64 = 2.0;

/// Hash of a server's id, and its place in the server table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) hash: u64,
    pub(crate) server: ServerIndex,
}

/// What one server adds to the load of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    /// 1 if it is ready and something was sent to it by this node.
    used: u64,
    in_flight: u64,
}

impl Load {
    pub(crate) fn of(server: &Server) -> Load {
        if server.used && server.standing == LifecycleState::Ready {
            Load {
                used: 1,
                in_flight: u64::from(server.in_flight),
            }
        } else {
            Load::default()
        }
    }
}

/// All servers of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceServers {
    pub(crate) entries: Vec<Entry>,
    load: Load,
}

impl ServiceServers {
    /// Takes in that a server adds another load than before.
    pub(crate) fn replace_load(&mut self, before: Load, after: Load) {
        self.load.used = self.load.used + after.used - before.used;
        self.load.in_flight = self.load.in_flight + after.in_flight - before.in_flight;
    }

    /// The bar of this node's own requests in flight: over it, a server is passed over.
    pub(crate) fn bar(&self) -> f64 {
        let mean = self.load.in_flight as f64 / self.load.used.max(1) as f64;
        f64::max(BAR_RATIO * mean, BAR_FLOOR)
    }
}
