//! Hunts for a loss right after another one that violates a rule: drawn losses, each as soon as the tolerance allows it.
//!
//! `cargo run --release -p sparrouter-simulation --example second_losses -- SEEDS [FIRST]`
#[path = "../tests/losses/mod.rs"]
mod losses;

use fastrand::Rng;
use losses::{CATCH_UP, LOSSES, change, lose, settings, watched};
use sparrouter_simulation::cluster::initial_configuration;
use sparrouter_simulation::runtime::{collect_panics, play, take_panics};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Losses of one day: more than the first group has members.
const LOSSES_A_DAY: usize = 5;

/// The rules that a day breaks.
async fn day(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let core = [3, 3, 5, 7][rng.usize(..4)];
    let cluster = watched(settings(seed, core)).await;
    let mut configuration = initial_configuration();
    for number in 0..LOSSES_A_DAY {
        let machines = cluster.core();
        let oldest_first = rng.bool();
        let index = if oldest_first {
            0
        } else {
            rng.usize(..machines.len())
        };
        let loss = LOSSES[rng.usize(..LOSSES.len())];
        lose(&cluster, &mut configuration, &machines[index], loss).await;
        sleep(CATCH_UP + Duration::from_millis(rng.u64(..400))).await;
        change(&cluster, &mut configuration, &format!("after-{number}")).await;
    }
    cluster.operator.read_back().await;
    cluster.monitor.violations()
}

fn main() -> ExitCode {
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse::<u64>().ok());
    let (seeds, first) = (numbers.next().unwrap_or(100), numbers.next().unwrap_or(0));
    collect_panics();
    for seed in first..first + seeds {
        let played = catch_unwind(AssertUnwindSafe(|| play(day(seed))));
        let mut broken = take_panics();
        broken.extend(played.unwrap_or_default());
        if let Some(what) = broken.first() {
            println!("seed {seed}: {what}");
            return ExitCode::FAILURE;
        }
    }
    println!("{seeds} seeds from {first}: no rule broken");
    ExitCode::SUCCESS
}
