//! The pending disk writes of this process, and the last write error.
use super::Control;
use crate::control::disk::{WriteQueue, WriteRequest};
use std::cell::{Cell, RefCell};

/// The queue of disk writes, and the state of the disk.
pub(super) struct DiskQueue {
    /// `None` if the process has no disk and its state ends with it.
    queue: Option<WriteQueue>,
    /// Why the last write of a shard's record or of the membership failed, with the remedy; `None` if it succeeded.
    failure: RefCell<Option<String>>,
    /// Whether a write of the version ages is pending.
    pub(super) is_writing_version_ages: Cell<bool>,
}

impl DiskQueue {
    pub(super) fn new(queue: Option<WriteQueue>) -> DiskQueue {
        DiskQueue {
            queue,
            failure: RefCell::default(),
            is_writing_version_ages: Cell::new(false),
        }
    }

    /// Requests a write; returns false without a disk. Writes are carried out in the order in which they are submitted.
    pub(super) fn submit(&self, request: WriteRequest) -> bool {
        let Some(submit) = &self.queue else {
            return false;
        };
        submit(request);
        true
    }

    /// Records the outcome of the last write, and logs when the disk starts or stops failing.
    pub(super) fn record_failure(&self, failure: Option<String>) {
        match (&failure, &*self.failure.borrow()) {
            (Some(failure), None) => log::warn!("disk write failed: {failure}"),
            (None, Some(_)) => log::info!("disk writes succeed again"),
            _ => {}
        }
        *self.failure.borrow_mut() = failure;
    }

    /// Why the last write of a shard's record or of the membership failed, with the remedy; `None` if it succeeded.
    pub(super) fn failure(&self) -> Option<String> {
        self.failure.borrow().clone()
    }
}

impl Control {
    /// A message for an operator, with the remedy added if this node's disk fails.
    pub fn with_disk_failure(&self, message: &str) -> String {
        match self.disk.failure() {
            Some(failure) => format!("{message}; {failure}"),
            None => message.to_owned(),
        }
    }

    /// Writes the ages of named versions to disk for the next start; skipped while an earlier write of them is pending.
    pub fn write_version_ages(&self, bytes: Vec<u8>) {
        let is_writing = &self.disk.is_writing_version_ages;
        if !is_writing.get() && self.disk.submit(WriteRequest::VersionAges(bytes)) {
            is_writing.set(true);
        }
    }
}
