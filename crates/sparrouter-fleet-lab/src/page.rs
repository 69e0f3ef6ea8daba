//! The table of a run: what came of requests, phase by phase.
use crate::client::{Came, End};
use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// From one step to the next.
pub struct Phase {
    pub name: String,
    /// As the scenario has it; below 0 before its first step.
    pub at_s: f64,
    pub from: Instant,
}

fn percentile(sorted: &[Duration], part: f64) -> String {
    let at = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted
        .get(at)
        .map_or("-".to_owned(), |d| format!("{:.0}", d.as_secs_f64() * 1e3))
}

fn row(out: &mut String, wide: usize, name: &str, from: f64, came: &[&Came], objective: Duration) {
    let count = |f: &dyn Fn(&Came) -> bool| came.iter().filter(|c| f(c)).count();
    let served = |c: &Came| c.end == End::Served;
    let mut first: Vec<Duration> = came.iter().filter(|c| served(c)).map(|c| c.first).collect();
    first.sort_unstable();
    // Writing into a String does not fail.
    let _ = writeln!(
        out,
        "{name:<wide$} {from:>6.1} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>7}",
        came.len(),
        count(&|c| served(c) && c.first <= objective),
        count(&|c| served(c) && c.first > objective),
        count(&|c| c.end == End::Refused),
        count(&|c| c.end == End::Failed),
        percentile(&first, 0.5),
        percentile(&first, 0.99)
    );
}

pub fn table(phases: &[Phase], came: &[Came], objective: Duration, began: Instant) -> String {
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
        let of: Vec<&Came> = came
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
        &came.iter().collect::<Vec<_>>(),
        objective,
    );
    out
}
