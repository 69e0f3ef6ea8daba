//! Records by name: opening finds the newest good version of each, saving leaves either the old version or the new one.
//!
//! A record `n` in its version 8 is the file `n.8`, and `n.8.tmp` until it is whole.
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
//! older version beside a good newer one is ignored and removed.
use crate::error::StorageError;
use crate::files::Files;
use crate::frame;
use std::collections::BTreeMap;

/// Largest record in bytes: bounds what opening reads into memory, far above any record of the control state.
pub const MAX_RECORD_BYTES: usize = 64 << 20;

/// Longest name of a record in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Ends the name of a file that is still being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// What a directory held when it was opened.
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
    /// Highest version that was ever tried. None is used twice, since a failed save may have left anything under its name.
    newest: u64,
    /// The file that holds the current version.
    current: Option<String>,
    /// Files that can be removed: older versions, and leftovers of failed saves and removals.
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
        // A process that died between rename and sync left a name that is visible now and could be gone after a power
        // loss. It must survive before anybody relies on what was read from it.
        files
            .sync_folder()
            .map_err(|e| StorageError::of(&folder, "sync", ".", 0, e))?;
        let names = files
            .list()
            .map_err(|e| StorageError::of(&folder, "list", ".", 0, e))?;
        let (mut records, newest_whole) = group_by_record(names);
        let mut values = BTreeMap::new();
        for (name, version) in newest_whole {
            let file = format!("{name}.{version}");
            values.insert(name.clone(), read_version(&files, &folder, &file, version)?);
            if let Some(record) = records.get_mut(&name) {
                record.stale.retain(|stale| *stale != file);
                record.current = Some(file);
            }
        }
        let opened = if values.is_empty() {
            Opened::Fresh
        } else {
            Opened::Existing(values)
        };
        Ok((Store { files, records }, opened))
    }

    /// Saves a new version of a record. Blocks until it would survive a power loss.
    ///
    /// # Errors
    ///
    /// [`StorageError::Name`] and [`StorageError::TooLarge`] without any effect. After [`StorageError::Full`] and
    /// [`StorageError::Io`] the next start may find the old or the new version; a later save may succeed.
    pub fn save(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        check_record(name, bytes)?;
        let files = &mut self.files;
        let record = self.records.entry(name.to_owned()).or_default();
        // Before the write: on a full disk the leftovers may be what takes the space.
        remove_stale(files, &mut record.stale);
        record.newest += 1;
        let file = format!("{name}.{}", record.newest);
        let temporary = format!("{file}{TEMPORARY_SUFFIX}");
        let framed = frame::write(record.newest, bytes);
        let folder = files.folder();
        let fail = |what, file: &str, e| StorageError::of(&folder, what, file, framed.len(), e);
        if let Err(e) = files.write_synced(&temporary, &framed) {
            let error = fail("write", &temporary, e);
            record.stale.push(temporary);
            remove_stale(files, &mut record.stale);
            return Err(error);
        }
        if let Err(e) = files.rename(&temporary, &file) {
            // It may have either name now.
            record.stale.extend([temporary.clone(), file]);
            return Err(fail("rename", &temporary, e));
        }
        if let Err(e) = files.sync_folder() {
            let error = fail("sync", &file, e);
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

/// The files of each record, all of them counted as stale, and the newest version of each that is not temporary.
fn group_by_record(names: Vec<String>) -> (BTreeMap<String, RecordFiles>, BTreeMap<String, u64>) {
    let mut records: BTreeMap<String, RecordFiles> = BTreeMap::new();
    let mut newest_whole: BTreeMap<String, u64> = BTreeMap::new();
    for file in names {
        let Some(parsed) = parse_file_name(&file) else {
            continue;
        };
        let record = records.entry(parsed.record.to_owned()).or_default();
        record.newest = record.newest.max(parsed.version);
        if !parsed.is_temporary {
            let newest = newest_whole.entry(parsed.record.to_owned()).or_default();
            *newest = parsed.version.max(*newest);
        }
        record.stale.push(file);
    }
    (records, newest_whole)
}

fn read_version<F: Files>(
    files: &F,
    folder: &str,
    file: &str,
    version: u64,
) -> Result<Vec<u8>, StorageError> {
    let bytes = files
        .read(file)
        .map_err(|e| StorageError::of(folder, "read", file, 0, e))?;
    match frame::read(version, &bytes) {
        frame::Opened::Good(record) => Ok(record),
        frame::Opened::Newer(format) => Err(StorageError::Newer {
            name: file.to_owned(),
            found: format,
            known: frame::FORMAT,
        }),
        frame::Opened::Damaged => Err(StorageError::Damaged {
            name: file.to_owned(),
        }),
    }
}

fn check_record(name: &str, bytes: &[u8]) -> Result<(), StorageError> {
    if !is_record_name(name) {
        return Err(StorageError::Name {
            name: name.to_owned(),
        });
    }
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(StorageError::TooLarge {
            name: name.to_owned(),
            length: bytes.len(),
            most: MAX_RECORD_BYTES,
        });
    }
    Ok(())
}

/// Removes files that are not needed any more. What fails is tried again at the next save; until then it only takes space.
fn remove_stale<F: Files>(files: &mut F, stale: &mut Vec<String>) {
    stale.retain(|file| {
        files
            .remove(file)
            .is_err_and(|e| e.kind() != std::io::ErrorKind::NotFound)
    });
}

fn is_record_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_')
}

/// The parts of a file's name.
struct FileName<'a> {
    record: &'a str,
    version: u64,
    is_temporary: bool,
}

/// `None` for files of others, which are left alone.
fn parse_file_name(file: &str) -> Option<FileName<'_>> {
    let (whole, is_temporary) = file
        .strip_suffix(TEMPORARY_SUFFIX)
        .map_or((file, false), |whole| (whole, true));
    let (record, version) = whole.split_once('.')?;
    let is_number = !version.is_empty() && version.bytes().all(|b| b.is_ascii_digit());
    if !is_record_name(record) || !is_number {
        return None;
    }
    Some(FileName {
        record,
        version: version.parse().ok()?,
        is_temporary,
    })
}
