//! `kills`: a scenario's rollout with the conductor killed at each point of its work.
use super::{
    CommandError, Outcome, output_folder, program, read_scenario, rules_column, shortened,
};
use clap::Args;
use sparrouter_lab::experiment::kills::{self, KillPoints, KilledRun};
use sparrouter_lab::rollout::Tools;
use std::path::PathBuf;

/// Play a scenario's change with the conductor ended before or after each of its writes and commands, one run a point
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    program: String,
    /// The first point
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=10_000))]
    from: u16,
    /// Only each so-manieth
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=1000))]
    step: u16,
    /// At most so many points
    #[arg(long, default_value_t = 200)]
    most: u16,
    /// The successor ends itself after as many again
    #[arg(long)]
    twice: bool,
    /// How the change ends where nobody is killed
    #[arg(long, default_value = "through", value_parser = ["through", "back"])]
    ends: String,
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
    let folder = output_folder(arguments.out, &format!("{}-kills", scenario.name));
    let points = KillPoints {
        from: arguments.from.into(),
        step: arguments.step.into(),
        most: arguments.most.into(),
        twice: arguments.twice,
    };
    println!(
        "{:<10}{:<10}{:>6}{:>8}{:>9}{:>9}{:>9}  {:<7}why",
        "point", "ended", "kills", "took s", "changed", "lost %", "no reply", "rules"
    );
    let (tools, jobs) = (Tools::own(), arguments.jobs);
    let all = kills::kills(
        &scenario, &program, &tools, points, jobs, &folder, print_line,
    );
    let reached: Vec<&KilledRun> = all.iter().filter(|k| k.reached()).collect();
    let right = reached
        .iter()
        .filter(|k| k.ended_as_expected(&arguments.ends))
        .count();
    println!("{right} of {} points ended right", reached.len());
    Ok(Outcome::passed_if(
        !reached.is_empty() && right == reached.len(),
    ))
}

fn print_line(killed: &KilledRun) {
    let point = format!("{:?}", killed.points);
    let run = match &killed.run {
        Ok(run) => run,
        Err(e) => {
            println!("{point:<10}{e}");
            return;
        }
    };
    let Some(change) = &run.rollout else { return };
    println!(
        "{point:<10}{:<10}{:>6}{:>8.1}{:>9}{:>9.2}{:>9}  {:<7}{}",
        change.how,
        change.kills,
        change.took_s,
        change.changed.len(),
        100.0 * (1.0 - run.tally.value),
        run.tally.total.unanswered,
        rules_column(run),
        shortened(&change.why),
    );
}
