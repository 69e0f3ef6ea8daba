//! Measures the cost of a change by group size, and of catch-up by the number of missed changes, over links of 10
//! Mbit/s.
//!
//! `cargo run --release -p sparrouter-consensus --example catch_up`
#[path = "../tests/narrow_links/mod.rs"]
mod narrow_links;

use narrow_links::Group;
use sparrouter_consensus::{MILLISECOND, Nanos, SECOND, Settings};

const BODY_BYTES: usize = 500_000;
const BYTES_PER_SECOND: u64 = 10_000_000 / 8;
const TIMEOUT: Nanos = 10 * SECOND;
const CHANGES: u64 = 20;

fn milliseconds(span: Nanos) -> u64 {
    span / MILLISECOND
}

fn confirmed_group(members: usize) -> Group {
    let mut group = Group::new(members, BODY_BYTES, BYTES_PER_SECOND, Settings::default());
    let all = |g: &Group| (0..members).all(|i| g.is_confirmed(i));
    assert!(
        group.run(60 * SECOND, all),
        "not all members read a confirmed state within 60 s"
    );
    group
}

fn changes() {
    println!(
        "members | messages per change | KB per change | ms per change | slowest small message, ms"
    );
    for members in [3, 5, 7] {
        let mut group = confirmed_group(members);
        group.reset_traffic();
        let (mut completed, mut total_duration) = (0, 0);
        for _ in 0..CHANGES {
            let start = group.now;
            completed += u64::from(
                group
                    .change(0, TIMEOUT)
                    .is_some_and(|o| matches!(o, sparrouter_consensus::Outcome::Answered(_))),
            );
            total_duration += group.now - start;
            group.run_for(2 * SECOND);
        }
        let traffic = group.traffic;
        println!(
            "{members} | {} | {} | {} | {} ({completed} of {CHANGES} changes completed)",
            traffic.messages / CHANGES,
            traffic.bytes / CHANGES / 1_000,
            milliseconds(total_duration / CHANGES),
            milliseconds(traffic.slowest_probe),
        );
    }
}

fn catch_up(missed: u64, change_interval: Option<Nanos>) {
    let mut group = confirmed_group(3);
    group.kill(2);
    for _ in 0..missed {
        group.change(0, TIMEOUT);
    }
    group.run_for(10 * SECOND);
    group.reset_traffic();
    group.start(2);
    let start = group.now;
    let mut next_change = start;
    let caught_up = loop {
        let ready = |g: &Group| g.is_confirmed(2) && g.count_on_disk(2) == g.count(0);
        next_change += change_interval.unwrap_or(60 * SECOND);
        if group.run(next_change, ready) {
            break true;
        }
        if group.now >= start + 60 * SECOND {
            break false;
        }
        group.propose(0, TIMEOUT);
    };
    let traffic = group.traffic;
    println!(
        "{missed} | {} | {} | {} | {} | {} | {}",
        change_interval.map_or("none".to_owned(), |interval| format!(
            "every {} ms",
            milliseconds(interval)
        )),
        if caught_up { "yes" } else { "no, in 60 s" },
        milliseconds(group.now - start),
        traffic.messages,
        traffic.bytes / 1_000,
        milliseconds(traffic.slowest_probe),
    );
}

fn main() {
    changes();
    println!();
    println!(
        "missed changes | concurrent changes | caught up | ms | messages | KB | slowest small message, ms"
    );
    for missed in [0, 1, 10, 100, 500] {
        catch_up(missed, None);
    }
    for interval in [3_000, 1_500, 1_000] {
        catch_up(10, Some(interval * MILLISECOND));
    }
}
