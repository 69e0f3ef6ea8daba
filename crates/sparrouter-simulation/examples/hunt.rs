//! Plays simulated days by seed and reports violations of rules:
//! `cargo run --release -p sparrouter-simulation --example hunt -- --days N --seed S`.
//!
//! | option | meaning |
//! | --- | --- |
//! | `--days N`, `--seed S` | number of days (20), and the first seed (1) |
//! | `--all` | go on after a day with violations |
//! | `--scenario` | print the event trace of each day, with each request |
//! | `--shrink` | print a smallest day that still has a violation |
//! | `--strict` | play each day under the strictest rules |
//! | `--departures` | play each day with servers that leave right beside faults of nodes, and that break off failures |
//! | `--hot` | play each day with tenants far above their limits, which hold without overage or grace |
//! | `--defect NAME` | inject a defect first (`sparrouter_fleet::platform::defects`) |
//! | `--planted` | inject each defect in turn, and print after how many days it was found |

use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::runtime;
use sparrouter_simulation::scenario::{self, Report, Restriction, Scenario};
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Instant;

/// Violations that are printed of a day.
const PRINTED_VIOLATIONS: usize = 6;

struct Options {
    first_seed: u64,
    days: u64,
    defect: Option<Defect>,
    all_defects: bool,
    shrink: bool,
    strict: bool,
    hot: bool,
    departures: bool,
    print_trace: bool,
    go_on: bool,
}

impl Options {
    fn parse(arguments: &[String]) -> Options {
        let has = |name: &str| arguments.iter().any(|argument| argument == name);
        let value = |name: &str| {
            let index = arguments.iter().position(|argument| argument == name)?;
            arguments.get(index + 1)
        };
        let number = |name: &str| value(name).and_then(|text| text.parse().ok());
        Options {
            first_seed: number("--seed").unwrap_or(1),
            days: number("--days").unwrap_or(20),
            defect: value("--defect").map(|name| defect_named(name)),
            all_defects: has("--planted"),
            shrink: has("--shrink"),
            strict: has("--strict"),
            hot: has("--hot"),
            departures: has("--departures"),
            print_trace: has("--story"),
            go_on: has("--all"),
        }
    }

    /// The day of a seed.
    fn scenario(&self, seed: u64) -> Scenario {
        let mut scenario = Scenario::from_seed(seed);
        if self.strict {
            scenario = scenario.under_strictest_rules();
        }
        if self.hot {
            scenario = scenario.with_hot_tenants();
        }
        if self.departures {
            scenario = scenario.with_departures();
        }
        scenario
    }

    fn seeds(&self) -> std::ops::Range<u64> {
        self.first_seed..self.first_seed + self.days
    }
}

fn defect_named(name: &str) -> Defect {
    let defect = Defect::ALL.iter().find(|d| format!("{d:?}") == name);
    *defect.unwrap_or_else(|| panic!("no defect is called {name}: one of {:?}", Defect::ALL))
}

/// Plays a day; `None` if the simulation itself ended by a panic, as when a node ended that it needs.
fn play(scenario: &Scenario) -> Option<Report> {
    let played = catch_unwind(AssertUnwindSafe(|| runtime::play(scenario::play(scenario))));
    played.ok()
}

/// A seed that finds a defect, and the rules that are violated then.
struct Finding {
    seed: u64,
    rules: String,
}

/// The first seed whose day has a violation with the defect, and none without it.
fn find_defect(defect: Defect, options: &Options) -> Option<Finding> {
    options.seeds().find_map(|seed| {
        inject(Some(defect));
        let finding = violated_rules(&options.scenario(seed)).map(|rules| Finding { seed, rules });
        inject(None);
        finding.filter(|_| {
            let without = play(&options.scenario(seed));
            without.is_some_and(|report| report.violations.is_empty())
        })
    })
}

/// The rules that a day violates; `None` if it violates none.
fn violated_rules(scenario: &Scenario) -> Option<String> {
    let Some(report) = play(scenario) else {
        return Some("the day could not be played to its end".to_owned());
    };
    let names = report.violations.iter().filter_map(|v| v.split(':').next());
    let rules: BTreeSet<&str> = names.collect();
    (!rules.is_empty()).then(|| rules.into_iter().collect::<Vec<_>>().join(", "))
}

/// A smallest day that still has a violation: the arguments of `Scenario::restricted_to`, and a description.
fn smallest(scenario: &Scenario) -> String {
    let still_fails =
        |smaller: &Scenario| play(smaller).is_none_or(|report| !report.violations.is_empty());
    let Restriction {
        faults,
        final_fault,
    } = scenario.shrink(still_fails);
    let description = scenario
        .clone()
        .restricted_to(&faults, final_fault)
        .description();
    format!("only {faults:?}, {final_fault}: {description}")
}

/// Injects each defect, or only one, and prints a row for each. Returns whether all were found.
fn find_defects(options: &Options) -> bool {
    println!(
        "| defect | days until found | seconds | rules violated then |\n| --- | --- | --- | --- |"
    );
    let mut all_found = true;
    let is_wanted = |defect: &&Defect| options.defect.is_none_or(|only| only == **defect);
    for defect in Defect::ALL.iter().filter(is_wanted).copied() {
        let started_at = Instant::now();
        let finding = find_defect(defect, options);
        let seconds = started_at.elapsed().as_secs_f64();
        match finding {
            Some(Finding { seed, rules }) if options.shrink => {
                inject(Some(defect));
                let smallest = smallest(&options.scenario(seed));
                println!("{defect:?} from {seed} {smallest}; then {rules}");
                inject(None);
            }
            Some(Finding { seed, rules }) => {
                let days = seed - options.first_seed + 1;
                println!("| {defect:?} | {days} | {seconds:.1} | {rules} |");
            }
            None => {
                all_found = false;
                println!("| {defect:?} | not in {} | {seconds:.1} | |", options.days);
            }
        }
    }
    all_found
}

/// Prints what a day is about, its violations, and its trace if asked for.
fn print_day(scenario: &Scenario, report: &Report, options: &Options) {
    println!(
        "seed {}: {:?}, final fault {:?}",
        scenario.seed, scenario.faults, scenario.final_fault
    );
    if options.shrink && !report.violations.is_empty() {
        println!("  {}", smallest(scenario));
    }
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    if options.print_trace || !options.go_on {
        for line in &report.trace {
            println!("  {line}");
        }
    }
}

#[derive(Default)]
struct Totals {
    days_with_violations: u64,
    repeated_loads: usize,
    sent: u64,
    served: u64,
}

/// Plays the days, up to the first with a violation or a printed trace unless it is to go on.
fn play_days(options: &Options) -> Totals {
    let mut totals = Totals::default();
    for seed in options.seeds() {
        let scenario = Scenario {
            verbose: options.print_trace,
            ..options.scenario(seed)
        };
        let Some(report) = play(&scenario) else {
            totals.days_with_violations += 1;
            let panics = runtime::take_panics();
            println!("seed {seed}: the day could not be played to its end: {panics:?}");
            continue;
        };
        totals.sent += u64::from(report.sent);
        totals.served += u64::from(report.served);
        totals.repeated_loads += report.repeated_loads.len();
        let is_violated = !report.violations.is_empty();
        totals.days_with_violations += u64::from(is_violated);
        if is_violated || options.print_trace {
            print_day(&scenario, &report, options);
            if !options.go_on {
                break;
            }
        }
        for load in &report.repeated_loads {
            println!("seed {seed}: {load}");
        }
    }
    totals
}

fn main() -> ExitCode {
    runtime::collect_panics();
    let arguments: Vec<String> = std::env::args().collect();
    let options = Options::parse(&arguments);
    if options.all_defects {
        return match find_defects(&options) {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        };
    }
    inject(options.defect);
    let started_at = Instant::now();
    let totals = play_days(&options);
    println!(
        "{} days from seed {}: {} with violations, {} repeated loads, {} of {} requests served, {:.1} s",
        options.days,
        options.first_seed,
        totals.days_with_violations,
        totals.repeated_loads,
        totals.served,
        totals.sent,
        started_at.elapsed().as_secs_f64()
    );
    if totals.days_with_violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
