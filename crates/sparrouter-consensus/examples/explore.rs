//! Exhaustive exploration of small groups.
//!
//! `cargo run --release -p sparrouter-consensus --example explore -- sound STATES`: each scope of the sound code as deep
//! as so many states go; `-- planted`: each planted defect, and the same scope without it to the same depth; `-- trace
//! DEFECT`: the shortest way to a breach. Prints rows of the page's tables.
#[path = "../tests/explore/mod.rs"]
mod explore;

use explore::scenarios::{Scenario, all_planted, all_sound};
use explore::search::{Explored, Limits, explore};
use std::time::Instant;

const USAGE: &str = "explore sound STATES, explore planted, or explore trace DEFECT";
/// Deeper than any search goes.
const NO_DEPTH: usize = 1_000;
/// States kept for a planted defect.
const STATES: usize = 6_000_000;

fn timed(scenario: &Scenario, limits: Limits) -> (Explored, f64) {
    let root = scenario.root();
    let began = Instant::now();
    let explored = explore(&root, limits);
    (explored, began.elapsed().as_secs_f64())
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
            complete,
            with_choice,
            ..
        } = explored;
        let name = scenario.name;
        println!(
            "| {name} | {states} | {transitions} | {depth} | {complete} | {with_choice} | {seconds:.1} |"
        );
        if let Some(found) = explored.found {
            println!("BROKEN: {}\n  {}", found.what, found.trace.join("\n  "));
        }
    }
}

fn planted() {
    println!(
        "| planted | found at depth | states | seconds | broken | without it, to that depth |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for scenario in all_planted() {
        let limits = Limits {
            depth: scenario.depth,
            states: STATES,
        };
        let (explored, seconds) = timed(&scenario, limits);
        let name = scenario.name;
        let Some(found) = explored.found else {
            let (states, depth) = (explored.states, explored.depth);
            println!("| {name} | not to depth {depth} | {states} | {seconds:.1} | | |");
            continue;
        };
        let same_depth = Limits {
            depth: found.depth,
            ..limits
        };
        let (sound, _) = timed(&scenario.sound(), same_depth);
        let verdict = sound.found.map_or("nothing".to_owned(), |f| f.what);
        println!(
            "| {name} | {} | {} | {seconds:.1} | {} | {verdict}, {} states |",
            found.depth, explored.states, found.what, sound.states
        );
    }
}

fn trace(name: &str) {
    let scenarios = all_planted();
    let scenario = scenarios.iter().find(|s| s.name == name).expect(USAGE);
    let limits = Limits {
        depth: scenario.depth,
        states: STATES,
    };
    match timed(scenario, limits).0.found {
        Some(found) => println!("{}\n  {}", found.what, found.trace.join("\n  ")),
        None => println!("not found to depth {}", scenario.depth),
    }
}

fn main() {
    // A breach may be an assertion of the register: it is told as such, without its message.
    std::panic::set_hook(Box::new(|_| {}));
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["sound", states] => sound(states.parse().expect(USAGE)),
        ["planted"] => planted(),
        ["trace", name] => trace(name),
        _ => println!("{USAGE}"),
    }
}
