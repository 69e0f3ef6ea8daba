//! Plays the fleet under thousands of seeds and prints the first that fails, with its events; or the seed that finds
//! each injected defect.
//!
//! `cargo run --release -p sparrouter-consensus --example hunt -- SEEDS [FIRST] [EVENTS]`, or `hunt -- defects SEEDS`
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::defects::{DEFECTS, first_finding, plan};
use fleet::{Plan, play};

const USAGE: &str = "hunt SEEDS [FIRST] [EVENTS], or hunt defects SEEDS; whole numbers";

fn main() {
    let mut arguments = std::env::args().skip(1).peekable();
    let hunts_defects = arguments.next_if(|a| a == "defects").is_some();
    let mut numbers = arguments.map(|a| a.parse::<u64>().expect(USAGE));
    let seeds = numbers.next().unwrap_or(1_000);
    if hunts_defects {
        for case in DEFECTS {
            let name = case.name;
            match first_finding(&case, seeds) {
                Some(found) => println!("{name}: seed {}, {}", found.seed, found.violation),
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
                println!(
                    "seed {seed}, {} nodes: {}",
                    plan(seed).nodes,
                    failure.violation
                );
                std::process::exit(1);
            }
        }
    }
    println!(
        "{seeds} seeds from {first}: no rule broken, {acknowledged} changes acknowledged, {steps} steps"
    );
}
