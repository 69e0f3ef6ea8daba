//! `check`: what a scenario would play, without starting anything.
use super::{CommandError, Outcome, read_scenario};
use clap::Args;
use sparrouter_lab::SECOND;
use sparrouter_lab::scenario::{arrivals::Arrivals, schedule};
use std::path::PathBuf;

/// Read a scenario and say what would be played; starts nothing
#[derive(Args)]
pub(crate) struct Arguments {
    scenario: PathBuf,
}

pub(crate) fn run(arguments: &Arguments) -> Result<Outcome, CommandError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let schedule = schedule::draw(&scenario);
    let arrivals = Arrivals::new(&scenario).count();
    println!(
        "{}: {} nodes, {} cache servers ({} in all), {arrivals} arrivals in {} s, {} steps of faults",
        scenario.name,
        scenario.nodes.count,
        scenario.caches.count,
        schedule.caches,
        scenario.length_s,
        schedule.steps.len()
    );
    for step in &schedule.steps {
        println!("{:>10.3} s  {:?}", step.at as f64 / SECOND as f64, step.act);
    }
    Ok(Outcome::Passed)
}
