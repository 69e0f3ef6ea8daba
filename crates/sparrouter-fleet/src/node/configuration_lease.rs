//! The lease on the configuration, by which a node that may be behind stops forwarding requests that carry an API key.
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
use crate::platform::defects::rules;
use crate::settings::{Bounds, nanos};
use sparrouter_routing::{Nanos, Timestamp};
use std::time::Duration;

/// Ratio of `revoke_timeout_ms` for which a confirmed read counts. The rest is for clocks that differ in speed.
const DURATION_RATIO: f64 = 0.9;
/// A confirmed read is renewed so often within a lease, so that several renewals may fail before it ends.
const RENEWALS_A_LEASE: u32 = 8;
/// A poll waits at its source for at most a lease divided by this: two in a row may fail.
const POLLS_A_LEASE: u32 = 4;

/// When a quorum last confirmed the configuration that is in force here.
#[derive(Clone, Debug)]
pub struct ConfigurationLease {
    /// `None`: keys need no lease.
    duration: Option<Duration>,
    /// See the invariant above; `None` before the first confirmation.
    confirmed_at: Option<Timestamp>,
}

impl ConfigurationLease {
    /// A lease that is not confirmed yet. Without strict revocation it is always valid.
    pub fn new(bounds: &Bounds) -> ConfigurationLease {
        let duration = bounds.revoke_timeout.mul_f64(DURATION_RATIO);
        ConfigurationLease {
            duration: bounds.strict_revocation.then_some(duration),
            confirmed_at: (!rules::lease_needs_confirmation()).then_some(0),
        }
    }

    /// Whether requests with keys need the lease at all.
    pub fn is_needed(&self) -> bool {
        self.duration.is_some()
    }

    /// All that was acknowledged before `confirmed_at` is in force here. `now`: when that became known.
    pub fn confirm(&mut self, confirmed_at: Timestamp, now: Nanos) {
        let confirmed_at = if rules::lease_counts_from_read() {
            confirmed_at
        } else {
            Timestamp::try_from(now).unwrap_or(Timestamp::MAX)
        };
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Whether requests with keys may be forwarded at `now`. Take the time immediately before.
    pub fn is_valid(&self, now: Nanos) -> bool {
        let Some(duration) = self.duration else {
            return true;
        };
        self.confirmed_at.is_some_and(|at| {
            let end = i128::from(at) + i128::from(nanos(duration));
            i128::from(now) < end
        })
    }

    /// The longest pause between two confirmed reads of a member: `usual`, or less for a short lease.
    pub fn renewal(&self, usual: Duration) -> Duration {
        self.duration
            .map_or(usual, |duration| usual.min(duration / RENEWALS_A_LEASE))
    }

    /// How long a poll may wait at its source: `usual`, or less for a short lease.
    pub fn poll_wait(&self, usual: Duration) -> Duration {
        self.duration
            .map_or(usual, |duration| usual.min(duration / POLLS_A_LEASE))
    }
}
