//! The share of its limit that a tenant gets, its cost in calls, and the requests refused within the limit.
mod fleet;

use fleet::{Counts, DEFAULTS, Demand, Fleet, Kills, MS, NODES, Parameters, SECOND};
use sparrouter_quota::QuotaLimit;

const RATES: [f64; 4] = [2.0, 8.0, 35.0, 65.0];

fn limit(rate_per_s: f64) -> QuotaLimit {
    QuotaLimit {
        rate_per_s,
        burst_size: rate_per_s,
    }
}

/// Demand of `times` the limit.
fn demand_above_limit(rate: f64, times: f64, retries: u32) -> Demand {
    Demand {
        rate_per_s: rate * times,
        batch_size: 1.0,
        retries,
    }
}

/// Demand of 1/1.6 of the limit.
fn demand_within_limit(rate: f64, batch_size: f64) -> Demand {
    Demand {
        rate_per_s: rate / 1.6,
        batch_size,
        retries: 0,
    }
}

fn run(
    rate: f64,
    demand: Demand,
    parameters: Parameters,
    kills: Option<Kills>,
    seconds: u64,
) -> Counts {
    Fleet::new(1, limit(rate), demand, parameters, kills).run(seconds)
}

fn used_ratio(counts: &Counts, rate: f64) -> f64 {
    counts.granted as f64 / (rate * counts.seconds)
}

fn print_above_limit(name: &str, parameters: Parameters, kills: Option<Kills>, seconds: u64) {
    println!(
        "{name}\n limit times   retries   used  calls/s: busiest holder, mean node   429/s  503/s"
    );
    for rate in RATES {
        for times in [5.0, 8.7, 20.0, 50.0] {
            for retries in [0, 3] {
                let counts = run(
                    rate,
                    demand_above_limit(rate, times, retries),
                    parameters,
                    kills,
                    seconds,
                );
                let per_second = |count: u64| count as f64 / counts.seconds;
                println!(
                    "{rate:6} {times:5} {retries:9} {:6.3} {:23.1} {:11.2} {:7.1} {:6.2}",
                    used_ratio(&counts, rate),
                    per_second(counts.max_calls),
                    per_second(counts.calls) / NODES as f64,
                    per_second(counts.refused),
                    per_second(counts.unavailable),
                );
            }
        }
    }
}

fn print_within_limit(name: &str, parameters: Parameters, seconds: u64) {
    println!("{name}\n limit batch   new requests   refused   ratio");
    for rate in RATES {
        for batch_size in [1.0, 3.0] {
            let counts = run(
                rate,
                demand_within_limit(rate, batch_size),
                parameters,
                None,
                seconds,
            );
            let refused = counts.refused + counts.unavailable;
            let ratio = refused as f64 / counts.new_requests as f64;
            println!(
                "{rate:6} {batch_size:5} {:14} {refused:9} {ratio:.5}",
                counts.new_requests
            );
        }
    }
}

/// Prints all tables: `cargo test --release -p sparrouter-quota --test usage -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement: some minutes without optimization"]
fn print_tables() {
    let kills = |downtime| {
        Some(Kills {
            interval: 5 * SECOND,
            downtime,
        })
    };
    print_above_limit("no faults", DEFAULTS, None, 60);
    print_above_limit(
        "a holder killed every 5 s, down for 1 s",
        DEFAULTS,
        kills(SECOND),
        300,
    );
    print_above_limit(
        "a holder killed every 5 s, down for 4.9 s",
        DEFAULTS,
        kills(4_900 * MS),
        300,
    );
    print_within_limit("within the limit", DEFAULTS, 2_000);
}

/// Prints the results of other refusal times, waits and permit lifetimes.
#[test]
#[ignore = "a measurement"]
fn print_trials() {
    for (refusal, lifetime) in [
        (1_000, 300),
        (500, 300),
        (300, 300),
        (1_000, 100),
        (500, 100),
    ] {
        let parameters = Parameters {
            max_refusal_time: refusal * MS,
            permit_lifetime: lifetime * MS,
            ..DEFAULTS
        };
        println!(
            "refusals of {refusal} ms at most, permits of {lifetime} ms: used, calls/s at the busiest holder"
        );
        for (rate, times, retries) in [
            (2.0, 5.0, 0),
            (8.0, 20.0, 3),
            (8.0, 50.0, 3),
            (65.0, 50.0, 3),
        ] {
            let demand = demand_above_limit(rate, times, retries);
            let runs =
                (0..5).map(|seed| Fleet::new(seed, limit(rate), demand, parameters, None).run(60));
            let runs: Vec<Counts> = runs.collect();
            let used: Vec<String> = runs
                .iter()
                .map(|run| format!("{:.3}", used_ratio(run, rate)))
                .collect();
            let calls = runs.iter().map(|run| run.max_calls).sum::<u64>() as f64 / 300.0;
            println!(
                "{rate:6} {times:5} {retries:9} {} {calls:8.1}",
                used.join(" ")
            );
        }
        print_within_limit("within the limit", parameters, 1_000);
    }
    for max_wait in [300, 1_000] {
        let parameters = Parameters {
            max_wait: max_wait * MS,
            ..DEFAULTS
        };
        print_within_limit(
            &format!("requests wait for {max_wait} ms at most"),
            parameters,
            1_000,
        );
    }
}

/// Guards against refusals that keep a tenant below its limit, or that cost a call each.
#[test]
fn given_a_tenant_far_above_its_limit_when_holders_are_up_then_it_gets_its_limit_with_few_calls() {
    for (rate, times, retries, max_calls_per_s) in [
        (2.0, 8.7, 0, 20.0),
        (8.0, 8.7, 3, 80.0),
        (65.0, 20.0, 0, 110.0),
    ] {
        let counts = run(
            rate,
            demand_above_limit(rate, times, retries),
            DEFAULTS,
            None,
            60,
        );
        let used = used_ratio(&counts, rate);
        assert!(
            (0.98..1.02).contains(&used),
            "{rate} x {times}: {used} of the limit used"
        );
        let calls = counts.max_calls as f64 / counts.seconds;
        assert!(
            calls < max_calls_per_s,
            "{rate} x {times}: {calls} calls per second"
        );
    }
}

/// Guards against a killed lease holder that costs a tenant more than that holder's part of the limit while it is down.
#[test]
fn given_a_holder_killed_every_5_s_when_its_shard_is_down_for_1_s_then_over_93_percent_is_used() {
    let kills = Kills {
        interval: 5 * SECOND,
        downtime: SECOND,
    };
    for rate in [35.0, 65.0] {
        let counts = run(
            rate,
            demand_above_limit(rate, 8.7, 3),
            DEFAULTS,
            Some(kills),
            60,
        );
        let used = used_ratio(&counts, rate);
        assert!(used > 0.93, "{rate}: {used} of the limit used");
    }
}

/// Guards against refusals of a tenant that stays within a limit that is not small.
#[test]
fn given_a_tenant_within_its_limit_when_requests_arrive_singly_then_under_one_in_5000_is_refused() {
    for rate in [35.0, 65.0] {
        let counts = run(rate, demand_within_limit(rate, 1.0), DEFAULTS, None, 400);
        let refused = counts.refused + counts.unavailable;
        assert!(
            refused * 5_000 < counts.new_requests,
            "rate {rate}: {refused} requests refused of {}",
            counts.new_requests
        );
    }
}
