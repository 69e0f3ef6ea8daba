//! The servers of one service: a compact list of their hashes for scoring, and their load bound.
use crate::{Server, ServerHandle};
use sparrouter_membership::LifecycleState;

/// A server is skipped while this node's requests in flight there exceed both bounds: this multiple of their mean over the
/// servers in use, and the floor below.
const LOAD_BOUND_RATIO: f64 = 2.0;
const LOAD_BOUND_FLOOR: f64 = 2.0;

/// The hash of a server's id, and its handle in the server table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceEntry {
    pub(crate) hash: u64,
    pub(crate) server: ServerHandle,
}

/// One server's contribution to the load of its service, which is the sum over all servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadContribution {
    /// 1 if the server is ready and this node has sent requests to it, otherwise 0.
    servers_in_use: u64,
    /// This node's requests in flight at the server, if it is in use.
    in_flight: u64,
}

impl LoadContribution {
    pub(crate) fn of(server: &Server) -> LoadContribution {
        if server.has_been_used && server.state == LifecycleState::Ready {
            LoadContribution {
                servers_in_use: 1,
                in_flight: u64::from(server.in_flight),
            }
        } else {
            LoadContribution::default()
        }
    }
}

/// All servers of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceServers {
    /// Entries in the order in which the servers were added.
    pub(crate) entries: Vec<ServiceEntry>,
    /// Sum of the load contributions of all entries.
    load: LoadContribution,
}

impl ServiceServers {
    /// Replaces one server's contribution to the load.
    pub(crate) fn replace_load(&mut self, before: LoadContribution, after: LoadContribution) {
        self.load.servers_in_use =
            self.load.servers_in_use + after.servers_in_use - before.servers_in_use;
        self.load.in_flight = self.load.in_flight + after.in_flight - before.in_flight;
    }

    /// Maximum number of this node's requests in flight at a server for the server not to be skipped.
    pub(crate) fn load_bound(&self) -> f64 {
        let mean = self.load.in_flight as f64 / self.load.servers_in_use.max(1) as f64;
        f64::max(LOAD_BOUND_RATIO * mean, LOAD_BOUND_FLOOR)
    }
}
