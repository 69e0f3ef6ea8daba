//! Gossip with peers: how much of each tenant's traffic comes by here, outcomes of cache servers, frequent keys, and what
//! fraction of the load is shed.
//!
//! Invariants: a message has at most 256 bytes; sums are given away only while some peer reports, since with every message
//! lost this node's own counts must do.
use super::Policy;
use super::admission::MAX_SHED_FRACTION;
use super::fading::median;
use super::timer::Timer;
use crate::gossip::GossipMessage;
use crate::types::{Action, Nanos, SECOND};

/// Peers that a message goes to. Messages to all would grow with the square of the number of nodes.
const RECIPIENTS: usize = 2;
/// Cache servers, and keys, in a message.
const MAX_ROWS: usize = 6;
/// Tenants in a message.
const MAX_TENANTS: usize = 48;
/// A peer's report counts for so long.
const REPORT_LIFETIME: Nanos = 3 * SECOND;
/// How far the shed fraction moves towards what a peer reports, at most.
const PEER_GAIN: f64 = 0.25;
/// A node with fewer arrivals since its last message, and without reports, takes over what a peer reports.
const FEW_ARRIVALS: f64 = 4.0;

/// The latest report of a peer.
pub struct PeerReport {
    /// When it came; 0 if it is to be forgotten.
    pub received_at: Nanos,
    /// Arrivals of each tenant at the peer in a second.
    arrivals_by_tenant: Vec<u16>,
    /// The fraction of its load that the peer sheds, at most [`MAX_SHED_FRACTION`].
    shed_fraction: f64,
}

impl Policy {
    /// Sends the message of this second to a few peers, drawn anew each time, and begins to count for the next.
    pub(super) fn send_gossip(&mut self) {
        let nodes = self.environment.nodes;
        let steps = self.rng.choose_multiple(1..nodes.max(1), RECIPIENTS);
        let text = self.gossip_message(steps.len()).encode();
        for step in steps {
            self.actions.push(Action::SendGossip {
                peer: (self.environment.own_index + step) % nodes,
                text: text.clone(),
            });
        }
        let oldest = self.now.saturating_sub(REPORT_LIFETIME);
        self.peers.retain(|_, report| report.received_at > oldest);
        self.update_quota_fractions();
        self.set_timer(self.now + SECOND, Timer::Gossip);
    }

    fn gossip_message(&mut self, recipients: usize) -> GossipMessage {
        let quotas = self.admission.quotas.iter().take(MAX_TENANTS);
        let mut message = GossipMessage {
            arrivals_by_tenant: quotas.map(|q| q.arrivals).collect(),
            tenants_fingerprint: Some(self.environment.tenants_fingerprint),
            shed_fraction: self.admission.shed_fraction,
            ..GossipMessage::default()
        };
        if !self.peers.is_empty() {
            message.caches = self.caches.split_outcomes(recipients, MAX_ROWS);
            message.keys = self.keys.split(recipients, MAX_ROWS);
            message.total_arrivals = self.keys.total;
        }
        message
    }

    /// Moves this node's fractions of the tenants' traffic towards the counts of the last second.
    fn update_quota_fractions(&mut self) {
        let reporting = self.peers.len();
        let missing = self.environment.nodes.saturating_sub(1 + reporting) as f64;
        for (tenant, quota) in self.admission.quotas.iter_mut().enumerate() {
            // A tenant that no message has room for keeps this node's part by number of nodes.
            if tenant < MAX_TENANTS {
                let arrivals = self.peers.values().map(|r| &r.arrivals_by_tenant);
                let others = arrivals
                    .map(|a| f64::from(a.get(tenant).copied().unwrap_or(0)))
                    .sum();
                quota.update_fraction(others, reporting, missing);
            }
            quota.arrivals = 0;
        }
    }

    /// A peer's message came. One that cannot be read, or seems to be this node's own, is ignored.
    pub(super) fn on_gossip(&mut self, peer: usize, text: &[u8]) {
        if peer == self.environment.own_index {
            return;
        }
        let Some(message) = GossipMessage::decode(text) else {
            return;
        };
        for &row in &message.caches {
            self.caches.merge_outcomes(row, self.now);
        }
        self.keys.merge(message.total_arrivals, &message.keys);
        self.follow_shed_fraction(peer, message.shed_fraction);
        // Arrivals counted by other tenants, in the middle of a change of settings, are as if they had not come.
        let own_tenants = self.environment.tenants_fingerprint;
        if message.tenants_fingerprint.is_none_or(|t| t == own_tenants) {
            let report = PeerReport {
                received_at: self.now,
                arrivals_by_tenant: message.arrivals_by_tenant,
                shed_fraction: message.shed_fraction.min(MAX_SHED_FRACTION),
            };
            self.peers.insert(peer, report);
        }
    }

    /// Moves the shed fraction towards what a peer reports.
    fn follow_shed_fraction(&mut self, peer: usize, reported: f64) {
        // A node that has just started knows of no overload and would admit everything. What many arrivals of its own show
        // counts for more than a report.
        let quotas = self.admission.quotas.iter();
        let own_arrivals: f64 = quotas.map(|q| f64::from(q.arrivals)).sum();
        let gain = if self.peers.is_empty() && own_arrivals < FEW_ARRIVALS {
            1.0
        } else {
            PEER_GAIN.min(1.0 / (1.0 + own_arrivals * own_arrivals))
        };
        // Few false reports do not count against those of the others.
        let others = self.peers.iter().filter(|(p, _)| **p != peer);
        let others = median(others.map(|(_, report)| report.shed_fraction));
        let own = self.admission.shed_fraction;
        let believed = others.map_or(MAX_SHED_FRACTION, |o| o.max(own));
        self.admission.shed_fraction += gain * (reported.min(believed) - own);
    }
}
