//! Borrower side: selects the peers to request shares from, and accepts their grants.
use super::{OutstandingRequest, QuotaShares, TICKS_PER_LEASE, TICKS_PER_REQUEST};
use crate::message::{MAX_ROWS, QuotaMessage, QuotaRows};
use crate::size::ClusterSizeView;
use crate::{Nanos, NodeIx};

/// Maximum number of requests that a node sends per tick.
const MAX_REQUESTS: usize = 16;

/// A limit for which this node needs more than its own share.
struct Shortage {
    limit: usize,
    needed: f64,
}

impl QuotaShares {
    /// Creates requests for shares, and for peers' views while the size is not agreed, each with the index of its
    /// recipient.
    pub(super) fn create_requests(&mut self, now: Nanos) -> Vec<(NodeIx, Vec<u8>)> {
        let is_agreed = self.size.is_agreed(now);
        let timeout = self.lease_length / 2;
        self.outstanding
            .retain(|_, request| now < request.sent_at + timeout);
        let mut shortages = self.shortages(now);
        if is_agreed && shortages.is_empty() {
            return Vec::new();
        }
        let lacks_rate = shortages
            .iter()
            .any(|s| s.needed > self.own_rate(s.limit, now));
        // If not all rows fit a message, the limits with the highest needed rate are sent.
        shortages.sort_by(|a, b| b.needed.total_cmp(&a.needed));
        shortages.truncate(MAX_ROWS);
        let peers = self.request_candidates(&shortages, lacks_rate, is_agreed, now);
        self.write_requests(&peers, &shortages, now)
    }

    /// Returns the limits for which this node needs more than its own share. A node that needs less only recovers its
    /// loaned shares by not renewing the leases: when such nodes also borrowed, shares circulated in a ring.
    fn shortages(&mut self, now: Nanos) -> Vec<Shortage> {
        let mut shortages = Vec::new();
        for limit in 0..self.limits.len() {
            let own_share = self.own_share(limit, now);
            let needed = self.limits[limit].needed_rate();
            if needed > own_share {
                shortages.push(Shortage { limit, needed });
            }
        }
        shortages
    }

    /// Returns candidate peers for requests by priority, possibly with duplicates: lenders whose lease is about to expire,
    /// then peers whose view of the size is missing, then random peers.
    fn request_candidates(
        &mut self,
        shortages: &[Shortage],
        lacks_rate: bool,
        is_agreed: bool,
        now: Nanos,
    ) -> Vec<NodeIx> {
        let tick = self.lease_length / TICKS_PER_LEASE;
        let renewal_deadline = now + self.lease_length / 2 + tick * TICKS_PER_REQUEST;
        let mut peers: Vec<NodeIx> = Vec::new();
        for shortage in shortages {
            let borrowed = &self.limits[shortage.limit].borrowed;
            peers.extend(borrowed.lenders_expiring_by(renewal_deadline, now));
        }
        peers.sort_unstable();
        peers.dedup();
        self.rng.shuffle(&mut peers);
        if !is_agreed {
            let lenders = peers.len();
            let unknown = self.size.peers_without_view();
            peers.extend(unknown.filter(|n| !self.outstanding.contains_key(n)));
            self.rng.shuffle(&mut peers[lenders..]);
        }
        if lacks_rate || !is_agreed {
            let nodes = self.size.nodes();
            for _ in 0..2 * MAX_REQUESTS {
                let peer = self.rng.usize(..nodes);
                if !self.outstanding.contains_key(&peer) {
                    peers.push(peer);
                }
            }
        }
        peers
    }

    /// Encodes one request to each of the first [`MAX_REQUESTS`] candidates, and records it as outstanding.
    fn write_requests(
        &mut self,
        candidates: &[NodeIx],
        shortages: &[Shortage],
        now: Nanos,
    ) -> Vec<(NodeIx, Vec<u8>)> {
        let rows: Vec<(u8, f64, f64)> = shortages
            .iter()
            .map(|s| (s.limit as u8, self.limits[s.limit].last_rate(), s.needed))
            .collect();
        let size_view = self.size.own_view(self.loans_fit(now), now);
        let mut requests: Vec<(NodeIx, Vec<u8>)> = Vec::new();
        for &peer in candidates {
            let is_other_node = peer != self.size.own() && peer < self.size.nodes();
            if !is_other_node || requests.iter().any(|(p, _)| *p == peer) {
                continue;
            }
            if requests.len() == MAX_REQUESTS {
                break;
            }
            let sequence = self.rng.u32(..);
            let sent_at = now;
            self.outstanding
                .insert(peer, OutstandingRequest { sequence, sent_at });
            let message = QuotaMessage {
                fingerprint: self.fingerprint,
                size_view,
                sequence,
                rows: QuotaRows::Request(rows.clone()),
            };
            requests.push((peer, message.write()));
        }
        requests
    }

    /// Accepts the grants of a peer if they answer the outstanding request to it. Each request is answered at most once:
    /// duplicated, late and forged grants are ignored.
    pub(super) fn accept_grants(
        &mut self,
        lender: NodeIx,
        sequence: u32,
        size_view: ClusterSizeView,
        rows: &[(u8, f64)],
        now: Nanos,
    ) {
        let expected = self.outstanding.get_mut(&lender).filter(|request| {
            request.sequence == sequence && now < request.sent_at + self.lease_length
        });
        let Some(request) = expected else {
            return;
        };
        // A new sequence number makes a duplicate of the answer invalid. The entry remains, so that other peers are asked
        // next.
        request.sequence = self.rng.u32(..);
        let requested_at = request.sent_at;
        self.size.record_view(lender, size_view);
        for &(limit, granted) in rows {
            let Some(state) = self.limits.get_mut(usize::from(limit)) else {
                continue;
            };
            let granted = granted.min(state.limit.per_s);
            state
                .borrowed
                .accept(lender, granted, requested_at, self.lease_length, now);
            state.invalidate_rate();
        }
    }
}
