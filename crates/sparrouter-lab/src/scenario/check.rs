//! What a scenario may not say. Everything wrong is found in one pass.
use super::faults::{Fault, LinkFault};
use super::{Before, Effect, Scenario};

pub struct Problem {
    /// As in `fault[2].part`.
    pub field: String,
    pub why: String,
}

struct Report(Vec<Problem>);

impl Report {
    fn range(&mut self, field: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.say(
                field,
                format!("{value} is not allowed; {least} to {most} is"),
            );
        }
    }
    fn say(&mut self, field: &str, why: String) {
        self.0.push(Problem {
            field: field.into(),
            why,
        });
    }
    fn span(&mut self, field: &str, [from, to]: [f64; 2], most: f64) {
        if from > to {
            self.say(field, format!("the range [{from}, {to}] runs backwards"));
        }
        self.range(field, from, 0.0, most);
        self.range(field, to, 0.0, most);
    }
}

pub fn check(s: &Scenario) -> Vec<Problem> {
    let mut r = Report(Vec::new());
    r.range("length_s", s.length_s, 0.1, 86_400.0);
    r.range("nodes.count", s.nodes.count as f64, 1.0, 64.0);
    r.range("nodes.memory_mb", s.nodes.memory_mb as f64, 16.0, 65_536.0);
    r.range("nodes.sockets", s.nodes.sockets as f64, 64.0, 1e6);
    r.range("nodes.max_forwards", s.nodes.max_forwards as f64, 1.0, 64.0);
    r.range("nodes.front_notices_s", s.nodes.front_notices_s, 0.0, 60.0);
    r.range("caches.count", s.caches.count as f64, 1.0, 4000.0);
    r.range("caches.cores", s.caches.cores as f64, 1.0, 256.0);
    r.range("caches.speed", s.caches.speed, 0.01, 100.0);
    r.range("caches.speed_spread", s.caches.speed_spread, 0.0, 0.9);
    r.range("caches.connections", s.caches.connections as f64, 1.0, 1e6);
    r.range("caches.connect_ms", s.caches.connect_ms, 0.0, 1000.0);
    r.range("caches.idle_s", s.caches.idle_s, 0.1, 3600.0);
    r.range("caches.cold_from", s.caches.cold_from, 0.01, 1.0);
    r.range("caches.cold_s", s.caches.cold_s, 0.1, 3600.0);
    r.range("caches.zones", s.caches.zones as f64, 1.0, 16.0);
    r.range(
        "caches.body_bytes",
        s.caches.body_bytes as f64,
        16.0,
        65_536.0,
    );
    r.range("origin.per_s", s.origin.per_s, 0.1, 1e7);
    r.range("origin.takes_ms", s.origin.takes_ms, 0.0, 60_000.0);
    r.range("origin.queue_s", s.origin.queue_s, 0.0, 60.0);
    r.range("origin.stops_at", s.origin.stops_at, 0.0, 1000.0);
    r.span("discovery.add_s", s.discovery.add_s, 600.0);
    r.span("discovery.notice_s", s.discovery.notice_s, 600.0);
    r.span(
        "discovery.silent_notice_s",
        s.discovery.silent_notice_s,
        600.0,
    );
    r.span("peers.delay_ms", s.peers.delay_ms, 60_000.0);
    r.range("peers.lost_part", s.peers.lost_part, 0.0, 1.0);
    r.range("load.rate_per_s", s.load.rate_per_s, 0.1, 1e7);
    r.range("load.ramp_to", s.load.ramp_to, 0.01, 1000.0);
    r.range("load.keys", s.load.keys as f64, 1.0, 1e7);
    r.range("load.zipf", s.load.zipf, 0.0, 5.0);
    r.range("load.connections", s.load.connections as f64, 1.0, 60_000.0);
    r.range("load.retries", f64::from(s.load.retries), 0.0, 10.0);
    r.range("load.try_part", s.load.try_part, 0.01, 1.0);
    r.range("load.leave_part", s.load.leave_part, 0.0, 1.0);
    r.range("load.late_ms", s.load.late_ms, 0.01, 10_000.0);
    r.range("rules.fall_multiple", s.rules.fall_multiple, 0.0, 1000.0);
    r.range("rules.fall_s", s.rules.fall_s, 0.1, 600.0);
    r.range("rules.ask_every_s", s.rules.ask_every_s, 0.1, 3600.0);
    if s.operation.iter().map(|o| o.share).sum::<f64>() <= 0.0 && !s.operation.is_empty() {
        r.say(
            "operation[0].share",
            "all shares together must be above 0".into(),
        );
    }
    if s.operation.len() > 200 {
        r.say(
            "operation[200].name",
            "200 operations are allowed at most".into(),
        );
    }
    for (n, o) in s.operation.iter().enumerate() {
        let field = |f: &str| format!("operation[{n}].{f}");
        r.range(&field("share"), o.share, 0.0, 1e6);
        r.range(&field("work_ms"), o.work_ms, 0.0, 60_000.0);
        r.range(
            &field("objective_ms"),
            o.objective_ms as f64,
            1.0,
            o.client_timeout_ms as f64,
        );
        r.range(
            &field("client_timeout_ms"),
            o.client_timeout_ms as f64,
            20.0,
            3_600_000.0,
        );
        if o.effect != Effect::Idempotent && !o.write {
            r.say(
                &field("effect"),
                "only a write can be other than idempotent; set write = true".into(),
            );
        }
        if o.effect == Effect::Deduplicated && o.window_ms == 0 {
            r.say(
                &field("window_ms"),
                "a deduplicated operation needs the time that repeats are dropped".into(),
            );
        }
    }
    for (n, t) in s.tenant.iter().enumerate() {
        r.range(&format!("tenant[{n}].share"), t.share, 0.0, 1.0);
        r.range(&format!("tenant[{n}].sends"), t.sends, 0.0, 1e6);
        r.range(
            &format!("tenant[{n}].quota_per_s"),
            t.quota_per_s,
            0.0,
            1e12,
        );
    }
    if let Some(c) = &s.rollout {
        r.range("rollout.at_s", c.at_s, 0.0, s.length_s);
        r.range("rollout.hold_s", c.hold_s, 0.5, 3600.0);
        r.range("rollout.longest_s", c.longest_s, c.hold_s, 36_000.0);
        r.range("rollout.command_s", c.command_s, 0.5, 3600.0);
        r.range("rollout.down_at_once", c.down_at_once as f64, 1.0, 64.0);
        r.range("rollout.least_loss", c.least_loss, 0.0001, 0.9);
        r.range("rollout.fleet_loss", c.fleet_loss, 0.0001, 0.9);
        if s.nodes.count < 2 {
            r.say(
                "rollout",
                "a change in stages needs two nodes at least, to compare".into(),
            );
        }
        let rises =
            c.parts.windows(2).all(|w| w[0] < w[1]) && c.parts.first().is_some_and(|p| *p > 0.0);
        if !rises || c.parts.last() != Some(&1.0) {
            r.say(
                "rollout.parts",
                format!("{:?} does not rise from over 0 to 1.0", c.parts),
            );
        }
        if s.most_nodes() != s.nodes.count {
            r.say(
                "rollout",
                "not beside a fault of kind nodes: the plan names its nodes once".into(),
            );
        }
        c.kills
            .iter()
            .for_each(|k| r.range("rollout.kills", *k, 0.0, s.length_s));
    }
    if let Some(c) = &s.shares {
        r.range("shares.informed_s", c.informed_s, 0.1, 600.0);
        r.range("shares.lease_s", c.lease_s, 0.2, 60.0);
        r.range("shares.window_s", c.window_s, 0.05, 60.0);
    }
    for (n, f) in s.fault.iter().enumerate() {
        fault(&mut r, s, &format!("fault[{n}]"), f);
    }
    r.0
}

fn fault(r: &mut Report, s: &Scenario, at: &str, f: &Fault) {
    let field = |name: &str| format!("{at}.{name}");
    let (from, to, _) = f.span();
    r.range(&field("at_s"), from, 0.0, s.length_s);
    r.range(&field("length_s"), to - from, 0.001, 86_400.0);
    let mut part = |name: &str, value: f64| r.range(&field(name), value, 0.0, 1.0);
    match *f {
        Fault::Crash { part: p, .. }
        | Fault::Hang { part: p, .. }
        | Fault::NodeRestart { part: p, .. } => {
            part("part", p);
        }
        Fault::Pauses {
            part: p,
            pause_ms,
            every_s,
            ..
        } => {
            part("part", p);
            r.range(&field("pause_ms"), pause_ms, 1.0, 60_000.0);
            r.range(&field("every_s"), every_s, 0.05, 600.0);
        }
        Fault::Spoilt {
            part: p,
            errors,
            resets,
            ..
        } => {
            part("part", p);
            part("errors", errors);
            part("resets", resets);
        }
        Fault::SpoiltOrigin { errors, resets, .. } => {
            part("errors", errors);
            part("resets", resets);
        }
        Fault::Burst { times, .. } => r.range(&field("times"), times, 0.0, 1000.0),
        Fault::HotKey { part: p, keys, .. } => {
            part("part", p);
            r.range(&field("keys"), keys as f64, 1.0, s.load.keys as f64);
        }
        Fault::Flush { part: p, .. } => part("part", p),
        Fault::Deploy {
            part: p,
            batch,
            drain_s,
            ..
        } => {
            part("part", p);
            r.range(&field("batch"), batch, 0.001, 1.0);
            r.range(&field("drain_s"), drain_s, 0.0, 600.0);
        }
        Fault::Shrink {
            part: p, drain_s, ..
        } => {
            // One is left at least.
            r.range(&field("part"), p, 0.0, 1.0 - 1.0 / s.caches.count as f64);
            r.range(&field("drain_s"), drain_s, 0.0, 600.0);
        }
        Fault::Grow { times, .. } => r.range(&field("times"), times, 1.0, 100.0),
        Fault::Links {
            before,
            part: p,
            how,
            bytes,
            ..
        } => {
            part("part", p);
            if !s.link.iter().any(|l| l.before == before) {
                let word = format!("{before:?}").to_lowercase();
                r.say(
                    &field("before"),
                    format!("no [[link]] stands before {word}; add one"),
                );
            }
            if how == LinkFault::Cut && bytes == 0 {
                r.say(
                    &field("bytes"),
                    "a cut needs the bytes after which it comes".into(),
                );
            }
            if before == Before::Nodes && how != LinkFault::None {
                let why = "trouble between clients and nodes can't be told from a node's own: \
                           only delay and bandwidth are allowed there";
                r.say(&field("how"), why.into());
            }
        }
        Fault::Notes { lost_part, .. } => part("lost_part", lost_part),
        Fault::Nodes { count, told_s, .. } => {
            r.range(&field("count"), count as f64, 1.0, 64.0);
            r.range(&field("told_s"), told_s, 0.0, 3600.0);
        }
        Fault::Liar { node, .. } => {
            r.range(
                &field("node"),
                node as f64,
                0.0,
                s.most_nodes() as f64 - 1.0,
            );
        }
        Fault::Skew { part: p, nodes, .. } => {
            part("part", p);
            r.range(&field("nodes"), nodes as f64, 1.0, s.most_nodes() as f64);
        }
        Fault::NotesCut { part: p, .. } | Fault::NodePause { part: p, .. } => part("part", p),
        Fault::DiscoveryTrouble { .. } | Fault::DiscoveryMoved { .. } => {}
    }
}

/// The line that a field stands on, or that its table begins on where it is left out.
pub fn line(text: &str, field: &str) -> usize {
    let (table, name) = field.rsplit_once('.').unwrap_or(("", field));
    let (table, index) = match table.split_once('[') {
        Some((t, n)) => (t, n.trim_end_matches(']').parse::<usize>().ok()),
        None => (table, None),
    };
    let header = if index.is_some() {
        format!("[[{table}]]")
    } else {
        format!("[{table}]")
    };
    let (mut seen, mut inside, mut begun) = (0, table.is_empty(), 1);
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let here = line == header;
            inside = here && index.is_none_or(|i| i == seen);
            seen += usize::from(here);
            if inside {
                begun = n + 1;
            }
        } else if inside && line.split('=').next().is_some_and(|l| l.trim() == name) {
            return n + 1;
        }
    }
    begun
}
