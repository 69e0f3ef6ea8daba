//! Plays the fleet under thousands of seeds and prints the first that fails, with its events; or tells for each planted
//! defect which seed finds it.
//!
//! `cargo run --release -p sparrouter-consensus --example hunt -- SEEDS [FIRST] [EVENTS]`, or `hunt -- defects SEEDS`
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::planted::{PLANTED, first_seed, plan};
use fleet::{Plan, play};

const USAGE: &str = "hunt SEEDS [FIRST] [EVENTS], or hunt defects SEEDS; whole numbers";

fn main() {
    let mut arguments = std::env::args().skip(1).peekable();
    let planted = arguments.next_if(|a| a == "defects").is_some();
    let mut numbers = arguments.map(|a| a.parse::<u64>().expect(USAGE));
    let seeds = numbers.next().unwrap_or(1_000);
    if planted {
        for (name, plant, weather, nodes) in PLANTED {
            match first_seed(plant, weather, nodes, seeds) {
                Some((seed, what)) => println!("{name}: seed {seed}, {what}"),
                None => println!("{name}: not found by {seeds} seeds"),
            }
        }
        return;
    }
    let (first, shown) = (
        numbers.next().unwrap_or(0),
        numbers.next().unwrap_or(400) as usize,
    );
    let (mut acknowledged, mut steps) = (0, 0);
    for seed in first..first + seeds {
        match play(&plan(seed)) {
            Ok(played) => {
                acknowledged += played.acknowledgements;
                steps += played.steps;
            }
            Err(_) => {
                let failure = play(&Plan {
                    trace: true,
                    ..plan(seed)
                })
                .expect_err("same seed, same run");
                let skip = failure.events.len().saturating_sub(shown);
                failure.events[skip..]
                    .iter()
                    .for_each(|event| println!("{event}"));
                println!("seed {seed}, {} nodes: {}", plan(seed).nodes, failure.what);
                std::process::exit(1);
            }
        }
    }
    println!(
        "{seeds} seeds from {first}: no rule broken, {acknowledged} changes acknowledged, {steps} steps"
    );
}
