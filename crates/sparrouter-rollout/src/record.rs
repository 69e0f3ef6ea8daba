//! The controller's log on disk: each entry is safe there before the controller acts on it.
//!
//! A record is the length of its text, the CRC-32 (IEEE) of these four bytes, the CRC-32 of the text, each as four
//! bytes little-endian, and the text: an [`Entry`] as JSON. An incomplete record at the end is cut off, as nothing was
//! done by it; anything else that does not fit is refused. The file is locked while it is open. Logs of earlier
//! versions must stay readable, so the JSON keeps their names where the Rust names differ.
use crate::baseline::Baseline;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use thiserror::Error;

/// Which of a node's commands is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Puts the change in force.
    Change,
    /// Restarts an unchanged node as it is.
    Restart,
    /// Takes the change back.
    #[serde(rename = "back")]
    RollBack,
}

/// The names that operators read in the printed lines.
impl fmt::Display for CommandKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandKind::Change => "Change",
            CommandKind::Restart => "Restart",
            CommandKind::RollBack => "Back",
        })
    }
}

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every node is changed.
    Through,
    /// Every node is rolled back, for this reason.
    Back(String),
    /// The nodes are left as they are for an operator, for this reason.
    Left(String),
}

/// The line that operators read at the end.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Through => f.write_str("every node is changed"),
            Outcome::Back(reason) => write!(f, "taken back: {reason}"),
            Outcome::Left(reason) => write!(f, "left for a person: {reason}"),
        }
    }
}

// The earlier name of the type, which other packages still use.
#[doc(hidden)]
pub use Outcome as How;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Entry {
    /// The rollout begins.
    Plan {
        /// Name of the plan.
        name: String,
        /// CRC-32 of the plan file's text: another plan may not continue with this log.
        digest: u32,
    },
    /// The baseline has been learnt.
    #[serde(rename = "past")]
    Baseline {
        /// What the fleet was like before the change.
        #[serde(rename = "past")]
        baseline: Baseline,
    },
    /// A stage begins.
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
        /// Whether it ended with success and in time.
        #[serde(rename = "ok")]
        succeeded: bool,
    },
    /// A stage has passed.
    #[serde(rename = "passed")]
    StagePassed {
        /// Index of the stage, from 0.
        stage: usize,
    },
    /// The rollback begins.
    #[serde(rename = "back")]
    RollbackStarted {
        /// Why the change is taken back.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The rollout has ended.
    #[serde(rename = "done")]
    Finished {
        /// How it ended.
        #[serde(rename = "how")]
        outcome: Outcome,
    },
}

/// Why the log cannot be used.
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
    #[error("{path}: another conductor has it open; only one may act")]
    Busy {
        /// The log.
        path: String,
    },
    /// The bytes are not what was written.
    #[error(
        "{path}: byte {offset} is not what was written ({problem}); nothing is done, look at the nodes by hand"
    )]
    Corrupt {
        /// The log.
        path: String,
        /// Offset of the record that does not fit.
        offset: usize,
        /// What of it does not fit.
        problem: &'static str,
    },
}

/// What a log's bytes hold.
pub struct DecodedLog {
    /// The complete entries in order.
    pub entries: Vec<Entry>,
    /// Number of bytes that these entries take; what follows is an incomplete record.
    pub complete_bytes: usize,
}

/// A log that is open and locked.
pub struct OpenedLog {
    /// The log, to append to.
    pub log: Log,
    /// What it holds.
    pub entries: Vec<Entry>,
}

/// The open log. Its lock ends when it is dropped.
pub struct Log {
    file: File,
    path: String,
    /// Bytes of complete records; the next one is written here.
    length: u64,
    /// A write failed: what is on disk is not known any more, and nothing is appended.
    failed: bool,
}

const HEADER_LENGTH: usize = 12;

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let bytes = &bytes[offset..offset + 4];
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// The text of the record at the start of `bytes`; `None` for an incomplete one.
fn decode_text(bytes: &[u8]) -> Result<Option<&[u8]>, &'static str> {
    // A machine that lost power may leave a file that is longer by zeros.
    if bytes.len() < HEADER_LENGTH || bytes.iter().all(|b| *b == 0) {
        return Ok(None);
    }
    if u32_at(bytes, 4) != crc32fast::hash(&bytes[..4]) {
        return Err("length");
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
        (false, false) => Err("text"),
    }
}

/// Decodes the bytes of a log; `path` names it in errors.
///
/// # Errors
///
/// [`RecordError::Corrupt`] where a record but the last does not fit its checksums, or its entry is not known.
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
        let entry = serde_json::from_slice(text)
            .map_err(|_| corrupt("an entry that this version does not know"))?;
        entries.push(entry);
        offset += HEADER_LENGTH + text.len();
    }
    Ok(DecodedLog {
        entries,
        complete_bytes: offset,
    })
}

/// [`decode`] under the name and form that other packages still use.
///
/// # Errors
///
/// As [`decode`].
#[doc(hidden)]
pub fn read(bytes: &[u8], path: &str) -> Result<(Vec<Entry>, usize), RecordError> {
    decode(bytes, path).map(|log| (log.entries, log.complete_bytes))
}

/// The bytes of an entry's record.
///
/// # Panics
///
/// Never: an entry is plain values, which can always be written as JSON.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let text = serde_json::to_vec(entry).expect("an entry is plain values");
    let length = (text.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(&text).to_le_bytes());
    bytes.extend(text);
    bytes
}

/// Opens a file without truncating it, creates it if need be, and reads it while holding its lock.
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

/// Makes the file's name in its folder safe on disk.
fn sync_folder(path: &Path) -> std::io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

impl Log {
    /// Opens and locks the log, creates it if there is none, and cuts off an incomplete record at its end.
    ///
    /// # Errors
    ///
    /// [`RecordError::Busy`] where another process has it open, [`RecordError::Corrupt`] where it cannot be decoded,
    /// [`RecordError::Io`] for errors of the system.
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

    /// Appends an entry, and returns once it is safe on disk.
    ///
    /// # Errors
    ///
    /// [`RecordError::Io`] where it could not be written. Then nothing more is appended, and the caller must not act.
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
            return Err(std::io::Error::other("an earlier write came to nothing"));
        }
        self.file.seek(SeekFrom::Start(self.length))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }
}
