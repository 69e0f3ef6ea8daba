//! Finds the knee: the highest rate at which nearly all are answered within the latency objective.
use crate::play::{Program, Run, RunError, play};
use crate::scenario::Scenario;
use std::path::Path;

/// Part of the invocations that must be within the objective.
pub const NEARLY_ALL: f64 = 0.999;

/// What is changed beside the rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum SweepParameter {
    /// The number of cache servers.
    Caches,
    /// The number of nodes.
    Nodes,
    /// The number of client connections.
    Connections,
}

/// One step: its rate, its run, and whether it held.
pub struct SweepStep {
    /// Arrivals a second.
    pub rate_per_s: f64,
    /// The run at that rate.
    pub run: Run,
    /// It kept the rules and served what arrived.
    pub sustained: bool,
}

/// The scenario with one setting at another value.
pub fn with(scenario: &Scenario, by: SweepParameter, value: usize) -> Scenario {
    let mut s = scenario.clone();
    match by {
        SweepParameter::Caches => s.caches.count = value,
        SweepParameter::Nodes => s.nodes.count = value,
        SweepParameter::Connections => s.load.connections = value,
    }
    s
}

/// A step held where it was valid, kept the rules and was in time for nearly all.
fn is_sustained(run: &Run) -> bool {
    run.tally.good() >= NEARLY_ALL && run.verdict.kept()
}

/// Grows the rate by half until a step does not hold, then closes in to `within` (a ratio above 1). Gives
/// all steps; the knee is the highest that held. A step is tried twice before it counts as not held: the
/// machine is shared, and one stall would end the search.
///
/// # Errors
///
/// A run cannot be played.
pub fn sweep(
    scenario: &Scenario,
    program: &Program,
    within: f64,
    folder: &Path,
    mut done: impl FnMut(&SweepStep),
) -> Result<Vec<SweepStep>, RunError> {
    let mut steps: Vec<SweepStep> = Vec::new();
    let (mut low, mut high) = (0.0, f64::INFINITY);
    let mut rate = scenario.load.rate_per_s;
    while high / f64::max(low, 1e-9) > within && steps.len() < 40 {
        let mut s = scenario.clone();
        s.load.rate_per_s = rate;
        let mut run = play(
            &s,
            program,
            &folder.join(format!("step{}", steps.len())),
            |_| {},
        )?;
        if !is_sustained(&run) {
            run = play(
                &s,
                program,
                &folder.join(format!("step{}-again", steps.len())),
                |_| {},
            )?;
        }
        let step = SweepStep {
            rate_per_s: rate,
            sustained: is_sustained(&run),
            run,
        };
        done(&step);
        if step.sustained {
            low = rate
        } else {
            high = rate
        }
        steps.push(step);
        rate = match (low > 0.0, high.is_finite()) {
            (_, false) => rate * 1.5,
            (true, true) => (low * high).sqrt(),
            // Not even the first rate held.
            (false, true) => rate / 2.0,
        };
        if rate < 1.0 {
            break;
        }
    }
    Ok(steps)
}

/// The step with the highest rate that was sustained; none where none was.
pub fn knee(steps: &[SweepStep]) -> Option<&SweepStep> {
    steps
        .iter()
        .filter(|s| s.sustained)
        .max_by(|a, b| a.rate_per_s.total_cmp(&b.rate_per_s))
}
