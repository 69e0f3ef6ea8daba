//! The judge by modelled runs: how often a sound change is stopped, the least harm that is found, and how long it takes.
//! `cargo run --release -p sparrouter-rollout --example power [RUNS]`
#[path = "../tests/fleet/mod.rs"]
mod fleet;
use fleet::*;
use sparrouter_rollout::SECOND;
use sparrouter_rollout::conduct::How;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Ended through, went back, anything else; stages begun and seconds of those that went back; seconds of those through.
#[derive(Default)]
struct Ends {
    through: usize,
    back: usize,
    other: usize,
    stages: Vec<usize>,
    back_s: Vec<f64>,
    through_s: Vec<f64>,
    lost: Vec<f64>,
    why: Vec<String>,
}

fn play(nodes: usize, per_s: [usize; 2], bad: Bad, runs: usize, seed: u64) -> Ends {
    let (next, threads) = (
        AtomicUsize::new(0),
        std::thread::available_parallelism().map_or(4, |n| n.get()),
    );
    let one = |run: usize| {
        let mut fleet = Fleet::new(plan(nodes, 2), bad, seed + run as u64);
        fleet.per_s = per_s;
        // Time grows with the nodes: a tenth of them may be down at once.
        fleet.plan.down_at_once = (nodes / 10).max(2);
        let began = fleet.now;
        let how = fleet.play();
        let took = (fleet.now - began) as f64 / SECOND as f64;
        (how, fleet.stage(), took, fleet.lost / fleet.asked)
    };
    let work = || {
        let mut all = Vec::new();
        loop {
            let run = next.fetch_add(1, Relaxed);
            if run >= runs {
                return all;
            }
            all.push(one(run));
        }
    };
    let all: Vec<_> = std::thread::scope(|s| {
        let threads: Vec<_> = (0..threads).map(|_| s.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("a run"))
            .collect()
    });
    let mut ends = Ends::default();
    for (how, stage, took, lost) in all {
        ends.lost.push(lost);
        match how {
            How::Through => {
                ends.through += 1;
                ends.through_s.push(took);
            }
            How::Back(why) => {
                ends.back += 1;
                ends.stages.push(stage);
                ends.back_s.push(took);
                ends.why.push(why);
            }
            How::Left(why) => {
                ends.other += 1;
                ends.why.push(why);
            }
        }
    }
    ends
}

fn middle(of: &mut [f64]) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
}

fn main() {
    let runs = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(10_000);
    println!("sound changes of 8 nodes, 68 invocations a second each, {runs} runs");
    let mut sound = play(8, [60, 8], Bad::No, runs, 1 << 32);
    let part = (sound.back + sound.other) as f64 / runs as f64;
    println!(
        "  stopped {} ({:.2} %), time {:.0} s in the middle",
        sound.back + sound.other,
        100.0 * part,
        middle(&mut sound.through_s)
    );
    sound.why.truncate(5);
    println!("  {:?}", sound.why);

    println!(
        "least loss of value stopped in nine of ten of 40 runs; stage, seconds until all is back"
    );
    for per_s in [[6, 1], [60, 8], [300, 40]] {
        for nodes in [4, 8, 16, 64] {
            let found = [0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12, 0.2, 0.3, 0.5]
                .into_iter()
                .find_map(|harm| {
                    let ends = play(nodes, per_s, Bad::WhenWarm(0, harm), 40, 7000);
                    (ends.back >= 36).then_some((harm, ends))
                });
            match found {
                Some((harm, mut ends)) => println!(
                    "  {nodes:>4} nodes, {:>3}/s: {:>4.0} %  stage {}  {:>5.0} s",
                    per_s[0] + per_s[1],
                    100.0 * harm,
                    ends.stages.iter().max().copied().unwrap_or(0),
                    middle(&mut ends.back_s)
                ),
                None => println!(
                    "  {nodes:>4} nodes, {:>3}/s: none found",
                    per_s[0] + per_s[1]
                ),
            }
        }
    }

    println!("large fleets, 68 a second each: a sound change, and one that loses a tenth");
    for (nodes, runs) in [(300, 8), (3000, 2)] {
        let mut sound = play(nodes, [60, 8], Bad::No, runs, 9000);
        let mut bad = play(nodes, [60, 8], Bad::WhenWarm(0, 0.1), runs, 9000);
        println!(
            "  {nodes:>5} nodes: through {} of {runs} in {:.0} s; stopped {} of {runs}, in stage {}, back after {:.0} s, {:.2} % lost",
            sound.through,
            middle(&mut sound.through_s),
            bad.back,
            bad.stages.iter().max().copied().unwrap_or(0),
            middle(&mut bad.back_s),
            100.0 * middle(&mut bad.lost)
        );
    }
}
