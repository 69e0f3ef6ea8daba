//! How long each node waits for a processor, by the system's account, so that the audit tells a node that is late from
//! one that is not let run.
use crate::Nanos;
use crate::ledger::Record;
use crate::stand_ins::Lab;
use std::path::PathBuf;

/// Waits shorter than this within one look at a node are not recorded: they are the usual turns of the scheduler.
const MIN_WAIT: Nanos = 1_000_000;

/// A node's account at the last look.
#[derive(Clone, Copy)]
struct Account {
    at: Nanos,
    waited: Nanos,
}

/// Watches the accounts of all nodes.
#[derive(Default)]
pub(super) struct StarvationWatch {
    /// By node: its file and what it last said.
    last: Vec<Option<(PathBuf, Account)>>,
}

impl StarvationWatch {
    /// Looks at a node and records what it waited since the last look. `account`: its file in procfs, none where it does
    /// not run. The first look at a process or thread says nothing yet.
    pub(super) fn look(&mut self, lab: &Lab, node: usize, account: Option<PathBuf>) {
        if self.last.len() <= node {
            self.last.resize(node + 1, None);
        }
        let now = account.and_then(|path| {
            let waited = waited(&path)?;
            let at = lab.now();
            Some((path, Account { at, waited }))
        });
        let before = std::mem::replace(&mut self.last[node], now.clone());
        let (Some((path, now)), Some((path_before, before))) = (now, before) else {
            return;
        };
        let waited = now.waited.saturating_sub(before.waited);
        if path == path_before && waited >= MIN_WAIT {
            lab.record(Record::NodeStarved {
                node: node as u16,
                from: before.at,
                to: now.at,
                waited,
            });
        }
    }
}

/// Nanoseconds for which a process or thread was ready to run and waited for a processor, since its start.
fn waited(schedstat: &std::path::Path) -> Option<Nanos> {
    let text = std::fs::read_to_string(schedstat).ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}
