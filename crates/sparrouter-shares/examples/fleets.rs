//! Compares how well clusters of several sizes enforce one limit in three modes: with leases, with equal shares by the
//! number of nodes, and with the algorithm before leases, gossip about the arrivals of the last second. All modes use the
//! same seeds and arrival rates, and no sockets.
//!
//! `NODES=4,16 cargo run --release -p sparrouter-shares --example fleets`
#[path = "../tests/cluster/mod.rs"]
mod cluster;
use cluster::{Behavior, Cluster, Measurement};
use fastrand::Rng;
use sparrouter_shares::bucket::TokenBucket;
use sparrouter_shares::{Nanos, SECOND};
use std::collections::BTreeMap;

/// Returns the arrivals per second at a node, before or after traffic has moved. A quarter of the nodes get most arrivals.
fn demand(node: usize, moved: bool) -> f64 {
    let is_busy = (node + usize::from(moved)).is_multiple_of(4);
    if is_busy { 24.0 } else { 4.0 }
}

/// Measurements of the phases of a run, in order.
struct Phases {
    steady: Measurement,
    /// The five seconds after traffic has moved to other nodes.
    moved: Measurement,
    /// The six seconds after `moved`.
    after: Measurement,
    /// A partition into two halves.
    partitioned: Measurement,
    /// One node requests 1000 times the rate that it needs.
    greedy: Measurement,
}

/// Measurements of a run, with the highest sum of rates as a fraction of the limit (NaN if unknown).
struct Run {
    phases: Phases,
    max_rate_sum: f64,
}

/// Parameters of a phase with the gossip algorithm.
struct GossipPhase {
    /// Warm-up before the measurement, in seconds.
    settling: u32,
    /// Length of the measurement in seconds.
    measured: u32,
    moved: bool,
    partitioned: bool,
    greedy: bool,
}

/// A node with the gossip algorithm. Each second it reports its arrivals to two random peers, and adjusts its fraction of
/// the limit towards its fraction of the arrivals. A peer without a report for three seconds counts as the mean.
struct GossipNode {
    fraction: f64,
    reports: BTreeMap<usize, (Nanos, f64)>,
    arrived: f64,
    bucket: TokenBucket,
}

struct GossipCluster {
    nodes: Vec<GossipNode>,
    rng: Rng,
    now: Nanos,
    per_s: f64,
}

impl GossipCluster {
    fn new(nodes: usize, seed: u64, per_s: f64) -> GossipCluster {
        let mut rng = Rng::with_seed(seed);
        let node = |rng: &mut Rng| GossipNode {
            fraction: 1.0 / nodes as f64,
            reports: BTreeMap::new(),
            arrived: 0.0,
            bucket: TokenBucket::new(5 * SECOND, rng.fork(), 0),
        };
        GossipCluster {
            nodes: (0..nodes).map(|_| node(&mut rng)).collect(),
            rng,
            now: 0,
            per_s,
        }
    }

    fn run(&mut self, phase: &GossipPhase) -> Measurement {
        let nodes = self.nodes.len();
        let (mut arrived, mut admitted) = (vec![0.0; nodes], vec![0.0; nodes]);
        for second in 0..phase.settling + phase.measured {
            let (all_arrived, all_admitted) = self.serve_second(phase.moved);
            if second >= phase.settling {
                let add = |sums: &mut [f64], more: &[f64]| {
                    sums.iter_mut().zip(more).for_each(|(sum, x)| *sum += x);
                };
                add(&mut arrived, &all_arrived);
                add(&mut admitted, &all_admitted);
            }
            self.now += SECOND;
            self.gossip(phase);
            self.adapt();
        }
        let seconds = f64::from(phase.measured);
        let admitted_per_s = admitted.iter().sum::<f64>() / seconds;
        let arrived_per_s = arrived.iter().sum::<f64>() / seconds;
        let busy: Vec<f64> = (0..nodes)
            .filter(|node| demand(*node, phase.moved) > 10.0)
            .map(|node| admitted[node])
            .collect();
        Measurement {
            of_limit: admitted_per_s / self.per_s,
            used: admitted_per_s / arrived_per_s.min(self.per_s),
            fairness: cluster::fairness(&busy),
            bytes: 0.0,
        }
    }

    /// Simulates the arrivals of one second in steps of a twentieth of a second, and returns the arrived and the admitted
    /// units of each node.
    fn serve_second(&mut self, moved: bool) -> (Vec<f64>, Vec<f64>) {
        let nodes = self.nodes.len();
        let (mut arrived, mut admitted) = (vec![0.0; nodes], vec![0.0; nodes]);
        for step in 0..20 {
            let step_time = self.now + step * SECOND / 20;
            for (index, node) in self.nodes.iter_mut().enumerate() {
                node.bucket.fill(node.fraction * self.per_s, step_time);
                for _ in 0..poisson(&mut self.rng, demand(index, moved) / 20.0) {
                    node.arrived += 1.0;
                    arrived[index] += 1.0;
                    admitted[index] += f64::from(u8::from(node.bucket.try_acquire()));
                }
            }
        }
        (arrived, admitted)
    }

    fn gossip(&mut self, phase: &GossipPhase) {
        let nodes = self.nodes.len();
        for from in 0..nodes {
            let exaggeration = if phase.greedy && from == 0 {
                1000.0
            } else {
                1.0
            };
            let arrived = self.nodes[from].arrived * exaggeration;
            for _ in 0..2.min(nodes - 1) {
                let to = (from + self.rng.usize(1..nodes)) % nodes;
                let same_half = (from < nodes / 2) == (to < nodes / 2);
                if !phase.partitioned || same_half {
                    self.nodes[to].reports.insert(from, (self.now, arrived));
                }
            }
        }
    }

    fn adapt(&mut self) {
        let nodes = self.nodes.len();
        for node in &mut self.nodes {
            node.reports
                .retain(|_, (received_at, _)| *received_at + 3 * SECOND > self.now);
            let others: f64 = node.reports.values().map(|(_, arrived)| arrived).sum();
            let known = 1.0 + node.reports.len() as f64;
            let missing = (nodes - 1 - node.reports.len()) as f64;
            let total = node.arrived + others + missing * (node.arrived + others) / known;
            if total > 0.0 {
                node.fraction += 0.3 * (node.arrived / total - node.fraction);
            }
            node.arrived = 0.0;
        }
    }
}

/// Draws a Poisson count by summing exponential gaps.
fn poisson(rng: &mut Rng, mean: f64) -> usize {
    let mut remaining = mean;
    let mut count = 0;
    loop {
        remaining += (1.0 - rng.f64()).ln();
        if remaining < 0.0 {
            return count;
        }
        count += 1;
    }
}

fn run_gossip(nodes: usize, seed: u64, per_s: f64) -> Run {
    let mut cluster = GossipCluster::new(nodes, seed, per_s);
    let mut run = |settling, measured, moved, partitioned, greedy| {
        cluster.run(&GossipPhase {
            settling,
            measured,
            moved,
            partitioned,
            greedy,
        })
    };
    let phases = Phases {
        steady: run(6, 6, false, false, false),
        moved: run(0, 5, true, false, false),
        after: run(0, 6, true, false, false),
        partitioned: run(4, 6, true, true, false),
        greedy: run(8, 6, true, false, true),
    };
    Run {
        phases,
        max_rate_sum: f64::NAN,
    }
}

fn run_shares(nodes: usize, seed: u64, per_s: f64, sends_messages: bool) -> Run {
    let mut cluster = Cluster::new(nodes, per_s, sends_messages, seed);
    cluster.checks_every_event = false;
    cluster.limit.window = 5 * SECOND;
    cluster.informed = SECOND;
    cluster.lease = SECOND;
    cluster.restart_all();
    cluster.set_demand(|node| demand(node, false));
    cluster.run(6 * SECOND);
    let steady = cluster.measure(6 * SECOND);
    cluster.set_demand(|node| demand(node, true));
    let moved = cluster.measure(5 * SECOND);
    let after = cluster.measure(6 * SECOND);
    cluster.network.partition = nodes / 2;
    cluster.run(4 * SECOND);
    let partitioned = cluster.measure(6 * SECOND);
    cluster.network.partition = 0;
    cluster.nodes[0].behavior = Behavior::Greedy;
    cluster.run(8 * SECOND);
    let greedy = cluster.measure(6 * SECOND);
    Run {
        phases: Phases {
            steady,
            moved,
            after,
            partitioned,
            greedy,
        },
        max_rate_sum: cluster.max_rate_sum,
    }
}

fn print_row(nodes: usize, mode: &str, runs: &[Run]) {
    let mean = |f: &dyn Fn(&Phases) -> f64| {
        runs.iter().map(|r| f(&r.phases)).sum::<f64>() / runs.len() as f64
    };
    let max = runs.iter().map(|r| r.max_rate_sum).fold(f64::NAN, f64::max);
    println!(
        "{nodes:>6} {mode:<8}{max:>8.3} |         {:>5.3} {:>5.3} {:>5.3} |        {:>5.3} {:>5.3} |        {:>5.3} {:>5.3} |        {:>5.3} |         {:>5.3} | {:>6.0}",
        mean(&|p| p.steady.of_limit),
        mean(&|p| p.steady.used),
        mean(&|p| p.steady.fairness),
        mean(&|p| p.moved.of_limit),
        mean(&|p| p.moved.used),
        mean(&|p| p.after.used),
        mean(&|p| p.after.fairness),
        mean(&|p| p.partitioned.of_limit),
        mean(&|p| p.greedy.used),
        mean(&|p| p.steady.bytes)
    );
}

fn main() {
    println!(
        "{:>6} {:<8}{:>8} | steady: rate  used  Jain | moved: rate  used | after: used  Jain | halves: rate | greedy: used | bytes/s",
        "nodes", "mode", "sum"
    );
    let sizes = std::env::var("NODES").unwrap_or_else(|_| "4,16,48,300,3000".into());
    for nodes in sizes.split(',').filter_map(|n| n.parse::<usize>().ok()) {
        // The mean demand is 9 per second and node; the limit is 8 per second and node.
        let per_s = 8.0 * nodes as f64;
        let seeds: u64 = if nodes > 300 { 1 } else { 5 };
        for mode in ["leases", "count", "before"] {
            let run = |seed: u64| match mode {
                "before" => run_gossip(nodes, 100 + seed, per_s),
                _ => run_shares(nodes, 100 + seed, per_s, mode == "leases"),
            };
            let runs: Vec<Run> = (0..seeds).map(run).collect();
            print_row(nodes, mode, &runs);
        }
    }
}
