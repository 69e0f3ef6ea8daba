//! Writes of the membership to disk. Callers that need their records on disk at the same time share one write: while a write
//! is in progress, all of them wait for the next one, which contains the records of each.
use super::Control;
use crate::control::disk::WriteRequest;
use nanoserde::SerBin;
use std::cell::{Cell, RefCell};
use tokio::sync::oneshot;

/// A caller that waits for a write; it receives whether the write succeeded.
type Waiter = oneshot::Sender<bool>;

/// A write that the disk has not confirmed yet.
struct WriteInProgress {
    /// Revision of the membership that is written.
    revision: u64,
    waiters: Vec<Waiter>,
}

/// The write in progress, and the callers that need a later one.
#[derive(Default)]
pub(super) struct MembershipWrites {
    in_progress: RefCell<Option<WriteInProgress>>,
    /// Callers whose records may not be in the write in progress.
    waiting: RefCell<Vec<Waiter>>,
    /// Revision of the membership on disk; 0 before the first write of this process.
    revision_on_disk: Cell<u64>,
}

impl Control {
    /// Starts a write of the membership for the next start, if it has changed since the last write and none is in progress.
    pub fn write_membership(&self) {
        let writes = &self.membership_writes;
        let revision = self.node.membership.borrow().revision();
        if revision == writes.revision_on_disk.get() || writes.in_progress.borrow().is_some() {
            return;
        }
        let records = {
            let membership = self.node.membership.borrow();
            membership.delta_since(0, 0, usize::MAX)
        };
        let waiters = writes.waiting.take();
        if !self
            .disk
            .submit(WriteRequest::Rows(records.serialize_bin()))
        {
            // Without a disk, the membership ends with the process.
            return notify_all(waiters, true);
        }
        *writes.in_progress.borrow_mut() = Some(WriteInProgress { revision, waiters });
    }

    /// Waits until the membership of now is on disk, or returns false if it cannot be written. Returns true without a disk.
    pub async fn store_membership(&self) -> bool {
        let writes = &self.membership_writes;
        if self.node.membership.borrow().revision() == writes.revision_on_disk.get() {
            return true;
        }
        let (waiter, written) = oneshot::channel();
        writes.waiting.borrow_mut().push(waiter);
        self.write_membership();
        written.await.unwrap_or(false)
    }

    /// Handles the outcome of the write in progress. `error`: why it failed.
    pub(super) fn handle_membership_written(&self, error: Option<String>) {
        let writes = &self.membership_writes;
        if let Some(write) = writes.in_progress.take() {
            if error.is_none() {
                writes.revision_on_disk.set(write.revision);
            }
            notify_all(write.waiters, error.is_none());
        }
        self.disk.record_failure(error);
        if !writes.waiting.borrow().is_empty() {
            self.write_membership();
        }
    }
}

fn notify_all(waiters: Vec<Waiter>, is_written: bool) {
    for waiter in waiters {
        // A caller may have given up.
        let _ = waiter.send(is_written);
    }
}
