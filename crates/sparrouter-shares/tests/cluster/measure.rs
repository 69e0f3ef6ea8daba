//! What a simulated cluster's nodes may use, and what they admitted over a time.
use super::{Behavior, Cluster, Node};
use sparrouter_shares::{Nanos, SECOND};

/// A node's demand and what it admitted, each a second.
struct NodeRates {
    demand: f64,
    arrived: f64,
    admitted: f64,
}

/// How well a cluster kept a limit over a time.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Admitted, as a fraction of the limit.
    pub of_limit: f64,
    /// Admitted, as a fraction of what arrived or of the limit, whichever is less.
    pub used: f64,
    /// Jain's index of what the nodes with more demand than their share admitted: 1 where they admitted equal rates.
    pub fairness: f64,
    /// Bytes of messages a second and node.
    pub bytes: f64,
}

/// Jain's index of fairness: (sum x)² / (n sum x²).
pub fn fairness(rates: &[f64]) -> f64 {
    let sum = rates.iter().fold(0.0, |sum, x| sum + x);
    let squares = rates.iter().fold(0.0, |sum, x| sum + x * x);
    if squares > 0.0 {
        sum * sum / (rates.len() as f64 * squares)
    } else {
        1.0
    }
}

impl Cluster {
    /// The rate that each node may use now; 0 where none runs.
    pub fn rates(&mut self) -> Vec<f64> {
        let clocks: Vec<Nanos> = (0..self.nodes.len()).map(|n| self.clock(n)).collect();
        let per_s = self.limit.per_s;
        let rate = |(node, clock): (&mut Node, Nanos)| match node.shares.as_mut() {
            Some(_) if node.paused => 0.0,
            Some(_) if node.behavior == Behavior::Legacy => per_s / node.informed_size as f64,
            Some(shares) => shares.own_rate(0, clock),
            None => 0.0,
        };
        self.nodes.iter_mut().zip(clocks).map(rate).collect()
    }

    /// Sum of all nodes' rates.
    pub fn rate_sum(&mut self) -> f64 {
        self.rates().iter().sum()
    }

    /// Runs for a time and measures it.
    pub fn measure(&mut self, length: Nanos) -> Measurement {
        let before: Vec<(u64, u64)> = self.nodes.iter().map(|n| (n.arrived, n.admitted)).collect();
        let bytes_before: u64 = self.nodes.iter().map(|n| n.sent_bytes).sum();
        self.run(length);
        let seconds = length as f64 / SECOND as f64;
        let node_rates = |(index, node): (usize, &Node)| {
            let (arrived, admitted) = before.get(index).copied().unwrap_or_default();
            NodeRates {
                demand: node.demand,
                arrived: (node.arrived - arrived) as f64 / seconds,
                admitted: (node.admitted - admitted) as f64 / seconds,
            }
        };
        let rates: Vec<NodeRates> = self.nodes.iter().enumerate().map(node_rates).collect();
        let is_running = |node: &&Node| node.shares.is_some();
        let running = self.nodes.iter().filter(is_running).count().max(1) as f64;
        let admitted: f64 = rates.iter().map(|r| r.admitted).sum();
        let arrived: f64 = rates.iter().map(|r| r.arrived).sum();
        let equal_share = (admitted / running).max(self.limit.per_s / running);
        let busy: Vec<f64> = rates
            .iter()
            .zip(&self.nodes)
            .filter(|(_, node)| is_running(node))
            .filter(|(rates, _)| rates.demand > 1.3 * equal_share)
            .map(|(rates, _)| rates.admitted)
            .collect();
        let bytes: u64 = self.nodes.iter().map(|n| n.sent_bytes).sum();
        Measurement {
            of_limit: admitted / self.limit.per_s,
            used: admitted / arrived.min(self.limit.per_s).max(1e-9),
            fairness: fairness(&busy),
            bytes: (bytes - bytes_before) as f64 / seconds / running,
        }
    }
}
