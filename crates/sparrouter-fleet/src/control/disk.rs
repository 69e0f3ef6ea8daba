//! The data directory of a process: read once at the start, then written by a writer, so that only the writer blocks on
//! the disk.
//!
//! The program's writer is a thread. The simulation's writer is a task in virtual time, with a disk that injects
//! faults.
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
use tokio::sync::oneshot;

/// The name on disk of the record with the disk's id.
const DISK_ID_RECORD: &str = "disk";
/// The name on disk of the record with the membership.
const MEMBERSHIP_RECORD: &str = "rows";
/// The name on disk of the record of an elector of the first group.
const BOOTSTRAP_RECORD: &str = "bootstrap";
/// The name on disk of the record with the ages of named versions.
const VERSION_AGES_RECORD: &str = "version-ages";

/// Why the data directory cannot be used. Each variant contains the cause with its remedy, as the layer that detected
/// it describes them.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// A newer release wrote the directory. It stays unchanged, since that release can use it.
    #[error("{0}")]
    Newer(String),
    /// Promises or accepted proposals of this node may be lost, so that no record in the directory may be used.
    #[error("{0}")]
    Damaged(String),
    /// The directory cannot be read, so that this process runs without a disk.
    #[error("{0}")]
    Unreadable(String),
}

impl DiskError {
    /// Adds the path of the folder to the message.
    fn in_folder(self, folder: &Path) -> DiskError {
        let named = |cause: String| format!("{}: {cause}", folder.display());
        match self {
            DiskError::Newer(cause) => DiskError::Newer(named(cause)),
            DiskError::Damaged(cause) => DiskError::Damaged(named(cause)),
            DiskError::Unreadable(cause) => DiskError::Unreadable(named(cause)),
        }
    }
}

impl From<StorageError> for DiskError {
    fn from(error: StorageError) -> DiskError {
        let cause = error.to_string();
        match error {
            StorageError::Newer { .. } => DiskError::Newer(cause),
            StorageError::Damaged { .. } => DiskError::Damaged(cause),
            _ => DiskError::Unreadable(cause),
        }
    }
}

/// One write to the disk.
#[derive(Debug)]
pub enum WriteRequest {
    /// A shard's record.
    Shard {
        /// Number of the shard.
        shard: u16,
        /// The token by which the shard's register identifies this write.
        token: u64,
        /// The record.
        bytes: Vec<u8>,
    },
    /// The record of an elector of the first group.
    Vote(Vec<u8>),
    /// The membership, which the next start reads.
    Rows(Vec<u8>),
    /// How long ago versions of weights were named, which the next start reads.
    VersionAges(Vec<u8>),
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The outcome for a shard's record.
    Shard {
        /// Number of the shard.
        shard: u16,
        /// The token by which the shard's register identifies the write.
        token: u64,
        /// Why the record is not on disk, with the remedy; `None` if it is on disk.
        error: Option<String>,
    },
    /// The outcome for the record of an elector of the first group.
    Vote {
        /// Why the record is not on disk, with the remedy; `None` if it is on disk.
        error: Option<String>,
    },
    /// The outcome for the membership.
    Rows {
        /// Why the membership is not on disk, with the remedy; `None` if it is on disk.
        error: Option<String>,
    },
    /// The write of the version ages ended, with or without success: without them, a start sets later time limits.
    VersionAges,
}

/// Carries out writes one at a time, in the order in which they are requested.
pub trait DiskWriter {
    /// Starts the writer. Returns the queue of requests; `outcomes` receives the outcome of each.
    fn start(self: Box<Self>, outcomes: UnboundedSender<WriteOutcome>) -> WriteQueue;
}

/// The queue of write requests to a [`DiskWriter`].
pub type WriteQueue = Box<dyn Fn(WriteRequest)>;

/// Content of this node's disk at the start. `W` is the type of the writer that the opening thread passes on.
pub struct DiskContents<W = Box<dyn DiskWriter>> {
    /// Id of the disk since it was last emptied, never 0. A disk without an id gets a random one.
    pub disk_id: u64,
    /// The records of the shards, indexed by shard number; `None` if the disk has no record of the shard.
    pub records: Vec<Option<Vec<u8>>>,
    /// The record of an elector of the first group; `None` if this node was none at its first start, or if an earlier
    /// release wrote the folder.
    pub bootstrap: Option<Vec<u8>>,
    /// The last written membership; its record on disk is named `rows`.
    pub rows: Option<Vec<u8>>,
    /// The last written ages of named versions; `None` also if an earlier release wrote the folder.
    pub version_ages: Option<Vec<u8>>,
    /// Writer to the disk; `None` if the process has no disk and its state ends with it.
    pub writer: Option<W>,
}

impl<W> DiskContents<W> {
    /// The contents for a process without a disk or with an unusable one.
    pub fn empty(rng: &mut Rng) -> DiskContents<W> {
        let records = vec![None; usize::from(LEASE_SHARDS) + 1];
        DiskContents {
            disk_id: rng.u64(1..),
            records,
            bootstrap: None,
            rows: None,
            version_ages: None,
            writer: None,
        }
    }

    /// Reads the contents of a folder; `writer` creates the writer to it.
    ///
    /// # Errors
    ///
    /// [`DiskError::Newer`] and [`DiskError::Damaged`] if this release cannot read a shard's record. A register that
    /// started without the record would have forgotten its promises under the disk's old id.
    pub fn from_store<F: Files>(
        mut store: Store<F>,
        opened: Opened,
        log_buffer: &LogBuffer,
        rng: &mut Rng,
        writer: impl FnOnce(Store<F>) -> W,
    ) -> Result<DiskContents<W>, DiskError> {
        let mut records = match opened {
            Opened::Fresh => BTreeMap::new(),
            Opened::Existing(records) => records,
        };
        let disk_id = disk_id_of(&records).unwrap_or_else(|| {
            // Without the disk's id, no record on the disk may be used.
            records.clear();
            draw_disk_id(&mut store, log_buffer, rng)
        });
        let shards: Vec<Option<Vec<u8>>> = (0..=LEASE_SHARDS)
            .map(|shard| records.remove(&record_name(shard)))
            .collect();
        for (shard, record) in (0..).zip(&shards) {
            if let Some(record) = record {
                check_record(shard, record)?;
            }
        }
        Ok(DiskContents {
            disk_id,
            records: shards,
            bootstrap: records.remove(BOOTSTRAP_RECORD),
            rows: records.remove(MEMBERSHIP_RECORD),
            version_ages: records.remove(VERSION_AGES_RECORD),
            writer: Some(writer(store)),
        })
    }

    /// Converts the writer to a trait object.
    fn boxed(self) -> DiskContents
    where
        W: DiskWriter + 'static,
    {
        DiskContents {
            disk_id: self.disk_id,
            records: self.records,
            bootstrap: self.bootstrap,
            rows: self.rows,
            version_ages: self.version_ages,
            writer: self
                .writer
                .map(|writer| Box::new(writer) as Box<dyn DiskWriter>),
        }
    }
}

fn disk_id_of(records: &BTreeMap<String, Vec<u8>>) -> Option<u64> {
    let bytes = records.get(DISK_ID_RECORD)?.as_slice();
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}

/// Draws a new disk id and writes it to the disk.
fn draw_disk_id<F: Files>(store: &mut Store<F>, log_buffer: &LogBuffer, rng: &mut Rng) -> u64 {
    let disk_id = rng.u64(1..);
    if let Err(error) = store.save(DISK_ID_RECORD, &disk_id.to_le_bytes()) {
        log_buffer.report_violation(&format!("the disk's id cannot be written: {error}"));
    }
    disk_id
}

/// Checks that this release can read a shard's record.
fn check_record(shard: u16, record: &[u8]) -> Result<(), DiskError> {
    if !rules::unreadable_records_rejected() {
        return Ok(());
    }
    let name = record_name(shard);
    match Record::decode(record, Settings::default().max_message_bytes()) {
        Ok(_) => Ok(()),
        Err(CodecError::Format { found }) if found > codec::FORMAT => {
            Err(DiskError::Newer(format!(
                "{name} was written by a newer release (record format {found}, this one knows {}): start that release \
                 again, or empty the folder so that the machine joins as a new one",
                codec::FORMAT
            )))
        }
        Err(error) => Err(DiskError::Damaged(format!(
            "{name} holds no record that this release reads ({error}): the folder is emptied, so that the machine joins \
             as a new one"
        ))),
    }
}

/// The name on disk of a shard's record.
fn record_name(shard: u16) -> String {
    format!("part-{shard}")
}

/// Carries out one write; blocks until the disk has answered. Returns `None` if the request reports no outcome.
pub fn write<F: Files>(store: &mut Store<F>, request: WriteRequest) -> Option<WriteOutcome> {
    match request {
        WriteRequest::Shard {
            shard,
            token,
            bytes,
        } => {
            let written = store.save(&record_name(shard), &bytes);
            Some(WriteOutcome::Shard {
                shard,
                token,
                error: written.err().map(|error| error.to_string()),
            })
        }
        WriteRequest::Vote(bytes) => {
            let written = store.save(BOOTSTRAP_RECORD, &bytes);
            Some(WriteOutcome::Vote {
                error: written.err().map(|error| error.to_string()),
            })
        }
        WriteRequest::Rows(bytes) => {
            let written = store.save(MEMBERSHIP_RECORD, &bytes);
            Some(WriteOutcome::Rows {
                error: written.err().map(|error| error.to_string()),
            })
        }
        WriteRequest::VersionAges(bytes) => {
            if let Err(error) = store.save(VERSION_AGES_RECORD, &bytes) {
                log::warn!("disk write failed: {error}");
            }
            Some(WriteOutcome::VersionAges)
        }
    }
}

/// Opens the data directory as [`open_with`] does, on a separate thread, so that only that thread blocks on the disk.
/// `data` is `None` for a process without a data directory.
///
/// # Errors
///
/// Only [`DiskError::Newer`].
///
/// # Panics
///
/// If the thread panicked.
pub async fn open(
    data: Option<&Path>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
) -> Result<DiskContents, DiskError> {
    let Some(data) = data.map(Path::to_path_buf) else {
        return Ok(DiskContents::empty(rng));
    };
    let (log_buffer, mut rng) = (log_buffer.clone(), rng.fork());
    let (sender, opened) = oneshot::channel();
    std::thread::spawn(move || {
        let files = || RealFiles::open(&data);
        let opened = open_with_writer(files, &log_buffer, &mut rng, ThreadWriter);
        // A process that receives SIGTERM before the disk is open does not wait for it.
        let _ = sender.send(opened.map_err(|error| error.in_folder(&data)));
    });
    let opened = opened.await.expect("the thread sends what it opened");
    opened.map(DiskContents::boxed)
}

/// Reads a folder that `files` opens. A damaged folder is emptied, since a vote that may be forgotten must not count
/// under the old disk id. An unreadable folder stays unchanged, and this process runs without a disk.
///
/// # Errors
///
/// Only [`DiskError::Newer`]. The folder stays unchanged, for the release that wrote it.
pub fn open_with<F: Files>(
    files: impl Fn() -> io::Result<F>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
    writer: impl Fn(Store<F>) -> Box<dyn DiskWriter>,
) -> Result<DiskContents, DiskError> {
    open_with_writer(files, log_buffer, rng, writer)
}

/// Does the work of [`open_with`] for one type of writer, which may be `Send`; a boxed writer is not.
fn open_with_writer<F: Files, W>(
    files: impl Fn() -> io::Result<F>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
    writer: impl Fn(Store<F>) -> W,
) -> Result<DiskContents<W>, DiskError> {
    for is_last_attempt in [false, true] {
        match read(&files, log_buffer, rng, &writer) {
            Ok(contents) => return Ok(contents),
            Err(error @ DiskError::Newer(_)) if rules::newer_folders_untouched() => {
                return Err(error);
            }
            Err(error @ DiskError::Unreadable(_)) => {
                log_buffer.report_violation(&format!("the data directory cannot be used: {error}"));
                break;
            }
            Err(error) => {
                log_buffer.report_violation(&format!("the data directory cannot be used: {error}"));
                if is_last_attempt || files().and_then(empty).is_err() {
                    break;
                }
            }
        }
    }
    Ok(DiskContents::empty(rng))
}

fn read<F: Files, W>(
    files: impl Fn() -> io::Result<F>,
    log_buffer: &LogBuffer,
    rng: &mut Rng,
    writer: impl Fn(Store<F>) -> W,
) -> Result<DiskContents<W>, DiskError> {
    let files = files().map_err(|error| DiskError::Unreadable(error.to_string()))?;
    let (store, opened) = Store::open(files)?;
    DiskContents::from_store(store, opened, log_buffer, rng, writer)
}

fn empty<F: Files>(mut files: F) -> io::Result<()> {
    for name in files.list()? {
        files.remove(&name)?;
    }
    files.sync_folder()
}

/// A writer on a separate thread, so that only that thread blocks on the disk. The thread ends once the queue or the
/// receiver of the outcomes is dropped.
struct ThreadWriter(Store<RealFiles>);

impl DiskWriter for ThreadWriter {
    fn start(self: Box<Self>, outcomes: UnboundedSender<WriteOutcome>) -> WriteQueue {
        // The queue is unbounded: each register has at most one record in flight, and a write of the membership or of
        // the version ages is skipped while an earlier one is pending.
        let (requests, queue) = std::sync::mpsc::channel();
        let mut store = self.0;
        std::thread::spawn(move || {
            while let Ok(request) = queue.recv() {
                if let Some(outcome) = write(&mut store, request)
                    && outcomes.send(outcome).is_err()
                {
                    return;
                }
            }
        });
        Box::new(move |request| {
            // This fails only if the receiver of the outcomes was dropped, which ends the thread.
            let _ = requests.send(request);
        })
    }
}
