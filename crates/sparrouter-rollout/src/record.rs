//! Write-ahead log of the controller: each entry is synced to disk before the controller acts on it.
//!
//! A record consists of the length of its text, the CRC-32 (IEEE) of these four bytes, the CRC-32 of the text, each as
//! four bytes little-endian, and the text: an [`Entry`] as JSON. An incomplete record at the end is truncated, as the
//! controller has not acted on it yet; any other corruption is an error. The file is locked while it is open. Logs of
//! earlier versions must stay readable, so the JSON keeps their names where the Rust names differ.
use crate::baseline::Baseline;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use thiserror::Error;

/// Kind of a node's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Applies the change.
    Change,
    /// Restarts a node without a change.
    Restart,
    /// Rolls the change back.
    #[serde(rename = "back")]
    RollBack,
}

/// Formats the name as it appears in lines for the operator.
impl fmt::Display for CommandKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandKind::Change => "Change",
            CommandKind::Restart => "Restart",
            CommandKind::RollBack => "Back",
        })
    }
}

/// Outcome of a rollout. The JSON keeps the variant names of earlier versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every node is changed.
    #[serde(rename = "through")]
    Completed,
    /// Every node is rolled back, for this reason.
    #[serde(rename = "back")]
    RolledBack(String),
    /// The rollout stopped for this reason, and an operator has to decide about the nodes.
    #[serde(rename = "left")]
    LeftToOperator(String),
}

/// Formats the last line for the operator.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Completed => f.write_str("every node is changed"),
            Outcome::RolledBack(reason) => write!(f, "rolled back: {reason}"),
            Outcome::LeftToOperator(reason) => write!(f, "left to the operator: {reason}"),
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Entry {
    /// The rollout has started.
    Plan {
        /// Name of the plan.
        name: String,
        /// CRC-32 of the plan file's text. A plan with another digest must not continue this log.
        digest: u32,
    },
    /// The baseline has been learnt.
    #[serde(rename = "past")]
    Baseline {
        /// Measurements of the fleet before the change.
        #[serde(rename = "past")]
        baseline: Baseline,
    },
    /// A stage has started.
    Stage {
        /// Index of the stage, from 0.
        stage: usize,
    },
    /// A command is about to be started.
    #[serde(rename = "begin")]
    CommandStarted {
        /// Name of the node.
        node: String,
        /// The command.
        #[serde(rename = "doing")]
        command: CommandKind,
    },
    /// A command has ended.
    #[serde(rename = "end")]
    CommandEnded {
        /// Name of the node.
        node: String,
        /// The command.
        #[serde(rename = "doing")]
        command: CommandKind,
        /// Whether the command succeeded within its time limit.
        #[serde(rename = "ok")]
        succeeded: bool,
    },
    /// A stage has passed.
    #[serde(rename = "passed")]
    StagePassed {
        /// Index of the stage, from 0.
        stage: usize,
    },
    /// The rollback has started.
    #[serde(rename = "back")]
    RollbackStarted {
        /// Reason for the rollback.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The rollout has ended.
    #[serde(rename = "done")]
    Finished {
        /// Outcome of the rollout.
        #[serde(rename = "how")]
        outcome: Outcome,
    },
}

/// Error of the log.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The file cannot be opened, read or written.
    #[error("{path}: {source}")]
    Io {
        /// The log.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// Another process has locked the log.
    #[error("{path}: another controller has locked the log; only one may run")]
    Busy {
        /// The log.
        path: String,
    },
    /// The log is corrupt.
    #[error(
        "{path}: corrupt record at byte {offset} ({problem}); nothing was done, check the nodes by hand"
    )]
    Corrupt {
        /// The log.
        path: String,
        /// Offset of the corrupt record in bytes.
        offset: usize,
        /// Part of the record that is corrupt.
        problem: &'static str,
    },
}

/// The decoded content of a log.
pub struct DecodedLog {
    /// Entries of all complete records, in order.
    pub entries: Vec<Entry>,
    /// Length of the complete records in bytes; any bytes after them are an incomplete record.
    pub complete_bytes: usize,
}

/// An opened and locked log with its entries.
pub struct OpenedLog {
    /// The log, for appending.
    pub log: Log,
    /// Entries that the log contains.
    pub entries: Vec<Entry>,
}

/// The open log. Dropping it releases the lock.
pub struct Log {
    file: File,
    path: String,
    /// Length of the complete records in bytes; the next record is written at this offset.
    length: u64,
    /// Whether a write has failed. The content on disk is unknown then, and nothing more is appended.
    failed: bool,
}

const HEADER_LENGTH: usize = 12;

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let bytes = &bytes[offset..offset + 4];
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Returns the text of the record at the start of `bytes`; `None` if the record is incomplete.
fn decode_text(bytes: &[u8]) -> Result<Option<&[u8]>, &'static str> {
    // A power failure may leave zeros at the end of the file.
    if bytes.len() < HEADER_LENGTH || bytes.iter().all(|b| *b == 0) {
        return Ok(None);
    }
    if u32_at(bytes, 4) != crc32fast::hash(&bytes[..4]) {
        return Err("checksum of the length");
    }
    let end = HEADER_LENGTH + u32_at(bytes, 0) as usize;
    if bytes.len() < end {
        return Ok(None);
    }
    let text = &bytes[HEADER_LENGTH..end];
    let is_last = bytes.len() == end;
    match (u32_at(bytes, 8) == crc32fast::hash(text), is_last) {
        (true, _) => Ok(Some(text)),
        (false, true) => Ok(None),
        (false, false) => Err("checksum of the text"),
    }
}

/// Decodes the bytes of a log; `path` names it in errors.
///
/// # Errors
///
/// [`RecordError::Corrupt`] if a record other than the last has a wrong checksum, or an entry is unknown.
pub fn decode(bytes: &[u8], path: &str) -> Result<DecodedLog, RecordError> {
    let mut entries = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let corrupt = |problem| RecordError::Corrupt {
            path: path.to_string(),
            offset,
            problem,
        };
        let Some(text) = decode_text(&bytes[offset..]).map_err(corrupt)? else {
            break;
        };
        let entry = serde_json::from_slice(text).map_err(|_| corrupt("unknown entry"))?;
        entries.push(entry);
        offset += HEADER_LENGTH + text.len();
    }
    Ok(DecodedLog {
        entries,
        complete_bytes: offset,
    })
}

/// As [`decode`], but returns the entries and the length of the complete records as a tuple.
///
/// # Errors
///
/// As [`decode`].
#[doc(hidden)]
pub fn read(bytes: &[u8], path: &str) -> Result<(Vec<Entry>, usize), RecordError> {
    decode(bytes, path).map(|log| (log.entries, log.complete_bytes))
}

/// Encodes an entry as a record.
///
/// # Panics
///
/// Never: an entry consists of plain values, which always serialize to JSON.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let text = serde_json::to_vec(entry).expect("an entry consists of plain values");
    let length = (text.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(&text).to_le_bytes());
    bytes.extend(text);
    bytes
}

/// Opens or creates a file, locks it and reads its content; `None` if another process has locked it.
fn open_locked(path: &Path) -> std::io::Result<Option<(File, Vec<u8>)>> {
    let mut file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)?;
    if file.try_lock().is_err() {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    Ok(Some((file, bytes)))
}

/// Syncs the folder of a file, so that the file's name is on disk.
fn sync_folder(path: &Path) -> std::io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

impl Log {
    /// Opens and locks the log, creates it if it does not exist, and truncates an incomplete record at its end.
    ///
    /// # Errors
    ///
    /// [`RecordError::Busy`] if another process has locked the log, [`RecordError::Corrupt`] if it cannot be decoded,
    /// [`RecordError::Io`] for I/O errors.
    pub fn open(path: &Path) -> Result<OpenedLog, RecordError> {
        let name = path.display().to_string();
        let io = |source| RecordError::Io {
            path: name.clone(),
            source,
        };
        let Some((file, bytes)) = open_locked(path).map_err(io)? else {
            return Err(RecordError::Busy { path: name });
        };
        let decoded = decode(&bytes, &name)?;
        let length = decoded.complete_bytes as u64;
        if decoded.complete_bytes < bytes.len() {
            file.set_len(length)
                .and_then(|()| file.sync_all())
                .map_err(io)?;
        }
        sync_folder(path).map_err(io)?;
        Ok(OpenedLog {
            log: Log {
                file,
                path: name,
                length,
                failed: false,
            },
            entries: decoded.entries,
        })
    }

    /// Appends an entry, and returns once it is synced to disk.
    ///
    /// # Errors
    ///
    /// [`RecordError::Io`] if the entry could not be written. No further entry is appended then, and the caller must not
    /// act on the entry.
    pub fn append(&mut self, entry: &Entry) -> Result<(), RecordError> {
        let bytes = encode(entry);
        if let Err(source) = self.write(&bytes) {
            self.failed = true;
            let _ = self.file.set_len(self.length);
            return Err(RecordError::Io {
                path: self.path.clone(),
                source,
            });
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if self.failed {
            return Err(std::io::Error::other("an earlier write to the log failed"));
        }
        self.file.seek(SeekFrom::Start(self.length))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }
}
