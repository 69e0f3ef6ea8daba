//! The store of records by name. Opening reads the newest version of each record; a save that is interrupted leaves
//! either the old or the new version.
//!
//! Version 8 of the record `n` is the file `n.8`, which has the name `n.8.tmp` until it is complete.
//!
//! | time of a crash | files found | version opened |
//! | --- | --- | --- |
//! | before the rename | `n.7`, possibly an incomplete `n.8.tmp` | 7 |
//! | after the rename, before the directory was synced | `n.7`, possibly `n.8.tmp` or `n.8` | 7, or 8 if `n.8` is found |
//! | after the sync, before older files were removed | `n.7`, `n.8` | 8 |
//! | after older files were removed | `n.8` | 8 |
//!
//! Files are synced before they get a name without `.tmp`, so that a crash can't tear such a file. If the newest file
//! of a record is damaged, the disk has lost acknowledged data. The store then reports [`StorageError::Damaged`] and
//! doesn't open the previous version, because other nodes may rely on promises in the lost version; the caller treats
//! the disk as wiped. A damaged older version is ignored and removed if the newest version is intact.
use crate::error::{Operation, StorageError};
use crate::file_name::{FileName, is_record_name};
use crate::files::Files;
use crate::frame;
use std::collections::BTreeMap;

/// Maximum length of a record in bytes, far above the length of any record of the control state. It limits the memory
/// that opening a directory needs.
pub const MAX_RECORD_BYTES: usize = 64 << 20;

/// The records of a directory when it was opened.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    /// The directory has no record: the disk is new, or its first save never completed.
    Fresh,
    /// The newest version of each record, by name.
    Existing(BTreeMap<String, Vec<u8>>),
}

/// The files of one record.
#[derive(Debug, Default)]
struct RecordFiles {
    /// Highest version that any save has used, successful or not. No version is used twice, because a failed save may
    /// have left a file of that version with any content.
    newest_version: u64,
    /// Name of the file with the current version; `None` if there is none.
    current: Option<String>,
    /// Names of files to remove: older versions, and files that failed saves or removals left.
    stale: Vec<String>,
}

/// The records of one directory. Only one process at a time may open a directory.
#[derive(Debug)]
pub struct Store<F: Files> {
    files: F,
    records: BTreeMap<String, RecordFiles>,
}

impl<F: Files> Store<F> {
    /// Opens a directory and reads the newest version of each record. Opening changes no file.
    ///
    /// # Errors
    ///
    /// [`StorageError::Newer`] or [`StorageError::Damaged`] if the newest file of a record can't be opened, and
    /// [`StorageError::Io`] if the directory can't be read or synced.
    pub fn open(mut files: F) -> Result<(Store<F>, Opened), StorageError> {
        let folder = files.folder();
        let folder_error =
            |operation, error| StorageError::from_io(&folder, operation, ".", 0, error);
        // After a crash between rename and sync, the new name of a file is visible but may be lost in a power loss. The
        // name has to be durable before a caller relies on the record.
        files
            .sync_folder()
            .map_err(|error| folder_error(Operation::Sync, error))?;
        let names = files
            .list()
            .map_err(|error| folder_error(Operation::List, error))?;
        let mut store = Store {
            files,
            records: BTreeMap::new(),
        };
        let newest_versions = store.add_files(names);
        let mut values = BTreeMap::new();
        for (name, version) in newest_versions {
            let value = store.open_version(&name, version)?;
            values.insert(name, value);
        }
        let opened = if values.is_empty() {
            Opened::Fresh
        } else {
            Opened::Existing(values)
        };
        Ok((store, opened))
    }

    /// Adds all files of the records as stale; `open_version` then makes the newest file of each record its current
    /// file. Returns the newest version of each record, not counting temporary files.
    fn add_files(&mut self, names: Vec<String>) -> BTreeMap<String, u64> {
        let mut newest_versions: BTreeMap<String, u64> = BTreeMap::new();
        for file in names {
            let Some(parsed) = FileName::parse(&file) else {
                continue;
            };
            let record = self.records.entry(parsed.record.to_owned()).or_default();
            record.newest_version = record.newest_version.max(parsed.version);
            if !parsed.is_temporary {
                let newest = newest_versions.entry(parsed.record.to_owned()).or_default();
                *newest = parsed.version.max(*newest);
            }
            record.stale.push(file);
        }
        newest_versions
    }

    /// Reads a version of a record and makes its file the current one.
    fn open_version(&mut self, name: &str, version: u64) -> Result<Vec<u8>, StorageError> {
        let file = FileName::complete(name, version).to_string();
        let value = read_version(&self.files, &file, version)?;
        if let Some(record) = self.records.get_mut(name) {
            record.stale.retain(|stale| *stale != file);
            record.current = Some(file);
        }
        Ok(value)
    }

    /// Saves a new version of a record. Blocks until the new version is durable.
    ///
    /// # Errors
    ///
    /// [`StorageError::InvalidName`] or [`StorageError::TooLarge`] if the record is invalid; nothing is changed then.
    /// After [`StorageError::Full`] or [`StorageError::Io`] the next opening may find the old or the new version; a
    /// later save may succeed.
    pub fn save(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        check_record(name, bytes)?;
        let files = &mut self.files;
        let record = self.records.entry(name.to_owned()).or_default();
        // Stale files are removed before the write, because they may be the reason why the disk is full.
        remove_stale(files, &mut record.stale);
        record.newest_version += 1;
        let file_name = FileName::complete(name, record.newest_version);
        let file = file_name.to_string();
        let temporary = file_name.temporary().to_string();
        let framed = frame::write(record.newest_version, bytes);
        let folder = files.folder();
        let file_error = |operation, file: &str, error| {
            StorageError::from_io(&folder, operation, file, framed.len(), error)
        };
        if let Err(error) = files.write_synced(&temporary, &framed) {
            let error = file_error(Operation::Write, &temporary, error);
            record.stale.push(temporary);
            remove_stale(files, &mut record.stale);
            return Err(error);
        }
        if let Err(error) = files.rename(&temporary, &file) {
            let error = file_error(Operation::Rename, &temporary, error);
            // After a failed rename, the file may have either name.
            record.stale.extend([temporary, file]);
            return Err(error);
        }
        if let Err(error) = files.sync_folder() {
            let error = file_error(Operation::Sync, &file, error);
            record.stale.push(file);
            return Err(error);
        }
        record.stale.extend(record.current.replace(file));
        remove_stale(files, &mut record.stale);
        Ok(())
    }

    /// Returns the directory, for tests that open it again.
    pub fn into_files(self) -> F {
        self.files
    }
}

fn read_version<F: Files>(files: &F, file: &str, version: u64) -> Result<Vec<u8>, StorageError> {
    let bytes = files
        .read(file)
        .map_err(|error| StorageError::from_io(&files.folder(), Operation::Read, file, 0, error))?;
    match frame::read(version, &bytes) {
        frame::DecodedFile::Record(record) => Ok(record),
        frame::DecodedFile::Newer(format) => Err(StorageError::Newer {
            name: file.to_owned(),
            format,
            newest_known: frame::FORMAT,
        }),
        frame::DecodedFile::Damaged => Err(StorageError::Damaged {
            name: file.to_owned(),
        }),
    }
}

fn check_record(name: &str, bytes: &[u8]) -> Result<(), StorageError> {
    if !is_record_name(name) {
        return Err(StorageError::InvalidName {
            name: name.to_owned(),
        });
    }
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(StorageError::TooLarge {
            name: name.to_owned(),
            length: bytes.len(),
            limit: MAX_RECORD_BYTES,
        });
    }
    Ok(())
}

/// Removes stale files. A failed removal is retried at the next save; until then the file only occupies space.
fn remove_stale<F: Files>(files: &mut F, stale: &mut Vec<String>) {
    stale.retain(|file| {
        files
            .remove(file)
            .is_err_and(|error| error.kind() != std::io::ErrorKind::NotFound)
    });
}
