//! Outlier detection: finds servers that fail requests which other servers would complete.
//!
//! Failures are reported to the node that owns the server. The owner counts them and asks all nodes to avoid an outlier
//! for a while.
use super::notify::notify;
use crate::node::Node;
use crate::node::counters::count;
use crate::peer::messages::Call;
use crate::platform::defects::rules;
use sparrouter_membership::{MembershipDelta, ServerDirective};
use sparrouter_routing::{Failure, Server, ServerHandle};
use std::rc::Rc;
use std::time::Duration;

/// Factor by which `answered` is scaled to an integer in a message.
const MILLI: f64 = 1_000.0;
/// Time-out for the acknowledgement of a directive to avoid a server.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

impl Node {
    /// Reports to the server's owner that a request of this node failed. `key`: the key by which the server was
    /// selected.
    pub fn report_failure(self: &Rc<Self>, server_handle: ServerHandle, key: u64) {
        let failure = {
            let server_table = self.server_table.borrow();
            let Some(server) = server_table.get(server_handle) else {
                return;
            };
            Failure {
                server: server.hash(),
                key,
                answered: server.recent_answers(self.now()),
            }
        };
        let Some(owner) = self.owner(failure.server) else {
            return self.count_failure(failure);
        };
        let call = Call::RequestFailed {
            server: failure.server,
            key,
            answered_milli: (failure.answered * MILLI) as u32,
        };
        self.links.cast(owner, &call);
    }

    /// Reports to the server's owner that a request which failed at this server was answered by another one.
    pub fn report_served_elsewhere(&self, server_handle: ServerHandle) {
        let hash = self
            .server_table
            .borrow()
            .get(server_handle)
            .map(Server::hash);
        let Some(server) = hash else {
            return;
        };
        match self.owner(server) {
            None => self.count_served_elsewhere(server),
            Some(owner) => self.links.cast(owner, &Call::ServedElsewhere { server }),
        }
    }

    /// Records that a request which failed at a server owned by this node was answered by another server.
    pub fn count_served_elsewhere(&self, server: u64) {
        let now = self.now();
        let mut outliers = self.owned_keys.outliers.borrow_mut();
        outliers.record_served_elsewhere(server, now);
    }

    /// Records a failure that another node reports to this node, the server's owner. `answered_milli`: recently
    /// answered requests at the reporting node, in thousandths.
    pub fn count_reported_failure(self: &Rc<Self>, server: u64, key: u64, answered_milli: u32) {
        self.count_failure(Failure {
            server,
            key,
            answered: f64::from(answered_milli) / MILLI,
        });
    }

    fn count_failure(self: &Rc<Self>, failure: Failure) {
        let (proxy_count, now) = (self.proxy_count(), self.now());
        let is_outlier = {
            let mut outliers = self.owned_keys.outliers.borrow_mut();
            outliers.record_failure(failure, proxy_count, now)
        };
        let id = {
            let server_table = self.server_table.borrow();
            let server = server_table.by_id_hash(failure.server);
            server.map(|server| server.id.clone())
        };
        if let Some(id) = id.filter(|_| is_outlier && rules::outliers_are_reported()) {
            self.report_outlier(&id);
        }
    }

    /// Sends all nodes a directive to prefer other servers for a while.
    fn report_outlier(self: &Rc<Self>, id: &str) {
        let key = format!("avoid/{id}/");
        let known = self.membership.borrow().directive(&key).map(|d| d.sequence);
        let directive = ServerDirective {
            key,
            fencing_token: 0,
            sequence: known.map_or(1, |sequence| sequence + 1),
            version: 0,
            // The directive expires by its age; until it is dropped it is stored like a withdrawn directive.
            withdrawn: true,
        };
        let delta = MembershipDelta {
            directives: vec![directive].into(),
            ..MembershipDelta::default()
        };
        log::info!("server is an outlier, other servers are preferred for a while: server={id}");
        count(&self.counters.servers_avoided);
        self.merge_records(delta.clone());
        // Without an acknowledgement the other nodes receive the directive by their polls.
        drop(notify(self, &delta, NOTIFY_TIMEOUT));
    }
}
