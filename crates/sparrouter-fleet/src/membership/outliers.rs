//! Failures at servers: reported to the node that keeps count of each server, which tells all nodes of those that fail
//! what others would serve.
use crate::membership::polls;
use crate::node::Node;
use crate::node::counters::count;
use crate::peer::messages::Call;
use crate::platform::defects::rules;
use sparrouter_membership::{MembershipDelta, ServerDirective};
use sparrouter_routing::{Failure, Server, ServerIndex};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;
/// How long a member may take to acknowledge a notice on a server; without it the others hear of it later.
const PATIENCE: Duration = Duration::from_millis(500);

impl Node {
    /// A request of this node failed at a server. `key`: of its election.
    pub fn report_failure(self: &Rc<Self>, ix: ServerIndex, key: u64) {
        let failure = {
            let server_table = self.server_table.borrow();
            let Some(server) = server_table.get(ix) else {
                return;
            };
            Failure {
                server: server.hash(),
                key,
                answered: server.recent_answers(self.now()),
            }
        };
        match self.owner(failure.server) {
            None => self.failed_here(failure),
            Some(keeper) => self.links.cast(
                keeper,
                &Call::RequestFailed {
                    server: failure.server,
                    key,
                    answered_milli: (failure.answered * MILLI) as u32,
                },
            ),
        }
    }

    /// A request that failed at this server was answered by another one.
    pub fn report_served_elsewhere(&self, ix: ServerIndex) {
        let hash = self.server_table.borrow().get(ix).map(Server::hash);
        let Some(server) = hash else {
            return;
        };
        match self.owner(server) {
            None => self.served_elsewhere_here(server),
            Some(keeper) => self.links.cast(keeper, &Call::ServedElsewhere { server }),
        }
    }

    /// The same, at the server's keeper.
    pub fn served_elsewhere_here(&self, server: u64) {
        let now = self.now();
        self.outliers.borrow_mut().served_elsewhere(server, now);
    }

    /// A failure as another node reports it to this one, the server's keeper.
    pub fn failure_reported(self: &Rc<Self>, server: u64, key: u64, answered_milli: u32) {
        self.failed_here(Failure {
            server,
            key,
            answered: f64::from(answered_milli) / MILLI,
        });
    }

    fn failed_here(self: &Rc<Self>, failure: Failure) {
        let (nodes, now) = (self.sharers(), self.now());
        let is_outlier = self.outliers.borrow_mut().failed(failure, nodes, now);
        let id = self
            .server_table
            .borrow()
            .by_id_hash(failure.server)
            .map(|server| server.id.clone());
        if let Some(id) = id.filter(|_| is_outlier && rules::outliers_are_reported()) {
            self.tell_outlier(&id);
        }
    }

    /// Tells all nodes to prefer other servers for a while.
    fn tell_outlier(self: &Rc<Self>, id: &str) {
        let key = format!("avoid/{id}/");
        let number = self
            .membership
            .borrow()
            .directive(&key)
            .map_or(1, |n| n.sequence + 1);
        let note = ServerDirective {
            key,
            fencing_token: 0,
            sequence: number,
            version: 0,
            // It holds by its age alone, and is dropped like what is over.
            withdrawn: true,
        };
        let delta = MembershipDelta {
            directives: vec![note].into(),
            ..MembershipDelta::default()
        };
        log::info!("{id} fails requests that others would serve: others come first for a while");
        count(&self.counters.servers_avoided);
        self.merge_records(delta.clone());
        let node = self.clone();
        spawn_local(async move {
            polls::notify(&node, &delta, PATIENCE).await;
        });
    }
}
