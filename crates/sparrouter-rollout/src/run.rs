//! Carries out what the controller decides: writes the log, runs commands, reads reports. It decides nothing.
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

/// Why a rollout cannot be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The plan file is not valid.
    #[error("{path}: {source}")]
    Plan {
        /// The plan file.
        path: String,
        /// What is wrong with it.
        source: PlanError,
    },
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The log cannot be used.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The log, named here, belongs to another plan.
    #[error(
        "{0}: its log was begun with another plan; take that one back first, or name another log"
    )]
    OtherPlan(String),
    /// The log, named here, holds a rollout already.
    #[error(
        "{0}: a change was begun and not ended; `resume` goes on with it, `back` takes it back"
    )]
    AlreadyBegun(String),
    /// The log, named here, is empty.
    #[error("{0}: nothing was begun here; `run` begins")]
    NothingBegun(String),
}

impl RunError {
    /// An error of the system with the file that it concerns.
    pub fn io(path: &Path, source: std::io::Error) -> RunError {
        RunError::Io {
            path: path.display().to_string(),
            source,
        }
    }
}

/// What to do with the rollout of a log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Begin one; the log has to be empty.
    Run,
    /// Continue where an earlier controller ended.
    Resume,
    /// Take the change back, also after an end.
    Back,
}

/// Time between two looks at reports, commands and requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A plan with what identifies it in the log.
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
/// [`RunError::Io`] where it cannot be read, [`RunError::Plan`] where it is not valid.
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

/// Reads the entries of a log without locking it, also while a controller is at work.
///
/// # Errors
///
/// [`RunError::Io`] where it cannot be read, [`RunError::Record`] where its bytes are not what was written.
pub fn read_log(path: &Path) -> Result<Vec<Entry>, RunError> {
    let bytes = std::fs::read(path).map_err(|source| RunError::io(path, source))?;
    Ok(record::decode(&bytes, &path.display().to_string())?.entries)
}

/// Runs a rollout to its end. `print` gets each line for the operator.
///
/// # Errors
///
/// Any [`RunError`]. After an error of the log nothing more is done; `Mode::Resume` continues.
pub fn run(
    plan: &Path,
    log: &Path,
    mode: Mode,
    print: impl FnMut(&str),
) -> Result<Outcome, RunError> {
    run_by(plan, log, mode, print, || {})
}

/// As [`run`]; `checkpoint` is called before and after each write of the log and each start of a command: at the points
/// where a controller that is killed leaves different states behind.
///
/// # Errors
///
/// As [`run`].
pub fn run_by(
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
    if mode == Mode::Back {
        // After an end the nodes are as the log says, and the rollback continues from there.
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
            Mode::Back => vec![Event::RollbackRequested],
            Mode::Run | Mode::Resume => Vec::new(),
        },
        print,
        checkpoint,
    };
    runner.run()
}

/// Whether the log may be used in this mode: an empty one by `Run`, one of the same plan by the others.
fn check_log(
    loaded: &LoadedPlan,
    entries: &[Entry],
    mode: Mode,
    log: &Path,
) -> Result<(), RunError> {
    let name = log.display().to_string();
    match (entries.first(), mode) {
        (None, Mode::Run) => Ok(()),
        (None, _) => Err(RunError::NothingBegun(name)),
        (Some(Entry::Plan { digest, .. }), _) if *digest != loaded.digest => {
            Err(RunError::OtherPlan(name))
        }
        (Some(_), Mode::Run) => Err(RunError::AlreadyBegun(name)),
        _ => Ok(()),
    }
}

/// A rollout at work.
struct Runner<'a, Print, Checkpoint> {
    log_path: &'a Path,
    log: Log,
    history: History,
    /// By node.
    reports: Vec<ReportTail>,
    commands: Commands,
    controller: RolloutController,
    /// What the controller is informed of next.
    events: Vec<Event>,
    print: Print,
    checkpoint: Checkpoint,
}

impl<Print: FnMut(&str), Checkpoint: FnMut()> Runner<'_, Print, Checkpoint> {
    fn run(mut self) -> Result<Outcome, RunError> {
        let started = Instant::now();
        loop {
            self.collect_events();
            // Never 0, which stands for a moment before this controller.
            let now = started.elapsed().as_nanos() as u64 + crate::SECOND;
            let events = std::mem::take(&mut self.events);
            for action in self.controller.tick(now, events) {
                if let Some(outcome) = self.carry_out(action)? {
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

    /// Carries out one action, and returns the outcome with the last. After an error of the log the following actions
    /// are not carried out, as they were not logged.
    fn carry_out(&mut self, action: Action) -> Result<Option<Outcome>, RunError> {
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
