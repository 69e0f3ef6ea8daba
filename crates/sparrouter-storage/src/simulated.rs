//! A directory in memory that fails as disks do, for tests of this package and others.
//!
//! After a power loss a write that was not synced is there, torn or missing, and each name that was created, renamed or
//! removed since the directory's last sync is as before or as after; which of these follows from the seed. The disk may
//! also fill up, be wiped, or fail at the nth operation, before or after that has happened.
use crate::files::Files;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How an operation fails. All operations after it fail too, until [`SimulatedFiles::mend`] or
/// [`SimulatedFiles::lose_power`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFailure {
    /// It does not happen.
    Before,
    /// It happens, but reports an error.
    After,
    /// A write ends after so many bytes; any other operation happens whole.
    Torn(usize),
}

/// A change of a name that was not synced yet.
#[derive(Clone, Debug)]
enum NameChange {
    Created(String),
    Renamed(String, String),
    Removed(String),
}

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    /// The bytes that survive a power loss.
    synced: Option<Vec<u8>>,
}

#[derive(Debug)]
struct Disk {
    /// Contents by number, since two names may lead to one while a rename is not synced.
    contents: BTreeMap<u64, Content>,
    /// Names as the process sees them.
    visible: BTreeMap<String, u64>,
    /// Names that survive a power loss.
    durable: BTreeMap<String, u64>,
    /// Changes of names since the last sync of the directory.
    pending: Vec<NameChange>,
    next_content: u64,
    /// Bytes that fit in all files together.
    capacity: Option<usize>,
    operations: u64,
    /// The operation, by its number, that fails, and how.
    failure: Option<(u64, DiskFailure)>,
    /// All operations fail.
    is_down: bool,
    rng: Rng,
}

/// A simulated directory. Clones share one disk, as a process and its successor do.
#[derive(Clone, Debug)]
pub struct SimulatedFiles {
    disk: Arc<Mutex<Disk>>,
}

impl SimulatedFiles {
    /// An empty directory; what its failures leave follows from the seed.
    pub fn new(seed: u64) -> SimulatedFiles {
        let disk = Disk {
            contents: BTreeMap::new(),
            visible: BTreeMap::new(),
            durable: BTreeMap::new(),
            pending: Vec::new(),
            next_content: 0,
            capacity: None,
            operations: 0,
            failure: None,
            is_down: false,
            rng: Rng::with_seed(seed),
        };
        SimulatedFiles {
            disk: Arc::new(Mutex::new(disk)),
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
    pub fn fail_at(&self, nth: u64, failure: DiskFailure) {
        let mut disk = self.disk();
        disk.failure = Some((disk.operations + nth, failure));
    }

    /// Limits the bytes of all files together; `None`: no limit.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.disk().capacity = capacity;
    }

    /// Lets operations succeed again. What the failed ones left stays as it is.
    pub fn clear_failure(&self) {
        let mut disk = self.disk();
        (disk.failure, disk.is_down) = (None, false);
    }

    /// Removes all files, as when the disk is replaced.
    pub fn wipe(&self) {
        let mut disk = self.disk();
        disk.contents.clear();
        disk.visible.clear();
        disk.durable.clear();
        disk.pending.clear();
        (disk.failure, disk.is_down) = (None, false);
    }

    /// Loses power: what was not synced is there, torn or missing. Operations succeed again.
    pub fn lose_power(&self) {
        let mut disk = self.disk();
        let disk = &mut *disk;
        // Some power losses lose all that was not synced.
        let loses_all = disk.rng.u8(..4) == 0;
        for change in std::mem::take(&mut disk.pending) {
            if loses_all || disk.rng.bool() {
                continue;
            }
            match change {
                NameChange::Created(name) => drop(
                    disk.visible
                        .get(&name)
                        .map(|&c| disk.durable.insert(name.clone(), c)),
                ),
                NameChange::Renamed(from, to) => {
                    if let Some(content) = disk
                        .durable
                        .remove(&from)
                        .or_else(|| disk.visible.get(&to).copied())
                    {
                        disk.durable.insert(to, content);
                    }
                }
                NameChange::Removed(name) => drop(disk.durable.remove(&name)),
            }
        }
        disk.visible = disk.durable.clone();
        let named: Vec<u64> = disk.visible.values().copied().collect();
        disk.contents.retain(|content, _| named.contains(content));
        for content in disk.contents.values_mut() {
            let old = content.synced.clone().unwrap_or_default();
            if content.synced.as_ref() != Some(&content.bytes) {
                content.bytes = match if loses_all { 0 } else { disk.rng.u8(..3) } {
                    0 => old,
                    1 => content.bytes[..disk.rng.usize(..=content.bytes.len())].to_vec(),
                    _ => std::mem::take(&mut content.bytes),
                };
                content.synced = Some(content.bytes.clone());
            }
        }
        (disk.failure, disk.is_down) = (None, false);
    }

    /// A disk of its own with what the worst power loss would leave of this one: nothing that was not synced.
    pub fn synced_snapshot(&self) -> SimulatedFiles {
        let disk = self.disk();
        let copy = SimulatedFiles::new(0);
        for (name, content) in &disk.durable {
            let content = disk.contents.get(content);
            if let Some(synced) = content.and_then(|c| c.synced.as_ref()) {
                copy.put(name, synced);
            }
        }
        copy
    }

    /// Flips a bit of the byte at `at` in a file, for good. No crash does this, but a failing disk may.
    pub fn damage(&self, name: &str, at: usize) {
        let mut disk = self.disk();
        let Some(&content) = disk.visible.get(name) else {
            return;
        };
        if let Some(content) = disk.contents.get_mut(&content)
            && let Some(byte) = content.bytes.get_mut(at)
        {
            *byte ^= 0x40;
            content.synced = Some(content.bytes.clone());
        }
    }

    /// Writes a file past all failures and limits, synced.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut disk = self.disk();
        let content = disk.next_content;
        disk.next_content += 1;
        disk.contents.insert(
            content,
            Content {
                bytes: bytes.to_vec(),
                synced: Some(bytes.to_vec()),
            },
        );
        disk.visible.insert(name.to_owned(), content);
        disk.durable.insert(name.to_owned(), content);
    }
}

impl Disk {
    /// Runs an operation unless it is to fail. `run` gets the length after which a torn write ends.
    fn operate<T>(
        &mut self,
        run: impl FnOnce(&mut Disk, Option<usize>) -> io::Result<T>,
    ) -> io::Result<T> {
        let number = self.operations;
        self.operations += 1;
        let lost = || io::Error::other("the disk is gone");
        if self.is_down {
            return Err(lost());
        }
        match self.failure {
            Some((nth, failure)) if nth == number => {
                self.is_down = true;
                match failure {
                    DiskFailure::Before => {}
                    DiskFailure::After => drop(run(self, None)?),
                    DiskFailure::Torn(length) => drop(run(self, Some(length))?),
                }
                Err(lost())
            }
            _ => run(self, None),
        }
    }

    fn used(&self) -> usize {
        self.visible
            .values()
            .filter_map(|c| self.contents.get(c))
            .map(|c| c.bytes.len())
            .sum()
    }
}

impl Files for SimulatedFiles {
    fn folder(&self) -> String {
        "memory".to_owned()
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let content = disk.operate(|disk, torn| {
            let free = disk
                .capacity
                .map_or(usize::MAX, |capacity| capacity.saturating_sub(disk.used()));
            let length = torn.unwrap_or(bytes.len()).min(bytes.len()).min(free);
            let content = disk.next_content;
            disk.next_content += 1;
            disk.contents.insert(
                content,
                Content {
                    bytes: bytes[..length].to_vec(),
                    synced: None,
                },
            );
            disk.visible.insert(name.to_owned(), content);
            disk.pending.push(NameChange::Created(name.to_owned()));
            if free < bytes.len() {
                Err(io::ErrorKind::StorageFull.into())
            } else {
                Ok(content)
            }
        })?;
        disk.operate(|disk, torn| {
            if let Some(content) = disk.contents.get_mut(&content) {
                let length = torn.unwrap_or(content.bytes.len()).min(content.bytes.len());
                content.synced = Some(content.bytes[..length].to_vec());
            }
            // As on the common file systems, syncing a new file syncs its name too.
            disk.durable.insert(name.to_owned(), content);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            let content = disk.visible.remove(from).ok_or(io::ErrorKind::NotFound)?;
            disk.visible.insert(to.to_owned(), content);
            disk.pending
                .push(NameChange::Renamed(from.to_owned(), to.to_owned()));
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            disk.visible.remove(name).ok_or(io::ErrorKind::NotFound)?;
            disk.pending.push(NameChange::Removed(name.to_owned()));
            Ok(())
        })
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk().visible.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        let content = disk
            .visible
            .get(name)
            .and_then(|c| disk.contents.get(c))
            .ok_or(io::ErrorKind::NotFound)?;
        Ok(content.bytes.clone())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            disk.durable = disk.visible.clone();
            disk.pending.clear();
            Ok(())
        })
    }
}
