//! The lease on the configuration: without it, a node whose configuration may be outdated rejects requests with an API
//! key.
//!
//! If `bounds.strict_revocation` is set, no machine may run a request that was sent more than
//! `bounds.revoke_timeout_ms` after the acknowledgement of a configuration that removed the request's key. A
//! partitioned node cannot know of such a configuration, so it holds a lease that only a quorum renews and that expires
//! by time.
//!
//! Invariant: every configuration that was acknowledged before `confirmed_at` is in force here, or a newer one is.
//! `confirmed_at` is when a read that a quorum confirmed *began*, never when its answer arrived: the answer may have
//! waited at its source, in the network, or in a frozen process. All times are of this process's steady clock, which
//! runs on while the process is frozen; the time of day is not used.
//!
//! Source: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency",
//! 1989; the lease here covers reads and is renewed by reads.
use crate::platform::defects::rules;
use crate::settings::{Bounds, nanos};
use sparrouter_routing::{Nanos, Timestamp};
use std::time::Duration;

/// Ratio of `revoke_timeout_ms` for which a confirmed read counts. The rest allows for clocks that differ in speed.
const DURATION_RATIO: f64 = 0.9;
/// Number of renewals within a lease, so that several may fail before it expires.
const RENEWALS_PER_LEASE: u32 = 8;
/// Divides the lease to give the longest wait of a poll at its source: two polls in a row may fail.
const POLLS_PER_LEASE: u32 = 4;

/// When a quorum last confirmed the configuration in force here.
#[derive(Clone, Debug)]
pub struct ConfigurationLease {
    /// Length of the lease; `None` if requests with keys need no lease.
    duration: Option<Duration>,
    /// See the invariant above; `None` if no read has been confirmed yet.
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

    /// Whether requests with keys need the lease.
    pub fn is_needed(&self) -> bool {
        self.duration.is_some()
    }

    /// Records that every change that was acknowledged before `confirmed_at` is in force here. `now`: when this became
    /// known.
    pub fn confirm(&mut self, confirmed_at: Timestamp, now: Nanos) {
        let confirmed_at = if rules::lease_counts_from_read() {
            confirmed_at
        } else {
            Timestamp::try_from(now).unwrap_or(Timestamp::MAX)
        };
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Whether requests with keys may be forwarded at `now`. The caller reads the clock immediately before the call.
    pub fn is_valid(&self, now: Nanos) -> bool {
        let Some(duration) = self.duration else {
            return true;
        };
        self.confirmed_at.is_some_and(|at| {
            let end = i128::from(at) + i128::from(nanos(duration));
            i128::from(now) < end
        })
    }

    /// Longest interval between two confirmed reads of a member: `usual`, or less if the lease is short.
    pub fn renewal_interval(&self, usual: Duration) -> Duration {
        self.duration
            .map_or(usual, |duration| usual.min(duration / RENEWALS_PER_LEASE))
    }

    /// How long a poll may wait at its source: `usual`, or less if the lease is short.
    pub fn poll_wait(&self, usual: Duration) -> Duration {
        self.duration
            .map_or(usual, |duration| usual.min(duration / POLLS_PER_LEASE))
    }
}
