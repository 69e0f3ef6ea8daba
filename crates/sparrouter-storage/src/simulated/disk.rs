//! The state of a simulated disk, and the effects of a power loss.
use super::DiskFailure;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io;

/// Identifies the content of a file independently of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ContentId(u64);

/// A creation, renaming or removal of a file that is not synced yet.
#[derive(Clone, Debug)]
pub(super) enum NameChange {
    Created { name: String },
    Renamed { from: String, to: String },
    Removed { name: String },
}

/// The content of a file.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    /// The bytes that a process reads.
    pub bytes: Vec<u8>,
    /// The bytes that survive a power loss; `None` if the content was never synced.
    pub synced: Option<Vec<u8>>,
}

impl Content {
    fn is_synced(&self) -> bool {
        self.synced.as_ref() == Some(&self.bytes)
    }

    /// Simulates a power loss, after which the content consists of the synced bytes, of a prefix of the written bytes,
    /// or of all written bytes. `loses_all` selects the synced bytes.
    fn lose_power(&mut self, loses_all: bool, rng: &mut Rng) {
        let outcome = if loses_all { 0 } else { rng.u8(..3) };
        match outcome {
            0 => self.bytes = self.synced.take().unwrap_or_default(),
            1 => self.bytes.truncate(rng.usize(..=self.bytes.len())),
            _ => {}
        }
        self.synced = Some(self.bytes.clone());
    }
}

/// A failure that is scheduled for an operation.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledFailure {
    /// Number of the failing operation, as counted by [`Disk::operations`].
    pub operation: u64,
    pub failure: DiskFailure,
}

/// A disk with one directory.
#[derive(Debug)]
pub(super) struct Disk {
    /// Contents by id. Two names may refer to the same content while a rename is not synced.
    pub contents: BTreeMap<ContentId, Content>,
    /// File names that a process sees.
    pub visible: BTreeMap<String, ContentId>,
    /// File names that survive a power loss.
    pub durable: BTreeMap<String, ContentId>,
    /// Creations, renamings and removals since the last sync of the directory, in order.
    pub unsynced_changes: Vec<NameChange>,
    next_content: u64,
    /// Maximum total size of all files in bytes; `None` if there is no limit.
    pub capacity: Option<usize>,
    /// Number of operations so far.
    pub operations: u64,
    pub scheduled_failure: Option<ScheduledFailure>,
    /// Whether the scheduled failure has happened, after which all operations fail.
    is_down: bool,
    rng: Rng,
}

impl Disk {
    /// Creates an empty disk. The seed determines which unsynced data survives a power loss.
    pub fn new(seed: u64) -> Disk {
        Disk {
            contents: BTreeMap::new(),
            visible: BTreeMap::new(),
            durable: BTreeMap::new(),
            unsynced_changes: Vec::new(),
            next_content: 0,
            capacity: None,
            operations: 0,
            scheduled_failure: None,
            is_down: false,
            rng: Rng::with_seed(seed),
        }
    }

    /// Runs an operation, or makes it fail if a failure is scheduled. `run` receives the length in bytes at which a
    /// torn write stops; `None` if the write is not torn.
    pub fn operate<T>(
        &mut self,
        run: impl FnOnce(&mut Disk, Option<usize>) -> io::Result<T>,
    ) -> io::Result<T> {
        let number = self.operations;
        self.operations += 1;
        let disk_failed = || io::Error::other("the simulated disk failed");
        if self.is_down {
            return Err(disk_failed());
        }
        let scheduled = self
            .scheduled_failure
            .filter(|scheduled| scheduled.operation == number);
        let Some(scheduled) = scheduled else {
            return run(self, None);
        };
        self.is_down = true;
        match scheduled.failure {
            DiskFailure::NotExecuted => {}
            DiskFailure::ExecutedWithError => drop(run(self, None)?),
            DiskFailure::Torn(length) => drop(run(self, Some(length))?),
        }
        Err(disk_failed())
    }

    /// Makes operations succeed again.
    pub fn clear_failure(&mut self) {
        self.scheduled_failure = None;
        self.is_down = false;
    }

    /// Removes all files.
    pub fn wipe(&mut self) {
        self.contents.clear();
        self.visible.clear();
        self.durable.clear();
        self.unsynced_changes.clear();
        self.clear_failure();
    }

    /// Adds the content of a file that has no name yet.
    pub fn add_content(&mut self, content: Content) -> ContentId {
        let id = ContentId(self.next_content);
        self.next_content += 1;
        self.contents.insert(id, content);
        id
    }

    /// The content of a file; `None` if there is no such file.
    pub fn content(&self, name: &str) -> Option<&Content> {
        self.contents.get(self.visible.get(name)?)
    }

    /// Number of bytes that can still be written; `usize::MAX` if there is no limit.
    pub fn free_bytes(&self) -> usize {
        let used: usize = self
            .visible
            .values()
            .filter_map(|id| self.contents.get(id))
            .map(|content| content.bytes.len())
            .sum();
        self.capacity
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used))
    }

    /// Simulates a power loss. Synced data survives; each unsynced change of a name and unsynced content of a file is
    /// kept or lost at random.
    pub fn lose_power(&mut self) {
        // One in four power losses loses all unsynced data.
        let loses_all = self.rng.u8(..4) == 0;
        for change in std::mem::take(&mut self.unsynced_changes) {
            let is_lost = loses_all || self.rng.bool();
            if !is_lost {
                self.make_durable(change);
            }
        }
        self.visible = self.durable.clone();
        let named: Vec<ContentId> = self.visible.values().copied().collect();
        self.contents.retain(|id, _| named.contains(id));
        for content in self.contents.values_mut() {
            if !content.is_synced() {
                content.lose_power(loses_all, &mut self.rng);
            }
        }
        self.clear_failure();
    }

    /// Applies a change of a name to the durable names, as far as the changes that it depends on survived.
    fn make_durable(&mut self, change: NameChange) {
        match change {
            NameChange::Created { name } => {
                if let Some(&content) = self.visible.get(&name) {
                    self.durable.insert(name, content);
                }
            }
            NameChange::Renamed { from, to } => {
                let content = self
                    .durable
                    .remove(&from)
                    .or_else(|| self.visible.get(&to).copied());
                if let Some(content) = content {
                    self.durable.insert(to, content);
                }
            }
            NameChange::Removed { name } => {
                self.durable.remove(&name);
            }
        }
    }
}
