//! The node's report: a line of JSON at a time in a file of the operator's. Counts only rise, so a line that could
//! not be written costs nothing.
use super::operator::{Identity, Report as Wanted};
use crate::invariant::{OccurrenceCounter, breaches};
use sparrouter_balancer::gossip::FORMATS;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::{Nanos, Operation as Rules, PolicyCounts, SHED_REASONS};
use sparrouter_report::{BUCKETS, Operation, Report, Share, bucket};
use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Billed value and what an answer in time is, of one operation; and its entry in the report.
#[derive(Clone, Default)]
struct Worth {
    entry: usize,
    value: f64,
    late: f64,
    objective: Nanos,
}

pub struct Reporter {
    wanted: Wanted,
    file: File,
    written: u64,
    began: Instant,
    next: Instant,
    worth: Vec<Worth>,
    report: Report,
    lost: OccurrenceCounter,
    /// Connections opened by the whole node.
    opened: Rc<Cell<u64>>,
}

fn open(path: &std::path::Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

impl Reporter {
    pub fn open(
        wanted: Wanted,
        name: &str,
        identity: Identity,
        opened: Rc<Cell<u64>>,
        began: Instant,
    ) -> Result<Reporter, String> {
        let file =
            open(&wanted.path).map_err(|e| format!("report {}: {e}", wanted.path.display()))?;
        let written = file.metadata().map(|m| m.len()).unwrap_or(0);
        let report = Report {
            name: name.to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            generation: identity.generation,
            placement: format!("{:016x}", Policy::placement()),
            notes: FORMATS.to_vec(),
            ..Report::default()
        };
        let (worth, next) = (Vec::new(), Instant::now());
        Ok(Reporter {
            wanted,
            file,
            written,
            began,
            next,
            worth,
            report,
            lost: OccurrenceCounter::new(),
            opened,
        })
    }

    pub fn identify(&mut self, identity: Identity) {
        self.report.generation = identity.generation;
    }

    /// Settings with this fingerprint: where each operation stands now. One that was reported before goes on under its name.
    pub fn place(&mut self, settings: u64, operations: &[(usize, (String, Rules))]) {
        self.report.settings = format!("{settings:016x}");
        for (at, (name, rules)) in operations {
            let all = &mut self.report.operations;
            let entry = all.iter().position(|o| o.name == *name).unwrap_or_else(|| {
                all.push(Operation {
                    name: name.clone(),
                    latency: vec![0; BUCKETS],
                    ..Operation::default()
                });
                all.len() - 1
            });
            let (value, late, objective) = (
                rules.billed_value,
                rules.late_value_fraction,
                rules.latency_target,
            );
            self.worth
                .resize(self.worth.len().max(at + 1), Worth::default());
            self.worth[*at] = Worth {
                entry,
                value,
                late,
                objective,
            };
        }
        let r = &self.report;
        log::info!(
            "report: generation {:?}, settings {}, placement {}, notes {:?}",
            r.generation,
            r.settings,
            r.placement,
            r.notes
        );
    }

    pub fn next(&self) -> Instant {
        self.next
    }

    pub fn taken(&mut self, operation: usize) {
        let worth = &self.worth[operation];
        let op = &mut self.report.operations[worth.entry];
        (op.taken, op.asked) = (op.taken + 1, op.asked + worth.value);
    }
    pub fn succeeded(&mut self, operation: usize, took: Duration) {
        let worth = &self.worth[operation];
        let op = &mut self.report.operations[worth.entry];
        let in_time = took.as_nanos() as Nanos <= worth.objective;
        op.succeeded += 1;
        op.in_time += worth.value * if in_time { 1.0 } else { worth.late };
        op.latency[bucket(took.as_micros() as u64)] += 1;
    }
    pub fn gave_up(&mut self, operation: usize, throttled: bool) {
        let op = &mut self.report.operations[self.worth[operation].entry];
        *(if throttled {
            &mut op.throttled
        } else {
            &mut op.errored
        }) += 1;
    }
    pub fn forwarded(&mut self, fetch: bool) {
        self.report.forwards += 1;
        self.report.fetches += u64::from(fetch);
    }

    pub fn due(&self) -> bool {
        Instant::now() >= self.next
    }

    pub fn write(&mut self, told: PolicyCounts, shares: Vec<Share>) {
        self.next = Instant::now() + Duration::from_millis(*self.wanted.every_ms.get_ref());
        let r = &mut self.report;
        r.uptime_ms = self.began.elapsed().as_millis() as u64;
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        r.unix_ms = unix.map_or(0, |d| d.as_millis() as u64);
        (r.breaches, r.shares) = (breaches(), shares);
        (r.opened, r.doubts, r.cold_sends) =
            (self.opened.get(), told.suspicions, told.warm_up_forwards);
        r.given_up = SHED_REASONS
            .iter()
            .map(|w| w.to_string())
            .zip(told.shed)
            .collect();
        // 0 where the system does not say. Pages of 4 KiB, 100 clock ticks a second, as on every Linux that Rust's
        // standard library runs on by default.
        let pages = std::fs::read_to_string("/proc/self/statm").ok();
        let pages = pages.and_then(|t| t.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok()));
        r.memory_kib = 4 * pages.unwrap_or(0);
        let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        r.cpu_ms = fields
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse::<u64>().ok())
            .sum::<u64>()
            * 10;
        r.descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count() as u64);
        if let Err(error) = self.append()
            && let Some(count) = self.lost.again()
        {
            log::warn!("report: {error}, {count} lines lost so far");
        }
    }

    fn append(&mut self) -> std::io::Result<()> {
        let mut line = serde_json::to_vec(&self.report)?;
        line.push(b'\n');
        if self.written + line.len() as u64 > 1024 * self.wanted.keep_kib.get_ref() {
            let mut old = self.wanted.path.clone().into_os_string();
            old.push(".1");
            std::fs::rename(&self.wanted.path, old)?;
            (self.file, self.written) = (open(&self.wanted.path)?, 0);
        }
        // One call: a reader sees whole lines or the start of the last.
        self.file.write_all(&line)?;
        self.written += line.len() as u64;
        Ok(())
    }
}
