//! What can go wrong with a record on disk. Each message names the remedy.
use std::io;

/// Why a record could not be read or saved.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk or the quota is full.
    #[error(
        "data directory is full: free {needed} bytes or more under {folder}; nothing else is needed"
    )]
    Full {
        /// The data directory.
        folder: String,
        /// Bytes that the record takes.
        needed: u64,
    },
    /// A file was written by a newer release.
    #[error(
        "{name} was written by a newer release (format {found}, this one knows {known}): start that release again, or empty the folder so that the machine joins as a new one"
    )]
    Newer {
        /// The file.
        name: String,
        /// Format version of the file.
        found: u16,
        /// Newest format version that this release reads.
        known: u16,
    },
    /// The newest version of a record is damaged.
    #[error(
        "{name} is damaged and an older version must not be served: empty the folder so that the machine joins as a new one"
    )]
    Damaged {
        /// The file.
        name: String,
    },
    /// The name is not allowed for a record.
    #[error("{name:?} can't name a record: use 1 to 64 of a-z, 0-9, '-' and '_'")]
    Name {
        /// The name that was refused.
        name: String,
    },
    /// The record is larger than [`crate::store::MAX_RECORD_BYTES`].
    #[error("record {name} has {length} bytes, at most {most} are kept: make it smaller")]
    TooLarge {
        /// The record.
        name: String,
        /// Its size in bytes.
        length: usize,
        /// Largest allowed size in bytes.
        most: usize,
    },
    /// The operating system refused an operation.
    #[error(
        "disk under {folder} refused to {what} {name}: {source}; check the disk, the next save tries again"
    )]
    Io {
        /// The data directory.
        folder: String,
        /// The operation that failed.
        what: &'static str,
        /// The file.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl StorageError {
    /// The error for a failed operation `what` on the file `name`; `needed` bytes were to be written.
    pub(crate) fn of(
        folder: &str,
        what: &'static str,
        name: &str,
        needed: usize,
        source: io::Error,
    ) -> StorageError {
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => StorageError::Full {
                folder: folder.to_owned(),
                needed: needed as u64,
            },
            _ => StorageError::Io {
                folder: folder.to_owned(),
                what,
                name: name.to_owned(),
                source,
            },
        }
    }
}
