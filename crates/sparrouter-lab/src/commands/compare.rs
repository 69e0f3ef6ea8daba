//! `compare`: two programs in turn on one scenario, and the ratio of each pair.
use super::{CommandError, Outcome, ProgressLog, output_folder, program, read_scenario};
use clap::Args;
use sparrouter_lab::experiment::compare::{self, Row};
use sparrouter_lab::play::Run;
use std::path::PathBuf;

/// Play two programs in turn and give the ratio of each pair
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    a: String,
    #[arg(long, default_value = "relay")]
    b: String,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=50))]
    pairs: u16,
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(crate) fn run(arguments: Arguments, log: ProgressLog) -> Result<Outcome, CommandError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let folder = output_folder(arguments.out, &format!("{}-compare", scenario.name));
    let a = program::resolve(&arguments.a)?;
    let b = program::resolve(&arguments.b)?;
    let mut all_passed = true;
    let on_run = |run: &Run| {
        all_passed &= run.verdict.kept() && run.tally.valid();
        log.line(&format!(
            "{}: {:.4} in time, p99 {:.2} ms",
            run.program,
            run.tally.good(),
            run.tally.latency_ms.p99
        ));
    };
    let pair_count = usize::from(arguments.pairs);
    let pairs = compare::compare(&scenario, &a, &b, pair_count, &folder, on_run);
    println!("A {}, B {}; {}", a.name(), b.name(), scenario.name);
    println!(
        "{:<20}{:>11}{:>11}{:>9}{:>9}{:>9}",
        "", "A", "B", "A/B min", "median", "max"
    );
    for row in compare::rows(&pairs?) {
        print_row(&row);
    }
    Ok(Outcome::passed_if(all_passed))
}

fn print_row(row: &Row) {
    let ratios = row.ratios();
    let ratio = |index: usize| ratios.get(index).copied().unwrap_or(f64::NAN);
    let lowest = ratio(0);
    let middle = ratio(ratios.len() / 2);
    let highest = ratio(ratios.len().saturating_sub(1));
    let (a, b) = (median(&row.a), median(&row.b));
    println!(
        "{:<20}{a:>11.3}{b:>11.3}{lowest:>9.3}{middle:>9.3}{highest:>9.3}  {}",
        row.name,
        row.verdict()
    );
}

/// The upper median of at least one value.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
