//! The quota shares of one node: arrivals, messages and the clock in, admissions, messages and rates out.
//!
//! This file owns the node's state and its public interface. `limit` holds the state of one limit with its demand
//! estimate, `borrowing` builds requests to peers and takes their grants, `lending` answers requests of peers.
mod borrowing;
mod lending;
mod limit;

use crate::message::{QuotaMessage, QuotaRows};
use crate::size::ClusterSize;
use crate::{Nanos, NodeIx};
use limit::LimitState;
use std::collections::BTreeMap;

/// Fraction of its own share that a node lends at most.
const MAX_LOANED_FRACTION: f64 = 0.8;
/// Ticks in the length of a lease.
const TICKS_PER_LEASE: Nanos = 8;
/// A node sends requests at each tick whose number modulo this is 1.
const TICKS_PER_REQUEST: u64 = 2;

/// A common limit of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub per_s: f64,
    /// In any window of this length no more is admitted than the rate came to in it; what is not used in it expires.
    pub window: Nanos,
}

/// State of one limit at one node, for reports. Rates are units a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareCounts {
    /// Rate limit of all nodes together.
    pub per_s: f64,
    /// Rate that this node may use now: its own share, less what it has loaned, plus what it has borrowed.
    pub part: f64,
    /// Rate borrowed from other nodes, included in `part`.
    pub held: f64,
    /// Rate loaned to other nodes.
    pub lent: f64,
    /// Rate that this node needs, estimated from its arrivals.
    pub need: f64,
    /// Units that arrived since the start.
    pub arrived: u64,
    /// Units admitted since the start; at most `arrived`.
    pub within: u64,
}

/// A node's position in the cluster, and how it takes part in lending.
#[derive(Clone, Copy, Debug)]
pub struct ClusterPosition {
    /// The node's own index, below `nodes`.
    pub own: NodeIx,
    /// Number of nodes in the cluster.
    pub nodes: usize,
    /// Whether the node lends and borrows; without messages its rate is its own share, one over the number of nodes.
    pub sends_messages: bool,
    /// Seed of all random choices.
    pub seed: u64,
    /// Fingerprint of the limits' names in their order. Nodes with different fingerprints ignore each other's messages.
    pub fingerprint: u16,
}

/// A request to a peer that has not expired.
#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    sequence: u32,
    sent_at: Nanos,
}

/// The quota shares of one node in all limits.
///
/// Invariant over all nodes: the sum of [`QuotaShares::own_rate`] is at most the limit. Limits are addressed by their
/// index in the list given last.
pub struct QuotaShares {
    fingerprint: u16,
    lease_length: Nanos,
    /// Whether this node lends and borrows.
    exchanges_messages: bool,
    size: ClusterSize,
    /// After so long every node is informed of a new size and the leases from before it have expired.
    convergence_time: Nanos,
    limits: Vec<LimitState>,
    rng: fastrand::Rng,
    /// The latest request to each peer, dropped after half a lease.
    outstanding: BTreeMap<NodeIx, OutstandingRequest>,
    next_tick: Nanos,
    /// When the process last ticked, or found that it had been stopped.
    last_tick: Nanos,
    tick_count: u64,
    /// Peers whose requests were answered since the last tick, one entry an answer.
    answered: Vec<NodeIx>,
}

impl QuotaShares {
    /// The state of a process that starts.
    ///
    /// `informed`: the time within which every node is informed of a new number of nodes. `lease`: length of a lease,
    /// after which loaned shares end by themselves.
    pub fn new(
        position: ClusterPosition,
        limits: &[Limit],
        informed: Nanos,
        lease: Nanos,
        now: Nanos,
    ) -> QuotaShares {
        let lease_length = lease.max(TICKS_PER_LEASE);
        // A tenth more for clocks that run slow.
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

    /// Takes a new position in the cluster and new limits. With another fingerprint or number of limits their state
    /// starts anew; the seed of the position is not used.
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

    /// The own share of a limit in units a second, before loans: what this node might use were nothing lent.
    fn own_share(&mut self, limit: usize, now: Nanos) -> f64 {
        let equal_share = self.limits[limit].limit.per_s / self.size.share_count(now) as f64;
        let age = now.saturating_sub(self.size.counting_since());
        if !self.exchanges_messages {
            // No peer can be asked about the size: the share grows with time alone.
            return equal_share * (age as f64 / self.convergence_time as f64).min(1.0);
        }
        // The process before this one may have loaned shares that are still in use.
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

    /// Guards against a process that was stopped for a while: the number of nodes may have changed meanwhile, and the
    /// first request after it continues must not be admitted by what it knew.
    fn detect_process_stop(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_tick) > self.lease_length / 2 {
            self.size.reset(now);
            self.last_tick = now;
            // Counted over the short time since the process continued, earlier arrivals would look like a burst.
            self.limits
                .iter_mut()
                .for_each(|state| state.arrived_since_tick = 0);
            self.invalidate_rates();
        }
    }

    /// The rate that this node may use of a limit now, in units a second.
    ///
    /// # Panics
    ///
    /// Panics if there is no limit of this index.
    pub fn own_rate(&mut self, limit: usize, now: Nanos) -> f64 {
        self.detect_process_stop(now);
        if let Some(rate) = self.limits[limit].cached_rate(now) {
            return rate;
        }
        let own_share = self.own_share(limit, now);
        let max_age = self.lease_length / TICKS_PER_LEASE;
        self.limits[limit].compute_rate(own_share, max_age, now)
    }

    /// Counts one arrival, and returns whether it is within the limit. An unknown limit admits everything.
    pub fn try_acquire(&mut self, limit: usize, now: Nanos) -> bool {
        if limit >= self.limits.len() {
            return true;
        }
        let previous_rate = self.limits[limit].last_rate();
        let rate = self.own_rate(limit, now);
        // The lesser rate: one that ended meanwhile, as while the process was stopped, earns nothing.
        self.limits[limit].try_acquire(rate.min(previous_rate), now)
    }

    /// The state of a limit, for reports.
    ///
    /// # Panics
    ///
    /// Panics if there is no limit of this index.
    pub fn counts(&mut self, limit: usize, now: Nanos) -> ShareCounts {
        let rate = self.own_rate(limit, now);
        self.limits[limit].counts(rate, now)
    }

    /// When [`QuotaShares::tick`] is due.
    pub fn next_tick(&self) -> Nanos {
        self.next_tick
    }

    /// Updates demand estimates and rates, and returns the requests to send, each with the peer it goes to. Before
    /// [`QuotaShares::next_tick`] it does nothing.
    pub fn tick(&mut self, now: Nanos) -> Vec<(NodeIx, Vec<u8>)> {
        if now < self.next_tick {
            return Vec::new();
        }
        let elapsed = now.saturating_sub(self.last_tick);
        self.detect_process_stop(now);
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
            // Buckets without arrivals are filled too, so that a long gap does not end in a burst.
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

    /// Whether the loaned shares fit the own share by the present number of nodes. Until they do, a smaller own share
    /// is not in force.
    fn loans_fit(&self, now: Nanos) -> bool {
        let nodes = self.size.nodes() as f64;
        self.limits
            .iter()
            .all(|state| state.loaned.reserved_total(now) <= state.limit.per_s / nodes)
    }

    /// Processes a message from a peer, and returns the answer to a request. Anything that is not a valid message with
    /// this node's fingerprint is ignored.
    pub fn receive(&mut self, peer: NodeIx, datagram: &[u8], now: Nanos) -> Option<Vec<u8>> {
        let message = QuotaMessage::read(datagram).filter(|m| m.fingerprint == self.fingerprint)?;
        if !self.exchanges_messages || peer == self.size.own() {
            return None;
        }
        self.detect_process_stop(now);
        match message.rows {
            QuotaRows::Give(rows) => {
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
