//! The lease of one shard at this node: while it is valid, no other node orders servers of the shard's services to load
//! weights, or grants permits of the shard's quotas.
use super::liveness::HolderLiveness;
use super::{Control, change};
use crate::node::Node;
use crate::node::quotas::GrantingLease;
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_config::RouteTable;
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_routing::Nanos;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time-out of a change of the lease.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum age of the last renewal when an order stops a server; if the renewal is older, the lease is renewed first.
pub(crate) const MAX_RENEWAL_AGE: Duration = Duration::from_millis(400);
/// How long a node waits for a live holder to release the lease before it acquires the unreleased lease, in addition to
/// the time for which the holder keeps the lease after an order. After such a takeover it orders nothing for the whole
/// length of the previous lease, and grants nothing for up to [`GRANTING_TIME`]; no other node does so in its place.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// The release time-out for a holder that other nodes hear from and this node does not, and for one whose rollout does
/// not end. Two nodes that do not hear each other would otherwise take the lease from each other in turn, and neither
/// would ever have waited long enough to act.
const MAX_RELEASE_TIMEOUT: Duration = Duration::from_secs(12);
/// How long permits of quotas are granted after the start of the last renewal that a quorum confirmed; a shorter lease
/// ends it sooner. A successor waits exactly this long before it grants. All releases that run side by side have the
/// same value.
const GRANTING_TIME: Duration = Duration::from_secs(2);
/// The wait for the previous lease is extended by its length divided by this, for clocks that differ in speed.
const CLOCK_MARGIN_DIVISOR: u64 = 10;
const NANOS_PER_MS: u64 = 1_000_000;

/// The lease as this node holds it.
#[derive(Clone, Copy)]
pub(crate) struct ActiveLease {
    pub(crate) fencing_token: u64,
    /// Nothing is ordered before this time: the previous holder's lease may still be valid.
    pub(crate) acts_from: Nanos,
    /// No permit is granted before this time: the previous holder may still grant.
    pub(crate) grants_from: Nanos,
}

/// Extends a wait for clocks that differ in speed.
fn with_clock_margin(wait: Nanos) -> Nanos {
    wait + wait / CLOCK_MARGIN_DIVISOR
}

/// State of a shard's lease at this node. A lease that is not renewed expires.
pub(crate) struct ShardLease {
    node: Rc<Node>,
    control: Rc<Control>,
    shard: u16,
    active: Cell<Option<ActiveLease>>,
    /// When the last renewal that a quorum confirmed began.
    renewed_at: Cell<Nanos>,
    /// Since when this node has been a candidate for the lease; `None` if it is not.
    candidate_since: Cell<Option<Nanos>>,
    /// When this node last found, as a candidate, that the holder was updating servers.
    in_use_at: Cell<Nanos>,
    /// When an order of this node may last have reached a server. Initially the start of this process: the process before
    /// it on this machine was the same holder.
    last_order_at: Cell<Nanos>,
}

impl ShardLease {
    /// A shard's lease that this node does not hold yet.
    pub(crate) fn new(node: &Rc<Node>, control: &Rc<Control>, shard: u16) -> Rc<ShardLease> {
        Rc::new(ShardLease {
            node: node.clone(),
            control: control.clone(),
            shard,
            active: Cell::new(None),
            renewed_at: Cell::new(0),
            candidate_since: Cell::new(None),
            in_use_at: Cell::new(0),
            last_order_at: Cell::new(node.now()),
        })
    }

    /// Number of the shard.
    pub(crate) fn shard(&self) -> u16 {
        self.shard
    }

    pub(crate) fn active(&self) -> Option<ActiveLease> {
        self.active.get()
    }

    /// Whether this node still holds this lease.
    pub(crate) fn is_active(&self, lease: ActiveLease) -> bool {
        let active = self.active.get();
        active.is_some_and(|active| active.fencing_token == lease.fencing_token)
    }

    /// This node as a lease holder. A process that restarts on the same machine is the same holder, since the previous
    /// process has certainly ended; on another machine it is a different holder.
    pub(crate) fn holder(&self) -> LeaseHolder {
        let own = self.node.own_record.borrow();
        LeaseHolder {
            name: format!("{}@{}", own.name, own.internal_address),
            incarnation: 0,
        }
    }

    /// How long permits are granted after a renewal.
    pub(crate) fn granting_time(&self) -> Duration {
        self.duration().min(GRANTING_TIME)
    }

    /// How long a lease is valid after its renewal.
    pub(crate) fn duration(&self) -> Duration {
        self.node.settings.borrow().bounds.lease
    }

    async fn change(&self, lease_change: &LeaseChange) -> Option<LeaseAnswer> {
        let changed = change(
            &self.node,
            Some(&self.control),
            self.shard,
            lease_change.encode(),
            CHANGE_TIMEOUT,
        )
        .await;
        LeaseAnswer::decode(&changed.ok()?)
    }

    /// Whether this node, which ranks first for the lease, should acquire it now. It waits while another live holder
    /// may still release the lease. `is_in_use`: whether that holder is updating servers, as far as this node knows.
    pub(crate) fn may_acquire(&self, is_in_use: bool) -> bool {
        let now = self.node.now();
        let since = self.candidate_since.get().unwrap_or(now);
        self.candidate_since.set(Some(since));
        if is_in_use {
            self.in_use_at.set(now);
        }
        let waited = now.saturating_sub(since);
        let idle_for = now.saturating_sub(since.max(self.in_use_at.get()));
        match self
            .control
            .lease_holder_liveness(self.shard, &self.holder())
        {
            None | Some(HolderLiveness::Gone) => true,
            Some(HolderLiveness::ReachableByOthers) => waited >= nanos(MAX_RELEASE_TIMEOUT),
            Some(HolderLiveness::Reachable) => {
                let release_timeout = self.retention_after_order() + nanos(RELEASE_TIMEOUT);
                idle_for >= release_timeout || waited >= nanos(MAX_RELEASE_TIMEOUT)
            }
        }
    }

    /// Records that this node no longer ranks first for the lease.
    pub(crate) fn withdraw_candidacy(&self) {
        self.candidate_since.set(None);
    }

    /// Acquires the lease with a new fencing token that a quorum chose. A token never comes from the disk or from the
    /// memory of an earlier process. Returns `None` without the answer of a quorum.
    pub(crate) async fn acquire(&self) -> Option<ActiveLease> {
        if !rules::fencing_tokens_come_from_quorum() && self.inject_from_disk() {
            return self.active.get();
        }
        let began = self.node.now();
        let acquire = LeaseChange::Acquire {
            holder: self.holder(),
            duration: nanos(self.duration()),
        };
        let Some(LeaseAnswer::Acquired {
            fencing_token,
            takeover_wait,
        }) = self.change(&acquire).await
        else {
            return None;
        };
        let now = self.node.now();
        let takeover_wait = if rules::takeovers_wait() {
            takeover_wait
        } else {
            0
        };
        let lease = ActiveLease {
            fencing_token,
            acts_from: now + with_clock_margin(takeover_wait),
            grants_from: now + with_clock_margin(takeover_wait.min(nanos(GRANTING_TIME))),
        };
        self.active.set(Some(lease));
        self.candidate_since.set(None);
        self.confirm_validity(lease, began);
        self.log_acquired(lease);
        Some(lease)
    }

    /// Whether the lease grants permits of quotas: only then are changes of its holder logged.
    fn grants_permits(&self) -> bool {
        let active = self.node.active_configuration();
        let table = active.table.as_deref();
        table.is_some_and(RouteTable::has_quotas)
    }

    fn log_acquired(&self, lease: ActiveLease) {
        if self.grants_permits() {
            let acts_in = lease.grants_from.saturating_sub(self.node.now());
            log::info!(
                "quota lease acquired: shard={} fencing_token={} acts_in_ms={}",
                self.shard,
                lease.fencing_token,
                acts_in / NANOS_PER_MS
            );
        }
    }

    fn log_ended(&self, reason: &str) {
        if let Some(lease) = self.active.get().filter(|_| self.grants_permits()) {
            log::info!(
                "quota lease ended: shard={} fencing_token={} reason={reason}",
                self.shard,
                lease.fencing_token
            );
        }
    }

    /// Injected defect: the lease on this node's disk counts as held.
    fn inject_from_disk(&self) -> bool {
        let lease = self.control.unconfirmed_lease(self.shard);
        let Some(lease) = lease.filter(|l| l.holder.as_ref() == Some(&self.holder())) else {
            return false;
        };
        self.active.set(Some(ActiveLease {
            fencing_token: lease.fencing_token,
            acts_from: self.node.now(),
            grants_from: self.node.now(),
        }));
        true
    }

    /// Records that an order of this node may reach a server now.
    pub(crate) fn record_order(&self) {
        self.last_order_at.set(self.node.now());
    }

    /// How long a holder keeps the lease after its last order. The next holder of a released lease orders at once, and
    /// no two holders may order one server within the length of a lease.
    fn retention_after_order(&self) -> Nanos {
        with_clock_margin(nanos(self.duration()))
    }

    /// Whether another holder may order the same servers at once, as all orders of this one are long past.
    pub(crate) fn are_orders_past(&self) -> bool {
        let since_order = self.node.now().saturating_sub(self.last_order_at.get());
        since_order >= self.retention_after_order() || !rules::leases_outlast_orders()
    }

    /// Releases the lease. If the release is lost, the lease expires.
    pub(crate) async fn release(&self, lease: ActiveLease) {
        self.log_ended("released");
        self.forget();
        let release = LeaseChange::Release {
            holder: self.holder(),
            fencing_token: lease.fencing_token,
            waited: self.node.now() >= lease.acts_from,
        };
        self.change(&release).await;
    }

    /// Drops the lease locally: nothing is ordered or granted under it from now on.
    fn forget(&self) {
        self.active.set(None);
        self.node.quotas.end_lease(self.shard);
    }

    /// Whether a quorum recently confirmed this node's lease; if not, tries a renewal first.
    pub(crate) async fn is_fresh(&self, lease: ActiveLease) -> bool {
        self.since_renewal() < nanos(MAX_RENEWAL_AGE) || self.renew(lease).await
    }

    pub(crate) fn since_renewal(&self) -> Nanos {
        self.node.now().saturating_sub(self.renewed_at.get())
    }

    /// Renews the lease; returns false without the confirmation of a quorum.
    pub(crate) async fn renew(&self, lease: ActiveLease) -> bool {
        let began = self.node.now();
        if !rules::orders_renew_lease() || !rules::fencing_tokens_come_from_quorum() {
            self.renewed_at.set(began);
            return true;
        }
        let renewal = LeaseChange::Renew {
            holder: self.holder(),
            fencing_token: lease.fencing_token,
        };
        match self.change(&renewal).await {
            Some(LeaseAnswer::Renewed) => {
                self.renewed_at.set(began);
                self.confirm_validity(lease, began);
                true
            }
            // A late answer says nothing about a lease that was acquired since.
            Some(LeaseAnswer::Rejected { .. }) if self.is_active(lease) => {
                self.log_ended("taken over");
                self.forget();
                false
            }
            _ => false,
        }
    }

    /// Records that a quorum confirmed this node's lease by the answer to a request that began at `began`: permits may
    /// be granted for [`ShardLease::granting_time`] from then on.
    fn confirm_validity(&self, lease: ActiveLease, began: Nanos) {
        // The lease may have been released, or acquired again, while the quorum answered.
        if !self.is_active(lease) {
            return;
        }
        self.node.quotas.confirm_lease(
            self.shard,
            GrantingLease {
                fencing_token: lease.fencing_token,
                active_from: lease.grants_from,
                valid_until: began + nanos(self.granting_time()),
            },
        );
    }
}
