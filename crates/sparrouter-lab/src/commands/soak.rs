//! `soak`: a long run, and whether memory or descriptors of a node grow in it.
use super::{CommandError, Outcome, output_folder, play_with_progress, program, read_scenario};
use clap::Args;
use sparrouter_lab::experiment::soak::{self, Growth};
use sparrouter_lab::report;
use std::path::PathBuf;

/// Play a scenario for long and tell what grows
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    program: String,
    #[arg(long, default_value_t = 10.0)]
    minutes: f64,
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(crate) fn run(arguments: Arguments) -> Result<Outcome, CommandError> {
    let mut scenario = read_scenario(&arguments.scenario)?;
    let program = program::resolve(&arguments.program)?;
    scenario.length_s = arguments.minutes * 60.0;
    let folder = output_folder(arguments.out, &format!("{}-soak", scenario.name));
    let run = play_with_progress(&scenario, &program, &folder)?;
    let page = report::write(&run, &folder)?;
    print!("{}", report::table(&run));
    let growth = soak::growth(&run);
    growth.iter().for_each(print_growth);
    println!("report: {}", page.display());
    let grows = growth.iter().any(Growth::grows);
    Ok(Outcome::passed_if(run.verdict.kept() && !grows))
}

fn print_growth(growth: &Growth) {
    let result = if growth.grows() { "GROWS" } else { "steady" };
    println!(
        "n{}: memory {:.1} to {:.1} MB, descriptors {:.0} to {:.0}: {result}",
        growth.node,
        growth.memory_mb.0,
        growth.memory_mb.1,
        growth.descriptors.0,
        growth.descriptors.1
    );
}
