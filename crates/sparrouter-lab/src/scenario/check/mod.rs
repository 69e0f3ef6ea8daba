//! What a scenario may not say. One pass finds everything that is wrong.
mod fault;
mod line;
mod report;

use super::{Effect, Operation, Rollout, Scenario};
pub(super) use line::line;
pub(super) use report::Problem;
use report::Report;

/// Every problem of a scenario, in the order of its tables.
pub(super) fn check(s: &Scenario) -> Vec<Problem> {
    let mut report = Report::default();
    check_nodes_and_caches(&mut report, s);
    check_surroundings(&mut report, s);
    check_load_and_rules(&mut report, s);
    check_operations(&mut report, s);
    check_tenants(&mut report, s);
    if let Some(rollout) = &s.rollout {
        check_rollout(&mut report, s, rollout);
    }
    if let Some(shares) = &s.shares {
        report.range("shares.informed_s", shares.informed_s, 0.1, 600.0);
        report.range("shares.lease_s", shares.lease_s, 0.2, 60.0);
        report.range("shares.window_s", shares.window_s, 0.05, 60.0);
    }
    for (n, fault) in s.fault.iter().enumerate() {
        fault::check(&mut report, s, &format!("fault[{n}]"), fault);
    }
    report.into_problems()
}

fn check_nodes_and_caches(r: &mut Report, s: &Scenario) {
    let (nodes, caches) = (&s.nodes, &s.caches);
    r.range("length_s", s.length_s, 0.1, 86_400.0);
    r.range("nodes.count", nodes.count as f64, 1.0, 64.0);
    r.range("nodes.memory_mb", nodes.memory_mb as f64, 16.0, 65_536.0);
    r.range("nodes.sockets", nodes.sockets as f64, 64.0, 1e6);
    r.range("nodes.max_forwards", nodes.max_forwards as f64, 1.0, 64.0);
    r.range("nodes.front_notices_s", nodes.front_notices_s, 0.0, 60.0);
    r.range("caches.count", caches.count as f64, 1.0, 4000.0);
    r.range("caches.cores", caches.cores as f64, 1.0, 256.0);
    r.range("caches.speed", caches.speed, 0.01, 100.0);
    r.range("caches.speed_spread", caches.speed_spread, 0.0, 0.9);
    r.range("caches.connections", caches.connections as f64, 1.0, 1e6);
    r.range("caches.connect_ms", caches.connect_ms, 0.0, 1000.0);
    r.range("caches.idle_s", caches.idle_s, 0.1, 3600.0);
    r.range("caches.cold_from", caches.cold_from, 0.01, 1.0);
    r.range("caches.cold_s", caches.cold_s, 0.1, 3600.0);
    r.range("caches.zones", caches.zones as f64, 1.0, 16.0);
    r.range(
        "caches.body_bytes",
        caches.body_bytes as f64,
        16.0,
        65_536.0,
    );
}

fn check_surroundings(r: &mut Report, s: &Scenario) {
    let (origin, discovery, peers) = (&s.origin, &s.discovery, &s.peers);
    r.range("origin.per_s", origin.per_s, 0.1, 1e7);
    r.range("origin.takes_ms", origin.takes_ms, 0.0, 60_000.0);
    r.range("origin.queue_s", origin.queue_s, 0.0, 60.0);
    r.range("origin.stops_at", origin.stops_at, 0.0, 1000.0);
    r.span("discovery.add_s", discovery.add_s, 600.0);
    r.span("discovery.notice_s", discovery.notice_s, 600.0);
    r.span(
        "discovery.silent_notice_s",
        discovery.silent_notice_s,
        600.0,
    );
    r.span("peers.delay_ms", peers.delay_ms, 60_000.0);
    r.range("peers.lost_part", peers.lost_part, 0.0, 1.0);
}

fn check_load_and_rules(r: &mut Report, s: &Scenario) {
    let (load, rules) = (&s.load, &s.rules);
    r.range("load.rate_per_s", load.rate_per_s, 0.1, 1e7);
    r.range("load.ramp_to", load.ramp_to, 0.01, 1000.0);
    r.range("load.keys", load.keys as f64, 1.0, 1e7);
    r.range("load.zipf", load.zipf, 0.0, 5.0);
    r.range("load.connections", load.connections as f64, 1.0, 60_000.0);
    r.range("load.retries", f64::from(load.retries), 0.0, 10.0);
    r.range("load.try_part", load.try_part, 0.01, 1.0);
    r.range("load.leave_part", load.leave_part, 0.0, 1.0);
    r.range("load.late_ms", load.late_ms, 0.01, 10_000.0);
    r.range("rules.fall_multiple", rules.fall_multiple, 0.0, 1000.0);
    r.range("rules.fall_s", rules.fall_s, 0.1, 600.0);
    r.range("rules.ask_every_s", rules.ask_every_s, 0.1, 3600.0);
}

fn check_operations(r: &mut Report, s: &Scenario) {
    let shares: f64 = s.operation.iter().map(|o| o.share).sum();
    if shares <= 0.0 && !s.operation.is_empty() {
        let reason = "all shares together must be above 0";
        r.add("operation[0].share", reason);
    }
    if s.operation.len() > 200 {
        let reason = "200 operations are allowed at most";
        r.add("operation[200].name", reason);
    }
    for (n, operation) in s.operation.iter().enumerate() {
        check_operation(r, &format!("operation[{n}]"), operation);
    }
}

fn check_operation(r: &mut Report, table: &str, o: &Operation) {
    let field = |name: &str| format!("{table}.{name}");
    let timeout_ms = o.client_timeout_ms as f64;
    r.range(&field("share"), o.share, 0.0, 1e6);
    r.range(&field("work_ms"), o.work_ms, 0.0, 60_000.0);
    r.range(
        &field("objective_ms"),
        o.objective_ms as f64,
        1.0,
        timeout_ms,
    );
    r.range(&field("client_timeout_ms"), timeout_ms, 20.0, 3_600_000.0);
    if o.effect != Effect::Idempotent && !o.write {
        let reason = "only a write can be other than idempotent; set write = true";
        r.add(&field("effect"), reason);
    }
    if o.effect == Effect::Deduplicated && o.window_ms == 0 {
        let reason = "a deduplicated operation needs the time that repeats are dropped";
        r.add(&field("window_ms"), reason);
    }
}

fn check_tenants(r: &mut Report, s: &Scenario) {
    for (n, tenant) in s.tenant.iter().enumerate() {
        let field = |name: &str| format!("tenant[{n}].{name}");
        r.range(&field("share"), tenant.share, 0.0, 1.0);
        r.range(&field("sends"), tenant.sends, 0.0, 1e6);
        r.range(&field("quota_per_s"), tenant.quota_per_s, 0.0, 1e12);
    }
}

fn check_rollout(r: &mut Report, s: &Scenario, rollout: &Rollout) {
    let down_at_once = rollout.down_at_once as f64;
    r.range("rollout.at_s", rollout.at_s, 0.0, s.length_s);
    r.range("rollout.hold_s", rollout.hold_s, 0.5, 3600.0);
    r.range(
        "rollout.longest_s",
        rollout.longest_s,
        rollout.hold_s,
        36_000.0,
    );
    r.range("rollout.command_s", rollout.command_s, 0.5, 3600.0);
    r.range("rollout.down_at_once", down_at_once, 1.0, 64.0);
    r.range("rollout.least_loss", rollout.least_loss, 0.0001, 0.9);
    r.range("rollout.fleet_loss", rollout.fleet_loss, 0.0001, 0.9);
    if s.nodes.count < 2 {
        let reason = "a change in stages needs two nodes at least, to compare";
        r.add("rollout", reason);
    }
    let parts = &rollout.parts;
    let rises = parts.windows(2).all(|pair| pair[0] < pair[1]);
    let starts_above_zero = parts.first().is_some_and(|part| *part > 0.0);
    if !rises || !starts_above_zero || parts.last() != Some(&1.0) {
        let reason = format!("{parts:?} does not rise from over 0 to 1.0");
        r.add("rollout.parts", reason);
    }
    if s.most_nodes() != s.nodes.count {
        let reason = "not beside a fault of kind nodes: the plan names its nodes once";
        r.add("rollout", reason);
    }
    for kill in &rollout.kills {
        r.range("rollout.kills", *kill, 0.0, s.length_s);
    }
}
