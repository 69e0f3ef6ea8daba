//! The node's report: lines of JSON that are appended to a file of the operator. All counts are cumulative, so a line
//! that could not be written loses no information.
use super::error::NodeError;
use super::operator::{Identity, ReportConfig};
use crate::invariant::{OccurrenceCounter, violations};
use crate::transport::pool::Pool;
use sparrouter_balancer::gossip::FORMATS;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::{Nanos, Operation as Rules, PolicyCounts, SHED_REASONS};
use sparrouter_report::{BUCKETS, Operation, Report, Share, bucket};
use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Milliseconds per clock tick in `/proc`: 100 ticks per second, as on every Linux that Rust's standard library runs on
/// by default.
const TICK_MS: u64 = 10;
/// Size of a memory page in KiB, as on every Linux that Rust's standard library runs on by default.
const PAGE_KIB: u64 = 4;

/// Start time of the process and its count of opened connections, which continue when the report's file changes.
#[derive(Clone)]
pub struct ProcessCounts {
    /// Number of connections that the node has opened to peers.
    pub opened: Rc<Cell<u64>>,
    /// Time at which the node started.
    pub started_at: Instant,
}

impl ProcessCounts {
    /// Returns the counts of a node that started at `started_at` and whose opened connections `pool` counts.
    pub fn new(pool: &Pool, started_at: Instant) -> ProcessCounts {
        ProcessCounts {
            opened: pool.opened.clone(),
            started_at,
        }
    }
}

/// An operation of the settings and its index.
pub struct OperationRules {
    /// Index of the operation in the decision actor.
    pub index: usize,
    /// The operation's name.
    pub name: String,
    /// The operation's values in the settings.
    pub rules: Rules,
}

/// The value of an answer of one operation, and the index of its entry in the report.
#[derive(Clone, Default)]
struct OperationValue {
    entry: usize,
    billed_value: f64,
    late_value_fraction: f64,
    latency_target: Nanos,
}

/// Collects the counts of the report and writes its lines.
pub struct Reporter {
    config: ReportConfig,
    file: File,
    /// Size of `file` in bytes.
    written: u64,
    process_counts: ProcessCounts,
    next_line: Instant,
    /// Values of the operations, indexed by the decision actor's operation index.
    values: Vec<OperationValue>,
    report: Report,
    lost_lines: OccurrenceCounter,
}

fn open_for_append(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

impl Reporter {
    /// Opens the report's file.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    pub fn open(
        config: ReportConfig,
        name: &str,
        identity: Identity,
        process_counts: ProcessCounts,
    ) -> Result<Reporter, NodeError> {
        let file = open_for_append(&config.path).map_err(|error| NodeError::Report {
            path: config.path.clone(),
            error,
        })?;
        let written = file.metadata().map(|m| m.len()).unwrap_or(0);
        let report = Report {
            name: name.to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            generation: identity.generation,
            placement: format!("{:016x}", Policy::placement()),
            notes: FORMATS.to_vec(),
            ..Report::default()
        };
        Ok(Reporter {
            config,
            file,
            written,
            process_counts,
            next_line: Instant::now(),
            values: Vec::new(),
            report,
            lost_lines: OccurrenceCounter::new(),
        })
    }

    /// Replaces the identity of the node in its report.
    pub fn set_identity(&mut self, identity: Identity) {
        self.report.generation = identity.generation;
    }

    /// Applies settings with this fingerprint: assigns each operation its entry in the report. An operation that was
    /// reported before continues its entry, found by name.
    pub fn place_operations(&mut self, fingerprint: u64, operations: &[OperationRules]) {
        self.report.settings = format!("{fingerprint:016x}");
        for operation in operations {
            let entry = self.entry(&operation.name);
            let count = self.values.len().max(operation.index + 1);
            self.values.resize(count, OperationValue::default());
            self.values[operation.index] = OperationValue {
                entry,
                billed_value: operation.rules.billed_value,
                late_value_fraction: operation.rules.late_value_fraction,
                latency_target: operation.rules.latency_target,
            };
        }
        let report = &self.report;
        log::info!(
            "report: generation {:?}, settings {}, placement {}, notes {:?}",
            report.generation,
            report.settings,
            report.placement,
            report.notes
        );
    }

    /// Returns the index of the operation's entry in the report, which is added if it is missing.
    fn entry(&mut self, name: &str) -> usize {
        let operations = &mut self.report.operations;
        operations
            .iter()
            .position(|o| o.name == name)
            .unwrap_or_else(|| {
                operations.push(Operation {
                    name: name.to_string(),
                    latency: vec![0; BUCKETS],
                    ..Operation::default()
                });
                operations.len() - 1
            })
    }

    /// Time at which the next line is due.
    pub fn next_line(&self) -> Instant {
        self.next_line
    }

    /// Whether the next line is due.
    pub fn is_line_pending(&self) -> bool {
        Instant::now() >= self.next_line
    }

    /// Counts an accepted invocation.
    pub fn count_arrival(&mut self, operation: usize) {
        let value = &self.values[operation];
        let entry = &mut self.report.operations[value.entry];
        entry.taken += 1;
        entry.asked += value.billed_value;
    }

    /// Counts an invocation that was answered with a value, and its latency.
    pub fn count_success(&mut self, operation: usize, latency: Duration) {
        let value = &self.values[operation];
        let entry = &mut self.report.operations[value.entry];
        let is_in_time = latency.as_nanos() as Nanos <= value.latency_target;
        let fraction = if is_in_time {
            1.0
        } else {
            value.late_value_fraction
        };
        entry.succeeded += 1;
        entry.in_time += value.billed_value * fraction;
        entry.latency[bucket(latency.as_micros() as u64)] += 1;
    }

    /// Counts an invocation that was answered without a value: throttled (503) or failed (502).
    pub fn count_failure(&mut self, operation: usize, is_throttled: bool) {
        let entry = &mut self.report.operations[self.values[operation].entry];
        if is_throttled {
            entry.throttled += 1;
        } else {
            entry.errored += 1;
        }
    }

    /// Counts a forward. `is_fetch` is true if the forward goes to the origin.
    pub fn count_forward(&mut self, is_fetch: bool) {
        self.report.forwards += 1;
        self.report.fetches += u64::from(is_fetch);
    }

    /// Writes one line. An I/O error is logged and the line is dropped.
    pub fn write(&mut self, policy: &PolicyCounts, shares: Vec<Share>) {
        let interval = *self.config.every_ms.get_ref();
        self.next_line = Instant::now() + Duration::from_millis(interval);
        let report = &mut self.report;
        report.uptime_ms = self.process_counts.started_at.elapsed().as_millis() as u64;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        report.unix_ms = unix_time.map_or(0, |d| d.as_millis() as u64);
        report.breaches = violations();
        report.shares = shares;
        report.opened = self.process_counts.opened.get();
        report.doubts = policy.suspicions;
        report.cold_sends = policy.warm_up_forwards;
        report.given_up = SHED_REASONS
            .iter()
            .map(|reason| reason.to_string())
            .zip(policy.shed)
            .collect();
        report.memory_kib = resident_kib();
        report.cpu_ms = processor_ms();
        report.descriptors = open_descriptors();
        if let Err(error) = self.append()
            && let Some(count) = self.lost_lines.increment()
        {
            log::warn!("report: {error}, {count} lines lost so far");
        }
    }

    fn append(&mut self) -> std::io::Result<()> {
        let mut line = serde_json::to_vec(&self.report)?;
        line.push(b'\n');
        if self.written + line.len() as u64 > 1024 * self.config.keep_kib.get_ref() {
            let mut old = self.config.path.clone().into_os_string();
            old.push(".1");
            std::fs::rename(&self.config.path, old)?;
            self.file = open_for_append(&self.config.path)?;
            self.written = 0;
        }
        // A single write: a reader sees complete lines and at most a partial last line.
        self.file.write_all(&line)?;
        self.written += line.len() as u64;
        Ok(())
    }
}

/// Resident memory of this process in KiB; 0 if `/proc` is not readable.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    PAGE_KIB * pages.unwrap_or(0)
}

/// CPU time of this process, user and system, in milliseconds; 0 if `/proc` is not readable.
fn processor_ms() -> u64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name, in parentheses, may contain spaces, so the fields are counted from the closing parenthesis.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok());
    ticks.sum::<u64>() * TICK_MS
}

/// Number of open file descriptors of this process; 0 if `/proc` is not readable.
fn open_descriptors() -> u64 {
    std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64)
}
