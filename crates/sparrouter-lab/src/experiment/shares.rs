//! How well many nodes keep common limits: what all let in as within a quota, second by second, from their reports.
use crate::scenario::{Fault, Scenario};
use serde::Serialize;
use sparrouter_report::{Report, Share};
use std::collections::BTreeMap;
use std::path::Path;

/// One second of all nodes, of one limit.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Its beginning, in seconds from the first arrival.
    pub at_s: f64,
    /// As parts of the limit.
    pub within: f64,
    /// What arrived, as a multiple of the limit.
    pub arrived: f64,
    /// Sum of parts in force, by the latest report of each node.
    pub parts: f64,
    /// Jain's index of what nodes with more arrivals than were let in got.
    pub jain: f64,
    /// Nodes that reported.
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

/// The shares of one limit that a process reported, each with the time of its report in milliseconds since 1970. Begins with
/// the start of the process, at which all counts were 0.
type Process = Vec<(u64, Share)>;

/// The processes that reported, and the limit's rate a second. A process that started anew counts from 0.
fn processes(reports: &[Vec<Report>], limit: &str) -> (Vec<Process>, f64) {
    let mut processes: Vec<Process> = Vec::new();
    let mut per_s: f64 = 0.0;
    for node in reports {
        let mut uptime = u64::MAX;
        for report in node {
            let Some(share) = report.shares.iter().find(|s| s.limit == limit) else {
                continue;
            };
            per_s = per_s.max(share.per_s);
            if report.uptime_ms < uptime {
                // What came before its first line was let in by a process that was not there before.
                let started_at = report.unix_ms.saturating_sub(report.uptime_ms);
                processes.push(vec![(started_at, Share::default())]);
            }
            uptime = report.uptime_ms;
            if let Some(process) = processes.last_mut() {
                process.push((report.unix_ms, share.clone()));
            }
        }
    }
    (processes, per_s)
}

/// Jain's index of fairness; 1 where there is nothing to compare.
fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|x| x * x).sum();
    if squares > 0.0 {
        sum * sum / (values.len() as f64 * squares)
    } else {
        1.0
    }
}

/// What all processes did in the second from `from` on, in milliseconds since 1970.
fn second(processes: &[Process], per_s: f64, from: u64) -> Second {
    let to = from + 1000;
    let mut second = Second::default();
    let mut limited = Vec::new();
    for process in processes {
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
    second.jain = jain_index(&limited);
    second
}

/// The run second by second. `began_ms`: the first arrival, by the machine's clock.
pub fn seconds(reports: &[Vec<Report>], limit: &str, began_ms: u64, length_s: f64) -> Vec<Second> {
    let (processes, per_s) = processes(reports, limit);
    let seconds = 0..length_s as u64;
    seconds
        .map(|s| Second {
            at_s: s as f64,
            ..second(&processes, per_s, began_ms + s * 1000)
        })
        .collect()
}

/// From one beginning or end of a fault to the next.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    /// Its beginning, in seconds from the first arrival.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// The fault that begins it.
    pub what: String,
    /// Highest window that ends in it, and the mean of what was used once it had settled.
    pub over: f64,
    /// Highest sum of the shares in force, as a multiple of the limit.
    pub parts: f64,
    /// Mean fraction of the limit that was used, of what could have been.
    pub used: f64,
    /// Mean of Jain's index.
    pub jain: f64,
    /// After so long at least nine tenths were used in two seconds running; none: never in this phase.
    pub settled_s: Option<f64>,
}

/// Less than this of what could be let in is not settled.
const STABLE_USE: f64 = 0.9;

/// Where phases begin, in seconds from the first arrival, and by what.
fn boundaries(s: &Scenario) -> Vec<(f64, String)> {
    let mut boundaries: BTreeMap<u64, Vec<String>> = BTreeMap::from([(0, vec!["start".into()])]);
    let mut add = |at_s: f64, what: String| {
        let at_ms = (at_s * 1e3) as u64;
        boundaries.entry(at_ms).or_default().push(what);
    };
    for fault in &s.fault {
        let (from, to, what) = fault.span();
        if let Fault::Nodes { count, .. } = fault {
            add(from, format!("{count} nodes"));
            continue;
        }
        add(from, what.to_string());
        if to < s.length_s && to > from + 0.5 {
            add(to, format!("{what} over"));
        }
    }
    let in_seconds = |(ms, what): (u64, Vec<String>)| (ms as f64 / 1e3, what.join(", "));
    boundaries.into_iter().map(in_seconds).collect()
}

/// The mean of what was let in within the window of `length` seconds that ends with the one at `at_s`.
fn window_mean(seconds: &[Second], at_s: f64, length: usize) -> Option<f64> {
    let end = seconds.iter().position(|x| x.at_s >= at_s)? + 1;
    let start = end.checked_sub(length)?;
    let within = seconds[start..end].iter().map(|x| x.within);
    Some(within.sum::<f64>() / length as f64)
}

/// The first second from which on two in a row were settled.
fn stable_from(inside: &[&Second]) -> Option<f64> {
    let is_stable = |second: &&Second| second.used() >= STABLE_USE;
    let first = inside.windows(2).find(|pair| pair.iter().all(is_stable))?;
    Some(first[0].at_s)
}

/// Cuts a run into phases at the beginnings and ends of its faults, and summarises each.
pub fn phases(s: &Scenario, seconds: &[Second]) -> Vec<Phase> {
    let boundaries = boundaries(s);
    let window = s.shares.map_or(1, |c| (c.window_s.round() as usize).max(1));
    let phase = |(n, (from_s, what)): (usize, &(f64, String))| {
        let to_s = boundaries.get(n + 1).map_or(s.length_s, |next| next.0);
        // Whole seconds of this phase alone.
        let is_inside = |x: &&Second| x.at_s >= *from_s && x.at_s + 1.0 <= to_s;
        let inside: Vec<&Second> = seconds.iter().filter(is_inside).collect();
        let stable_from = stable_from(&inside);
        let is_stable = |x: &&&Second| stable_from.is_none_or(|at| x.at_s >= at);
        let settled: Vec<&&Second> = inside.iter().filter(is_stable).collect();
        let mean = |figure: &dyn Fn(&Second) -> f64| {
            settled.iter().map(|x| figure(x)).sum::<f64>() / settled.len().max(1) as f64
        };
        let over = inside
            .iter()
            .filter_map(|x| window_mean(seconds, x.at_s, window));
        Phase {
            from_s: *from_s,
            to_s,
            what: what.clone(),
            over: over.fold(0.0, f64::max),
            parts: inside.iter().map(|x| x.parts).fold(0.0, f64::max),
            used: mean(&|x| x.used()),
            jain: mean(&|x| x.jain),
            settled_s: stable_from.map(|at| at - from_s),
        }
    };
    boundaries.iter().enumerate().map(phase).collect()
}
