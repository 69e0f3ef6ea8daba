//! One module for each subcommand, and what they share: reading a scenario, naming a program, running one play.
pub(crate) mod changes;
pub(crate) mod check;
pub(crate) mod compare;
mod error;
pub(crate) mod kills;
pub(crate) mod play;
mod program;
pub(crate) mod report;
pub(crate) mod shares;
pub(crate) mod soak;
pub(crate) mod sweep;

pub(crate) use error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use sparrouter_lab::SECOND;
use sparrouter_lab::play::{Program, Run};
use sparrouter_lab::scenario::Scenario;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a command found, as its exit code tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// All rules kept and the run valid.
    Passed,
    /// A rule broken, or the run not valid.
    Failed,
}

impl Outcome {
    fn passed_if(passed: bool) -> Outcome {
        if passed {
            Outcome::Passed
        } else {
            Outcome::Failed
        }
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        match outcome {
            Outcome::Passed => ExitCode::SUCCESS,
            Outcome::Failed => ExitCode::FAILURE,
        }
    }
}

/// Progress lines on standard error, printed only where somebody reads them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressLog {
    enabled: bool,
}

impl ProgressLog {
    /// Enabled on a terminal, and elsewhere only with `verbose`.
    pub(crate) fn new(verbose: bool) -> ProgressLog {
        ProgressLog {
            enabled: verbose || std::io::stderr().is_terminal(),
        }
    }

    fn line(self, line: &str) {
        if self.enabled {
            eprintln!("{line}");
        }
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, CommandError> {
    Ok(Scenario::read(path)?.with_defaults())
}

/// The folder that takes a command's files: the one asked for, or `runs/NAME`.
fn output_folder(requested: Option<PathBuf>, name: &str) -> PathBuf {
    requested.unwrap_or_else(|| Path::new("runs").join(name))
}

/// Plays once, with a progress bar on a terminal.
fn play_with_progress(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
) -> Result<Run, CommandError> {
    let bar = if std::io::stderr().is_terminal() {
        let style =
            ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s").expect("a fixed template");
        ProgressBar::new(scenario.length_s.ceil() as u64)
            .with_style(style)
            .with_message(scenario.name.clone())
    } else {
        ProgressBar::hidden()
    };
    let run = sparrouter_lab::play::play(scenario, program, folder, |elapsed| {
        bar.set_position(elapsed / SECOND)
    });
    bar.finish_and_clear();
    Ok(run?)
}

/// The run's verdict on the rules as a column of a table.
fn rules_column(run: &Run) -> &'static str {
    if run.verdict.kept() { "kept" } else { "BROKEN" }
}

/// The start of a reason, short enough for the last column of a table.
fn shortened(reason: &str) -> String {
    reason.chars().take(70).collect()
}
