//! Shares that a node has loaned to others and borrowed from others, as leases with an expiry.
//!
//! The rule that keeps the sum of all rates: a lender counts a lease as loaned for at least as long as its borrower may
//! use it, whatever the network does. The borrower's time counts from when it sent its request, by its own clock, and
//! is shortened by a tenth for clocks that run at different speeds; the lender's counts from when it answered, which is
//! never earlier.
use crate::{Nanos, NodeIx};
use std::collections::BTreeMap;

/// One part in this many of a lease is left for clock drift: up to a twentieth for each of the two clocks.
const DRIFT_DIVISOR: Nanos = 10;
/// Peers that a node lends to, and peers that it borrows from, for one limit.
pub const MAX_LEASES: usize = 64;
/// Grants to one borrower that may be in force at once.
const MAX_GRANTS: usize = 6;

/// A rate in units a second and the moment from which it is not in force any more.
#[derive(Clone, Copy, Debug)]
struct Lease {
    per_s: f64,
    expires_at: Nanos,
}

impl Lease {
    fn is_live(&self, now: Nanos) -> bool {
        self.expires_at > now
    }
}

/// Shares loaned to other nodes.
///
/// A borrower uses one grant at a time, but the lender cannot know which: an answer may be lost or late. It therefore
/// keeps every grant until it expires and reserves the highest of them.
#[derive(Clone, Debug, Default)]
pub struct LoanedShares {
    /// By borrower, grants in the order in which they were made.
    grants: BTreeMap<NodeIx, Vec<Lease>>,
}

impl LoanedShares {
    fn remove_expired(&mut self, now: Nanos) {
        self.grants.retain(|_, grants| {
            grants.retain(|lease| lease.is_live(now));
            !grants.is_empty()
        });
    }

    fn highest(grants: &[Lease], now: Nanos) -> f64 {
        grants
            .iter()
            .filter(|lease| lease.is_live(now))
            .map(|lease| lease.per_s)
            .fold(0.0, f64::max)
    }

    /// The rate that all borrowers together may still use: the highest live grant of each.
    pub fn reserved_total(&self, now: Nanos) -> f64 {
        self.grants
            .values()
            .map(|grants| LoanedShares::highest(grants, now))
            .sum()
    }

    /// The rate that one borrower may still use.
    pub fn reserved_for(&self, borrower: NodeIx, now: Nanos) -> f64 {
        self.grants
            .get(&borrower)
            .map_or(0.0, |grants| LoanedShares::highest(grants, now))
    }

    /// The latest grant to a borrower, 0 where it has expired: what the lender means it to use.
    pub fn latest_grant(&self, borrower: NodeIx, now: Nanos) -> f64 {
        let latest = self.grants.get(&borrower).and_then(|grants| grants.last());
        latest
            .filter(|lease| lease.is_live(now))
            .map_or(0.0, |lease| lease.per_s)
    }

    /// Sum of the latest grants of all borrowers; at most [`LoanedShares::reserved_total`].
    pub fn latest_grants_total(&self, now: Nanos) -> f64 {
        self.grants.keys().map(|b| self.latest_grant(*b, now)).sum()
    }

    /// Whether one more grant to this borrower fits the bounds of the table. Removes expired grants first.
    pub fn has_capacity_for(&mut self, borrower: NodeIx, now: Nanos) -> bool {
        self.remove_expired(now);
        match self.grants.get(&borrower) {
            Some(grants) => grants.len() < MAX_GRANTS,
            None => self.grants.len() < MAX_LEASES,
        }
    }

    /// Records a grant of `per_s` units a second.
    pub fn grant(&mut self, borrower: NodeIx, per_s: f64, expires_at: Nanos) {
        let lease = Lease { per_s, expires_at };
        self.grants.entry(borrower).or_default().push(lease);
    }
}

/// Shares borrowed from other nodes, one lease a lender, of at most [`MAX_LEASES`] lenders.
#[derive(Clone, Debug, Default)]
pub struct BorrowedShares {
    leases: BTreeMap<NodeIx, Lease>,
}

impl BorrowedShares {
    /// The borrowed rate in units a second.
    pub fn total(&self, now: Nanos) -> f64 {
        self.leases
            .values()
            .filter(|lease| lease.is_live(now))
            .map(|lease| lease.per_s)
            .sum()
    }

    /// Replaces the lease of a lender by its new grant; a grant of 0 or one that has expired only ends the old lease.
    ///
    /// `requested_at` is when this node sent the request, by its own clock; the lease counts from then.
    pub fn accept(
        &mut self,
        lender: NodeIx,
        per_s: f64,
        requested_at: Nanos,
        lease_length: Nanos,
        now: Nanos,
    ) {
        self.leases.retain(|_, lease| lease.is_live(now));
        let expires_at = requested_at + lease_length - lease_length / DRIFT_DIVISOR;
        let lease = Lease { per_s, expires_at };
        let has_capacity = self.leases.contains_key(&lender) || self.leases.len() < MAX_LEASES;
        if per_s > 0.0 && lease.is_live(now) && has_capacity {
            self.leases.insert(lender, lease);
        } else {
            self.leases.remove(&lender);
        }
    }

    /// When the first of the live leases expires; [`Nanos::MAX`] where there is none.
    pub fn next_expiry(&self, now: Nanos) -> Nanos {
        self.leases
            .values()
            .filter(|lease| lease.is_live(now))
            .map(|lease| lease.expires_at)
            .min()
            .unwrap_or(Nanos::MAX)
    }

    /// Lenders whose live lease expires no later than `deadline`, in order of their index.
    pub fn lenders_expiring_by(&self, deadline: Nanos, now: Nanos) -> impl Iterator<Item = NodeIx> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.is_live(now) && lease.expires_at <= deadline)
            .map(|(lender, _)| *lender)
    }
}
