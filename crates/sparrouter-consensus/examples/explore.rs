//! Exhaustive exploration of small groups.
//!
//! `cargo run --release -p sparrouter-consensus --example explore -- sound STATES`: each scope of the sound code as deep
//! as so many states go; `-- planted`: each injected defect, and the same scope without it to the same depth; `-- trace
//! DEFECT`: a shortest way to a violation. Prints rows of the page's tables.
#[path = "../tests/explore/mod.rs"]
mod explore;

use explore::scenarios::{Scenario, all_defects, all_sound};
use explore::search::{Explored, Limits, explore};
use std::time::Instant;

const USAGE: &str = "explore sound STATES, explore planted, or explore trace DEFECT";
/// Deeper than any search goes.
const NO_DEPTH: usize = 1_000;
/// States visited for a defect.
const STATES: usize = 6_000_000;

fn timed(scenario: &Scenario, limits: Limits) -> (Explored, f64) {
    let root = scenario.root();
    let start = Instant::now();
    let explored = explore(&root, limits);
    (explored, start.elapsed().as_secs_f64())
}

fn sound(states: usize) {
    println!("| scope | states | steps tried | every state to depth | all | chosen in | seconds |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for scenario in all_sound() {
        let limits = Limits {
            depth: NO_DEPTH,
            states,
        };
        let (explored, seconds) = timed(&scenario, limits);
        let Explored {
            states,
            transitions,
            depth,
            is_complete,
            with_choice,
            ..
        } = explored;
        let name = scenario.name;
        println!(
            "| {name} | {states} | {transitions} | {depth} | {is_complete} | {with_choice} | {seconds:.1} |"
        );
        if let Some(found) = explored.counterexample {
            println!(
                "BROKEN: {}\n  {}",
                found.violation,
                found.trace.join("\n  ")
            );
        }
    }
}

fn defects() {
    println!(
        "| planted | found at depth | states | seconds | broken | without it, to that depth |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for scenario in all_defects() {
        let limits = Limits {
            depth: scenario.depth,
            states: STATES,
        };
        let (explored, seconds) = timed(&scenario, limits);
        let name = scenario.name;
        let Some(found) = explored.counterexample else {
            let (states, depth) = (explored.states, explored.depth);
            println!("| {name} | not to depth {depth} | {states} | {seconds:.1} | | |");
            continue;
        };
        let same_depth = Limits {
            depth: found.depth,
            ..limits
        };
        let (sound, _) = timed(&scenario.sound(), same_depth);
        let verdict = sound
            .counterexample
            .map_or("nothing".to_owned(), |found| found.violation.to_string());
        println!(
            "| {name} | {} | {} | {seconds:.1} | {} | {verdict}, {} states |",
            found.depth, explored.states, found.violation, sound.states
        );
    }
}

fn trace(name: &str) {
    let scenarios = all_defects();
    let scenario = scenarios.iter().find(|s| s.name == name).expect(USAGE);
    let limits = Limits {
        depth: scenario.depth,
        states: STATES,
    };
    match timed(scenario, limits).0.counterexample {
        Some(found) => println!("{}\n  {}", found.violation, found.trace.join("\n  ")),
        None => println!("not found to depth {}", scenario.depth),
    }
}

fn main() {
    // A violation may be an assertion of the register: it is reported as such, without its message.
    std::panic::set_hook(Box::new(|_| {}));
    let strings: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = strings.iter().map(String::as_str).collect();
    match arguments[..] {
        ["sound", states] => sound(states.parse().expect(USAGE)),
        ["planted"] => defects(),
        ["trace", name] => trace(name),
        _ => println!("{USAGE}"),
    }
}
