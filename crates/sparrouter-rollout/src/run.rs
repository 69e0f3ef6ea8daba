//! Executes the controller's actions: writes the log, runs commands and reads reports. It makes no decisions itself.
mod commands;
mod operator_request;
mod report_tail;

use crate::controller::{Action, Event, RolloutController};
use crate::history::{self, History, HistoryLine};
use crate::plan::{Plan, PlanError};
use crate::record::{self, CommandKind, Entry, Log, Outcome, RecordError};
use commands::Commands;
pub use operator_request::OperatorRequest;
use report_tail::ReportTail;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Error that prevents or aborts a rollout.
#[derive(Debug, Error)]
pub enum RunError {
    /// The plan file is not valid.
    #[error("{path}: {source}")]
    Plan {
        /// Path of the plan file.
        path: String,
        /// Error in the plan file.
        source: PlanError,
    },
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    Io {
        /// Path of the file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The log cannot be used.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The log at this path belongs to another plan.
    #[error(
        "{0}: the log belongs to another plan; roll that rollout back first, or choose another log"
    )]
    OtherPlan(String),
    /// The log at this path already contains a rollout.
    #[error("{0}: the log already contains a rollout; `resume` continues it, `back` rolls it back")]
    AlreadyStarted(String),
    /// The log at this path is empty.
    #[error("{0}: the log contains no rollout; `run` starts one")]
    NotStarted(String),
}

impl RunError {
    /// Creates an I/O error with the path of the affected file.
    pub fn io(path: &Path, source: std::io::Error) -> RunError {
        RunError::Io {
            path: path.display().to_string(),
            source,
        }
    }
}

/// Mode in which a rollout is run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Start a rollout; the log must be empty.
    Run,
    /// Continue where an earlier controller stopped.
    Resume,
    /// Roll the change back, even if the rollout has ended.
    RollBack,
}

/// Interval at which reports, commands and operator requests are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A plan with the digest that identifies it in the log.
pub struct LoadedPlan {
    /// The plan.
    pub plan: Plan,
    /// CRC-32 of the file's text.
    pub digest: u32,
}

/// Reads a plan file.
///
/// # Errors
///
/// [`RunError::Io`] if the file cannot be read, [`RunError::Plan`] if the plan is not valid.
pub fn load(path: &Path) -> Result<LoadedPlan, RunError> {
    let text = std::fs::read_to_string(path).map_err(|source| RunError::io(path, source))?;
    let plan = Plan::read(&text).map_err(|source| RunError::Plan {
        path: path.display().to_string(),
        source,
    })?;
    Ok(LoadedPlan {
        plan,
        digest: crc32fast::hash(text.as_bytes()),
    })
}

/// Reads the entries of a log without locking it, so that it works while a controller is running.
///
/// # Errors
///
/// [`RunError::Io`] if the file cannot be read, [`RunError::Record`] if the log is corrupt.
pub fn read_log(path: &Path) -> Result<Vec<Entry>, RunError> {
    let bytes = std::fs::read(path).map_err(|source| RunError::io(path, source))?;
    Ok(record::decode(&bytes, &path.display().to_string())?.entries)
}

/// Runs a rollout to its end. `print` is called with each line for the operator.
///
/// # Errors
///
/// Any [`RunError`]. After an error of the log no further action is executed; [`Mode::Resume`] continues the rollout.
pub fn run(
    plan: &Path,
    log: &Path,
    mode: Mode,
    print: impl FnMut(&str),
) -> Result<Outcome, RunError> {
    run_with_checkpoints(plan, log, mode, print, || {})
}

/// As [`run`], and calls `checkpoint` before and after each log write and each command start. These are the points at
/// which a killed controller leaves different states behind.
///
/// # Errors
///
/// As [`run`].
pub fn run_with_checkpoints(
    plan: &Path,
    log: &Path,
    mode: Mode,
    print: impl FnMut(&str),
    mut checkpoint: impl FnMut(),
) -> Result<Outcome, RunError> {
    let loaded = load(plan)?;
    let mut opened = Log::open(log)?;
    check_log(&loaded, &opened.entries, mode, log)?;
    if opened.entries.is_empty() {
        checkpoint();
        opened.log.append(&Entry::Plan {
            name: loaded.plan.name.clone(),
            digest: loaded.digest,
        })?;
        checkpoint();
    }
    if let (Some(Entry::Finished { outcome }), Mode::Resume) = (opened.entries.last(), mode) {
        return Ok(outcome.clone());
    }
    if mode == Mode::RollBack {
        // If the rollout has ended, the rollback starts from the state of the nodes that the log records.
        let is_end = |entry: &Entry| matches!(entry, Entry::Finished { .. });
        opened.entries.retain(|entry| !is_end(entry));
    }
    let nodes = loaded.plan.nodes.clone();
    let timeout = Duration::from_nanos(loaded.plan.command_timeout);
    let report_path = |node: &crate::plan::Node| PathBuf::from(&node.report_path);
    let runner = Runner {
        log_path: log,
        log: opened.log,
        history: History::open(log),
        reports: nodes.iter().map(report_path).map(ReportTail::new).collect(),
        commands: Commands::new(nodes, timeout),
        controller: RolloutController::new(loaded.plan, &opened.entries),
        events: match mode {
            Mode::RollBack => vec![Event::RollbackRequested],
            Mode::Run | Mode::Resume => Vec::new(),
        },
        print,
        checkpoint,
    };
    runner.run()
}

/// Checks that the log fits the mode: `Run` requires an empty log, the other modes a log of the same plan.
fn check_log(
    loaded: &LoadedPlan,
    entries: &[Entry],
    mode: Mode,
    log: &Path,
) -> Result<(), RunError> {
    let name = log.display().to_string();
    match (entries.first(), mode) {
        (None, Mode::Run) => Ok(()),
        (None, _) => Err(RunError::NotStarted(name)),
        (Some(Entry::Plan { digest, .. }), _) if *digest != loaded.digest => {
            Err(RunError::OtherPlan(name))
        }
        (Some(_), Mode::Run) => Err(RunError::AlreadyStarted(name)),
        _ => Ok(()),
    }
}

/// A running rollout.
struct Runner<'a, Print, Checkpoint> {
    log_path: &'a Path,
    log: Log,
    history: History,
    /// Report file of each node, by node index.
    reports: Vec<ReportTail>,
    commands: Commands,
    controller: RolloutController,
    /// Events for the next tick of the controller.
    events: Vec<Event>,
    print: Print,
    checkpoint: Checkpoint,
}

impl<Print: FnMut(&str), Checkpoint: FnMut()> Runner<'_, Print, Checkpoint> {
    fn run(mut self) -> Result<Outcome, RunError> {
        let started = Instant::now();
        loop {
            self.collect_events();
            // The time is never 0, which means that an earlier controller recorded the event.
            let now = started.elapsed().as_nanos() as u64 + crate::SECOND;
            let events = std::mem::take(&mut self.events);
            for action in self.controller.tick(now, events) {
                if let Some(outcome) = self.execute(action)? {
                    return Ok(outcome);
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn collect_events(&mut self) {
        self.events.extend(operator_request::take(self.log_path));
        for (node, tail) in self.reports.iter_mut().enumerate() {
            if let Some(report) = tail.newest() {
                let report = Box::new(report);
                self.events.push(Event::Report { node, report });
            }
        }
        self.events.extend(self.commands.take_ended());
    }

    /// Executes one action, and returns the outcome if it is the last one. After an error of the log the following
    /// actions are not executed, as they are not logged.
    fn execute(&mut self, action: Action) -> Result<Option<Outcome>, RunError> {
        let time = history::unix_time();
        match action {
            Action::Log(entry) => {
                (self.checkpoint)();
                self.log.append(&entry)?;
                (self.checkpoint)();
            }
            Action::Print(text) => {
                self.history.add(&HistoryLine::Printed {
                    time,
                    text: text.clone(),
                });
                (self.print)(&text);
            }
            Action::Observe(observation) => {
                self.history
                    .add(&HistoryLine::Observed { time, observation });
            }
            Action::Run { node, command } => self.start_command(node, command),
            Action::Finish(outcome) => {
                self.history.add(&HistoryLine::Finished {
                    time,
                    outcome: outcome.clone(),
                });
                return Ok(Some(outcome));
            }
        }
        Ok(None)
    }

    fn start_command(&mut self, node: usize, command: CommandKind) {
        (self.checkpoint)();
        let started = self.commands.start(node, command);
        (self.checkpoint)();
        if let Err(error) = started {
            self.events.push(Event::CommandEnded {
                node,
                command,
                result: Err(error),
            });
        }
    }
}
