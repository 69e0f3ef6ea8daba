//! How long quorum contact outlasts a partition of 20 s, and how long it takes to come back after it, over many seeds:
//! `cargo run --release -p sparrouter-simulation --example contact_times -- SEEDS`.
use sparrouter_simulation::cluster::partitions::PartitionScope;
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster};
use sparrouter_simulation::contact_watch::{ContactWatch, FAST_POLL};
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::runtime::play;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const VICTIM: &str = "core-0";

/// Contact after the partition began, and from its end until there is contact again.
async fn times(seed: u64, scope: PartitionScope) -> (Duration, Duration) {
    let cluster = SimulatedCluster::serving(ClusterSettings::small(seed)).await;
    let watch = ContactWatch::start(&cluster, &[VICTIM.to_owned()], FAST_POLL);
    sleep(Duration::from_millis(500 + seed % 500)).await;
    let partitioned_at = Instant::now();
    cluster.partition_core(VICTIM, scope, Some(Partition::PacketsLost));
    sleep(Duration::from_secs(20)).await;
    let repaired_at = Instant::now();
    cluster.partition_core(VICTIM, scope, None);
    sleep(Duration::from_secs(5)).await;
    watch.stop();
    let ip = cluster.ip(VICTIM);
    let last = watch
        .claim_times(ip, partitioned_at, repaired_at)
        .into_iter()
        .max();
    let first = watch
        .claim_times(ip, repaired_at, Instant::now())
        .into_iter()
        .min();
    let lost = last.map_or(Duration::ZERO, |at| at - partitioned_at);
    (lost, first.map_or(Duration::MAX, |at| at - repaired_at))
}

fn quantile(sorted: &[Duration], of: f64) -> u128 {
    sorted[((sorted.len() - 1) as f64 * of).round() as usize].as_millis()
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(100);
    println!("| partition | lost after, p50 | p99 | max | back after, p50 | p99 | max |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for scope in PartitionScope::ALL {
        let (mut lost, mut back): (Vec<_>, Vec<_>) =
            (0..seeds).map(|seed| play(times(seed, scope))).unzip();
        lost.sort_unstable();
        back.sort_unstable();
        let cells = [&lost, &back].map(|of| {
            let [half, most, all] = [0.5, 0.99, 1.0].map(|q| quantile(of, q));
            format!("{half} ms | {most} ms | {all} ms")
        });
        println!("| {scope:?} | {} | {} |", cells[0], cells[1]);
    }
}
