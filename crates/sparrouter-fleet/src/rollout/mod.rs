//! Rollout of new model weights: updates servers to the newest version, a few at a time.
//!
//! For each shard of the services one node holds a lease with a fencing token from the shard's register. Before each
//! order the node renews the lease by a quorum, and checks its monotonic clock immediately before it sends the order.
//! Thus a node that was frozen or replaced in the meantime does not send the order.
//!
//! | module | its job |
//! | --- | --- |
//! | `directives` | directives to all nodes about a server that loads weights |
//! | `load` | update of one server to the newest version |
//! | `order` | one order to a server to load weights |
//! | `selection` | selection of the servers to update next |
//! | `server_calls` | reports and other replies of servers |
//!
//! Owns the rollout tasks of the shards and their state. Uses `control` for the lease and the node's tables.
mod directives;
mod load;
mod order;
mod selection;
mod server_calls;

use crate::control::Control;
use crate::control::shard_lease::{ActiveLease, ShardLease};
use crate::node::Node;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval at which a rollout task checks for work.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(60);
/// Assumed time to update one server until it has been measured, in seconds. It includes the completion of the server's
/// running requests.
const INITIAL_LOAD_SECONDS: f64 = 1.2;

/// A model and a version of its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TargetVersion {
    model: String,
    version: u64,
}

/// The rollout task for one shard's services, while this node has the lease or may acquire it.
///
/// The task runs until the process ends. Borrows of its cells are not held across an `await`.
struct RolloutTask {
    node: Rc<Node>,
    control: Rc<Control>,
    shard: u16,
    lease: Rc<ShardLease>,
    /// Ids of the servers that are being updated to the newest version. Each has its own task.
    loading: RefCell<HashSet<String>>,
    /// Servers for which a `LoadSoon` directive was sent, by id and model.
    announced: RefCell<HashSet<(String, String)>>,
    /// Sequence number of the last directive that was sent.
    last_directive: Cell<u64>,
    /// Moving average of the time that the update of a server takes, in seconds.
    load_seconds: Cell<f64>,
    /// Number of running and queued requests by server id, when the rollout of `loads_requested_for` began.
    loads: RefCell<HashMap<String, u32>>,
    /// The target version for which the servers' loads were last requested.
    loads_requested_for: RefCell<Option<TargetVersion>>,
}

/// Starts this node's rollout tasks, which run until the process ends.
pub(crate) fn start(node: &Rc<Node>, control: &Rc<Control>, leases: &[Rc<ShardLease>]) {
    for lease in leases {
        let task = Rc::new(RolloutTask {
            node: node.clone(),
            control: control.clone(),
            shard: lease.shard(),
            lease: lease.clone(),
            loading: RefCell::default(),
            announced: RefCell::default(),
            last_directive: Cell::new(0),
            load_seconds: Cell::new(INITIAL_LOAD_SECONDS),
            loads: RefCell::default(),
            loads_requested_for: RefCell::default(),
        });
        spawn_local(task.run());
    }
}

impl RolloutTask {
    async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.node.jitter(EVALUATION_INTERVAL)).await;
            self.evaluate().await;
        }
    }

    /// Acquires, uses or releases the lease. A holder that no longer ranks first continues its rollout until it may
    /// release the lease: each change of the holder stops the rollout for the length of a lease.
    async fn evaluate(self: &Rc<Self>) {
        let may_act = self.control.has_quorum_contact() && !self.node.is_leaving();
        let should_have_lease = may_act && self.control.is_first(self.shard);
        if !should_have_lease {
            self.lease.withdraw_candidacy();
        }
        let Some(lease) = self.lease.active() else {
            if should_have_lease && self.lease.may_acquire(self.is_in_progress()) {
                self.acquire_lease().await;
            }
            return;
        };
        if !should_have_lease && self.may_release(lease) {
            self.release_lease(lease).await;
        } else if may_act && self.node.now() >= lease.acts_from {
            self.work(lease).await;
        }
    }

    /// Whether the lease can be released now. It can't be released without a quorum; then it expires, and permits are
    /// granted until its granting time ends. Nor is it released right after an order: a holder that ends then leaves it
    /// to its successor to wait. A holder that stays also completes its own wait first, which its successor would
    /// otherwise have to begin again.
    fn may_release(&self, lease: ActiveLease) -> bool {
        let is_leaving = self.node.is_leaving();
        let reaches_quorum = self.control.has_quorum_contact() || is_leaving;
        let has_waited = self.node.now() >= lease.acts_from || is_leaving;
        let is_idle = self.loading.borrow().is_empty() && self.lease.are_orders_past();
        is_idle && reaches_quorum && has_waited
    }

    /// Acquires the lease; waits before the next attempt if no quorum responds.
    async fn acquire_lease(&self) {
        match self.lease.acquire().await {
            Some(lease) => self.withdraw_fenced_directives(lease),
            None => tokio::time::sleep(self.node.jitter(EVALUATION_INTERVAL * 4)).await,
        }
    }

    /// Releases the lease and clears the set of announced servers.
    async fn release_lease(&self, lease: ActiveLease) {
        self.announced.borrow_mut().clear();
        self.lease.release(lease).await;
    }

    /// Starts updates if servers run older versions than the newest.
    async fn work(self: &Rc<Self>, lease: ActiveLease) {
        self.withdraw_fenced_directives(lease);
        if self.has_work() && self.lease.is_fresh(lease).await {
            self.request_loads().await;
            self.begin_loads(lease);
        }
    }
}
