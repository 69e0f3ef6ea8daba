//! The conductor's memory: a log on disk that is written before anything is done. A record is the length of its
//! text, the checksum (CRC-32, IEEE) of those four bytes, the checksum of the text, each as four bytes little
//! endian, and the text, one JSON value. A torn end is cut off: what was not safe on disk was not acted upon.
//! Anything else that does not fit is refused. The file is locked while it is open.
use crate::judge::Past;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doing {
    Change,
    Restart,
    Back,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// Every node is changed.
    Through,
    /// Taken back, and why.
    Back(String),
    /// Left as it is for a person to look at, and why.
    Left(String),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Entry {
    /// The checksum of the plan's text: another plan may not go on with this log.
    Plan {
        name: String,
        digest: u32,
    },
    Past {
        past: Past,
    },
    Stage {
        stage: usize,
    },
    Begin {
        node: String,
        doing: Doing,
    },
    End {
        node: String,
        doing: Doing,
        ok: bool,
    },
    Passed {
        stage: usize,
    },
    Back {
        why: String,
    },
    Done {
        how: How,
    },
}

#[derive(Debug, Error)]
pub enum RecordError {
    #[error("{path}: {source}")]
    Io {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: another conductor has it open; only one may act")]
    Busy { path: String },
    #[error(
        "{path}: byte {at} is not what was written ({what}); nothing is done, look at the nodes by hand"
    )]
    Spoilt {
        path: String,
        at: usize,
        what: &'static str,
    },
}

pub struct Log {
    file: File,
    path: String,
    length: u64,
    /// A write came to nothing: what is on disk is not known any more.
    broken: bool,
}

const HEAD: usize = 12;

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// The entries of a log's bytes, and how many of these are whole.
pub fn read(bytes: &[u8], path: &str) -> Result<(Vec<Entry>, usize), RecordError> {
    let spoilt = |at, what| RecordError::Spoilt {
        path: path.to_string(),
        at,
        what,
    };
    let (mut entries, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let rest = &bytes[at..];
        // A machine that lost power may leave a longer file of zeros.
        if rest.len() < HEAD || rest.iter().all(|b| *b == 0) {
            return Ok((entries, at));
        }
        if word(rest, 4) != crc32fast::hash(&rest[..4]) {
            return Err(spoilt(at, "length"));
        }
        let end = HEAD + word(rest, 0) as usize;
        if rest.len() < end {
            return Ok((entries, at));
        }
        if word(rest, 8) != crc32fast::hash(&rest[HEAD..end]) {
            if rest.len() == end {
                return Ok((entries, at));
            }
            return Err(spoilt(at, "text"));
        }
        let entry = serde_json::from_slice(&rest[HEAD..end]);
        entries.push(entry.map_err(|_| spoilt(at, "an entry that this version does not know"))?);
        at += end;
    }
    Ok((entries, at))
}

pub fn written(entry: &Entry) -> Vec<u8> {
    let text = serde_json::to_vec(entry).expect("an entry is plain values");
    let length = (text.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(&text).to_le_bytes());
    bytes.extend(text);
    bytes
}

impl Log {
    pub fn open(path: &Path) -> Result<(Log, Vec<Entry>), RecordError> {
        let name = path.display().to_string();
        let io = |source| RecordError::Io {
            path: name.clone(),
            source,
        };
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(io)?;
        if file.try_lock().is_err() {
            return Err(RecordError::Busy { path: name.clone() });
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io)?;
        let (entries, whole) = read(&bytes, &name)?;
        if whole < bytes.len() {
            file.set_len(whole as u64)
                .and_then(|()| file.sync_all())
                .map_err(io)?;
        }
        // The name itself has to be safe too.
        let folder = path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        File::open(folder).and_then(|f| f.sync_all()).map_err(io)?;
        Ok((
            Log {
                file,
                path: name.clone(),
                length: whole as u64,
                broken: false,
            },
            entries,
        ))
    }

    /// Returns once it is safe on disk. After an error nothing more is taken: whoever acts on the log stops.
    pub fn append(&mut self, entry: &Entry) -> Result<(), RecordError> {
        let bytes = written(entry);
        let wrote = if self.broken {
            Err(std::io::Error::other("an earlier write came to nothing"))
        } else {
            self.file
                .seek(SeekFrom::Start(self.length))
                .and_then(|_| self.file.write_all(&bytes))
                .and_then(|()| self.file.sync_data())
        };
        if let Err(source) = wrote {
            self.broken = true;
            let _ = self.file.set_len(self.length);
            return Err(RecordError::Io {
                path: self.path.clone(),
                source,
            });
        }
        self.length += bytes.len() as u64;
        Ok(())
    }
}
