//! A directory in memory that fails as disks do, for tests of this package and others.
//!
//! After a power loss a write that was not synced is there, torn or missing, and each name that was created, renamed or
//! removed since the directory's last sync is as before or as after; which of these follows from the seed. The disk may
//! also fill up, be wiped, or fail at the nth operation, before or after that has happened.
mod disk;

use crate::files::Files;
use disk::{Content, Disk, NameChange, ScheduledFailure};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How an operation fails. All operations after it fail too, until [`SimulatedFiles::clear_failure`] or
/// [`SimulatedFiles::lose_power`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFailure {
    /// The operation has no effect, and reports an error.
    NotExecuted,
    /// The operation has its effect, but reports an error.
    ExecutedWithError,
    /// A write or its sync ends after so many bytes; any other operation has its effect. Both report an error.
    Torn(usize),
}

/// A simulated directory. Clones share one disk, as a process and its successor do.
#[derive(Clone, Debug)]
pub struct SimulatedFiles {
    disk: Arc<Mutex<Disk>>,
}

impl SimulatedFiles {
    /// An empty directory; what its failures leave follows from the seed.
    pub fn new(seed: u64) -> SimulatedFiles {
        SimulatedFiles {
            disk: Arc::new(Mutex::new(Disk::new(seed))),
        }
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Operations so far: a write and its sync count as two. Reading and listing do not count.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Lets the nth operation from now (0 is the next) fail, and all that follow.
    pub fn schedule_failure(&self, nth: u64, failure: DiskFailure) {
        let mut disk = self.disk();
        let operation = disk.operations + nth;
        disk.scheduled_failure = Some(ScheduledFailure { operation, failure });
    }

    /// Limits the bytes of all files together; `None`: no limit.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.disk().capacity = capacity;
    }

    /// Lets operations succeed again. What the failed ones left stays as it is.
    pub fn clear_failure(&self) {
        self.disk().clear_failure();
    }

    /// Removes all files, as when the disk is replaced. Operations succeed again.
    pub fn wipe(&self) {
        self.disk().wipe();
    }

    /// Loses power: what was not synced is there, torn or missing. Operations succeed again.
    pub fn lose_power(&self) {
        self.disk().lose_power();
    }

    /// A disk of its own with what the worst power loss would leave of this one: nothing that was not synced.
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

    /// Flips a bit of the byte at `offset` in a file, for good. No crash does this, but a failing disk may.
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

    /// Writes a file past all failures and limits, synced.
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
            // As on the common file systems, syncing a new file syncs its name too.
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
