//! What can go wrong with a record on disk, and what the one who reads the message should do.
use std::io;

#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    #[error(
        "data directory is full: free {needed} bytes or more under {folder}; nothing else is needed"
    )]
    Full { folder: String, needed: u64 },
    #[error(
        "{name} was written by a newer release (format {found}, this one knows {known}): start that release again, or empty the folder so that the machine joins as a new one"
    )]
    Newer {
        name: String,
        found: u16,
        known: u16,
    },
    #[error(
        "{name} is damaged and an older version must not be served: empty the folder so that the machine joins as a new one"
    )]
    Damaged { name: String },
    #[error("{name:?} can't name a record: use 1 to 64 of a-z, 0-9, '-' and '_'")]
    Name { name: String },
    #[error("record {name} has {length} bytes, at most {most} are kept: make it smaller")]
    TooLarge {
        name: String,
        length: usize,
        most: usize,
    },
    #[error(
        "disk under {folder} refused to {what} {name}: {source}; check the disk, the next save tries again"
    )]
    Io {
        folder: String,
        what: &'static str,
        name: String,
        source: io::Error,
    },
}

impl StorageError {
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
