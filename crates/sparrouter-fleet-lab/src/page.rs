//! The results of a run as a table: outcomes and latencies of the requests of each phase.
use crate::client::{Ending, RequestResult};
use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// The time from one step of the scenario to the next.
pub struct Phase {
    /// Names of the steps at its start.
    pub name: String,
    /// Its start time in the scenario, in seconds; below 0 for the phase before the first step.
    pub at_s: f64,
    /// Its actual start time.
    pub from: Instant,
}

/// Formats a percentile in ms; `-` if there are no values. `fraction` is from 0 to 1.
fn percentile(sorted: &[Duration], fraction: f64) -> String {
    let index =
        ((sorted.len() as f64 * fraction).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted
        .get(index)
        .map_or("-".to_owned(), |d| format!("{:.0}", d.as_secs_f64() * 1e3))
}

/// Appends a row: the number of requests with each outcome, and latency percentiles of served requests. `from_s`: start
/// of the phase in seconds.
fn row(
    out: &mut String,
    name_width: usize,
    name: &str,
    from_s: f64,
    results: &[&RequestResult],
    objective: Duration,
) {
    let count_where = |f: &dyn Fn(&RequestResult) -> bool| results.iter().filter(|c| f(c)).count();
    let served = |c: &RequestResult| c.ending == Ending::Served;
    let mut latencies: Vec<Duration> = results
        .iter()
        .filter(|c| served(c))
        .map(|c| c.first)
        .collect();
    latencies.sort_unstable();
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "{name:<name_width$} {from_s:>6.1} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>7}",
        results.len(),
        count_where(&|c| served(c) && c.first <= objective),
        count_where(&|c| served(c) && c.first > objective),
        count_where(&|c| c.ending == Ending::Refused),
        count_where(&|c| c.ending == Ending::Failed),
        percentile(&latencies, 0.5),
        percentile(&latencies, 0.99)
    );
}

/// Formats the table. `objective`: the latency target; `began`: start of the run.
pub fn table(
    phases: &[Phase],
    results: &[RequestResult],
    objective: Duration,
    began: Instant,
) -> String {
    let name_width = phases
        .iter()
        .map(|p| p.name.len())
        .max()
        .unwrap_or(0)
        .max(8);
    let mut out = format!(
        "{:<name_width$} {:>6} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>7}\n",
        "phase", "from s", "requests", "served", "late", "refused", "failed", "p50 ms", "p99 ms"
    );
    for (n, phase) in phases.iter().enumerate() {
        let next = phases.get(n + 1).map(|p| p.from);
        let phase_results: Vec<&RequestResult> = results
            .iter()
            .filter(|c| c.began >= phase.from && next.is_none_or(|n| c.began < n))
            .collect();
        row(
            &mut out,
            name_width,
            &phase.name,
            (phase.from - began).as_secs_f64(),
            &phase_results,
            objective,
        );
    }
    row(
        &mut out,
        name_width,
        "all",
        0.0,
        &results.iter().collect::<Vec<_>>(),
        objective,
    );
    out
}
