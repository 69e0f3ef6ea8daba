//! Hunts for broken rules over days by seed: `cargo run --release -p hothouse --example hunt -- --days N --seed S`.
//! `--story` tells a day in full, each request with it.
use hothouse::story;
use hothouse::weather::{self, Day};
use std::process::ExitCode;
use std::time::Instant;

fn number(arguments: &[String], name: &str) -> Option<u64> {
    let at = arguments.iter().position(|a| a == name)?;
    arguments.get(at + 1)?.parse().ok()
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let days = number(&arguments, "--days").unwrap_or(20);
    let first = number(&arguments, "--seed").unwrap_or(1);
    let tell = arguments.iter().any(|a| a == "--story");
    let go_on = arguments.iter().any(|a| a == "--all");
    let began = Instant::now();
    let (mut broken, mut wasted, mut sent, mut served) = (0, 0, 0u64, 0u64);
    for seed in first..first + days {
        let day = Day::drawn(seed);
        let report = story::play(weather::play(&day));
        sent += u64::from(report.sent);
        served += u64::from(report.served);
        wasted += report.waste.len();
        if !report.breaches.is_empty() || tell {
            broken += u64::from(!report.breaches.is_empty());
            println!("seed {seed}: {:?}, closing {:?}", day.troubles, day.closing);
            report.breaches.iter().take(6).for_each(|b| println!("  {b}"));
            if tell || !go_on {
                report.story.iter().for_each(|line| println!("  {line}"));
            }
            if !go_on {
                break;
            }
        }
        report.waste.iter().for_each(|w| println!("seed {seed}: {w}"));
    }
    println!(
        "{days} days from seed {first}: {broken} broken, {wasted} loads too many, {served} of {sent} requests served, {:.1} s",
        began.elapsed().as_secs_f64()
    );
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
