//! The result of a run as a table: how requests ended, phase by phase.
use crate::client::{Ending, RequestResult};
use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// The time from one step of the scenario to the next.
pub struct Phase {
    /// The steps that it begins with.
    pub name: String,
    /// When it begins by the scenario, in seconds; below 0 before the first step.
    pub at_s: f64,
    /// When it began.
    pub from: Instant,
}

/// A percentile in ms; `-` without values.
fn percentile(sorted: &[Duration], part: f64) -> String {
    let at = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted
        .get(at)
        .map_or("-".to_owned(), |d| format!("{:.0}", d.as_secs_f64() * 1e3))
}

/// Appends a row: how many requests ended how, and latencies of those served.
fn row(
    out: &mut String,
    wide: usize,
    name: &str,
    from: f64,
    results: &[&RequestResult],
    objective: Duration,
) {
    let count = |f: &dyn Fn(&RequestResult) -> bool| results.iter().filter(|c| f(c)).count();
    let served = |c: &RequestResult| c.ending == Ending::Served;
    let mut first: Vec<Duration> = results
        .iter()
        .filter(|c| served(c))
        .map(|c| c.first)
        .collect();
    first.sort_unstable();
    // Writing into a String does not fail.
    let _ = writeln!(
        out,
        "{name:<wide$} {from:>6.1} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>7}",
        results.len(),
        count(&|c| served(c) && c.first <= objective),
        count(&|c| served(c) && c.first > objective),
        count(&|c| c.ending == Ending::Refused),
        count(&|c| c.ending == Ending::Failed),
        percentile(&first, 0.5),
        percentile(&first, 0.99)
    );
}

/// The table. `objective`: latency up to which an answer is in time; `began`: the beginning of the run.
pub fn table(
    phases: &[Phase],
    results: &[RequestResult],
    objective: Duration,
    began: Instant,
) -> String {
    let wide = phases
        .iter()
        .map(|p| p.name.len())
        .max()
        .unwrap_or(0)
        .max(8);
    let mut out = format!(
        "{:<wide$} {:>6} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>7}\n",
        "phase", "from s", "requests", "served", "late", "refused", "failed", "p50 ms", "p99 ms"
    );
    for (n, phase) in phases.iter().enumerate() {
        let next = phases.get(n + 1).map(|p| p.from);
        let of: Vec<&RequestResult> = results
            .iter()
            .filter(|c| c.began >= phase.from && next.is_none_or(|n| c.began < n))
            .collect();
        row(
            &mut out,
            wide,
            &phase.name,
            (phase.from - began).as_secs_f64(),
            &of,
            objective,
        );
    }
    row(
        &mut out,
        wide,
        "all",
        0.0,
        &results.iter().collect::<Vec<_>>(),
        objective,
    );
    out
}
