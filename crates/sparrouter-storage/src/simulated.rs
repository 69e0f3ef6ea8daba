//! A directory in memory that simulates failures of disks, for tests of this package and others.
//!
//! A power loss keeps, tears or loses each write that was not synced, and keeps or reverts each creation, renaming or
//! removal of a file since the last sync of the directory; the seed determines which. The disk may also fill up, be
//! wiped, or fail at the nth operation, before or after the operation has its effect.
mod disk;

use crate::files::Files;
use disk::{Content, Disk, NameChange, ScheduledFailure};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The way in which an operation fails. All later operations fail too, until [`SimulatedFiles::clear_failure`],
/// [`SimulatedFiles::wipe`] or [`SimulatedFiles::lose_power`] is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFailure {
    /// The operation reports an error and has no effect.
    NotExecuted,
    /// The operation reports an error although it has its effect.
    ExecutedWithError,
    /// The operation reports an error. A write or its sync stops after this number of bytes; any other operation has
    /// its effect.
    Torn(usize),
}

/// A simulated directory. Clones share one disk, like a process and the process after its restart.
#[derive(Clone, Debug)]
pub struct SimulatedFiles {
    disk: Arc<Mutex<Disk>>,
}

impl SimulatedFiles {
    /// Creates an empty directory. The seed determines which unsynced data survives a power loss.
    pub fn new(seed: u64) -> SimulatedFiles {
        SimulatedFiles {
            disk: Arc::new(Mutex::new(Disk::new(seed))),
        }
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of operations so far. A write and its sync count as two operations; reading and listing don't count.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Makes the nth operation from now (0 is the next one) and all later operations fail.
    pub fn schedule_failure(&self, nth: u64, failure: DiskFailure) {
        let mut disk = self.disk();
        let operation = disk.operations + nth;
        disk.scheduled_failure = Some(ScheduledFailure { operation, failure });
    }

    /// Limits the total size of all files in bytes; `None` means no limit.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.disk().capacity = capacity;
    }

    /// Makes operations succeed again. The effects of failed operations remain.
    pub fn clear_failure(&self) {
        self.disk().clear_failure();
    }

    /// Removes all files, like a replacement of the disk. Operations succeed again.
    pub fn wipe(&self) {
        self.disk().wipe();
    }

    /// Simulates a power loss: unsynced data is kept, torn or lost. Operations succeed again.
    pub fn lose_power(&self) {
        self.disk().lose_power();
    }

    /// A separate copy of the disk after the worst power loss, which contains only synced data.
    pub fn synced_snapshot(&self) -> SimulatedFiles {
        let disk = self.disk();
        let snapshot = SimulatedFiles::new(0);
        for (name, id) in &disk.durable {
            let content = disk.contents.get(id);
            if let Some(synced) = content.and_then(|content| content.synced.as_ref()) {
                snapshot.put(name, synced);
            }
        }
        snapshot
    }

    /// Permanently flips a bit of the byte at `offset` in a file. A failing disk may do this, a crash can't.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut disk = self.disk();
        let Some(&id) = disk.visible.get(name) else {
            return;
        };
        if let Some(content) = disk.contents.get_mut(&id)
            && let Some(byte) = content.bytes.get_mut(offset)
        {
            *byte ^= 0x40;
            content.synced = Some(content.bytes.clone());
        }
    }

    /// Writes and syncs a file regardless of scheduled failures and the capacity.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut disk = self.disk();
        let id = disk.add_content(Content {
            bytes: bytes.to_vec(),
            synced: Some(bytes.to_vec()),
        });
        disk.visible.insert(name.to_owned(), id);
        disk.durable.insert(name.to_owned(), id);
    }
}

impl Files for SimulatedFiles {
    fn folder(&self) -> String {
        "memory".to_owned()
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let id = disk.operate(|disk, torn_length| {
            let free = disk.free_bytes();
            let length = torn_length
                .unwrap_or(bytes.len())
                .min(bytes.len())
                .min(free);
            let id = disk.add_content(Content {
                bytes: bytes[..length].to_vec(),
                synced: None,
            });
            disk.visible.insert(name.to_owned(), id);
            disk.unsynced_changes.push(NameChange::Created {
                name: name.to_owned(),
            });
            if free < bytes.len() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            Ok(id)
        })?;
        disk.operate(|disk, torn_length| {
            if let Some(content) = disk.contents.get_mut(&id) {
                let length = torn_length
                    .unwrap_or(content.bytes.len())
                    .min(content.bytes.len());
                content.synced = Some(content.bytes[..length].to_vec());
            }
            // As on common file systems, syncing a new file also syncs its name.
            disk.durable.insert(name.to_owned(), id);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            let id = disk.visible.remove(from).ok_or(io::ErrorKind::NotFound)?;
            disk.visible.insert(to.to_owned(), id);
            disk.unsynced_changes.push(NameChange::Renamed {
                from: from.to_owned(),
                to: to.to_owned(),
            });
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            disk.visible.remove(name).ok_or(io::ErrorKind::NotFound)?;
            disk.unsynced_changes.push(NameChange::Removed {
                name: name.to_owned(),
            });
            Ok(())
        })
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk().visible.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        let content = disk.content(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(content.bytes.clone())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            disk.durable = disk.visible.clone();
            disk.unsynced_changes.clear();
            Ok(())
        })
    }
}
