//! How well fleets of a size keep one limit: by leases, by bare count, and as before (each node's part of what it and
//! those few that it heard of told of the last second). Same seeds, same arrivals' rates, no sockets.
#[path = "../tests/world/mod.rs"]
mod world;
use fastrand::Rng;
use sparrouter_shares::bucket::TokenBucket;
use sparrouter_shares::{Nanos, SECOND};
use std::collections::BTreeMap;
use world::{Figures, World};

/// Arrivals a second of each node: a quarter have most of it.
fn demand(n: usize, moved: bool) -> f64 {
    let loud = (n + usize::from(moved)).is_multiple_of(4);
    if loud { 24.0 } else { 4.0 }
}

/// The way before: two peers told each second, what three seconds brought, a missing one counts as the mean.
struct Before {
    part: f64,
    heard: BTreeMap<usize, (Nanos, f64)>,
    arrived: f64,
    bucket: TokenBucket,
}

fn before(nodes: usize, seed: u64, per_s: f64) -> [Figures; 5] {
    let mut rng = Rng::with_seed(seed);
    let mut all: Vec<Before> = (0..nodes)
        .map(|_| Before {
            part: 1.0 / nodes as f64,
            heard: BTreeMap::new(),
            arrived: 0.0,
            bucket: TokenBucket::new(5 * SECOND, rng.fork(), 0),
        })
        .collect();
    let phases = [
        (6, 6, false, false),
        (0, 5, true, false),
        (0, 6, true, false),
        (4, 6, true, true),
        (8, 6, true, false),
    ];
    let mut now = 0;
    let mut phase = 0;
    phases.map(|(quiet, length, moved, cut)| {
        phase += 1;
        let (mut came, mut within) = (vec![0.0; nodes], vec![0.0; nodes]);
        for second in 0..quiet + length {
            // Arrivals of a second in order of time, some at a time for each node.
            for step in 0..20 {
                let at = now + step * SECOND / 20;
                for (n, b) in all.iter_mut().enumerate() {
                    b.bucket.fill(b.part * per_s, at);
                    let mean = demand(n, moved) / 20.0;
                    // Poisson by counting exponential gaps.
                    let (mut left, mut count) = (mean, 0);
                    loop {
                        left += (1.0 - rng.f64()).ln();
                        if left < 0.0 {
                            break;
                        }
                        count += 1;
                    }
                    for _ in 0..count {
                        b.arrived += 1.0;
                        let let_in = b.bucket.try_acquire();
                        if second >= quiet {
                            came[n] += 1.0;
                            within[n] += f64::from(u8::from(let_in));
                        }
                    }
                }
            }
            now += SECOND;
            for n in 0..nodes {
                // In the last phase the first one claims a thousandfold.
                let arrived = all[n].arrived * if phase == 5 && n == 0 { 1000.0 } else { 1.0 };
                for _ in 0..2.min(nodes - 1) {
                    let to = (n + rng.usize(1..nodes)) % nodes;
                    if !cut || (n < nodes / 2) == (to < nodes / 2) {
                        all[to].heard.insert(n, (now, arrived));
                    }
                }
            }
            for b in &mut all {
                b.heard.retain(|_, h| h.0 + 3 * SECOND > now);
                let others: f64 = b.heard.values().map(|h| h.1).sum();
                let missing = (nodes - 1 - b.heard.len()) as f64;
                let sum = b.arrived
                    + others
                    + missing * (b.arrived + others) / (1.0 + b.heard.len() as f64);
                if sum > 0.0 {
                    b.part += 0.3 * (b.arrived / sum - b.part);
                }
                b.arrived = 0.0;
            }
        }
        let seconds = f64::from(length);
        let (sum, asked) = (
            within.iter().sum::<f64>() / seconds,
            came.iter().sum::<f64>() / seconds,
        );
        let loud = (0..nodes)
            .filter(|n| demand(*n, moved) > 10.0)
            .map(|n| within[n]);
        let (s, q, k) = loud.fold((0.0, 0.0, 0.0), |(s, q, k), x| (s + x, q + x * x, k + 1.0));
        Figures {
            over: sum / per_s,
            used: sum / asked.min(per_s),
            jain: s * s / (k * q),
            bytes: 0.0,
        }
    })
}

/// Steady after the start; the five seconds after all moves; steady again.
fn shares(nodes: usize, seed: u64, per_s: f64, notes: bool) -> ([Figures; 5], f64) {
    let mut w = World::new(nodes, per_s, notes, seed);
    w.strict = false;
    w.limit.window = 5 * SECOND;
    w.informed = SECOND;
    w.lease = SECOND;
    w.lives_again();
    (0..nodes).for_each(|n| w.all[n].demand = demand(n, false));
    w.run(6 * SECOND);
    let steady = w.measure(6 * SECOND);
    (0..nodes).for_each(|n| w.all[n].demand = demand(n, true));
    let moved = w.measure(5 * SECOND);
    let after = w.measure(6 * SECOND);
    w.net.cut = nodes / 2;
    w.run(4 * SECOND);
    let halves = w.measure(6 * SECOND);
    w.net.cut = 0;
    w.all[0].kind = world::Kind::Liar;
    w.run(8 * SECOND);
    let lies = w.measure(6 * SECOND);
    ([steady, moved, after, halves, lies], w.most)
}

fn main() {
    println!(
        "{:>6} {:<8}{:>8} | steady: over  used  Jain | moved: over  used | after: used  Jain | halves: over | a liar: used | bytes/s",
        "nodes", "way", "parts"
    );
    let some = std::env::var("NODES").unwrap_or_else(|_| "4,16,48,300,3000".into());
    for nodes in some.split(',').filter_map(|n| n.parse::<usize>().ok()) {
        // All together ask for 9 a node; 8 are allowed.
        let per_s = 8.0 * nodes as f64;
        let seeds = if nodes > 300 { 1 } else { 5 };
        for way in ["leases", "count", "before"] {
            let mut rows: Vec<([Figures; 5], f64)> = Vec::new();
            for seed in 0..seeds {
                rows.push(match way {
                    "before" => (before(nodes, 100 + seed, per_s), f64::NAN),
                    _ => shares(nodes, 100 + seed, per_s, way == "leases"),
                });
            }
            let mean = |f: &dyn Fn(&[Figures; 5]) -> f64| {
                rows.iter().map(|r| f(&r.0)).sum::<f64>() / rows.len() as f64
            };
            let most = rows.iter().map(|r| r.1).fold(f64::NAN, f64::max);
            println!(
                "{nodes:>6} {way:<8}{most:>8.3} |         {:>5.3} {:>5.3} {:>5.3} |        {:>5.3} {:>5.3} |        {:>5.3} {:>5.3} |        {:>5.3} |         {:>5.3} | {:>6.0}",
                mean(&|f| f[0].over),
                mean(&|f| f[0].used),
                mean(&|f| f[0].jain),
                mean(&|f| f[1].over),
                mean(&|f| f[1].used),
                mean(&|f| f[2].used),
                mean(&|f| f[2].jain),
                mean(&|f| f[3].over),
                mean(&|f| f[4].used),
                mean(&|f| f[0].bytes)
            );
        }
    }
}
