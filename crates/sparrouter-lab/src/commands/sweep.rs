//! `sweep`: the highest rate that a program sustains, for each value of one setting.
use super::{CommandError, Outcome, ProgressLog, output_folder, program, read_scenario};
use clap::Args;
use sparrouter_lab::experiment::sweep::{self, SweepParameter, SweepStep};
use sparrouter_lab::scenario::Scenario;
use std::path::PathBuf;

/// Step the rate up to the highest at which 99.9 % are within the latency objective
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    program: String,
    /// Find a knee for each value of this
    #[arg(long, requires = "values")]
    by: Option<SweepParameter>,
    #[arg(long, value_delimiter = ',')]
    values: Vec<usize>,
    /// Close in until two rates differ by no more than this ratio
    #[arg(long, default_value_t = 1.1)]
    within: f64,
    #[arg(long)]
    out: Option<PathBuf>,
}

/// One value of the varied setting and the scenario with it.
struct Variant {
    value: String,
    scenario: Scenario,
}

pub(crate) fn run(arguments: Arguments, log: ProgressLog) -> Result<Outcome, CommandError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let program = program::resolve(&arguments.program)?;
    if arguments.within <= 1.0 {
        return Err(CommandError::RatioTooSmall(arguments.within));
    }
    let folder = output_folder(arguments.out, &format!("{}-sweep", scenario.name));
    let setting = arguments
        .by
        .map_or("".into(), |by| format!("{by:?}").to_lowercase());
    println!(
        "{:<8}{:>11}{:>9}{:>9}{:>9}{:>11}{:>9}",
        setting, "knee /s", "p50 ms", "p99", "p99.9", "us a piece", "MB"
    );
    for variant in variants(&scenario, arguments.by, &arguments.values) {
        let value = &variant.value;
        let steps = sweep::sweep(
            &variant.scenario,
            &program,
            arguments.within,
            &folder.join(value),
            |step| log_step(log, value, step),
        )?;
        print_knee(value, &steps);
    }
    Ok(Outcome::Passed)
}

fn variants(scenario: &Scenario, by: Option<SweepParameter>, values: &[usize]) -> Vec<Variant> {
    let Some(by) = by else {
        return vec![Variant {
            value: "-".into(),
            scenario: scenario.clone(),
        }];
    };
    let variant = |value: &usize| Variant {
        value: value.to_string(),
        scenario: sweep::with(scenario, by, *value),
    };
    values.iter().map(variant).collect()
}

fn log_step(log: ProgressLog, value: &str, step: &SweepStep) {
    let run = &step.run;
    let result = if step.sustained { "held" } else { "not held" };
    log.line(&format!(
        "{value}: {:.0}/s {result}: {:.5} in time, p99 {:.2} ms, {} breaches, late p99 {:.2} ms",
        step.rate_per_s,
        run.tally.good(),
        run.tally.latency_ms.p99,
        run.verdict.breaches.len(),
        run.tally.late_ms.p99
    ));
}

fn print_knee(value: &str, steps: &[SweepStep]) {
    let Some(knee) = sweep::knee(steps) else {
        println!("{value:<8}no rate held");
        return;
    };
    let latency = &knee.run.tally.latency_ms;
    println!(
        "{value:<8}{:>11.0}{:>9.2}{:>9.2}{:>9.2}{:>11.1}{:>9.1}",
        knee.rate_per_s,
        latency.p50,
        latency.p99,
        latency.p999,
        knee.run.cpu_us(),
        knee.run.memory_mb
    );
}
