//! What a process keeps on disk: read once at the start, then saved by a keeper that alone waits for the disk.
//!
//! The program's keeper is a thread. Where stories are told it is a task in virtual time, over a disk that lies.
use crate::control::LEASE_SHARDS;
use crate::platform::defects::rules;
use crate::platform::log_buffer::LogBuffer;
use fastrand::Rng;
use sparrouter_consensus::codec::{self, CodecError};
use sparrouter_consensus::{Record, Settings};
use sparrouter_storage::{Files, Opened, RealFiles, StorageError, Store};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use tokio::sync::mpsc::UnboundedSender;

/// Why the data directory cannot be used as it is; each message says what to do.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// It stays untouched, since the release that wrote it can use it.
    #[error("{0}")]
    Newer(String),
    /// What was promised may be lost, so that nothing in it may count.
    #[error("{0}")]
    Damaged(String),
    #[error("{0}")]
    Unreadable(String),
}

impl DiskError {
    fn of_folder(self, folder: &Path) -> DiskError {
        let named = |why: String| format!("{}: {why}", folder.display());
        match self {
            DiskError::Newer(why) => DiskError::Newer(named(why)),
            DiskError::Damaged(why) => DiskError::Damaged(named(why)),
            DiskError::Unreadable(why) => DiskError::Unreadable(named(why)),
        }
    }
}

impl From<StorageError> for DiskError {
    fn from(error: StorageError) -> DiskError {
        let why = error.to_string();
        match error {
            StorageError::Newer { .. } => DiskError::Newer(why),
            StorageError::Damaged { .. } => DiskError::Damaged(why),
            _ => DiskError::Unreadable(why),
        }
    }
}

/// One thing to be kept.
#[derive(Debug)]
pub enum WriteRequest {
    Shard {
        shard: u16,
        token: u64,
        bytes: Vec<u8>,
    },
    /// The first record of a part: nobody waits for it, since what is kept later stands behind it.
    Bootstrap {
        shard: u16,
        bytes: Vec<u8>,
    },
    Rows(Vec<u8>),
}

/// What came of a save.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// `failed`: why it is not kept, and the remedy.
    Shard {
        shard: u16,
        token: u64,
        error: Option<String>,
    },
    Rows,
}

/// Takes saves and carries them out one after the other.
pub trait DiskWriter {
    /// Gives back where saves go; what came of each is told to `done`.
    fn start(self: Box<Self>, done: UnboundedSender<WriteOutcome>) -> WriteQueue;
}

pub type WriteQueue = Box<dyn Fn(WriteRequest)>;

/// What is on this node's disk when it starts.
pub struct DiskContents {
    /// Id of the disk's life, drawn anew where there is none.
    pub disk_id: u64,
    pub records: Vec<Option<Vec<u8>>>,
    pub rows: Option<Vec<u8>>,
    /// None: nothing outlives the process.
    pub writer: Option<Box<dyn DiskWriter>>,
}

impl DiskContents {
    /// Of a process without a disk, or whose disk cannot be used.
    pub fn empty(rng: &mut Rng) -> DiskContents {
        let records = vec![None; usize::from(LEASE_SHARDS) + 1];
        DiskContents {
            disk_id: rng.u64(1..),
            records,
            rows: None,
            writer: None,
        }
    }

    /// What a folder holds; `keeper` is made of the folder for what comes.
    ///
    /// Errors: `Newer` and `Damaged` where a shard's record is no record of this release. A register that began
    /// without it would have forgotten its promises under the disk's old id.
    pub fn of<F: Files>(
        mut store: Store<F>,
        opened: Opened,
        log_buffer: &LogBuffer,
        rng: &mut Rng,
        keeper: impl FnOnce(Store<F>) -> Box<dyn DiskWriter>,
    ) -> Result<DiskContents, DiskError> {
        let mut records = match opened {
            Opened::Fresh => BTreeMap::new(),
            Opened::Existing(records) => records,
        };
        let disk = records
            .get("disk")
            .and_then(|d| Some(u64::from_le_bytes(d.as_slice().try_into().ok()?)));
        let disk = disk.unwrap_or_else(|| {
            // Without its name on disk nothing that stands there may count.
            records.clear();
            let disk = rng.u64(1..);
            if let Err(why) = store.save("disk", &disk.to_le_bytes()) {
                log_buffer.breach(&format!("the disk's name cannot be kept: {why}"));
            }
            disk
        });
        let parts: Vec<Option<Vec<u8>>> = (0..=LEASE_SHARDS)
            .map(|p| records.remove(&record_name(p)))
            .collect();
        for (part, record) in (0..).zip(&parts) {
            if let Some(record) = record {
                check_record(part, record)?;
            }
        }
        Ok(DiskContents {
            disk_id: disk,
            records: parts,
            rows: records.remove("rows"),
            writer: Some(keeper(store)),
        })
    }
}

fn check_record(part: u16, record: &[u8]) -> Result<(), DiskError> {
    if !rules::unreadable_records_rejected() {
        return Ok(());
    }
    let name = record_name(part);
    match Record::decode(record, Settings::default().max_message_bytes()) {
        Ok(_) => Ok(()),
        Err(CodecError::Format { found }) if found > codec::FORMAT => {
            Err(DiskError::Newer(format!(
                "{name} was written by a newer release (record format {found}, this one knows {}): start that release \
                 again, or empty the folder so that the machine joins as a new one",
                codec::FORMAT
            )))
        }
        Err(why) => Err(DiskError::Damaged(format!(
            "{name} holds no record that this release reads ({why}): the folder is emptied, so that the machine joins \
             as a new one"
        ))),
    }
}

fn record_name(part: u16) -> String {
    format!("part-{part}")
}

/// Carries out one save; blocks until the disk has answered.
pub fn write<F: Files>(store: &mut Store<F>, save: WriteRequest) -> Option<WriteOutcome> {
    match save {
        WriteRequest::Shard {
            shard,
            token,
            bytes,
        } => {
            let failed = store
                .save(&record_name(shard), &bytes)
                .err()
                .map(|why| why.to_string());
            Some(WriteOutcome::Shard {
                shard,
                token,
                error: failed,
            })
        }
        WriteRequest::Bootstrap { shard, bytes } => {
            if let Err(why) = store.save(&record_name(shard), &bytes) {
                log::warn!("{why}");
            }
            None
        }
        WriteRequest::Rows(bytes) => {
            if let Err(why) = store.save("rows", &bytes) {
                log::warn!("{why}");
            }
            Some(WriteOutcome::Rows)
        }
    }
}

/// Opens the data directory as `open_with` does.
pub fn open(
    data: Option<&Path>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
) -> Result<DiskContents, DiskError> {
    let Some(data) = data else {
        return Ok(DiskContents::empty(rng));
    };
    let files = || RealFiles::open(data);
    open_with(files, log_buffer, rng, |store| Box::new(OnThread(store)))
        .map_err(|why| why.of_folder(data))
}

/// Reads a folder, made by `files`. One that is damaged is emptied, since a vote that may be forgotten must not count
/// under its old name. One that cannot be read stays as it is, and this process does without a disk.
///
/// Errors: `Newer` alone. The folder stays as it is, for the release that wrote it.
pub fn open_with<F: Files>(
    files: impl Fn() -> io::Result<F>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
    keeper: impl Fn(Store<F>) -> Box<dyn DiskWriter>,
) -> Result<DiskContents, DiskError> {
    for again in [false, true] {
        match read(&files, log_buffer, rng, &keeper) {
            Ok(contents) => return Ok(contents),
            Err(why @ DiskError::Newer(_)) if rules::newer_folders_untouched() => {
                return Err(why);
            }
            Err(why @ DiskError::Unreadable(_)) => {
                log_buffer.breach(&format!("the data directory cannot be used: {why}"));
                break;
            }
            Err(why) => {
                log_buffer.breach(&format!("the data directory cannot be used: {why}"));
                if again || files().and_then(empty).is_err() {
                    break;
                }
            }
        }
    }
    Ok(DiskContents::empty(rng))
}

fn read<F: Files>(
    files: impl Fn() -> io::Result<F>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
    keeper: impl Fn(Store<F>) -> Box<dyn DiskWriter>,
) -> Result<DiskContents, DiskError> {
    let files = files().map_err(|why| DiskError::Unreadable(why.to_string()))?;
    let (store, opened) = Store::open(files)?;
    DiskContents::of(store, opened, log_buffer, rng, keeper)
}

fn empty<F: Files>(mut files: F) -> io::Result<()> {
    for name in files.list()? {
        files.remove(&name)?;
    }
    files.sync_folder()
}

/// A disk with a thread of its own: it waits, nothing else does.
struct OnThread(Store<RealFiles>);

impl DiskWriter for OnThread {
    fn start(self: Box<Self>, done: UnboundedSender<WriteOutcome>) -> WriteQueue {
        let (saves, queue) = std::sync::mpsc::channel();
        let mut store = self.0;
        std::thread::spawn(move || {
            while let Ok(save) = queue.recv() {
                if let Some(kept) = write(&mut store, save)
                    && done.send(kept).is_err()
                {
                    return;
                }
            }
        });
        Box::new(move |save| {
            // The thread ends with the process only.
            let _ = saves.send(save);
        })
    }
}
