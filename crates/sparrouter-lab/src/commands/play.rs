//! `play`: one run of a scenario, its verdict and its report.
use super::{CommandError, Outcome, output_folder, play_with_progress, program, read_scenario};
use clap::Args;
use sparrouter_lab::report;
use std::path::PathBuf;

/// Play a scenario once, judge the rules, write run.json and report.html
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    program: String,
    /// Where the run is left; otherwise runs/NAME
    #[arg(long)]
    out: Option<PathBuf>,
    /// Play another seed than the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Play at another rate, invocations a second
    #[arg(long)]
    rate: Option<f64>,
}

pub(crate) fn run(arguments: Arguments) -> Result<Outcome, CommandError> {
    let mut scenario = read_scenario(&arguments.scenario)?;
    let program = program::resolve(&arguments.program)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    scenario.load.rate_per_s = arguments.rate.unwrap_or(scenario.load.rate_per_s);
    let folder = output_folder(arguments.out, &scenario.name);
    let run = play_with_progress(&scenario, &program, &folder)?;
    let page = report::write(&run, &folder)?;
    println!("{}report: {}", report::table(&run), page.display());
    Ok(Outcome::passed_if(run.verdict.kept() && run.tally.valid()))
}
