//! Power of the sequential test in simulated rollouts: how often it stops a harmless change, the smallest harm that it
//! detects, and the time until then.
//!
//! `cargo run --release -p sparrouter-rollout --example power [RUNS]`
#[path = "../tests/fleet/mod.rs"]
mod fleet;
use fleet::{Defect, Fleet, plan};
use sparrouter_rollout::SECOND;
use sparrouter_rollout::record::Outcome;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// A series of rollouts that differ only in their seed.
struct Series {
    nodes: usize,
    requests_per_s: [usize; 2],
    defect: Defect,
    runs: usize,
    first_seed: u64,
}

/// Result of one rollout.
struct Run {
    outcome: Outcome,
    stages_started: usize,
    seconds: f64,
    /// Loss as a fraction of the billed value.
    lost: f64,
}

/// Results of the rollouts of a series.
#[derive(Default)]
struct Summary {
    completed: usize,
    rolled_back: usize,
    left_to_operator: usize,
    /// Durations of completed rollouts.
    completed_seconds: Vec<f64>,
    /// Durations of rollouts that were rolled back.
    rolled_back_seconds: Vec<f64>,
    /// Highest number of stages that any of the rolled back rollouts started.
    max_stages: usize,
    lost: Vec<f64>,
    reasons: Vec<String>,
}

impl Summary {
    fn add(&mut self, run: Run) {
        self.lost.push(run.lost);
        match run.outcome {
            Outcome::Completed => {
                self.completed += 1;
                self.completed_seconds.push(run.seconds);
            }
            Outcome::RolledBack(reason) => {
                self.rolled_back += 1;
                self.max_stages = self.max_stages.max(run.stages_started);
                self.rolled_back_seconds.push(run.seconds);
                self.reasons.push(reason);
            }
            Outcome::LeftToOperator(reason) => {
                self.left_to_operator += 1;
                self.reasons.push(reason);
            }
        }
    }
}

impl Series {
    /// Runs the rollout with the seed `first_seed + index`.
    fn run(&self, index: usize) -> Run {
        let seed = self.first_seed + index as u64;
        let mut fleet = Fleet::new(plan(self.nodes, 2), self.defect, seed);
        fleet.requests_per_s = self.requests_per_s;
        // The duration grows with the number of nodes, so a tenth of them may be down at the same time.
        fleet.plan.max_unavailable = (self.nodes / 10).max(2);
        let started_at = fleet.now;
        let outcome = fleet.run_rollout();
        Run {
            outcome,
            stages_started: fleet.stages_started(),
            seconds: (fleet.now - started_at) as f64 / SECOND as f64,
            lost: fleet.lost / fleet.requested,
        }
    }

    /// Runs all rollouts, with one thread per processor.
    fn run_all(&self) -> Summary {
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
                let runs = thread.join().expect("the runs of a thread");
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
    println!("harmless changes of 8 nodes, 68 requests per second each, {runs} runs");
    let mut harmless = Series {
        nodes: 8,
        requests_per_s: [60, 8],
        defect: Defect::None,
        runs,
        first_seed: 1 << 32,
    }
    .run_all();
    let stopped = harmless.rolled_back + harmless.left_to_operator;
    println!(
        "  stopped {stopped} ({:.2} %), median time {:.0} s",
        100.0 * stopped as f64 / runs as f64,
        median(&mut harmless.completed_seconds)
    );
    harmless.reasons.truncate(5);
    println!("  {:?}", harmless.reasons);
}

/// Prints the smallest loss that is stopped in nine of ten runs.
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
        .run_all();
        (summary.rolled_back >= 36).then_some((loss, summary))
    });
    let per_s = requests_per_s[0] + requests_per_s[1];
    match found {
        Some((loss, mut summary)) => println!(
            "  {nodes:>4} nodes, {per_s:>3}/s: {:>4.0} %  stage {}  {:>5.0} s",
            100.0 * loss,
            summary.max_stages,
            median(&mut summary.rolled_back_seconds)
        ),
        None => println!("  {nodes:>4} nodes, {per_s:>3}/s: not detected"),
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
    let mut harmless = series(Defect::None).run_all();
    let mut harmful = series(Defect::WorseWhenWarm(0, 0.1)).run_all();
    println!(
        "  {nodes:>5} nodes: completed {} of {runs} in {:.0} s; stopped {} of {runs} by stage {}, rolled back after {:.0} s, {:.2} % lost",
        harmless.completed,
        median(&mut harmless.completed_seconds),
        harmful.rolled_back,
        harmful.max_stages,
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
        "smallest loss that is stopped in nine of ten of 40 runs; stage, seconds until all nodes are rolled back"
    );
    for requests_per_s in [[6, 1], [60, 8], [300, 40]] {
        for nodes in [4, 8, 16, 64] {
            print_least_harm(nodes, requests_per_s);
        }
    }

    println!(
        "large fleets, 68 requests per second each: a harmless change, and a change that loses a tenth"
    );
    for (nodes, runs) in [(300, 8), (3000, 2)] {
        print_large_fleet(nodes, runs);
    }
}
