//! Exhaustive exploration of small groups.
//!
//! `cargo run --release -p sparrouter-consensus --example explore -- ARGUMENTS` prints tables in Markdown. The
//! arguments:
//!
//! * `sound STATES`: explores each scenario of the correct code until `STATES` states are visited.
//! * `planted`: explores a scenario with each injected defect, and the same scenario without the defect to the same
//!   depth.
//! * `trace DEFECT`: prints a shortest trace to a violation.
#[path = "../tests/explore/mod.rs"]
mod explore;

use explore::scenarios::{Scenario, all_defects, all_without_defects};
use explore::search::{Explored, Limits, explore};
use std::time::Instant;

const USAGE: &str = "explore sound STATES, explore planted, or explore trace DEFECT";
/// A depth that no search reaches.
const UNLIMITED_DEPTH: usize = 1_000;
/// Maximum number of visited states in the search for a defect.
const MAX_STATES_FOR_DEFECT: usize = 6_000_000;

fn timed(scenario: &Scenario, limits: Limits) -> (Explored, f64) {
    let root = scenario.root();
    let start = Instant::now();
    let explored = explore(&root, limits);
    (explored, start.elapsed().as_secs_f64())
}

fn explore_without_defects(states: usize) {
    println!(
        "| scenario | states | steps | complete to depth | all states visited | states with a new slot | seconds |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for scenario in all_without_defects() {
        let limits = Limits {
            depth: UNLIMITED_DEPTH,
            states,
        };
        let (explored, seconds) = timed(&scenario, limits);
        let Explored {
            states,
            transitions,
            depth,
            is_complete,
            states_with_new_slot,
            ..
        } = explored;
        let name = scenario.name;
        println!(
            "| {name} | {states} | {transitions} | {depth} | {is_complete} | {states_with_new_slot} | {seconds:.1} |"
        );
        if let Some(counterexample) = explored.counterexample {
            println!(
                "VIOLATION: {}\n  {}",
                counterexample.violation,
                counterexample.trace.join("\n  ")
            );
        }
    }
}

fn explore_defects() {
    println!(
        "| defect | detected at depth | states | seconds | violation | without the defect, to that depth |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for scenario in all_defects() {
        let limits = Limits {
            depth: scenario.depth,
            states: MAX_STATES_FOR_DEFECT,
        };
        let (explored, seconds) = timed(&scenario, limits);
        let name = scenario.name;
        let Some(counterexample) = explored.counterexample else {
            let (states, depth) = (explored.states, explored.depth);
            println!("| {name} | not detected to depth {depth} | {states} | {seconds:.1} | | |");
            continue;
        };
        let same_depth = Limits {
            depth: counterexample.depth,
            ..limits
        };
        let (without_defect, _) = timed(&scenario.without_defects(), same_depth);
        let result_without_defect = without_defect
            .counterexample
            .map_or("no violation".to_owned(), |counterexample| {
                counterexample.violation.to_string()
            });
        println!(
            "| {name} | {} | {} | {seconds:.1} | {} | {result_without_defect}, {} states |",
            counterexample.depth, explored.states, counterexample.violation, without_defect.states
        );
    }
}

fn trace(name: &str) {
    let scenarios = all_defects();
    let scenario = scenarios.iter().find(|s| s.name == name).expect(USAGE);
    let limits = Limits {
        depth: scenario.depth,
        states: MAX_STATES_FOR_DEFECT,
    };
    match timed(scenario, limits).0.counterexample {
        Some(counterexample) => println!(
            "{}\n  {}",
            counterexample.violation,
            counterexample.trace.join("\n  ")
        ),
        None => println!("no violation found to depth {}", scenario.depth),
    }
}

fn main() {
    // A violation may be a failed assertion of the register, which is reported without the panic message.
    std::panic::set_hook(Box::new(|_| {}));
    let strings: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = strings.iter().map(String::as_str).collect();
    match arguments[..] {
        ["sound", states] => explore_without_defects(states.parse().expect(USAGE)),
        ["planted"] => explore_defects(),
        ["trace", name] => trace(name),
        _ => println!("{USAGE}"),
    }
}
