//! The lease on the configuration, by which a node that may be behind stops passing on requests that carry an API key.
//!
//! Where `bounds.strict_revocation` is set, nothing may run that was sent more than `bounds.revoke_timeout_ms` after the
//! acknowledgement of a configuration that removed its key, on any machine. A node that is cut off can't know of such a
//! configuration, so it holds a lease that only a quorum renews, and that ends by the passing of time alone.
//!
//! Invariant: every configuration that was acknowledged before `confirmed_at` is in force here, or an even newer one.
//! `confirmed_at` is when a read that a quorum confirmed *began*, never when its answer arrived: an answer may have waited
//! at its source, on its way, or in a process that was frozen. All moments are of this process's steady clock, which runs
//! on while the process is frozen; the time of day decides nothing.
//!
//! Source: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency",
//! 1989; the lease here is of one read and is renewed by reads.
#![deny(missing_docs)]
use crate::platform::defects::rules;
use crate::settings::{Bounds, nanos};
use sparrouter_routing::{Nanos, Timestamp};
use std::time::Duration;

/// Part of `revoke_timeout_ms` for which a confirmed read counts. The rest is for clocks that differ in speed.
const LENGTH: f64 = 0.9;
/// A confirmed read is renewed so often within a lease, so that several renewals may fail before it ends.
const RENEWALS: u32 = 8;
/// A poll of a source is held for at most this part of a lease: two in a row may fail.
const HOLDS: u32 = 4;

/// When a quorum last confirmed the configuration that is in force here.
#[derive(Clone, Debug)]
pub struct ConfigurationLease {
    /// `None`: keys need no lease.
    length: Option<Duration>,
    confirmed_at: Option<Timestamp>,
}

impl ConfigurationLease {
    /// A lease that is not held yet. Without strict revocation it is always held.
    pub fn new(bounds: &Bounds) -> ConfigurationLease {
        let length = bounds.revoke_timeout.mul_f64(LENGTH);
        ConfigurationLease {
            length: bounds.strict_revocation.then_some(length),
            confirmed_at: (!rules::lease_needs_confirmation()).then_some(0),
        }
    }

    /// Whether requests with keys need the lease at all.
    pub fn is_needed(&self) -> bool {
        self.length.is_some()
    }

    /// All that was acknowledged before `at` is in force here. `now`: when that became known.
    pub fn confirm(&mut self, at: Timestamp, now: Nanos) {
        let at = if !rules::lease_counts_from_read() {
            Timestamp::try_from(now).unwrap_or(Timestamp::MAX)
        } else {
            at
        };
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether requests with keys may be passed on at `now`. Take the time immediately before.
    pub fn is_valid(&self, now: Nanos) -> bool {
        let Some(length) = self.length else {
            return true;
        };
        self.confirmed_at.is_some_and(|at| {
            let end = i128::from(at) + i128::from(nanos(length));
            i128::from(now) < end
        })
    }

    /// The longest pause between two confirmed reads of a member: `usual`, or less for a short lease.
    pub fn renewal(&self, usual: Duration) -> Duration {
        self.length
            .map_or(usual, |length| usual.min(length / RENEWALS))
    }

    /// How long a poll of a source may be held: `usual`, or less for a short lease.
    pub fn poll_wait(&self, usual: Duration) -> Duration {
        self.length
            .map_or(usual, |length| usual.min(length / HOLDS))
    }
}
