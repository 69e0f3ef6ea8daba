//! `shares`: how well all nodes together keep common limits, with leases and without, phase by phase.
use super::{
    CommandError, Outcome, output_folder, play_with_progress, program, read_scenario, rules_column,
};
use clap::Args;
use sparrouter_lab::experiment::shares::{self, Phase, Second};
use sparrouter_lab::play::{Program, Run};
use sparrouter_lab::report::{self, plots, plots::Curve};
use sparrouter_lab::scenario::{Scenario, Shares};
use std::path::{Path, PathBuf};

/// Play a scenario with common limits and tell how well all nodes together kept them, phase by phase
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
    #[arg(long, default_value = "node")]
    program: String,
    /// Play other seeds than the scenario's, one run each
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(crate) fn run(arguments: Arguments) -> Result<Outcome, CommandError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let program = program::resolve(&arguments.program)?;
    let Some(settings) = scenario.shares else {
        return Err(CommandError::MissingTable {
            scenario: scenario.name,
            table: "shares",
        });
    };
    let seeds = if arguments.seeds.is_empty() {
        vec![scenario.seed]
    } else {
        arguments.seeds
    };
    let folder = output_folder(arguments.out, &format!("{}-shares", scenario.name));
    println!(
        "{:<6}{:<7}{:<10}{:>7}{:>7}{:>7}{:>7}{:>7}{:>9}  phase",
        "seed", "way", "limit", "from s", "over", "parts", "used", "Jain", "settled"
    );
    let mut all_passed = true;
    for seed in seeds {
        let mut curves: Vec<Vec<Curve>> = vec![Vec::new(); scenario.tenant.len()];
        for notes in [true, false] {
            let mut scenario = scenario.clone();
            scenario.seed = seed;
            scenario.shares = Some(Shares { notes, ..settings });
            let trial = Trial {
                scenario,
                way: if notes { "leases" } else { "count" },
                folder: &folder,
            };
            all_passed &= trial.play(&program, &mut curves)?;
        }
    }
    Ok(Outcome::passed_if(all_passed))
}

/// One run of one seed, with leases or with a fixed quota for each node.
struct Trial<'a> {
    scenario: Scenario,
    way: &'static str,
    folder: &'a Path,
}

impl Trial<'_> {
    /// Adds this run's curves to each tenant's; true where the run kept the rules and is valid.
    fn play(&self, program: &Program, curves: &mut [Vec<Curve>]) -> Result<bool, CommandError> {
        let (seed, way) = (self.scenario.seed, self.way);
        let run_folder = self.folder.join(format!("{seed}-{way}"));
        let run = play_with_progress(&self.scenario, program, &run_folder)?;
        report::write(&run, &run_folder)?;
        let reports = shares::read(&run_folder, self.scenario.most_nodes());
        for (tenant, drawn) in self.scenario.tenant.iter().zip(curves) {
            let seconds = shares::seconds(
                &reports,
                &tenant.name,
                run.began_unix_ms,
                self.scenario.length_s,
            );
            write_seconds(&run_folder.join(format!("{}.jsonl", tenant.name)), &seconds)?;
            self.plot(&run, &tenant.name, &seconds, drawn)?;
            for phase in shares::phases(&self.scenario, &seconds) {
                self.print_phase(&tenant.name, &phase);
            }
        }
        println!(
            "{seed:<6}{way:<7}rules {}, value in time {:.4}",
            rules_column(&run),
            run.tally.value
        );
        Ok(run.verdict.kept() && run.tally.valid())
    }

    /// Draws the tenant's arrivals once, and what each way let in.
    fn plot(
        &self,
        run: &Run,
        tenant: &str,
        seconds: &[Second],
        drawn: &mut Vec<Curve>,
    ) -> Result<(), CommandError> {
        if drawn.is_empty() {
            drawn.push(curve("arrived", seconds, |x| x.arrived.min(2.0)));
        }
        drawn.push(curve(&format!("within, {}", self.way), seconds, |x| {
            x.within
        }));
        let picture = plots::limit(run, drawn);
        let file = format!("{}-{tenant}.svg", self.scenario.seed);
        std::fs::write(self.folder.join(file), picture).map_err(CommandError::WriteFile)
    }

    fn print_phase(&self, tenant: &str, phase: &Phase) {
        println!(
            "{:<6}{:<7}{tenant:<10}{:>7.1}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>9}  {}",
            self.scenario.seed,
            self.way,
            phase.from_s,
            phase.over,
            phase.parts,
            phase.used,
            phase.jain,
            phase.settled_s.map_or("-".into(), |s| format!("{s:.1} s")),
            phase.what
        );
    }
}

fn curve(name: &str, seconds: &[Second], value: fn(&Second) -> f64) -> Curve {
    let points = seconds.iter().map(|x| (x.at_s + 0.5, value(x)));
    (name.to_string(), points.collect())
}

/// One JSON object a line.
fn write_seconds(file: &Path, seconds: &[Second]) -> Result<(), CommandError> {
    let lines: Vec<String> = seconds
        .iter()
        .filter_map(|second| serde_json::to_string(second).ok())
        .collect();
    std::fs::write(file, lines.join("\n")).map_err(CommandError::WriteFile)
}
