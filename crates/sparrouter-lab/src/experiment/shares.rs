//! How well many nodes keep common limits: what all let in as within a quota, second by second, from their reports.
use crate::scenario::{Fault, Scenario};
use serde::Serialize;
use sparrouter_report::{Report, Share};
use std::collections::BTreeMap;
use std::path::Path;

/// One second of all nodes, of one limit.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    pub at_s: f64,
    /// As parts of the limit.
    pub within: f64,
    pub arrived: f64,
    /// Sum of parts in force, by the latest report of each node.
    pub parts: f64,
    /// Jain's index of what nodes with more arrivals than were let in got.
    pub jain: f64,
    pub nodes: usize,
}

impl Second {
    /// Of what could have been let in.
    pub fn used(&self) -> f64 {
        self.within / self.arrived.clamp(1e-9, 1.0)
    }
}

/// Reports by node, in the order written.
pub fn read(folder: &Path, nodes: usize) -> Vec<Vec<Report>> {
    let lines = |n: usize| {
        let path = folder.join(format!("n{n}/report.jsonl"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.lines()
            .filter_map(|l| serde_json::from_str::<Report>(l).ok())
            .collect()
    };
    (0..nodes).map(lines).collect()
}

/// Counts at a moment, along a straight line between two reports of one process; none outside its life.
fn at(process: &[(u64, Share)], ms: u64) -> Option<(f64, f64, f64)> {
    let after = process.partition_point(|l| l.0 < ms);
    let (a, b) = (process.get(after.checked_sub(1)?)?, process.get(after)?);
    let part = (ms - a.0) as f64 / (b.0 - a.0).max(1) as f64;
    let between = |x: u64, y: u64| x as f64 + part * (y as f64 - x as f64);
    Some((
        between(a.1.within, b.1.within),
        between(a.1.arrived, b.1.arrived),
        a.1.part,
    ))
}

/// `began_ms`: the first arrival, by the machine's clock.
pub fn seconds(reports: &[Vec<Report>], limit: &str, began_ms: u64, length_s: f64) -> Vec<Second> {
    // A process that started anew counts from 0.
    let mut processes: Vec<Vec<(u64, Share)>> = Vec::new();
    let mut per_s: f64 = 0.0;
    for node in reports {
        let mut uptime = u64::MAX;
        for r in node {
            let Some(share) = r.shares.iter().find(|s| s.limit == limit) else {
                continue;
            };
            per_s = per_s.max(share.per_s);
            if r.uptime_ms < uptime {
                // What came before its first line was let in by a process that was not there before.
                processes.push(vec![(
                    r.unix_ms.saturating_sub(r.uptime_ms),
                    Share::default(),
                )]);
            }
            uptime = r.uptime_ms;
            if let Some(process) = processes.last_mut() {
                process.push((r.unix_ms, share.clone()));
            }
        }
    }
    let mut all = Vec::new();
    for s in 0..length_s as u64 {
        let (from, to) = (began_ms + s * 1000, began_ms + (s + 1) * 1000);
        let mut second = Second {
            at_s: s as f64,
            jain: 1.0,
            ..Second::default()
        };
        let mut limited = Vec::new();
        for process in &processes {
            let (first, last) = (process[0].0, process[process.len() - 1].0);
            if last <= from || first >= to {
                continue;
            }
            let (Some(a), Some(b)) = (at(process, from.max(first + 1)), at(process, to.min(last)))
            else {
                continue;
            };
            let (within, arrived) = (b.0 - a.0, b.1 - a.1);
            second.within += within / per_s;
            second.arrived += arrived / per_s;
            second.parts += b.2 / per_s;
            second.nodes += 1;
            // Only whole seconds of a node compare.
            if first <= from && last >= to && arrived > 1.15 * within + 1.0 {
                limited.push(within);
            }
        }
        let (sum, squares) = limited
            .iter()
            .fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
        if squares > 0.0 {
            second.jain = sum * sum / (limited.len() as f64 * squares);
        }
        all.push(second);
    }
    all
}

/// From one beginning or end of a fault to the next.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    pub from_s: f64,
    pub to_s: f64,
    pub what: String,
    /// Highest window that ends in it, and the mean of what was used once it had settled.
    pub over: f64,
    pub parts: f64,
    pub used: f64,
    pub jain: f64,
    /// After so long at least nine tenths were used in two seconds running; none: never in this phase.
    pub settled_s: Option<f64>,
}

/// Less than this of what could be let in is not settled.
const SETTLED_USE: f64 = 0.9;

/// Cuts a run into phases at the beginnings and ends of its faults, and summarises each.
pub fn phases(s: &Scenario, seconds: &[Second]) -> Vec<Phase> {
    let mut boundaries: BTreeMap<u64, Vec<String>> = BTreeMap::from([(0, vec!["start".into()])]);
    for f in &s.fault {
        let (from, to, what) = f.span();
        let what = match f {
            Fault::Nodes { count, .. } => format!("{count} nodes"),
            _ => what.to_string(),
        };
        boundaries
            .entry((from * 1e3) as u64)
            .or_default()
            .push(what.clone());
        if !matches!(f, Fault::Nodes { .. }) && to < s.length_s && to > from + 0.5 {
            boundaries
                .entry((to * 1e3) as u64)
                .or_default()
                .push(format!("{what} over"));
        }
    }
    let boundaries: Vec<(f64, String)> = boundaries
        .into_iter()
        .map(|(ms, w)| (ms as f64 / 1e3, w.join(", ")))
        .collect();
    let window = s.shares.map_or(1, |c| (c.window_s.round() as usize).max(1));
    let over = |at: f64| {
        let last = seconds.iter().position(|x| x.at_s >= at)? + 1;
        let first = last.checked_sub(window)?;
        Some(seconds[first..last].iter().map(|x| x.within).sum::<f64>() / window as f64)
    };
    let mut all = Vec::new();
    for (n, (from, what)) in boundaries.iter().enumerate() {
        let to = boundaries.get(n + 1).map_or(s.length_s, |m| m.0);
        // Whole seconds of this phase alone.
        let inside: Vec<&Second> = seconds
            .iter()
            .filter(|x| x.at_s >= *from && x.at_s + 1.0 <= to)
            .collect();
        let good = |x: &&Second| x.used() >= SETTLED_USE;
        let settled_at = inside
            .windows(2)
            .find(|w| w.iter().all(good))
            .map(|w| w[0].at_s);
        let rest: Vec<&&Second> = inside
            .iter()
            .filter(|x| settled_at.is_none_or(|at| x.at_s >= at))
            .collect();
        let mean = |f: &dyn Fn(&Second) -> f64| {
            rest.iter().map(|x| f(x)).sum::<f64>() / rest.len().max(1) as f64
        };
        all.push(Phase {
            from_s: *from,
            to_s: to,
            what: what.clone(),
            over: inside
                .iter()
                .filter_map(|x| over(x.at_s))
                .fold(0.0, f64::max),
            parts: inside.iter().map(|x| x.parts).fold(0.0, f64::max),
            used: mean(&|x| x.used()),
            jain: mean(&|x| x.jain),
            settled_s: settled_at.map(|at| at - from),
        });
    }
    all
}
