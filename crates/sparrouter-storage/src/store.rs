//! Records by name: opening finds the newest intact version of each, saving leaves either the old version or the new one.
//!
//! A record `n` in its version 8 is the file `n.8`, and `n.8.tmp` until it is complete.
//!
//! | after a crash | files found | version opened |
//! | --- | --- | --- |
//! | before the rename was synced | `n.7`, perhaps a torn `n.8.tmp` | 7 |
//! | after the rename, before older files were removed | `n.7`, `n.8` | 8 |
//! | after that | `n.8` | 8 |
//!
//! Only bytes that were synced get a name without `.tmp`, so a crash cannot tear such a file. If the newest one is damaged,
//! the disk has lost what it acknowledged. That is [`StorageError::Damaged`], and the version before is not opened in its
//! place, because others may rely on what the lost one promised; the caller then treats the disk as wiped. A damaged
//! older version beside an intact newer one is ignored and removed.
use crate::error::{Operation, StorageError};
use crate::file_name::{FileName, is_record_name};
use crate::files::Files;
use crate::frame;
use std::collections::BTreeMap;

/// Largest record in bytes: bounds what opening reads into memory, far above any record of the control state.
pub const MAX_RECORD_BYTES: usize = 64 << 20;

/// What a directory contained when it was opened.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    /// No record: a new disk, or one whose first save never finished.
    Fresh,
    /// The newest version of each record, by name.
    Existing(BTreeMap<String, Vec<u8>>),
}

/// The files of one record.
#[derive(Debug, Default)]
struct RecordFiles {
    /// Highest version that any save has used, successful or not. None is used twice, since a failed save may have left
    /// anything under its name.
    newest_version: u64,
    /// The file that holds the current version.
    current: Option<String>,
    /// Files that can be removed: older versions, and what failed saves and removals left.
    stale: Vec<String>,
}

/// The records of one directory. One process at a time may open a directory.
#[derive(Debug)]
pub struct Store<F: Files> {
    files: F,
    records: BTreeMap<String, RecordFiles>,
}

impl<F: Files> Store<F> {
    /// Opens a directory and reads the newest version of each record. Changes no file.
    ///
    /// # Errors
    ///
    /// [`StorageError::Newer`] and [`StorageError::Damaged`] with the file's name, [`StorageError::Io`] if the directory
    /// cannot be read or synced.
    pub fn open(mut files: F) -> Result<(Store<F>, Opened), StorageError> {
        let folder = files.folder();
        let folder_error =
            |operation, error| StorageError::from_io(&folder, operation, ".", 0, error);
        // A process that died between rename and sync left a name that is visible now and could be gone after a power
        // loss. It must survive before anybody relies on what was read from it.
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

    /// Adds the files of each record, all of them as stale, and gives the newest version of each that is not temporary.
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

    /// Reads a version of a record, and makes its file the current one.
    fn open_version(&mut self, name: &str, version: u64) -> Result<Vec<u8>, StorageError> {
        let file = FileName::complete(name, version).to_string();
        let value = read_version(&self.files, &file, version)?;
        if let Some(record) = self.records.get_mut(name) {
            record.stale.retain(|stale| *stale != file);
            record.current = Some(file);
        }
        Ok(value)
    }

    /// Saves a new version of a record. Blocks until it would survive a power loss.
    ///
    /// # Errors
    ///
    /// [`StorageError::InvalidName`] and [`StorageError::TooLarge`] without any effect. After [`StorageError::Full`] and
    /// [`StorageError::Io`] the next start may find the old or the new version; a later save may succeed.
    pub fn save(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        check_record(name, bytes)?;
        let files = &mut self.files;
        let record = self.records.entry(name.to_owned()).or_default();
        // Before the write: on a full disk the stale files may be what takes the space.
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
            // It may have either name now.
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

    /// Gives the directory back, for tests that open it again.
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

/// Removes files that are not needed any more. A removal that fails is repeated at the next save; until then the file only
/// takes space.
fn remove_stale<F: Files>(files: &mut F, stale: &mut Vec<String>) {
    stale.retain(|file| {
        files
            .remove(file)
            .is_err_and(|error| error.kind() != std::io::ErrorKind::NotFound)
    });
}
