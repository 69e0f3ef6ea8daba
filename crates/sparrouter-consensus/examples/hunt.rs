//! Simulates the fleet with many seeds and prints the first seed that violates a rule, with its events; or prints for
//! each injected defect the first seed that detects it.
//!
//! `cargo run --release -p sparrouter-consensus --example hunt -- SEEDS [FIRST] [EVENTS]`, or `hunt -- defects SEEDS`
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::defects::{DEFECTS, first_detection, plan};
use fleet::{Plan, simulate};

const USAGE: &str = "hunt SEEDS [FIRST] [EVENTS], or hunt defects SEEDS; whole numbers";

fn main() {
    let mut arguments = std::env::args().skip(1).peekable();
    let hunts_defects = arguments.next_if(|a| a == "defects").is_some();
    let mut numbers = arguments.map(|a| a.parse::<u64>().expect(USAGE));
    let seeds = numbers.next().unwrap_or(1_000);
    if hunts_defects {
        for case in DEFECTS {
            let name = case.name;
            match first_detection(&case, seeds) {
                Some(detection) => {
                    println!("{name}: seed {}, {}", detection.seed, detection.violation)
                }
                None => println!("{name}: not detected with {seeds} seeds"),
            }
        }
        return;
    }
    let (first_seed, max_events) = (
        numbers.next().unwrap_or(0),
        numbers.next().unwrap_or(400) as usize,
    );
    let (mut acknowledged, mut steps) = (0, 0);
    for seed in first_seed..first_seed + seeds {
        match simulate(&plan(seed)) {
            Ok(run_summary) => {
                acknowledged += run_summary.acknowledgements;
                steps += run_summary.steps;
            }
            Err(_) => {
                let failure = simulate(&Plan {
                    trace: true,
                    ..plan(seed)
                })
                .expect_err("same seed, same run");
                let skip = failure.events.len().saturating_sub(max_events);
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
        "{seeds} seeds from {first_seed}: no rule violated, {acknowledged} changes acknowledged, {steps} steps"
    );
}
