//! The judge in simulated rollouts: how often a harmless change is stopped, the least harm found, and the time it takes.
//! `cargo run --release -p sparrouter-rollout --example power [RUNS]`
#[path = "../tests/fleet/mod.rs"]
mod fleet;
use fleet::{Defect, Fleet, plan};
use sparrouter_rollout::SECOND;
use sparrouter_rollout::record::Outcome;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Rollouts of the same kind, by seed.
struct Series {
    nodes: usize,
    requests_per_s: [usize; 2],
    defect: Defect,
    runs: usize,
    first_seed: u64,
}

/// One rollout.
struct Run {
    outcome: Outcome,
    stages_begun: usize,
    seconds: f64,
    /// Lost fraction of the billed value.
    lost: f64,
}

/// How the rollouts of a series ended.
#[derive(Default)]
struct Summary {
    completed: usize,
    rolled_back: usize,
    left: usize,
    /// Of completed rollouts.
    completed_seconds: Vec<f64>,
    /// Of rollouts that were rolled back.
    rolled_back_seconds: Vec<f64>,
    /// The last stage that any of these began.
    last_stage: usize,
    lost: Vec<f64>,
    reasons: Vec<String>,
}

impl Summary {
    fn add(&mut self, run: Run) {
        self.lost.push(run.lost);
        match run.outcome {
            Outcome::Through => {
                self.completed += 1;
                self.completed_seconds.push(run.seconds);
            }
            Outcome::Back(reason) => {
                self.rolled_back += 1;
                self.last_stage = self.last_stage.max(run.stages_begun);
                self.rolled_back_seconds.push(run.seconds);
                self.reasons.push(reason);
            }
            Outcome::Left(reason) => {
                self.left += 1;
                self.reasons.push(reason);
            }
        }
    }
}

impl Series {
    /// The first seed of the run of this index is `first_seed`.
    fn run(&self, index: usize) -> Run {
        let seed = self.first_seed + index as u64;
        let mut fleet = Fleet::new(plan(self.nodes, 2), self.defect, seed);
        fleet.requests_per_s = self.requests_per_s;
        // Time grows with the nodes: a tenth of them may be down at once.
        fleet.plan.max_unavailable = (self.nodes / 10).max(2);
        let started_at = fleet.now;
        let outcome = fleet.play();
        Run {
            outcome,
            stages_begun: fleet.stages_begun(),
            seconds: (fleet.now - started_at) as f64 / SECOND as f64,
            lost: fleet.lost / fleet.requested,
        }
    }

    /// Plays all rollouts, one thread a processor.
    fn play(&self) -> Summary {
        let next = AtomicUsize::new(0);
        let work = || {
            let indices = std::iter::repeat_with(|| next.fetch_add(1, Relaxed));
            let indices = indices.take_while(|index| *index < self.runs);
            indices.map(|index| self.run(index)).collect::<Vec<Run>>()
        };
        let threads = std::thread::available_parallelism().map_or(4, |n| n.get());
        let mut summary = Summary::default();
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
            for thread in threads {
                let runs = thread.join().expect("a run");
                runs.into_iter().for_each(|run| summary.add(run));
            }
        });
        summary
    }
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn print_false_stops(runs: usize) {
    println!("sound changes of 8 nodes, 68 invocations a second each, {runs} runs");
    let mut harmless = Series {
        nodes: 8,
        requests_per_s: [60, 8],
        defect: Defect::None,
        runs,
        first_seed: 1 << 32,
    }
    .play();
    let stopped = harmless.rolled_back + harmless.left;
    println!(
        "  stopped {stopped} ({:.2} %), time {:.0} s in the middle",
        100.0 * stopped as f64 / runs as f64,
        median(&mut harmless.completed_seconds)
    );
    harmless.reasons.truncate(5);
    println!("  {:?}", harmless.reasons);
}

/// The least loss that is stopped in nine of ten runs.
fn print_least_harm(nodes: usize, requests_per_s: [usize; 2]) {
    let losses = [0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12, 0.2, 0.3, 0.5];
    let found = losses.into_iter().find_map(|loss| {
        let summary = Series {
            nodes,
            requests_per_s,
            defect: Defect::WorseWhenWarm(0, loss),
            runs: 40,
            first_seed: 7000,
        }
        .play();
        (summary.rolled_back >= 36).then_some((loss, summary))
    });
    let per_s = requests_per_s[0] + requests_per_s[1];
    match found {
        Some((loss, mut summary)) => println!(
            "  {nodes:>4} nodes, {per_s:>3}/s: {:>4.0} %  stage {}  {:>5.0} s",
            100.0 * loss,
            summary.last_stage,
            median(&mut summary.rolled_back_seconds)
        ),
        None => println!("  {nodes:>4} nodes, {per_s:>3}/s: none found"),
    }
}

fn print_large_fleet(nodes: usize, runs: usize) {
    let series = |defect| Series {
        nodes,
        requests_per_s: [60, 8],
        defect,
        runs,
        first_seed: 9000,
    };
    let mut harmless = series(Defect::None).play();
    let mut harmful = series(Defect::WorseWhenWarm(0, 0.1)).play();
    println!(
        "  {nodes:>5} nodes: through {} of {runs} in {:.0} s; stopped {} of {runs}, in stage {}, back after {:.0} s, {:.2} % lost",
        harmless.completed,
        median(&mut harmless.completed_seconds),
        harmful.rolled_back,
        harmful.last_stage,
        median(&mut harmful.rolled_back_seconds),
        100.0 * median(&mut harmful.lost)
    );
}

fn main() {
    let runs = std::env::args()
        .nth(1)
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(10_000);
    print_false_stops(runs);

    println!(
        "least loss of value stopped in nine of ten of 40 runs; stage, seconds until all is back"
    );
    for requests_per_s in [[6, 1], [60, 8], [300, 40]] {
        for nodes in [4, 8, 16, 64] {
            print_least_harm(nodes, requests_per_s);
        }
    }

    println!("large fleets, 68 a second each: a sound change, and one that loses a tenth");
    for (nodes, runs) in [(300, 8), (3000, 2)] {
        print_large_fleet(nodes, runs);
    }
}
