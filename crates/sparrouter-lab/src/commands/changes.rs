//! `changes`: a scenario's rollout with each bad version, in each way of rolling out.
use super::{
    CommandError, Outcome, output_folder, program, read_scenario, rules_column, shortened,
};
use clap::Args;
use sparrouter_lab::experiment::changes::{self, Case, PlayedCase};
use sparrouter_lab::play::Run;
use sparrouter_lab::scenario::rollout::{Defect, RolloutMode};
use std::path::PathBuf;

/// Play a scenario's change in stages with each bad version: by the conductor, plainly, and all at once
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    program: String,
    /// Only these: sound, errs, slow, ..., hasty, greedy, refused
    #[arg(long, value_delimiter = ',')]
    cases: Vec<String>,
    /// Only these: staged, plain, at-once
    #[arg(long, value_delimiter = ',', value_enum)]
    hows: Vec<RolloutMode>,
    /// So many at once
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(crate) fn run(arguments: Arguments) -> Result<Outcome, CommandError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let program = program::resolve(&arguments.program)?;
    if scenario.rollout.is_none() {
        return Err(CommandError::MissingTable {
            scenario: scenario.name,
            table: "rollout",
        });
    }
    let cases = selected_cases(&arguments.cases)?;
    let ways = if arguments.hows.is_empty() {
        vec![RolloutMode::Staged, RolloutMode::Plain, RolloutMode::AtOnce]
    } else {
        arguments.hows
    };
    let folder = output_folder(arguments.out, &format!("{}-changes", scenario.name));
    println!(
        "{:<13}{:<9}{:<10}{:>6}{:>8}{:>9}{:>9}  {:<7}why",
        "case", "way", "ended", "stage", "took s", "changed", "lost %", "rules"
    );
    let jobs = arguments.jobs;
    let all = changes::changes(
        &scenario, &program, &cases, &ways, jobs, &folder, print_line,
    );
    Ok(Outcome::passed_if(all.iter().all(passed)))
}

/// The cases of these names, or all where none is named.
fn selected_cases(names: &[String]) -> Result<Vec<Case>, CommandError> {
    let known = Case::all();
    if names.is_empty() {
        return Ok(known);
    }
    let find = |name: &String| {
        known
            .iter()
            .copied()
            .find(|case| case.name() == *name)
            .ok_or_else(|| CommandError::UnknownCase {
                name: name.clone(),
                known: known.iter().map(Case::name).collect(),
            })
    };
    names.iter().map(find).collect()
}

fn print_line(played: &PlayedCase) {
    let case = played.case.name();
    let way = format!("{:?}", played.how).to_lowercase();
    match &played.run {
        Ok(run) => print_run(&case, &way, run),
        Err(e) => println!("{case:<13}{way:<9}{e}"),
    }
}

fn print_run(case: &str, way: &str, run: &Run) {
    let change = run.rollout.as_ref();
    let (ending, reason) = change.map_or(("", ""), |c| (&c.how, &c.why));
    println!(
        "{case:<13}{way:<9}{ending:<10}{:>6}{:>8.1}{:>9}{:>9.2}  {:<7}{}",
        change.map_or(0, |c| c.stages),
        change.map_or(0.0, |c| c.took_s),
        change.map_or(0, |c| c.changed.len()),
        100.0 * (1.0 - run.tally.value),
        rules_column(run),
        shortened(reason),
    );
}

/// A bad version may break rules; a sound one may not, and every run must be valid.
fn passed(played: &PlayedCase) -> bool {
    let Ok(run) = &played.run else {
        return false;
    };
    let sound = played.case == Case::Defect(Defect::None);
    run.tally.valid() && (!sound || run.verdict.kept())
}
