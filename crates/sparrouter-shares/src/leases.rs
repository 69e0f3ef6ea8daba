//! What a node has lent of its part, and what it holds of others'.
//!
//! The one rule that keeps the sum: a lender counts a lease as lent for at least as long as its holder may use it,
//! whatever the network does. The holder's time counts from when it asked, by its own clock, and is cut by a tenth for
//! clocks that differ; the lender's counts from when it answered, which is never earlier.
use crate::{Nanos, NodeIx};
use std::collections::BTreeMap;

/// So much of a lease's time is left to clocks that run at different speeds: up to a twentieth each.
const DRIFT: Nanos = 10;
/// Peers that one lends to, or holds from, for one limit; and answers to one peer that may still be in force.
pub const MAX_LEASES: usize = 64;
const ANSWERS: usize = 6;

#[derive(Clone, Debug, Default)]
pub struct LoanedShares {
    /// By borrower: each answer that it may still use, and until when. It uses one at a time.
    by: BTreeMap<NodeIx, Vec<(f64, Nanos)>>,
}

impl LoanedShares {
    fn live(&mut self, now: Nanos) {
        self.by.retain(|_, all| {
            all.retain(|l| l.1 > now);
            !all.is_empty()
        });
    }
    fn most(all: &[(f64, Nanos)], now: Nanos) -> f64 {
        all.iter()
            .filter(|l| l.1 > now)
            .map(|l| l.0)
            .fold(0.0, f64::max)
    }
    /// In all: of each borrower the highest answer that may still be in force.
    pub fn sum(&self, now: Nanos) -> f64 {
        self.by
            .values()
            .map(|all| LoanedShares::most(all, now))
            .sum()
    }
    pub fn to(&self, borrower: NodeIx, now: Nanos) -> f64 {
        self.by
            .get(&borrower)
            .map_or(0.0, |all| LoanedShares::most(all, now))
    }
    /// What each was given last: what is meant, where `sum` is what must be reckoned with.
    pub fn last(&self, borrower: NodeIx, now: Nanos) -> f64 {
        let last = self.by.get(&borrower).and_then(|all| all.last());
        last.filter(|l| l.1 > now).map_or(0.0, |l| l.0)
    }
    pub fn lasts(&self, now: Nanos) -> f64 {
        self.by.keys().map(|b| self.last(*b, now)).sum()
    }
    /// Whether one more answer to it can be kept in mind.
    pub fn room(&mut self, borrower: NodeIx, now: Nanos) -> bool {
        self.live(now);
        match self.by.get(&borrower) {
            Some(all) => all.len() < ANSWERS,
            None => self.by.len() < MAX_LEASES,
        }
    }
    pub fn give(&mut self, borrower: NodeIx, amount: f64, until: Nanos) {
        self.by.entry(borrower).or_default().push((amount, until));
    }
}

#[derive(Clone, Debug, Default)]
pub struct BorrowedShares {
    by: BTreeMap<NodeIx, (f64, Nanos)>,
}

impl BorrowedShares {
    pub fn sum(&self, now: Nanos) -> f64 {
        self.by.values().filter(|l| l.1 > now).map(|l| l.0).sum()
    }
    /// Instead of what was held from there. `asked`: when, by this node's clock.
    pub fn take(&mut self, lender: NodeIx, amount: f64, asked: Nanos, lease: Nanos, now: Nanos) {
        self.by.retain(|_, l| l.1 > now);
        let until = asked + lease - lease / DRIFT;
        if amount > 0.0
            && until > now
            && (self.by.contains_key(&lender) || self.by.len() < MAX_LEASES)
        {
            self.by.insert(lender, (amount, until));
        } else {
            self.by.remove(&lender);
        }
    }
    /// When the next of them ends.
    pub fn next_end(&self, now: Nanos) -> Nanos {
        self.by
            .values()
            .map(|l| l.1)
            .filter(|u| *u > now)
            .min()
            .unwrap_or(Nanos::MAX)
    }
    /// Lenders whose lease ends before then.
    pub fn ending(&self, before: Nanos, now: Nanos) -> impl Iterator<Item = NodeIx> {
        self.by
            .iter()
            .filter(move |(_, l)| l.1 > now && l.1 <= before)
            .map(|(n, _)| *n)
    }
}
