//! Plays simulated days by seed and reports violations of rules:
//! `cargo run --release -p sparrouter-simulation --example hunt -- --days N --seed S`.
//!
//! | option | meaning |
//! | --- | --- |
//! | `--days N`, `--seed S` | how many days (20), and the first seed (1) |
//! | `--all` | go on after a day with violations |
//! | `--story` | print the log of each day, with each request |
//! | `--shrink` | print a smallest day that still has a violation |
//! | `--defect NAME` | plant a mistake first (`sparrouter_fleet::platform::defects`) |
//! | `--planted` | plant each mistake in turn, and print after how many days it was found |
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::faults::{self, Report, Scenario};
use sparrouter_simulation::runtime;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Instant;

/// The number behind an option.
fn number(arguments: &[String], name: &str) -> Option<u64> {
    let at = arguments.iter().position(|a| a == name)?;
    arguments.get(at + 1)?.parse().ok()
}

/// The mistake that `--defect` names.
fn named(arguments: &[String]) -> Option<Defect> {
    let at = arguments.iter().position(|a| a == "--defect")?;
    let name = arguments.get(at + 1)?;
    let found = Defect::ALL
        .iter()
        .copied()
        .find(|d| format!("{d:?}") == *name);
    Some(found.unwrap_or_else(|| panic!("no defect is called {name}: one of {:?}", Defect::ALL)))
}

/// Plays a day; `None` if the simulation itself ended by a panic, as when a node ended that it needs.
fn played(day: &Scenario) -> Option<Report> {
    catch_unwind(AssertUnwindSafe(|| runtime::play(faults::play(day)))).ok()
}

/// The first seed that finds a mistake, and the rules that were violated.
fn first_found(defect: Defect, first: u64, days: u64) -> Option<(u64, String)> {
    inject(Some(defect));
    let found = (first..first + days).find_map(|seed| {
        let Some(report) = played(&Scenario::from_seed(seed)) else {
            return Some((seed, "the day could not be played to its end".to_owned()));
        };
        let rules: BTreeSet<&str> = report
            .violations
            .iter()
            .filter_map(|b| b.split(':').next())
            .collect();
        (!rules.is_empty()).then(|| (seed, rules.into_iter().collect::<Vec<_>>().join(", ")))
    });
    inject(None);
    // The day must have no violation without the mistake.
    let (seed, rules) = found?;
    if played(&Scenario::from_seed(seed)).is_some_and(|sound| sound.violations.is_empty()) {
        return Some((seed, rules));
    }
    first_found(defect, seed + 1, (first + days).saturating_sub(seed + 1))
}

/// A smallest day that still has a violation: the arguments of `Scenario::only`, and a description.
fn smallest(day: &Scenario) -> String {
    let still = |d: &Scenario| played(d).is_none_or(|r| !r.violations.is_empty());
    let (indices, final_fault) = day.shrink(still);
    format!(
        "only {indices:?}, {final_fault}: {}",
        day.clone()
            .restricted_to(&indices, final_fault)
            .description()
    )
}

/// Plants each mistake, or only one, and prints a row for each.
fn table(first: u64, days: u64, one: Option<Defect>, shrink: bool) -> ExitCode {
    println!(
        "| defect | days until found | seconds | rules broken then |\n| --- | --- | --- | --- |"
    );
    let mut missed = 0;
    for defect in Defect::ALL
        .iter()
        .copied()
        .filter(|d| one.is_none_or(|o| o == *d))
    {
        let began = Instant::now();
        let found = first_found(defect, first, days);
        let took = began.elapsed().as_secs_f64();
        match found {
            Some((seed, rules)) if shrink => {
                inject(Some(defect));
                println!(
                    "{defect:?} from {seed} {}; then {rules}",
                    smallest(&Scenario::from_seed(seed))
                );
                inject(None);
            }
            Some((seed, rules)) => println!(
                "| {defect:?} | {} | {took:.1} | {rules} |",
                seed - first + 1
            ),
            None => {
                missed += 1;
                println!("| {defect:?} | not in {days} | {took:.1} | |");
            }
        }
    }
    if missed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    runtime::collect_panics();
    let arguments: Vec<String> = std::env::args().collect();
    let days = number(&arguments, "--days").unwrap_or(20);
    let first = number(&arguments, "--seed").unwrap_or(1);
    let shrink = arguments.iter().any(|a| a == "--shrink");
    if arguments.iter().any(|a| a == "--planted") {
        return table(first, days, named(&arguments), shrink);
    }
    inject(named(&arguments));
    let print_log = arguments.iter().any(|a| a == "--story");
    let go_on = arguments.iter().any(|a| a == "--all");
    let began = Instant::now();
    let (mut broken, mut wasted, mut sent, mut served) = (0, 0, 0u64, 0u64);
    for seed in first..first + days {
        let day = Scenario {
            verbose: print_log,
            ..Scenario::from_seed(seed)
        };
        let Some(report) = played(&day) else {
            broken += 1;
            println!(
                "seed {seed}: the day could not be played to its end: {:?}",
                runtime::panics()
            );
            continue;
        };
        sent += u64::from(report.sent);
        served += u64::from(report.served);
        wasted += report.waste.len();
        if !report.violations.is_empty() || print_log {
            broken += u64::from(!report.violations.is_empty());
            println!(
                "seed {seed}: {:?}, final fault {:?}",
                day.faults, day.final_fault
            );
            if shrink && !report.violations.is_empty() {
                println!("  {}", smallest(&Scenario::from_seed(seed)));
            }
            report
                .violations
                .iter()
                .take(6)
                .for_each(|b| println!("  {b}"));
            if print_log || !go_on {
                report.log.iter().for_each(|line| println!("  {line}"));
            }
            if !go_on {
                break;
            }
        }
        report
            .waste
            .iter()
            .for_each(|w| println!("seed {seed}: {w}"));
    }
    println!(
        "{days} days from seed {first}: {broken} broken, {wasted} loads too many, {served} of {sent} requests served, {:.1} s",
        began.elapsed().as_secs_f64()
    );
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
