//! Gossip with peers: arrivals by tenant, outcomes of cache servers, frequent keys, and the fraction of the load that
//! is shed.
//!
//! Invariants: a message has at most 256 bytes; sums are sent away only while some peer reports, because if all
//! messages are lost the node has to rely on its own counts.
use super::Policy;
use super::admission::MAX_SHED_FRACTION;
use super::fading::median;
use super::timer::Timer;
use crate::gossip::GossipMessage;
use crate::types::{Action, Nanos, SECOND};

/// Number of peers that a message is sent to. Messages to all peers would grow with the square of the number of
/// nodes.
const GOSSIP_FANOUT: usize = 2;
/// Maximum number of cache servers, and of keys, in a message.
const MAX_ROWS: usize = 6;
/// Maximum number of tenants in a message.
const MAX_TENANTS: usize = 48;
/// Time for which a peer's report is used.
const REPORT_LIFETIME: Nanos = 3 * SECOND;
/// Maximum fraction of the distance by which one report moves the shed fraction towards the reported value.
const PEER_GAIN: f64 = 0.25;
/// A node without reports and with fewer arrivals since its last message adopts the shed fraction that a peer
/// reports.
const FEW_ARRIVALS: f64 = 4.0;

/// The latest report of a peer.
pub struct PeerReport {
    /// When the report was received; 0 if it is to be removed.
    pub received_at: Nanos,
    /// Number of arrivals of each tenant at the peer in one second, by tenant index.
    arrivals_by_tenant: Vec<u16>,
    /// Fraction of its load that the peer sheds, at most [`MAX_SHED_FRACTION`].
    shed_fraction: f64,
}

impl Policy {
    /// Sends this second's message to a few random peers, and starts the counts of the next second.
    pub(super) fn send_gossip(&mut self) {
        let nodes = self.environment.nodes;
        let steps = self.rng.choose_multiple(1..nodes.max(1), GOSSIP_FANOUT);
        let message = self.gossip_message(steps.len()).encode();
        for step in steps {
            self.actions.push(Action::SendGossip {
                peer: (self.environment.own_index + step) % nodes,
                message: message.clone(),
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

    /// Updates this node's fractions of the tenants' traffic from the counts of the last second.
    fn update_quota_fractions(&mut self) {
        let reporting = self.peers.len();
        let missing = self.environment.nodes.saturating_sub(1 + reporting) as f64;
        for (tenant, quota) in self.admission.quotas.iter_mut().enumerate() {
            // A tenant beyond the size of a message keeps an equal share for each node.
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

    /// Handles a peer's message; ignored if it can't be decoded or carries this node's own index.
    pub(super) fn on_gossip(&mut self, peer: usize, bytes: &[u8]) {
        if peer == self.environment.own_index {
            return;
        }
        let Some(message) = GossipMessage::decode(bytes) else {
            return;
        };
        for &row in &message.caches {
            self.caches.merge_outcomes(row, self.now);
        }
        self.keys.merge(message.total_arrivals, &message.keys);
        self.follow_shed_fraction(peer, message.shed_fraction);
        // While settings change, a report for a different list of tenants is ignored.
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

    /// Moves the shed fraction towards the value that a peer reports.
    fn follow_shed_fraction(&mut self, peer: usize, reported: f64) {
        // A node that has just started has no evidence of an overload and would admit all load, so it follows the
        // report. Many arrivals of its own outweigh a report.
        let quotas = self.admission.quotas.iter();
        let own_arrivals: f64 = quotas.map(|q| f64::from(q.arrivals)).sum();
        let gain = if self.peers.is_empty() && own_arrivals < FEW_ARRIVALS {
            1.0
        } else {
            PEER_GAIN.min(1.0 / (1.0 + own_arrivals * own_arrivals))
        };
        // The median of the other peers' reports limits the effect of a few false ones.
        let others = self.peers.iter().filter(|(p, _)| **p != peer);
        let others = median(others.map(|(_, report)| report.shed_fraction));
        let own = self.admission.shed_fraction;
        let credible = others.map_or(MAX_SHED_FRACTION, |o| o.max(own));
        self.admission.shed_fraction += gain * (reported.min(credible) - own);
    }
}
