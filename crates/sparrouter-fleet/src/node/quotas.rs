//! Quota state of this node: what it remembers of lease holders when it forwards requests, and the leases and buckets
//! by which it grants permits. The `quota` folder makes the decisions.
use sparrouter_quota::{BucketTable, PermitTable};
use sparrouter_routing::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A lease under which this node may grant permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantingLease {
    pub(crate) fencing_token: u64,
    /// No permit is granted before this time: another holder's lease may still be valid.
    pub(crate) active_from: Nanos,
    /// No permit is granted from this time on: another holder may have the lease.
    pub(crate) valid_until: Nanos,
}

/// The buckets of one shard, and the configuration state that set their limits.
pub(crate) struct GrantingShard {
    pub(crate) buckets: BucketTable,
    /// Number of the configuration state, as in [`ActiveConfiguration::slot`](crate::node::ActiveConfiguration::slot).
    pub(crate) config_slot: u64,
}

/// The quota state of one node.
#[derive(Default)]
pub(crate) struct Quotas {
    /// Refusals and unavailable shards that this node remembers.
    pub(crate) permits: RefCell<PermitTable>,
    /// For each shard, the node that last granted or refused a permit.
    pub(crate) holders: RefCell<BTreeMap<u16, SocketAddr>>,
    /// The node that last relayed a call to a lease holder for this one.
    pub(crate) relay: Cell<Option<SocketAddr>>,
    /// For each unresponsive node, until when it is not asked for permits.
    suspected_until: RefCell<BTreeMap<SocketAddr, Nanos>>,
    /// For each shard, the lease that this node holds.
    leases: RefCell<BTreeMap<u16, GrantingLease>>,
    /// For each shard, its buckets. Invariant: used only under the lease whose fencing token they name.
    pub(crate) shards: RefCell<BTreeMap<u16, GrantingShard>>,
}

impl Quotas {
    /// Records that a node did not answer: it is not asked for permits until `until`.
    pub(crate) fn suspect(&self, address: SocketAddr, until: Nanos) {
        self.suspected_until.borrow_mut().insert(address, until);
    }

    /// Whether a node recently failed to answer, so that it is not asked at `now`.
    pub(crate) fn is_suspected(&self, address: SocketAddr, now: Nanos) -> bool {
        let mut suspected_until = self.suspected_until.borrow_mut();
        suspected_until.retain(|_, until| *until > now);
        suspected_until.contains_key(&address)
    }

    /// This node's lease of a shard, valid or not; `None` if it holds none.
    pub(crate) fn lease(&self, shard: u16) -> Option<GrantingLease> {
        self.leases.borrow().get(&shard).copied()
    }

    /// Records that a quorum confirmed a lease. A late answer never shortens the lease.
    pub(crate) fn confirm_lease(&self, shard: u16, lease: GrantingLease) {
        let mut leases = self.leases.borrow_mut();
        let known = leases.entry(shard).or_insert(lease);
        let is_same = known.fencing_token == lease.fencing_token;
        if !is_same || known.valid_until < lease.valid_until {
            *known = lease;
        }
    }

    /// Records that this node no longer holds the shard's lease: it grants no more permits.
    pub(crate) fn end_lease(&self, shard: u16) {
        self.leases.borrow_mut().remove(&shard);
        self.shards.borrow_mut().remove(&shard);
    }
}
