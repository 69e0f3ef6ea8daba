//! Quota shares of one node: takes arrivals, messages and the time, and returns admissions, rates and messages.
//!
//! This file contains the node's state and its public interface. `limit` contains the state of one limit with its demand
//! estimate, `borrowing` creates requests to peers and accepts their grants, `lending` answers the requests of peers.
mod borrowing;
mod lending;
mod limit;

use crate::message::{QuotaMessage, QuotaRows};
use crate::size::ClusterSize;
use crate::{Nanos, NodeIx};
use limit::LimitState;
use std::collections::BTreeMap;

/// Maximum fraction of its own share that a node lends.
const MAX_LOANED_FRACTION: f64 = 0.8;
/// Number of ticks per lease length.
const TICKS_PER_LEASE: Nanos = 8;
/// Number of ticks between two rounds of requests; requests are sent at ticks whose number modulo this is 1.
const TICKS_PER_REQUEST: u64 = 2;

/// A rate limit of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Rate limit in units per second.
    pub per_s: f64,
    /// Length of the sliding window: no more units are admitted in any window than the rate earns in it, and unused units
    /// expire.
    pub window: Nanos,
}

/// Counters of one limit at one node, for reports. Rates are in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareCounts {
    /// The rate limit of all nodes together.
    pub per_s: f64,
    /// The rate that this node may use now: its own share, minus loaned shares, plus borrowed shares.
    pub rate: f64,
    /// The rate borrowed from other nodes, included in `rate`.
    pub borrowed: f64,
    /// The rate loaned to other nodes.
    pub loaned: f64,
    /// The rate that this node needs, estimated from its arrivals.
    pub needed: f64,
    /// Number of units that have arrived since the process started.
    pub arrived: u64,
    /// Number of units admitted since the process started; at most `arrived`.
    pub admitted: u64,
}

/// A node's position in the cluster and its parameters for lending.
#[derive(Clone, Copy, Debug)]
pub struct ClusterPosition {
    /// Index of the node, below `nodes`.
    pub own: NodeIx,
    /// Number of nodes in the cluster.
    pub nodes: usize,
    /// Whether the node lends and borrows. Without messages its rate is its own share: the limit divided by `nodes`.
    pub sends_messages: bool,
    /// Seed of all random choices.
    pub seed: u64,
    /// Fingerprint of the ordered names of the limits. Nodes with different fingerprints ignore each other's messages.
    pub fingerprint: u16,
}

/// A request to a peer that has not timed out.
#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    sequence: u32,
    sent_at: Nanos,
}

/// Quota shares of one node for all limits.
///
/// Invariant: for each limit, the sum of [`QuotaShares::own_rate`] over all nodes is at most the limit. Limits are
/// identified by their index in the latest list of limits.
pub struct QuotaShares {
    fingerprint: u16,
    lease_length: Nanos,
    /// Whether this node lends and borrows.
    exchanges_messages: bool,
    size: ClusterSize,
    /// Time after a change of size until every node is informed of it and all earlier leases have expired.
    convergence_time: Nanos,
    limits: Vec<LimitState>,
    rng: fastrand::Rng,
    /// Latest request to each peer; it times out after half a lease.
    outstanding: BTreeMap<NodeIx, OutstandingRequest>,
    next_tick: Nanos,
    /// Time of the last tick, or of the last detection of a pause of the process.
    last_tick: Nanos,
    tick_count: u64,
    /// Peers whose requests were answered since the last tick, one entry per answer.
    answered: Vec<NodeIx>,
}

impl QuotaShares {
    /// Creates the state of a starting process.
    ///
    /// `informed` is the time within which every node is informed of a new number of nodes. `lease` is the length of a
    /// lease, after which loaned shares expire.
    pub fn new(
        position: ClusterPosition,
        limits: &[Limit],
        informed: Nanos,
        lease: Nanos,
        now: Nanos,
    ) -> QuotaShares {
        let lease_length = lease.max(TICKS_PER_LEASE);
        // A tenth is added to allow for slow clocks.
        let convergence_time = informed + informed / 10 + lease_length;
        let mut rng = fastrand::Rng::with_seed(position.seed);
        QuotaShares {
            fingerprint: position.fingerprint,
            lease_length,
            exchanges_messages: position.sends_messages && position.nodes > 1,
            size: ClusterSize::new(position.own, position.nodes, convergence_time, now),
            convergence_time,
            limits: new_limit_states(limits, &mut rng, now),
            next_tick: now,
            last_tick: now,
            tick_count: 0,
            answered: Vec::new(),
            outstanding: BTreeMap::new(),
            rng,
        }
    }

    /// Applies a new position in the cluster and new limits. If the fingerprint or the number of limits differs, the state
    /// of all limits is reset. The seed of the position is not used.
    pub fn update_cluster(&mut self, position: ClusterPosition, limits: &[Limit], now: Nanos) {
        self.size.update(position.own, position.nodes, now);
        self.exchanges_messages = position.sends_messages && position.nodes > 1;
        if position.fingerprint != self.fingerprint || limits.len() != self.limits.len() {
            self.fingerprint = position.fingerprint;
            self.limits = new_limit_states(limits, &mut self.rng, now);
            self.size.reset(now);
        }
        for (state, limit) in self.limits.iter_mut().zip(limits) {
            state.limit = *limit;
        }
        self.invalidate_rates();
    }

    fn invalidate_rates(&mut self) {
        self.limits.iter_mut().for_each(LimitState::invalidate_rate);
    }

    /// Returns the own share of a limit in units per second, without regard to loaned and borrowed shares.
    fn own_share(&mut self, limit: usize, now: Nanos) -> f64 {
        let equal_share = self.limits[limit].limit.per_s / self.size.share_count(now) as f64;
        let age = now.saturating_sub(self.size.tracked_since());
        if !self.exchanges_messages {
            // Without messages no peer can confirm the size, so the share grows with time.
            return equal_share * (age as f64 / self.convergence_time as f64).min(1.0);
        }
        // The previous process of this node may have loaned shares that are still in use.
        let unloaned_fraction = if age < self.lease_length {
            1.0 - MAX_LOANED_FRACTION
        } else {
            1.0
        };
        if self.size.is_agreed(now) {
            equal_share * unloaned_fraction
        } else {
            0.0
        }
    }

    /// Detects a pause of this process. The number of nodes may have changed during the pause, and the first request after
    /// it must not be admitted based on outdated knowledge.
    fn detect_process_pause(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_tick) > self.lease_length / 2 {
            self.size.reset(now);
            self.last_tick = now;
            // Arrivals from before the pause, divided by the short time since its end, would look like a burst.
            self.limits
                .iter_mut()
                .for_each(|state| state.arrived_since_tick = 0);
            self.invalidate_rates();
        }
    }

    /// Returns the rate that this node may use of a limit now, in units per second.
    ///
    /// # Panics
    ///
    /// Panics if there is no limit of this index.
    pub fn own_rate(&mut self, limit: usize, now: Nanos) -> f64 {
        self.detect_process_pause(now);
        if let Some(rate) = self.limits[limit].cached_rate(now) {
            return rate;
        }
        let own_share = self.own_share(limit, now);
        let max_age = self.lease_length / TICKS_PER_LEASE;
        self.limits[limit].compute_rate(own_share, max_age, now)
    }

    /// Counts one arrival, and returns whether it is within the limit. Arrivals for an unknown limit are admitted.
    pub fn try_acquire(&mut self, limit: usize, now: Nanos) -> bool {
        if limit >= self.limits.len() {
            return true;
        }
        let previous_rate = self.limits[limit].last_rate();
        let rate = self.own_rate(limit, now);
        // The lower rate applies: a rate that has expired since, for example during a pause, must earn no tokens.
        self.limits[limit].try_acquire(rate.min(previous_rate), now)
    }

    /// Returns the counters of a limit, for reports.
    ///
    /// # Panics
    ///
    /// Panics if there is no limit of this index.
    pub fn counts(&mut self, limit: usize, now: Nanos) -> ShareCounts {
        let rate = self.own_rate(limit, now);
        self.limits[limit].counts(rate, now)
    }

    /// Returns the time at which [`QuotaShares::tick`] is due.
    pub fn next_tick(&self) -> Nanos {
        self.next_tick
    }

    /// Updates demand estimates and rates, and returns the requests to send, each with the index of its recipient. Does
    /// nothing before [`QuotaShares::next_tick`].
    pub fn tick(&mut self, now: Nanos) -> Vec<(NodeIx, Vec<u8>)> {
        if now < self.next_tick {
            return Vec::new();
        }
        let elapsed = now.saturating_sub(self.last_tick);
        self.detect_process_pause(now);
        if elapsed > 0 {
            for state in &mut self.limits {
                state.update_demand(elapsed, self.lease_length);
            }
        }
        self.last_tick = now;
        self.next_tick = now + self.lease_length / TICKS_PER_LEASE;
        self.tick_count += 1;
        self.answered.clear();
        for limit in 0..self.limits.len() {
            // Buckets without arrivals are also filled, so that a burst after a long gap is not admitted.
            let previous_rate = self.limits[limit].last_rate();
            self.limits[limit].invalidate_rate();
            let rate = self.own_rate(limit, now);
            self.limits[limit].fill_bucket(rate.min(previous_rate), now);
        }
        if self.exchanges_messages && self.tick_count % TICKS_PER_REQUEST == 1 {
            self.create_requests(now)
        } else {
            Vec::new()
        }
    }

    /// Whether the loaned shares fit the own share under the current number of nodes. Until they do, a smaller own share is
    /// not in force.
    fn loans_fit(&self, now: Nanos) -> bool {
        let nodes = self.size.nodes() as f64;
        self.limits
            .iter()
            .all(|state| state.loaned.reserved_total(now) <= state.limit.per_s / nodes)
    }

    /// Processes a message from a peer, and returns the answer if it is a request. Datagrams that are not a valid message
    /// with this node's fingerprint are ignored.
    pub fn receive(&mut self, peer: NodeIx, datagram: &[u8], now: Nanos) -> Option<Vec<u8>> {
        let message = QuotaMessage::read(datagram).filter(|m| m.fingerprint == self.fingerprint)?;
        if !self.exchanges_messages || peer == self.size.own() {
            return None;
        }
        self.detect_process_pause(now);
        match message.rows {
            QuotaRows::Grant(rows) => {
                self.accept_grants(peer, message.sequence, message.size_view, &rows, now);
                None
            }
            QuotaRows::Request(rows) => self.answer_request(peer, message.sequence, &rows, now),
        }
    }
}

fn new_limit_states(limits: &[Limit], rng: &mut fastrand::Rng, now: Nanos) -> Vec<LimitState> {
    limits
        .iter()
        .map(|limit| LimitState::new(*limit, rng.fork(), now))
        .collect()
}
