//! Leases of shares that a node has loaned to and borrowed from other nodes.
//!
//! The sum of all rates stays within the limit because a lender counts a lease as loaned for at least as long as its
//! borrower may use it, regardless of message loss and delay. The borrower's lease starts when it sends its request, by
//! its own clock, and is shortened by a tenth to allow for clock drift. The lender's lease starts when it answers, which
//! is never earlier.
use crate::{Nanos, NodeIx};
use std::collections::BTreeMap;

/// Divisor of the lease length that gives the margin for clock drift: a tenth, up to a twentieth for each of the two
/// clocks.
const DRIFT_DIVISOR: Nanos = 10;
/// Maximum number of peers that a node lends to, and also of peers that it borrows from, per limit.
pub const MAX_LEASES: usize = 64;
/// Maximum number of unexpired grants to one borrower.
const MAX_GRANTS: usize = 6;

/// A lease of a rate in units per second; it has expired from `expires_at` on.
#[derive(Clone, Copy, Debug)]
struct Lease {
    per_s: f64,
    expires_at: Nanos,
}

impl Lease {
    fn is_unexpired(&self, now: Nanos) -> bool {
        self.expires_at > now
    }
}

/// Shares loaned to other nodes.
///
/// A borrower uses one grant at a time, but the lender does not know which, as an answer may be lost or delayed. The
/// lender therefore keeps every grant until it expires, and reserves the highest one.
#[derive(Clone, Debug, Default)]
pub struct LoanedShares {
    /// Grants of each borrower, oldest first.
    grants: BTreeMap<NodeIx, Vec<Lease>>,
}

impl LoanedShares {
    fn remove_expired(&mut self, now: Nanos) {
        self.grants.retain(|_, grants| {
            grants.retain(|lease| lease.is_unexpired(now));
            !grants.is_empty()
        });
    }

    fn highest_grant(grants: &[Lease], now: Nanos) -> f64 {
        grants
            .iter()
            .filter(|lease| lease.is_unexpired(now))
            .map(|lease| lease.per_s)
            .fold(0.0, f64::max)
    }

    /// Returns the rate that all borrowers together may still use: the sum of their highest unexpired grants.
    pub fn reserved_total(&self, now: Nanos) -> f64 {
        self.grants
            .values()
            .map(|grants| LoanedShares::highest_grant(grants, now))
            .sum()
    }

    /// Returns the rate that one borrower may still use.
    pub fn reserved_for(&self, borrower: NodeIx, now: Nanos) -> f64 {
        self.grants
            .get(&borrower)
            .map_or(0.0, |grants| LoanedShares::highest_grant(grants, now))
    }

    /// Returns the latest grant to a borrower, which is the rate that it should use now; 0 if the grant has expired.
    pub fn latest_grant(&self, borrower: NodeIx, now: Nanos) -> f64 {
        let latest = self.grants.get(&borrower).and_then(|grants| grants.last());
        latest
            .filter(|lease| lease.is_unexpired(now))
            .map_or(0.0, |lease| lease.per_s)
    }

    /// Returns the sum of the latest grants of all borrowers; at most [`LoanedShares::reserved_total`].
    pub fn latest_grants_total(&self, now: Nanos) -> f64 {
        self.grants.keys().map(|b| self.latest_grant(*b, now)).sum()
    }

    /// Removes expired grants, and returns whether the bounded table has room for another grant to this borrower.
    pub fn has_room_for(&mut self, borrower: NodeIx, now: Nanos) -> bool {
        self.remove_expired(now);
        match self.grants.get(&borrower) {
            Some(grants) => grants.len() < MAX_GRANTS,
            None => self.grants.len() < MAX_LEASES,
        }
    }

    /// Records a grant of `per_s` units per second.
    pub fn grant(&mut self, borrower: NodeIx, per_s: f64, expires_at: Nanos) {
        let lease = Lease { per_s, expires_at };
        self.grants.entry(borrower).or_default().push(lease);
    }
}

/// Shares borrowed from other nodes: one lease per lender, from at most [`MAX_LEASES`] lenders.
#[derive(Clone, Debug, Default)]
pub struct BorrowedShares {
    leases: BTreeMap<NodeIx, Lease>,
}

impl BorrowedShares {
    /// Returns the borrowed rate in units per second.
    pub fn total(&self, now: Nanos) -> f64 {
        self.leases
            .values()
            .filter(|lease| lease.is_unexpired(now))
            .map(|lease| lease.per_s)
            .sum()
    }

    /// Replaces the lease of a lender by its new grant. A grant of 0 or an expired grant only ends the previous lease.
    ///
    /// `requested_at` is the time at which this node sent the request, by its own clock; the lease starts then.
    pub fn accept(
        &mut self,
        lender: NodeIx,
        per_s: f64,
        requested_at: Nanos,
        lease_length: Nanos,
        now: Nanos,
    ) {
        self.leases.retain(|_, lease| lease.is_unexpired(now));
        let expires_at = requested_at + lease_length - lease_length / DRIFT_DIVISOR;
        let lease = Lease { per_s, expires_at };
        let has_room = self.leases.contains_key(&lender) || self.leases.len() < MAX_LEASES;
        if per_s > 0.0 && lease.is_unexpired(now) && has_room {
            self.leases.insert(lender, lease);
        } else {
            self.leases.remove(&lender);
        }
    }

    /// Returns the time at which the first unexpired lease expires; [`Nanos::MAX`] if there is none.
    pub fn next_expiry(&self, now: Nanos) -> Nanos {
        self.leases
            .values()
            .filter(|lease| lease.is_unexpired(now))
            .map(|lease| lease.expires_at)
            .min()
            .unwrap_or(Nanos::MAX)
    }

    /// Returns the lenders whose unexpired lease expires no later than `deadline`, ordered by index.
    pub fn lenders_expiring_by(&self, deadline: Nanos, now: Nanos) -> impl Iterator<Item = NodeIx> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.is_unexpired(now) && lease.expires_at <= deadline)
            .map(|(lender, _)| *lender)
    }
}
