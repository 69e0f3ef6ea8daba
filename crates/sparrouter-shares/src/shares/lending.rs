//! Lender side: computes how much of its own share a node grants to a peer that requests a share.
use super::limit::{BorrowRequest, LimitState};
use super::{MAX_LOANED_FRACTION, QuotaShares};
use crate::leases::MAX_LEASES;
use crate::level::level;
use crate::message::{QuotaMessage, QuotaRows};
use crate::{Nanos, NodeIx};

/// Fraction of its own share that a node without spare rate still lends to peers that have much less. It bounds the rate
/// that a peer with false requests can obtain.
const NON_IDLE_LOAN_FRACTION: f64 = 0.125;
/// Fraction of the own share below which a peer's rate counts as much less.
const LOW_RATE_FRACTION: f64 = 0.8;
/// Relative difference of the target below which a grant is renewed unchanged.
const STEADY_FRACTION: f64 = 0.25;
/// Fraction of the difference to the target by which a grant changes per request. Damping is needed because many lenders
/// see the same demand.
const STEP_FRACTION: f64 = 0.5;
/// Fraction of the own share below which a grant does not justify the messages that renew it.
const NEGLIGIBLE_FRACTION: f64 = 1e-3;
/// Maximum number of requests answered between two ticks.
const MAX_ANSWERS: usize = 64;
/// Maximum number of requests of one peer answered between two ticks.
const MAX_ANSWERS_TO_PEER: usize = 2;

impl QuotaShares {
    /// Grants the requested rates as far as this node can lend them, and returns the answer. A peer that exceeds its
    /// number of answers is ignored until the next tick, so that other peers are answered.
    pub(super) fn answer_request(
        &mut self,
        peer: NodeIx,
        sequence: u32,
        rows: &[(u8, f64, f64)],
        now: Nanos,
    ) -> Option<Vec<u8>> {
        let answers_to_peer = self.answered.iter().filter(|p| **p == peer).count();
        if self.answered.len() >= MAX_ANSWERS || answers_to_peer >= MAX_ANSWERS_TO_PEER {
            return None;
        }
        self.answered.push(peer);
        let mut grants = Vec::with_capacity(rows.len());
        for &(limit, in_use, needed) in rows {
            let index = usize::from(limit);
            if index < self.limits.len() {
                let request = BorrowRequest {
                    in_use,
                    needed,
                    received_at: now,
                };
                grants.push((limit, self.lend(index, peer, request)));
            }
        }
        let message = QuotaMessage {
            fingerprint: self.fingerprint,
            size_view: self.size.own_view(self.loans_fit(now), now),
            sequence,
            rows: QuotaRows::Grant(grants),
        };
        Some(message.write())
    }

    /// Grants a rate to a peer, records it as loaned, and returns it.
    fn lend(&mut self, limit: usize, peer: NodeIx, request: BorrowRequest) -> f64 {
        let now = request.received_at;
        let own_share = self.own_share(limit, now);
        let state = &mut self.limits[limit];
        state.record_request(peer, request, self.lease_length);
        if !state.loaned.has_room_for(peer, now) {
            return 0.0;
        }
        let spare = state.spare_rate(own_share, request);
        let granted = state.grant_size(peer, request, own_share, spare);
        if granted > 0.0 {
            state.loaned.grant(peer, granted, now + self.lease_length);
            state.invalidate_rate();
        }
        granted
    }
}

impl LimitState {
    /// Removes requests older than a lease, and records this request if the bounded table has room.
    fn record_request(&mut self, peer: NodeIx, request: BorrowRequest, lease_length: Nanos) {
        let now = request.received_at;
        self.borrowers
            .retain(|_, earlier| now < earlier.received_at + lease_length);
        if self.borrowers.len() < MAX_LEASES || self.borrowers.contains_key(&peer) {
            self.borrowers.insert(peer, request);
        }
    }

    /// Returns the rate that may be loaned to all peers together: the idle rate of this node or, if there is none, a small
    /// fraction of its share for a peer that has much less.
    fn spare_rate(&self, own_share: f64, request: BorrowRequest) -> f64 {
        let usable = own_share + self.borrowed.total(request.received_at);
        let idle = usable - self.needed_rate();
        if idle > 0.0 {
            idle.min(MAX_LOANED_FRACTION * own_share)
        } else if request.in_use < LOW_RATE_FRACTION * own_share {
            NON_IDLE_LOAN_FRACTION * own_share
        } else {
            0.0
        }
    }

    /// Returns the rate to grant: a step from the latest grant towards the target, limited to the rate that may be loaned.
    fn grant_size(&self, peer: NodeIx, request: BorrowRequest, own_share: f64, spare: f64) -> f64 {
        let now = request.received_at;
        let latest = self.loaned.latest_grant(peer, now);
        let target = self.target_grant(request, latest, own_share, spare);
        let is_steady = (target - latest).abs() < STEADY_FRACTION * latest;
        let granted = if is_steady {
            latest
        } else {
            latest + STEP_FRACTION * (target - latest)
        };
        // Two bounds apply: the reserved rate of all unexpired grants must fit the maximum loaned fraction, and the latest
        // grants must fit the spare rate. With only the first bound, each of many borrowers was reduced by the whole
        // amount that one of them had to lose.
        let reserved_for_others =
            self.loaned.reserved_total(now) - self.loaned.reserved_for(peer, now);
        let unreserved = MAX_LOANED_FRACTION * own_share - reserved_for_others;
        let granted_to_others = self.loaned.latest_grants_total(now) - latest;
        let max = (spare - granted_to_others).min(unreserved).max(0.0);
        let granted = granted.min(max).max(0.0);
        if granted < NEGLIGIBLE_FRACTION * own_share {
            0.0
        } else {
            granted
        }
    }

    /// Returns the grant with which the peer reaches the max-min fair level, at which the rates of all borrowers and the
    /// unused rate of this node are divided among the borrowers.
    fn target_grant(&self, request: BorrowRequest, latest: f64, own_share: f64, spare: f64) -> f64 {
        let now = request.received_at;
        let unused = (spare - self.loaned.latest_grants_total(now)).max(0.0);
        let in_use: f64 = self.borrowers.values().map(|b| b.in_use).sum();
        let level = level(in_use + unused, self.borrowers.values().map(|b| b.needed));
        let deficit = request.needed.min(level) - request.in_use;
        if deficit < 0.0 {
            // The peer's other lenders see the same excess, so each lender withdraws a proportional part of it.
            let borrowed = (request.in_use - own_share).max(latest);
            return latest * (1.0 + deficit / borrowed.max(f64::MIN_POSITIVE)).max(0.0);
        }
        let total_deficit: f64 = self
            .borrowers
            .values()
            .map(|b| (b.needed.min(level) - b.in_use).max(0.0))
            .sum();
        latest + deficit.min(unused * deficit / total_deficit.max(f64::MIN_POSITIVE))
    }
}
