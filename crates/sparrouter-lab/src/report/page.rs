//! The page itself, and the table that the program prints.
use super::plots;
use crate::ledger::audit::Verdict;
use crate::ledger::figures::{Counts, Tally};
use crate::play::{Band, Run};
use crate::rollout::RolloutResult;
use std::fmt::Write;

/// Breaches that the printed table lists; the page lists all that are kept.
const MAX_BREACHES_IN_TABLE: usize = 10;

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn counts_row(out: &mut String, name: &str, c: &Counts) {
    let part = 100.0 * c.in_objective as f64 / c.asked.max(1) as f64;
    let _ = writeln!(
        out,
        "{name:<18}{:>9}{:>9}{part:>8.2}%{:>9}{:>10}{:>9}{:>11}{:>7}",
        c.asked, c.in_objective, c.past_objective, c.throttled, c.errored, c.unanswered, c.left
    );
}

fn rules(out: &mut String, v: &Verdict) {
    for rule in 1..=4 {
        let broken: Vec<String> = v
            .breaches
            .iter()
            .filter(|(b, _)| b.rule() == rule)
            .map(|(b, n)| format!("{} {n}", spaced(&format!("{b:?}"))))
            .collect();
        let kept = if broken.is_empty() {
            "kept".into()
        } else {
            format!("BROKEN: {}", broken.join(", "))
        };
        let rules = [
            "one final answer",
            "no effect twice",
            "drains kept",
            "cold not pushed over",
        ];
        let _ = writeln!(
            out,
            "rule {rule} ({}): {kept}",
            rules[usize::from(rule) - 1]
        );
    }
    for (why, count) in &v.unjudged {
        let _ = writeln!(out, "not judged: {count}, {why}");
    }
    for (description, count) in &v.seen {
        let _ = writeln!(out, "seen: {count}, {description}");
    }
    for f in v.listed.iter().take(MAX_BREACHES_IN_TABLE) {
        let _ = writeln!(
            out,
            "  at {:.3} s {} {}: {}",
            f.at_s,
            spaced(&format!("{:?}", f.breach)),
            f.id,
            f.what
        );
    }
}

/// `SentToDrained` as `sent to drained`.
fn spaced(name: &str) -> String {
    let mut text = String::new();
    for c in name.chars() {
        if c.is_uppercase() && !text.is_empty() {
            text.push(' ');
        }
        text.extend(c.to_lowercase());
    }
    text
}

fn validity(t: &Tally) -> String {
    let late = format!("p99 {:.2} ms, max {:.1} ms", t.late_ms.p99, t.late_ms.max);
    if t.valid() {
        format!("the lab dealt arrivals out in time: {late}")
    } else {
        format!(
            "NOT VALID: the lab was late itself: {late}, allowed {} ms",
            t.late_bound_ms
        )
    }
}

/// What is printed after a run.
pub fn table(run: &Run) -> String {
    let t = &run.tally;
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{} on {}, seed {}",
        run.scenario.name, run.program, run.scenario.seed
    );
    let _ = writeln!(
        out,
        "{:<18}{:>9}{:>9}{:>9}{:>9}{:>10}{:>9}{:>11}{:>7}",
        "operation", "asked", "in time", "", "late", "throttled", "errored", "unanswered", "left"
    );
    for (name, c) in &t.by_operation {
        counts_row(&mut out, name, c);
    }
    if t.by_tenant.len() > 1 {
        for (name, c) in &t.by_tenant {
            counts_row(&mut out, name, c);
        }
    }
    counts_row(&mut out, "all", &t.total);
    figures(&mut out, run);
    if let Some(rollout) = &run.rollout {
        rollout_line(&mut out, rollout);
    }
    rules(&mut out, &run.verdict);
    let _ = writeln!(out, "{}", validity(t));
    out
}

/// Latencies, costs, and how forwards ended.
fn figures(out: &mut String, run: &Run) {
    let t = &run.tally;
    let q = &t.latency_ms;
    let _ = writeln!(
        out,
        "latency ms: p50 {:.2}, p90 {:.2}, p99 {:.2}, p99.9 {:.2}, max {:.1}; value in time {:.4}",
        q.p50, q.p90, q.p99, q.p999, q.max, t.value
    );
    let asked = t.total.asked.max(1) as f64;
    let _ = writeln!(
        out,
        "each: {:.3} forwards, {:.3} at the origin, {:.4} connections, {:.1} us of node CPU; node at most {:.1} MB, {} descriptors",
        t.forwards as f64 / asked,
        t.fetches as f64 / asked,
        t.connected as f64 / asked,
        run.cpu_us(),
        run.memory_mb,
        run.descriptors
    );
    let outcomes = t.outcomes.iter().map(|(how, n)| format!("{how} {n}"));
    let outcomes: Vec<String> = outcomes.collect();
    let _ = writeln!(out, "forwards ended: {}", outcomes.join(", "));
}

fn rollout_line(out: &mut String, rollout: &RolloutResult) {
    let why = if rollout.why.is_empty() {
        String::new()
    } else {
        format!(" ({})", rollout.why)
    };
    let _ = writeln!(
        out,
        "change: {}{why}, {} stages, {:.1} s, {} nodes changed at the end, conductor killed {} times",
        rollout.how,
        rollout.stages,
        rollout.took_s,
        rollout.changed.len(),
        rollout.kills
    );
}

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1140px;color:#222}\
pre{background:#f6f6f4;padding:1em;overflow-x:auto;font-size:13px}h2{margin:1.4em 0 .2em;font-size:17px}\
.kept{color:#1a7f37}.broken{color:#b00020;font-weight:bold}svg{max-width:100%;height:auto}\
.bands span{background:#ffe9b8;padding:.1em .5em;margin-right:.5em;white-space:nowrap}";

/// The report of a run as one HTML page.
pub fn page(run: &Run) -> String {
    let mut out = String::from("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">");
    let name = escape(&run.scenario.name);
    let _ = write!(
        out,
        "<title>{name}</title><style>{STYLE}</style><h1>{name}</h1>"
    );
    let _ = write!(out, "<p>{}</p>", escape(&run.scenario.about));
    let (class, word) = match (run.verdict.kept(), run.tally.valid()) {
        (false, _) => ("broken", "Rules broken"),
        (true, false) => ("broken", "Rules kept; the run is not valid"),
        (true, true) => ("kept", "All four rules kept"),
    };
    let _ = write!(
        out,
        "<p class=\"{class}\">{word}; {} invocations judged.</p>",
        run.verdict.judged
    );
    let _ = write!(out, "<pre>{}</pre>", escape(&table(run)));
    if !run.bands.is_empty() {
        fault_bands(&mut out, &run.bands);
    }
    for plot in plots::all(run) {
        let _ = write!(out, "<h2>{}</h2>{}", plot.title, plot.svg);
    }
    if run.verdict.listed.len() > MAX_BREACHES_IN_TABLE {
        breaches(&mut out, &run.verdict);
    }
    if !run.tally.slowest.is_empty() {
        let _ = write!(out, "<h2>Slowest, in ms from when they were due</h2><pre>");
        let _ = writeln!(out, "{}</pre>", escape(&run.tally.slowest.join("\n")));
    }
    let scenario = toml::to_string(&run.scenario).unwrap_or_default();
    let _ = write!(
        out,
        "<h2>Scenario</h2><pre>{}</pre></html>",
        escape(&scenario)
    );
    out
}

/// The faults of the run, as the plots shade them.
fn fault_bands(out: &mut String, bands: &[Band]) {
    out.push_str("<p class=\"bands\">Faults (shaded): ");
    for band in bands {
        let _ = write!(
            out,
            "<span>{} {:.1}–{:.1} s</span>",
            escape(&band.what),
            band.from_s,
            band.to_s
        );
    }
    out.push_str("</p>");
}

/// All breaches that are listed, a line each.
fn breaches(out: &mut String, verdict: &Verdict) {
    out.push_str("<h2>Breaches</h2><pre>");
    for listed in &verdict.listed {
        let _ = writeln!(
            out,
            "{:>9.3} s  {:?}  {}  {}",
            listed.at_s,
            listed.breach,
            listed.id,
            escape(&listed.what)
        );
    }
    out.push_str("</pre>");
}
