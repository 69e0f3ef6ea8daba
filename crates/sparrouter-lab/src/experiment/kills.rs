//! One scenario with a change in stages, played with the conductor ended at each point of its work in turn, until a
//! point is named that it never comes to.
use super::parallel::run_all;
use crate::play::{Program, Run, RunError, play_with};
use crate::report;
use crate::rollout::Tools;
use crate::scenario::Scenario;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

/// A run in which the conductor aborted at chosen points.
pub struct KilledRun {
    /// Points at which the conductor and its successors end themselves.
    pub points: Vec<usize>,
    /// The run, or why it could not be played.
    pub run: Result<Run, RunError>,
}

impl KilledRun {
    /// It came to its point: otherwise the change was over before.
    pub fn reached(&self) -> bool {
        let kills = |run: &Run| run.rollout.as_ref().map_or(0, |c| c.kills);
        self.run.as_ref().is_ok_and(|run| kills(run) > 0)
    }
    /// It ended as it does with nobody killed, rules kept, no answer lost.
    pub fn ended_as_expected(&self, how: &str) -> bool {
        let ended = |run: &Run| {
            let all = run.scenario.nodes.count;
            run.rollout.as_ref().is_some_and(|c| {
                c.how == how && c.changed.len() == if how == "through" { all } else { 0 }
            })
        };
        self.run
            .as_ref()
            .is_ok_and(|run| ended(run) && run.verdict.kept() && run.tally.total.unanswered == 0)
    }
}

/// Every point from `from` on, each `step`-th, at most `most`; with `twice` the successor dies at the same count again.
#[derive(Clone, Copy)]
pub struct KillPoints {
    /// First point at which the conductor ends itself.
    pub from: usize,
    /// Distance between two points.
    pub step: usize,
    /// Most points.
    pub most: usize,
    /// Its successor ends itself at the same point.
    pub twice: bool,
}

/// So many runs at once. `done` hears of each as it ends; they come back in order, up to the first point not reached.
pub fn kills(
    scenario: &Scenario,
    program: &Program,
    tools: &Tools,
    points: KillPoints,
    jobs: usize,
    folder: &Path,
    done: impl Fn(&KilledRun) + Sync,
) -> Vec<KilledRun> {
    let is_over = AtomicBool::new(false);
    let mut counts = 0..points.most;
    let next = || counts.next().filter(|_| !is_over.load(Relaxed));
    run_all(jobs, next, |count| {
        let at = points.from + count * points.step.max(1);
        let dies = if points.twice { vec![at, at] } else { vec![at] };
        let mut s = scenario.clone();
        let mut change = s.rollout.take().unwrap_or_default();
        change.dies = dies.clone();
        s.rollout = Some(change);
        let own = folder.join(format!("point-{at}"));
        let run = play_with(&s, program, tools, &own, |_| {});
        let run = run.and_then(|run| report::write(&run, &own).map(|_| run));
        let killed = KilledRun { points: dies, run };
        if killed.run.is_ok() && !killed.reached() {
            is_over.store(true, Relaxed);
        }
        done(&killed);
        killed
    })
}
