//! `report`: the page of an earlier run, written again.
use super::{CommandError, Outcome};
use clap::Args;
use sparrouter_lab::report;
use std::path::{Path, PathBuf};

/// Write a run's page anew from its run.json
#[derive(Args)]
pub(crate) struct Arguments {
    run: PathBuf,
}

pub(crate) fn run(arguments: Arguments) -> Result<Outcome, CommandError> {
    let path = arguments.run;
    let folder = if path.is_dir() {
        path.clone()
    } else {
        path.parent().unwrap_or(Path::new(".")).into()
    };
    let run = report::read(&path)?;
    let page = report::write(&run, &folder)?;
    println!("{}report: {}", report::table(&run), page.display());
    Ok(Outcome::passed_if(run.verdict.kept()))
}
