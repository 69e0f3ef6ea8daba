//! One scenario with a change in stages, played with each bad version in turn: by the conductor, one node after
//! another without a judge, and all at once.
use super::parallel::run_all;
use crate::play::{Program, Run, RunError, play};
use crate::report;
use crate::scenario::Scenario;
use crate::scenario::rollout::{Defect, Rollout, RolloutMode};
use std::path::Path;

/// What the new state does wrong: a planted version, or settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    /// The new version has this defect.
    Defect(Defect),
    /// Gives up whatever is not there at once.
    Hasty,
    /// Takes many times its part of what cold cache servers may be sent: bad only in sum, if at all.
    Greedy,
    /// Nodes of uneven numbers refuse their settings.
    Refused,
}

impl Case {
    /// Every case, in the order of the report.
    pub fn all() -> Vec<Case> {
        let plants = <Defect as clap::ValueEnum>::value_variants()
            .iter()
            .map(|p| Case::Defect(*p));
        plants
            .chain([Case::Hasty, Case::Greedy, Case::Refused])
            .collect()
    }

    /// The name that the command line takes.
    pub fn name(&self) -> String {
        match self {
            Case::Defect(Defect::None) => "sound".into(),
            Case::Defect(plant) => {
                let word = clap::ValueEnum::to_possible_value(plant);
                word.map_or(String::new(), |w| w.get_name().to_string())
            }
            Case::Hasty => "hasty".into(),
            Case::Greedy => "greedy".into(),
            Case::Refused => "refused".into(),
        }
    }

    fn fields(text: &str) -> toml::Table {
        toml::from_str(text).expect("a fixed text")
    }

    /// Makes a rollout one of this case.
    pub fn apply(&self, change: &mut Rollout) {
        match self {
            Case::Defect(plant) => change.plant = *plant,
            Case::Hasty => {
                change.settings = Case::fields("Limits = { MaxAttempts = 1 }\nTickUs = 300000")
            }
            Case::Greedy => {
                change.settings = Case::fields("Safety = { FallMultiple = 100.0 }\nBalancers = 1")
            }
            Case::Refused => change.odd_settings = Case::fields("TickUs = -1"),
        }
    }
}

/// One case in one way of rolling out, and its run.
pub struct PlayedCase {
    /// What was changed.
    pub case: Case,
    /// Who carried the rollout out.
    pub how: RolloutMode,
    /// The run, or why it could not be played.
    pub run: Result<Run, RunError>,
}

/// Each case in each way, so many at once. `done` hears of each as it ends; they come back in order.
pub fn changes(
    scenario: &Scenario,
    program: &Program,
    cases: &[Case],
    hows: &[RolloutMode],
    jobs: usize,
    folder: &Path,
    done: impl Fn(&PlayedCase) + Sync,
) -> Vec<PlayedCase> {
    let mut all = cases
        .iter()
        .flat_map(|case| hows.iter().map(|how| (*case, *how)));
    run_all(
        jobs,
        || all.next(),
        |(case, how)| {
            let mut s = scenario.clone();
            let mut change = s.rollout.take().unwrap_or_default();
            change.how = how;
            case.apply(&mut change);
            s.rollout = Some(change);
            let word = format!("{how:?}").to_lowercase();
            let own = folder.join(format!("{}-{word}", case.name()));
            let run = play(&s, program, &own, |_| {});
            let run = run.and_then(|run| report::write(&run, &own).map(|_| run));
            let played = PlayedCase { case, how, run };
            done(&played);
            played
        },
    )
}
