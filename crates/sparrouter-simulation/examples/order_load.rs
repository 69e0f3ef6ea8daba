//! Operators at once over a core with faults, seed after seed, each history checked for linearizability:
//! `cargo run --release -p sparrouter-simulation --example order_load -- FIRST COUNT [DEFECT]`.
//!
//! With DEFECT that defect is injected, to see which seeds find it.
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::{order_load, runtime};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let [first, count] = numbers[..] else {
        eprintln!("give the first seed and how many");
        return ExitCode::FAILURE;
    };
    let named = std::env::args().nth(3);
    let defect = named.map(|name| {
        let known = Defect::ALL
            .iter()
            .copied()
            .find(|d| format!("{d:?}") == name);
        known.unwrap_or_else(|| panic!("no defect is called {name}: one of {:?}", Defect::ALL))
    });
    inject(defect);
    let began = Instant::now();
    let (mut calls, mut acknowledged, mut refused, mut unclear) = (0, 0, 0, 0);
    let mut broken = 0;
    for seed in first..first + count {
        let report = runtime::play(order_load::play(seed));
        calls += report.calls;
        acknowledged += report.acknowledged;
        refused += report.rejected;
        unclear += report.unclear;
        if !report.violations.is_empty() {
            broken += 1;
            println!("seed {seed}: {}", report.violations.join("; "));
        }
    }
    println!(
        "{count} storms, {broken} broken: {calls} calls, {acknowledged} acknowledged, {refused} refused, \
         {unclear} without a clear answer, in {:.0} s",
        began.elapsed().as_secs_f64()
    );
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
