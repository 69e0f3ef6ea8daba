//! The rollout lease of one shard at this node.
use super::{EVALUATION_INTERVAL, RolloutTask};
use crate::control;
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_routing::Nanos;
use std::cell::Cell;
use std::time::Duration;

/// How long a change of the lease may take.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// A lease that was renewed longer ago is renewed before a server is stopped for an order.
pub(super) const FRESH_FOR: Duration = Duration::from_millis(400);
/// The wait for the lease before this one is extended by this part of it, for clocks that differ in speed.
const CLOCK_MARGIN_DIVISOR: u64 = 10;

/// The lease as this node has it.
#[derive(Clone, Copy)]
pub(super) struct ActiveLease {
    pub(super) fencing_token: u64,
    /// Nothing is ordered before: the lease of the holder before this one may still be valid.
    pub(super) acts_from: Nanos,
}

/// What this node knows of its lease. Without renewal it runs out by itself.
#[derive(Default)]
pub(super) struct LeaseState {
    active: Cell<Option<ActiveLease>>,
    /// When the last renewal that a quorum confirmed began.
    renewed_at: Cell<Nanos>,
}

impl LeaseState {
    pub(super) fn active(&self) -> Option<ActiveLease> {
        self.active.get()
    }

    /// Whether this is still the lease that this node has.
    pub(super) fn is_active(&self, lease: ActiveLease) -> bool {
        let active = self.active.get();
        active.is_some_and(|active| active.fencing_token == lease.fencing_token)
    }
}

impl RolloutTask {
    /// This node as a lease holder. A process that restarts on its machine is the same holder, since the one before it
    /// has ended for certain; on another machine it is another one.
    pub(super) fn lease_holder(&self) -> LeaseHolder {
        let own = self.node.own_record.borrow();
        LeaseHolder {
            name: format!("{}@{}", own.name, own.internal_address),
            incarnation: 0,
        }
    }

    /// For how long a lease is valid after its renewal.
    pub(super) fn lease_duration(&self) -> Duration {
        self.node.settings.borrow().bounds.lease
    }

    async fn change_lease(&self, change: &LeaseChange) -> Option<LeaseAnswer> {
        let changed = control::change(
            &self.node,
            Some(&self.control),
            self.shard,
            change.encode(),
            CHANGE_TIMEOUT,
        )
        .await;
        LeaseAnswer::decode(&changed.ok()?.answer)
    }

    /// Acquires the lease with a new fencing token that a quorum chose. Neither the disk nor memory of an earlier process
    /// gives a token.
    pub(super) async fn acquire_lease(&self) {
        if !rules::fencing_tokens_come_from_quorum() && self.inject_lease_from_disk() {
            return;
        }
        let change = LeaseChange::Acquire {
            holder: self.lease_holder(),
            duration: nanos(self.lease_duration()),
        };
        let Some(LeaseAnswer::Acquired {
            fencing_token,
            takeover_wait,
        }) = self.change_lease(&change).await
        else {
            tokio::time::sleep(self.node.jitter(EVALUATION_INTERVAL * 4)).await;
            return;
        };
        let lease = ActiveLease {
            fencing_token,
            acts_from: self.node.now() + takeover_wait + takeover_wait / CLOCK_MARGIN_DIVISOR,
        };
        self.lease_state.active.set(Some(lease));
        self.withdraw_fenced_directives(lease);
    }

    /// Injected: the lease on this node's disk counts as lease.
    fn inject_lease_from_disk(&self) -> bool {
        let lease = self.control.unconfirmed_lease(self.shard);
        let Some(lease) = lease.filter(|l| l.holder.as_ref() == Some(&self.lease_holder())) else {
            return false;
        };
        self.lease_state.active.set(Some(ActiveLease {
            fencing_token: lease.fencing_token,
            acts_from: self.node.now(),
        }));
        true
    }

    /// Gives the lease back. If that is lost, the lease runs out by itself.
    pub(super) async fn release_lease(&self, lease: ActiveLease) {
        self.lease_state.active.set(None);
        self.announced.borrow_mut().clear();
        let change = LeaseChange::Release {
            holder: self.lease_holder(),
            fencing_token: lease.fencing_token,
            waited: self.node.now() >= lease.acts_from,
        };
        self.change_lease(&change).await;
    }

    /// Whether a quorum confirmed this node's lease not long ago, if need be by a renewal now.
    pub(super) async fn has_fresh_lease(&self, lease: ActiveLease) -> bool {
        self.since_renewal() < nanos(FRESH_FOR) || self.renew_lease(lease).await
    }

    pub(super) fn since_renewal(&self) -> Nanos {
        self.node
            .now()
            .saturating_sub(self.lease_state.renewed_at.get())
    }

    /// Renews the lease; false without the confirmation of a quorum.
    pub(super) async fn renew_lease(&self, lease: ActiveLease) -> bool {
        let began = self.node.now();
        if !rules::orders_renew_lease() || !rules::fencing_tokens_come_from_quorum() {
            self.lease_state.renewed_at.set(began);
            return true;
        }
        let renewal = LeaseChange::Renew {
            holder: self.lease_holder(),
            fencing_token: lease.fencing_token,
        };
        match self.change_lease(&renewal).await {
            Some(LeaseAnswer::Renewed) => {
                self.lease_state.renewed_at.set(began);
                true
            }
            Some(LeaseAnswer::Rejected { .. }) => {
                self.lease_state.active.set(None);
                false
            }
            _ => false,
        }
    }
}
