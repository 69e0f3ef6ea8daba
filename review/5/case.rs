//! The machine that gives the orders is stopped and started again, and new weights are named as it returns: how soon after
//! the machine that stood in gives it orders to the same server?
#[path = "../harness-2.rs"]
mod harness;
use harness::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `lease_ms` of the settings.
const LEASE_S: f64 = 3.0;
const ROUNDS: u32 = 6;
const REPORTED_MS: u64 = 430;

/// Waits for the end of a process that was told to end; false after `grace_period_s`.
fn wait_for_end(machine: &mut Machine) -> bool {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        if machine.ended().is_some() {
            return true;
        }
        sleep_ms(20);
    }
    false
}

fn main() {
    let record = Record::create(&case_folder());
    let broken = play(&record);
    record.line(if broken { "RULE BROKEN" } else { "RULE HELD" });
    println!("{}", if broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(broken));
}

fn wait_for(limit_s: u64, done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(limit_s);
    while Instant::now() < until {
        if done() {
            return true;
        }
        sleep_ms(5);
    }
    false
}

fn play(record: &Record) -> bool {
    let mut site = Site::new(record);
    site.settings.push(("bounds.fencing_enabled".into(), "false".into()));
    let site = site;
    let mut machines: Vec<Machine> = (1..=3).map(Machine::new).collect();
    for machine in &mut machines {
        machine.start(&site, record, true);
    }
    let nodes: Vec<_> = (1..=3).map(|n| site.control(n)).collect();
    let (named, orders) = (Arc::new(AtomicU64::new(1)), Arc::new(Mutex::new(Vec::<TakenOrder>::new())));
    let servers: Vec<_> = (0..2u8)
        .map(|n| {
            let address = site.at(101 + n, 8640);
            Server::start(record, &format!("i-{n}"), address, nodes.clone(), named.clone(), false, orders.clone())
        })
        .collect();
    let soon = || Instant::now() + Duration::from_secs(20);
    if put_config(record, &nodes, 0, &config(1, 6_000), soon()) != 200 {
        cannot_run(record, "the first configuration is not taken");
    }
    sleep_ms(8_000);
    let name = |version: u64| {
        named.store(version, Ordering::Relaxed);
        if name_version(record, &nodes, "m-one", version, soon()) != 200 {
            cannot_run(record, "a version is not taken");
        }
    };
    let all_run = |version: u64| servers.iter().all(|server| server.version() >= version);
    name(2);
    if !wait_for(30, || all_run(2)) {
        cannot_run(record, "version 2 is not brought to the servers");
    }
    let holder = orders.lock().unwrap().last().unwrap().holder.clone();
    let Some(number) = (1..=3u8).find(|n| holder.contains(&format!("{}:", site.ip(*n)))) else {
        cannot_run(record, "the holder is no machine of the core");
    };
    record.line(format!("{holder} gave the orders: machine {number}"));
    let machine = &mut machines[usize::from(number) - 1];
    sleep_ms(5_000);
    if !is_calm() {
        machine.term(record);
        if !wait_for_end(machine) {
            cannot_run(record, "the process does not end");
        }
    }
    let mut version = 2;
    let mut next = || {
        version += 1;
        name(version);
        version
    };
    if is_calm() {
        // The same names at the same pace, while no machine ends.
        for _ in 0..ROUNDS {
            sleep_ms(6_000);
            for pause in [1_000, 1_000, 4_000] {
                next();
                sleep_ms(pause);
            }
        }
        return turns(record, &orders.lock().unwrap());
    }
    for round in 1..=ROUNDS {
        // Another machine takes the duty over; a lease after the end it has long done so.
        sleep_ms(6_000);
        record.line(format!("round {round}"));
        let ordered = orders.lock().unwrap().len();
        next();
        wait_for(5, || orders.lock().unwrap().len() >= ordered + servers.len());
        machine.start(&site, record, false);
        let is_carried_out = |version: u64| wait_for(10, || all_run(version));
        if !is_carried_out(named.load(Ordering::Relaxed)) {
            cannot_run(record, "a version is not brought to the servers");
        }
        // The holder asks for reports four times a second: then it knows that its orders are carried out.
        sleep_ms(REPORTED_MS);
        if !is_carried_out(next()) {
            cannot_run(record, "a version is not brought to the servers");
        }
        sleep_ms(REPORTED_MS);
        machine.term(record);
        let last = next();
        if !wait_for_end(machine) {
            cannot_run(record, "the process does not end");
        }
        if !wait_for(30, || all_run(last)) {
            cannot_run(record, "a version is not brought to the servers");
        }
    }
    turns(record, &orders.lock().unwrap())
}

/// Whether holders took turns at one server within `lease_ms`: one gave an order, another one, and the first one again.
fn turns(record: &Record, orders: &[TakenOrder]) -> bool {
    let mut broken = false;
    for (at, order) in orders.iter().enumerate() {
        let earlier: Vec<&TakenOrder> = orders[..at].iter().filter(|o| o.server == order.server).collect();
        let Some(own) = earlier.iter().rposition(|o| o.holder == order.holder) else { continue };
        let Some(other) = earlier[own + 1..].last() else { continue };
        let gap = order.at - earlier[own].at;
        record.line(format!(
            "{}: {} (fence {}) at {:.3}, {} (fence {}) at {:.3}, the first again (fence {}) at {:.3}: {gap:.3} s",
            order.server, order.holder, earlier[own].fence, earlier[own].at, other.holder, other.fence, other.at,
            order.fence, order.at
        ));
        broken |= gap < LEASE_S;
    }
    broken
}
