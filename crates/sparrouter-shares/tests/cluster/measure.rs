//! Measures the rates in force and the admitted units of a simulated cluster.
use super::{Behavior, Cluster, Node};
use sparrouter_shares::{Nanos, SECOND};

/// Demand, arrivals and admissions of a node, in units per second.
struct NodeRates {
    demand: f64,
    arrived: f64,
    admitted: f64,
}

/// Use and fairness of a cluster over an interval.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Admitted units as a fraction of the limit.
    pub of_limit: f64,
    /// Admitted units as a fraction of the arrived units or of the limit, whichever is less.
    pub used: f64,
    /// Jain's fairness index of the rates admitted by nodes whose demand exceeds their share; 1 if all rates are equal.
    pub fairness: f64,
    /// Message bytes per second and node.
    pub bytes: f64,
}

/// Computes Jain's fairness index: (sum x)² / (n sum x²).
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
    /// Returns the rate that each node may use now; 0 if its process is paused or does not run.
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

    /// Returns the sum of the rates of all nodes.
    pub fn rate_sum(&mut self) -> f64 {
        self.rates().iter().sum()
    }

    /// Runs the cluster for `length`, and measures the interval.
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
