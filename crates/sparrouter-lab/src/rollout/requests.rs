//! Executes the requests that the conductor's commands leave in a folder.
//!
//! A request is a file `NODE.PID.ask` with the command's name in it. It is renamed to `.taken` when its execution
//! begins; `.ok` or `.no` beside it is the answer. Files distinguish the command of a killed conductor from its successor's.
use super::POLL_INTERVAL;
use super::nodes::{Command, NodeRollout};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{JoinHandle, sleep, spawn};

/// Polls the folder on a thread until it is stopped.
pub(super) struct Server {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Server {
    pub(super) fn start(rollout: &Arc<NodeRollout>, folder: &Path) -> Server {
        let stopped = Arc::new(AtomicBool::new(false));
        let (rollout, folder, until) = (rollout.clone(), folder.to_path_buf(), stopped.clone());
        let thread = spawn(move || {
            while !until.load(Relaxed) {
                execute_all(&rollout, &folder);
                sleep(POLL_INTERVAL);
            }
        });
        Server { stopped, thread }
    }

    pub(super) fn stop(self) {
        self.stopped.store(true, Relaxed);
        let _ = self.thread.join();
    }
}

/// Begins each request of the folder on a thread of its own.
fn execute_all(rollout: &Arc<NodeRollout>, folder: &Path) {
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|extension| extension != "ask") {
            continue;
        }
        let command = std::fs::read_to_string(&path).unwrap_or_default();
        let taken = path.with_extension("taken");
        if std::fs::rename(&path, &taken).is_err() {
            continue;
        }
        let (rollout, node) = (rollout.clone(), node_number(&path));
        spawn(move || execute(&rollout, node, &command, &taken));
    }
}

fn execute(rollout: &NodeRollout, node: Option<usize>, command: &str, taken: &Path) {
    let node = node.filter(|n| *n < rollout.count());
    let executed = match (node, Command::parse(command)) {
        (Some(n), Some(command)) => rollout.execute(n, command).is_ok(),
        // An unknown node or command.
        _ => false,
    };
    let answer = if executed { "ok" } else { "no" };
    let _ = std::fs::write(taken.with_extension(answer), "");
}

/// The node of a request, from its file's name.
fn node_number(path: &Path) -> Option<usize> {
    let name = path.file_name()?.to_str()?;
    let (node, _) = name.strip_prefix('n')?.split_once('.')?;
    node.parse().ok()
}
