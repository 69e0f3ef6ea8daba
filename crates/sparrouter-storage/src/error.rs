//! Errors of reading and saving records. Each message names a remedy.
use std::fmt;
use std::io;

/// An operation on the data directory, which the message of [`StorageError::Io`] names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Listing the files of the directory.
    List,
    /// Reading a file.
    Read,
    /// Writing a file and syncing it.
    Write,
    /// Renaming a file.
    Rename,
    /// Syncing the directory.
    Sync,
}

impl fmt::Display for Operation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Operation::List => "list",
            Operation::Read => "read",
            Operation::Write => "write",
            Operation::Rename => "rename",
            Operation::Sync => "sync",
        })
    }
}

/// The reason why a record could not be read or saved.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk or its quota is full, or a file would be too large.
    #[error(
        "data directory is full: free {needed} bytes or more under {folder}; nothing else is needed"
    )]
    Full {
        /// The data directory.
        folder: String,
        /// Size of the record's file in bytes.
        needed: u64,
    },
    /// A file was written by a newer release.
    #[error(
        "{name} was written by a newer release (format {format}, this release reads up to {newest_known}): start that release again, or empty the folder so that the machine joins as a new one"
    )]
    Newer {
        /// Name of the file.
        name: String,
        /// Format version of the file.
        format: u16,
        /// Newest format version that this release reads.
        newest_known: u16,
    },
    /// The newest version of a record is damaged.
    #[error(
        "{name} is damaged and an older version must not be served: empty the folder so that the machine joins as a new one"
    )]
    Damaged {
        /// Name of the file.
        name: String,
    },
    /// The name is not a valid record name.
    #[error("{name:?} is not a valid record name: use 1 to 64 characters of a-z, 0-9, '-' and '_'")]
    InvalidName {
        /// The rejected name.
        name: String,
    },
    /// The record is larger than [`crate::store::MAX_RECORD_BYTES`].
    #[error(
        "record {name} has {length} bytes, at most {limit} are allowed: make the record smaller"
    )]
    TooLarge {
        /// Name of the record.
        name: String,
        /// Length of the record in bytes.
        length: usize,
        /// Maximum length of a record in bytes.
        limit: usize,
    },
    /// An operation on the directory failed.
    #[error(
        "failed to {operation} {name} in {folder}: {source}; check the disk, the next save tries again"
    )]
    Io {
        /// The data directory.
        folder: String,
        /// The operation that failed.
        operation: Operation,
        /// Name of the file, or `.` for the directory.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl StorageError {
    /// The error for a failed operation on the file `name`. `needed` is the number of bytes to write, 0 if the
    /// operation writes nothing.
    pub(crate) fn from_io(
        folder: &str,
        operation: Operation,
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
                operation,
                name: name.to_owned(),
                source,
            },
        }
    }
}
