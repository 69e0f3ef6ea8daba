//! The conductor in a process of its own: its work there, and its supervision by the lab, which kills and replaces it.
use super::{Observation, POLL_INTERVAL, RolloutError, Tools};
use crate::nanos;
use crate::play::Environment;
use crate::scenario::rollout::Rollout;
use sparrouter_rollout::record::{self, Entry, Outcome};
use sparrouter_rollout::run::{Mode, run_with_checkpoints};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::sleep;
use std::time::Instant;

/// Names the plan of the conductor's process.
const PLAN_VARIABLE: &str = "SPARROUTER_PLAN";
/// Names the point of its work at which a conductor aborts: the n-th before or after a write or a command, from 1.
const ABORT_POINT_VARIABLE: &str = "SPARROUTER_DIES";

/// The conductor's outcome, beside its plan.
fn outcome_file(plan: &Path) -> PathBuf {
    plan.with_extension("how")
}

/// The lines that the conductor logs, beside its plan.
fn lines_file(plan: &Path) -> PathBuf {
    plan.with_extension("said")
}

/// The conductor's process: begins, or resumes where there is a log. Its plan is named by `SPARROUTER_PLAN`.
///
/// # Errors
/// Where the plan is not named, its files can't be read or written, or the conductor can't work by it.
pub fn conduct() -> Result<(), RolloutError> {
    let plan = std::env::var(PLAN_VARIABLE).map_err(|_| RolloutError::NoPlan)?;
    let plan = PathBuf::from(plan);
    let log = plan.with_extension("log");
    let begun = std::fs::metadata(&log).is_ok_and(|file| file.len() > 0);
    let mode = if begun { Mode::Resume } else { Mode::Run };
    let mut lines = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(lines_file(&plan))?;
    let abort_point: Option<usize> = std::env::var(ABORT_POINT_VARIABLE)
        .ok()
        .and_then(|point| point.parse().ok());
    let mut points = 0;
    let on_point = || {
        points += 1;
        // As with kill -9: nothing is flushed, nobody is notified.
        if abort_point == Some(points) {
            std::process::abort();
        }
    };
    let on_line = |line: &str| {
        let _ = writeln!(lines, "{line}");
    };
    let outcome = run_with_checkpoints(&plan, &log, mode, on_line, on_point)
        .map_err(RolloutError::Conductor)?;
    let text = serde_json::to_string(&outcome).map_err(RolloutError::Outcome)?;
    std::fs::write(outcome_file(&plan), text)?;
    Ok(())
}

/// What conductors left behind beside their plan.
pub(super) struct ConductorReport {
    /// In the words of a run's result, with the reason; none where no conductor ended.
    pub(super) outcome: Option<(String, String)>,
    /// Stages begun.
    pub(super) stages: usize,
    pub(super) lines: Vec<String>,
}

impl ConductorReport {
    /// Files that are not there or can't be read count as empty.
    pub(super) fn read(plan: &Path) -> ConductorReport {
        let outcome = std::fs::read_to_string(outcome_file(plan)).unwrap_or_default();
        let outcome = serde_json::from_str::<Outcome>(&outcome).ok();
        let outcome = outcome.map(|outcome| match outcome {
            Outcome::Completed => ("through".into(), String::new()),
            Outcome::RolledBack(reason) => ("back".into(), reason),
            Outcome::LeftToOperator(reason) => ("left".into(), reason),
        });
        let lines = std::fs::read_to_string(lines_file(plan)).unwrap_or_default();
        let log = std::fs::read(plan.with_extension("log")).unwrap_or_default();
        let entries = record::read(&log, "log")
            .map(|read| read.0)
            .unwrap_or_default();
        let is_stage = |entry: &&_| matches!(entry, Entry::Stage { .. });
        ConductorReport {
            outcome,
            stages: entries.iter().filter(is_stage).count(),
            lines: lines.lines().map(str::to_string).collect(),
        }
    }
}

/// A conductor's process, killed when dropped.
struct Conductor(Child);

impl Drop for Conductor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Conductor {
    fn start(
        tools: &Tools,
        plan: &Path,
        abort_point: Option<usize>,
    ) -> Result<Conductor, RolloutError> {
        let error_output = std::fs::File::create(plan.with_extension("err"))?;
        let mut command = Command::new(&tools.conductor[0]);
        command
            .args(&tools.conductor[1..])
            .env(PLAN_VARIABLE, plan)
            .env_remove(ABORT_POINT_VARIABLE)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(error_output);
        if let Some(point) = abort_point {
            command.env(ABORT_POINT_VARIABLE, point.to_string());
        }
        let child = command
            .spawn()
            .map_err(|source| RolloutError::StartConductor {
                program: tools.conductor[0].clone(),
                source,
            })?;
        Ok(Conductor(child))
    }
}

/// Keeps a conductor at work until it ends or the run is over; kills it at the scenario's times, and replaces one that
/// was killed or aborted.
pub(super) fn supervise(
    environment: &Environment,
    wanted: &Rollout,
    tools: &Tools,
    plan: &Path,
    over: &AtomicBool,
) -> Result<Observation, RolloutError> {
    let began = Instant::now();
    let mut observed = Observation::default();
    let mut abort_points = wanted.dies.iter().copied();
    let mut abort_point = abort_points.next();
    let mut conductor = Conductor::start(tools, plan, abort_point)?;
    let lab = &environment.lab;
    let mut kills: Vec<Instant> = wanted
        .kills
        .iter()
        .map(|at_s| lab.instant(nanos(*at_s)))
        .collect();
    kills.sort();
    let mut kills = kills.into_iter().peekable();
    while !over.load(Relaxed) {
        if kills.next_if(|at| Instant::now() >= *at).is_some() {
            drop(conductor);
            observed.kills += 1;
            conductor = Conductor::start(tools, plan, None)?;
        }
        if let Ok(Some(status)) = conductor.0.try_wait() {
            let aborted = status.code().is_none() && abort_point.is_some();
            if aborted {
                observed.kills += 1;
                abort_point = abort_points.next();
                conductor = Conductor::start(tools, plan, abort_point)?;
                continue;
            }
            observed.duration = Some(began.elapsed());
            if !status.success() {
                let file = plan.with_extension("err");
                observed.error_output = std::fs::read_to_string(file).unwrap_or_default();
            }
            break;
        }
        sleep(POLL_INTERVAL);
    }
    Ok(observed)
}
