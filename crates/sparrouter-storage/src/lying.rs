//! A folder in memory that does what disks do on their bad days; for tests, also of other packages.
//!
//! A power loss leaves of each write that was not synced all, a torn beginning, or nothing, and of names made,
//! renamed or removed since the folder's last sync each one as it was or as it is, by the seed. It may also fill up,
//! be wiped, or fail at the nth operation, before or after that operation has happened.
use crate::files::Files;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How the nth operation fails; from then on every one does, until `mend` or `lose_power`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    Before,
    /// It happened, but its answer never came.
    After,
    /// A write that ends after so many bytes.
    Torn(usize),
}

#[derive(Clone, Debug)]
enum Name {
    Made(String),
    Renamed(String, String),
    Removed(String),
}

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: Option<Vec<u8>>,
}

#[derive(Debug)]
struct Disk {
    /// Contents by number, as two names may lead to one while a rename does not last.
    contents: BTreeMap<u64, Content>,
    now: BTreeMap<String, u64>,
    lasting: BTreeMap<String, u64>,
    pending: Vec<Name>,
    next: u64,
    room: Option<usize>,
    operations: u64,
    cut: Option<(u64, Cut)>,
    down: bool,
    rng: Rng,
}

/// Clones share one disk, as two lives of a process do.
#[derive(Clone, Debug)]
pub struct LyingFiles {
    disk: Arc<Mutex<Disk>>,
}

impl LyingFiles {
    pub fn new(seed: u64) -> LyingFiles {
        let disk = Disk {
            contents: BTreeMap::new(),
            now: BTreeMap::new(),
            lasting: BTreeMap::new(),
            pending: Vec::new(),
            next: 0,
            room: None,
            operations: 0,
            cut: None,
            down: false,
            rng: Rng::with_seed(seed),
        };
        LyingFiles {
            disk: Arc::new(Mutex::new(disk)),
        }
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Operations asked for so far: a write and its sync are two.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// The nth operation from now (0 is the next) fails so, and all that follow.
    pub fn cut_at(&self, nth: u64, cut: Cut) {
        let mut disk = self.disk();
        disk.cut = Some((disk.operations + nth, cut));
    }

    /// Bytes that may be kept in all files together; `None` is boundless.
    pub fn set_room(&self, room: Option<usize>) {
        self.disk().room = room;
    }

    /// Operations succeed again; what was cut stays as it is.
    pub fn mend(&self) {
        let mut disk = self.disk();
        (disk.cut, disk.down) = (None, false);
    }

    /// All of the disk is gone, as at a replacement.
    pub fn wipe(&self) {
        let mut disk = self.disk();
        disk.contents.clear();
        disk.now.clear();
        disk.lasting.clear();
        disk.pending.clear();
        (disk.cut, disk.down) = (None, false);
    }

    /// What was not synced is there, torn or missing; operations succeed again.
    pub fn lose_power(&self) {
        let mut disk = self.disk();
        let disk = &mut *disk;
        // At some losses of power all that was not synced is gone.
        let all_gone = disk.rng.u8(..4) == 0;
        for change in std::mem::take(&mut disk.pending) {
            if all_gone || disk.rng.bool() {
                continue;
            }
            match change {
                Name::Made(name) => drop(
                    disk.now
                        .get(&name)
                        .map(|&c| disk.lasting.insert(name.clone(), c)),
                ),
                Name::Renamed(from, to) => {
                    if let Some(content) = disk
                        .lasting
                        .remove(&from)
                        .or_else(|| disk.now.get(&to).copied())
                    {
                        disk.lasting.insert(to, content);
                    }
                }
                Name::Removed(name) => drop(disk.lasting.remove(&name)),
            }
        }
        disk.now = disk.lasting.clone();
        let named: Vec<u64> = disk.now.values().copied().collect();
        disk.contents.retain(|content, _| named.contains(content));
        for content in disk.contents.values_mut() {
            let old = content.synced.clone().unwrap_or_default();
            if content.synced.as_ref() != Some(&content.bytes) {
                content.bytes = match if all_gone { 0 } else { disk.rng.u8(..3) } {
                    0 => old,
                    1 => content.bytes[..disk.rng.usize(..=content.bytes.len())].to_vec(),
                    _ => std::mem::take(&mut content.bytes),
                };
                content.synced = Some(content.bytes.clone());
            }
        }
        (disk.cut, disk.down) = (None, false);
    }

    /// A disk of its own with what the worst loss of power would leave of this one: nothing that was not synced.
    pub fn synced_copy(&self) -> LyingFiles {
        let disk = self.disk();
        let copy = LyingFiles::new(0);
        for (name, content) in &disk.lasting {
            if let Some(synced) = disk.contents.get(content).and_then(|c| c.synced.as_ref()) {
                copy.put(name, synced);
            }
        }
        copy
    }

    /// Damages a lasting file: no crash does this, a failing disk may.
    pub fn damage(&self, name: &str, at: usize) {
        let mut disk = self.disk();
        let Some(&content) = disk.now.get(name) else {
            return;
        };
        if let Some(content) = disk.contents.get_mut(&content)
            && let Some(byte) = content.bytes.get_mut(at)
        {
            *byte ^= 0x40;
            content.synced = Some(content.bytes.clone());
        }
    }

    /// Puts a file there as it is.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut disk = self.disk();
        let content = disk.next;
        disk.next += 1;
        disk.contents.insert(
            content,
            Content {
                bytes: bytes.to_vec(),
                synced: Some(bytes.to_vec()),
            },
        );
        disk.now.insert(name.to_owned(), content);
        disk.lasting.insert(name.to_owned(), content);
    }
}

impl Disk {
    /// Runs an operation unless it is cut; one that is cut after has happened all the same.
    fn operate<T>(
        &mut self,
        run: impl FnOnce(&mut Disk, Option<usize>) -> io::Result<T>,
    ) -> io::Result<T> {
        let number = self.operations;
        self.operations += 1;
        let lost = || io::Error::other("the disk is gone");
        if self.down {
            return Err(lost());
        }
        match self.cut {
            Some((nth, cut)) if nth == number => {
                self.down = true;
                match cut {
                    Cut::Before => {}
                    Cut::After => drop(run(self, None)?),
                    Cut::Torn(length) => drop(run(self, Some(length))?),
                }
                Err(lost())
            }
            _ => run(self, None),
        }
    }

    fn used(&self) -> usize {
        self.now
            .values()
            .filter_map(|c| self.contents.get(c))
            .map(|c| c.bytes.len())
            .sum()
    }
}

impl Files for LyingFiles {
    fn folder(&self) -> String {
        "memory".to_owned()
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let content = disk.operate(|disk, torn| {
            let room = disk
                .room
                .map_or(usize::MAX, |room| room.saturating_sub(disk.used()));
            let length = torn.unwrap_or(bytes.len()).min(bytes.len()).min(room);
            let content = disk.next;
            disk.next += 1;
            disk.contents.insert(
                content,
                Content {
                    bytes: bytes[..length].to_vec(),
                    synced: None,
                },
            );
            disk.now.insert(name.to_owned(), content);
            disk.pending.push(Name::Made(name.to_owned()));
            if room < bytes.len() {
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
            // A new file lasts with its own sync.
            disk.lasting.insert(name.to_owned(), content);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            let content = disk.now.remove(from).ok_or(io::ErrorKind::NotFound)?;
            disk.now.insert(to.to_owned(), content);
            disk.pending
                .push(Name::Renamed(from.to_owned(), to.to_owned()));
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            disk.now.remove(name).ok_or(io::ErrorKind::NotFound)?;
            disk.pending.push(Name::Removed(name.to_owned()));
            Ok(())
        })
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk().now.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        let content = disk
            .now
            .get(name)
            .and_then(|c| disk.contents.get(c))
            .ok_or(io::ErrorKind::NotFound)?;
        Ok(content.bytes.clone())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.disk().operate(|disk, _| {
            disk.lasting = disk.now.clone();
            disk.pending.clear();
            Ok(())
        })
    }
}
