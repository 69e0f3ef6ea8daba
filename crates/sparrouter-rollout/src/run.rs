//! Carries out what the conductor decides: logs, runs commands within their time, reads reports. Decides nothing.
use crate::conduct::{Action, Conductor, Doing, Entry, How, Input};
use crate::page::{self, History, Line};
use crate::plan::{Command, Plan, PlanError};
use crate::record::{Log, RecordError};
use crate::report::Report;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum RunError {
    #[error("{path}: {source}")]
    Plan { path: String, source: PlanError },
    #[error("{path}: {source}")]
    Io {
        path: String,
        source: std::io::Error,
    },
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error(
        "{0}: its log was begun with another plan; take that one back first, or name another log"
    )]
    OtherPlan(String),
    #[error(
        "{0}: a change was begun and not ended; `resume` goes on with it, `back` takes it back"
    )]
    Begun(String),
    #[error("{0}: nothing was begun here; `run` begins")]
    Nothing(String),
}

/// What is wanted of the log that is there.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Run,
    Resume,
    Back,
}

/// Reads at the end of a node's report file; a file that was begun anew is read from its start.
struct Tail {
    path: PathBuf,
    at: u64,
    rest: Vec<u8>,
}

/// No line of a report is longer: what is, is passed over.
const LINE: usize = 1 << 20;
const LOOK: Duration = Duration::from_millis(20);

impl Tail {
    fn last(&mut self) -> Option<Report> {
        let mut file = File::open(&self.path).ok()?;
        let length = file.metadata().ok()?.len();
        if length < self.at {
            (self.at, self.rest) = (0, Vec::new());
        }
        // Only the latest counts: what grew while nobody looked is skipped.
        if length - self.at > LINE as u64 {
            (self.at, self.rest) = (length - LINE as u64, Vec::new());
        }
        file.seek(SeekFrom::Start(self.at)).ok()?;
        let read = file.take(LINE as u64).read_to_end(&mut self.rest).ok()?;
        self.at += read as u64;
        let end = self.rest.iter().rposition(|b| *b == b'\n')?;
        let whole: Vec<u8> = self.rest.drain(..=end).collect();
        if self.rest.len() > LINE {
            self.rest.clear();
        }
        let mut lines = whole.rsplit(|b| *b == b'\n').filter(|l| !l.is_empty());
        lines.find_map(|l| serde_json::from_slice(l).ok())
    }
}

struct Running {
    child: Child,
    doing: Doing,
    until: Instant,
}

fn start(command: &Command) -> std::io::Result<Child> {
    let mut c = std::process::Command::new(&command[0]);
    c.args(&command[1..])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::inherit());
    c.spawn()
}

/// Where a person's word is left for a conductor at work: beside its log.
pub fn ask_file(log: &Path) -> PathBuf {
    let mut name = log.as_os_str().to_owned();
    name.push(".ask");
    PathBuf::from(name)
}

fn asked(log: &Path) -> Option<Input> {
    let path = ask_file(log);
    let text = std::fs::read_to_string(&path).ok()?;
    let _ = std::fs::remove_file(&path);
    match text.trim() {
        "stop" => Some(Input::Stop),
        "back" => Some(Input::Back),
        _ => None,
    }
}

pub fn load(path: &Path) -> Result<(Plan, u32), RunError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| RunError::Io {
        path: name.clone(),
        source,
    })?;
    let plan = Plan::read(&text).map_err(|source| RunError::Plan { path: name, source })?;
    Ok((plan, crc32fast::hash(text.as_bytes())))
}

/// Runs to the end. `say` gets each line of progress.
pub fn run(plan: &Path, log: &Path, mode: Mode, say: impl FnMut(&str)) -> Result<How, RunError> {
    run_by(plan, log, mode, say, || {})
}

/// The same; `point` is called before and after each write of the log and each start of a command: wherever what is
/// outside changes, and a killed conductor's successor has to find its way.
pub fn run_by(
    plan: &Path,
    log: &Path,
    mode: Mode,
    mut say: impl FnMut(&str),
    mut point: impl FnMut(),
) -> Result<How, RunError> {
    let (plan, digest) = load(plan)?;
    let name = log.display().to_string();
    let (mut record, entries) = Log::open(log)?;
    match (entries.first(), mode) {
        (None, Mode::Run) => {
            point();
            record.append(&Entry::Plan {
                name: plan.name.clone(),
                digest,
            })?;
            point();
        }
        (None, _) => return Err(RunError::Nothing(name)),
        (Some(Entry::Plan { digest: d, .. }), _) if *d != digest => {
            return Err(RunError::OtherPlan(name));
        }
        (Some(_), Mode::Run) => return Err(RunError::Begun(name)),
        _ => {}
    }
    if let (Some(Entry::Done { how }), Mode::Resume) = (entries.last(), mode) {
        return Ok(how.clone());
    }
    // Taken back by hand after an end: the nodes are as the log says, and the end is not the last word.
    let entries: Vec<Entry> = match mode {
        Mode::Back => entries
            .into_iter()
            .filter(|e| !matches!(e, Entry::Done { .. }))
            .collect(),
        _ => entries,
    };
    let mut tails: Vec<Tail> = plan
        .nodes
        .iter()
        .map(|n| Tail {
            path: PathBuf::from(&n.report),
            at: 0,
            rest: Vec::new(),
        })
        .collect();
    let (commands, limit) = (plan.nodes.clone(), Duration::from_nanos(plan.command));
    let mut pages = History::open(log);
    let mut conductor = Conductor::new(plan, &entries);
    let (began, mut running) = (Instant::now(), BTreeMap::<usize, Running>::new());
    let mut inputs: Vec<Input> = if mode == Mode::Back {
        vec![Input::Back]
    } else {
        Vec::new()
    };
    loop {
        inputs.extend(asked(log));
        for (node, tail) in tails.iter_mut().enumerate() {
            if let Some(report) = tail.last() {
                inputs.push(Input::Report {
                    node,
                    report: Box::new(report),
                });
            }
        }
        let over: Vec<usize> = running.keys().copied().collect();
        for node in over {
            let Some(r) = running.get_mut(&node) else {
                continue;
            };
            let ok = match r.child.try_wait() {
                Ok(Some(status)) if status.success() => Ok(()),
                Ok(Some(status)) => Err(status.to_string()),
                Ok(None) if Instant::now() < r.until => continue,
                Ok(None) => {
                    let _ = r.child.kill();
                    let _ = r.child.wait();
                    Err(format!("not over after {} s", limit.as_secs_f64()))
                }
                Err(error) => Err(error.to_string()),
            };
            inputs.push(Input::Ended {
                node,
                doing: r.doing,
                ok,
            });
            running.remove(&node);
        }
        // Never 0: that stands for 'long ago'.
        let now = began.elapsed().as_nanos() as u64 + crate::SECOND;
        for action in conductor.tick(now, std::mem::take(&mut inputs)) {
            match action {
                // On an error nothing is done that could not be logged.
                Action::Log(entry) => {
                    point();
                    record.append(&entry)?;
                    point();
                }
                Action::Say(text) => {
                    pages.add(&Line::Said {
                        at: page::unix(),
                        text: text.clone(),
                    });
                    say(&text);
                }
                Action::Show(seen) => pages.add(&Line::Seen {
                    at: page::unix(),
                    seen,
                }),
                Action::Finish(how) => {
                    pages.add(&Line::Ended {
                        at: page::unix(),
                        how: how.clone(),
                    });
                    return Ok(how);
                }
                Action::Run { node, doing } => {
                    let n = &commands[node];
                    let command = match doing {
                        Doing::Change => &n.change,
                        Doing::Back => &n.back,
                        Doing::Restart => &n.restart,
                    };
                    point();
                    let started = start(command);
                    point();
                    match started {
                        Ok(child) => {
                            running.insert(
                                node,
                                Running {
                                    child,
                                    doing,
                                    until: Instant::now() + limit,
                                },
                            );
                        }
                        Err(error) => inputs.push(Input::Ended {
                            node,
                            doing,
                            ok: Err(error.to_string()),
                        }),
                    }
                }
            }
        }
        std::thread::sleep(LOOK);
    }
}
