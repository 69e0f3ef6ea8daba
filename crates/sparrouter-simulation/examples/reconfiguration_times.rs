//! How long a core of three takes until a lost or leaving machine's successor is a member with a copy, by kind of loss.
//!
//! `cargo run --release -p sparrouter-simulation --example reconfiguration_times -- SEEDS`
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, ZONES};
use sparrouter_simulation::durability::is_repaired;
use sparrouter_simulation::runtime::play;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const LOOK: Duration = Duration::from_millis(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SUCCESSOR_AFTER: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Without power for good; its successor starts two seconds later.
    Replaced,
    /// Its disk is lost; it starts again half a second later.
    Wiped,
    /// Its successor starts two seconds before it gets SIGTERM.
    Planned,
}

/// From the successor's start (planned: from SIGTERM) to the repaired group.
async fn repair(cluster: &Rc<SimulatedCluster>, lost: &str, loss: Loss) -> Option<Duration> {
    let began = match loss {
        Loss::Replaced => {
            cluster.retire(lost);
            sleep(SUCCESSOR_AFTER).await;
            cluster.add_core(ZONES[0]);
            Instant::now()
        }
        Loss::Wiped => {
            cluster.power_off(lost);
            cluster.wipe(lost);
            sleep(Duration::from_millis(500)).await;
            cluster.power_on(lost);
            Instant::now()
        }
        Loss::Planned => {
            cluster.add_core(ZONES[0]);
            sleep(SUCCESSOR_AFTER).await;
            let began = Instant::now();
            cluster.terminate(lost).await;
            cluster.retire(lost);
            began
        }
    };
    while !is_repaired(cluster) {
        if began.elapsed() > CALL_TIMEOUT {
            return None;
        }
        sleep(LOOK).await;
    }
    Some(began.elapsed())
}

fn main() {
    let seeds = std::env::args().nth(1);
    let seeds: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(100);
    println!("{seeds} seeds; seconds until repaired: p50, p99, max; not within 20 s");
    for loss in [Loss::Replaced, Loss::Wiped, Loss::Planned] {
        let mut times = Vec::new();
        let mut timed_out = 0;
        for seed in 0..seeds {
            let settings = ClusterSettings::small(seed);
            let lost = format!("core-{}", seed % 3);
            let elapsed = play(async {
                repair(&SimulatedCluster::serving(settings).await, &lost, loss).await
            });
            match elapsed {
                Some(elapsed) => times.push(elapsed.as_secs_f64()),
                None => timed_out += 1,
            }
        }
        times.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            let last = times.len().saturating_sub(1) as f64;
            times
                .get((last * fraction) as usize)
                .copied()
                .unwrap_or(f64::NAN)
        };
        println!(
            "{loss:?}: {:.2} {:.2} {:.2}; {timed_out}",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
}
