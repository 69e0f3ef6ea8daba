//! One scenario with a change in stages, played with the conductor ended at each point of its work in turn, until a
//! point is named that it never comes to.
use crate::play::{Program, Run, RunError, play_with};
use crate::report;
use crate::rollout::Tools;
use crate::scenario::Scenario;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

/// A run in which the conductor aborted at chosen points.
pub struct KilledRun {
    /// Points at which the conductor and its successors end themselves.
    pub points: Vec<usize>,
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
    pub from: usize,
    pub step: usize,
    pub most: usize,
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
    let (next, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let ended = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while !over.load(Relaxed) {
                    let n = next.fetch_add(1, Relaxed);
                    if n >= points.most {
                        return;
                    }
                    let at = points.from + n * points.step.max(1);
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
                        over.store(true, Relaxed);
                    }
                    done(&killed);
                    ended.lock().expect("not poisoned").push((n, killed));
                }
            });
        }
    });
    let mut ended = ended.into_inner().expect("not poisoned");
    ended.sort_by_key(|e| e.0);
    ended.into_iter().map(|e| e.1).collect()
}
