//! Records by name: the newest good version of each at start, and saves that leave the old or the new one.
//!
//! | after a crash | found | taken |
//! | --- | --- | --- |
//! | before the rename lasted | `n.7`, perhaps a torn `n.8.tmp` | 7 |
//! | after the rename, before older ones went | `n.7`, `n.8` | 8 |
//! | after | `n.8` | 8 |
//!
//! A name without `.tmp` was given only to bytes that had been synced, so no crash tears it. If the newest such file
//! is damaged, the disk has lost what it acknowledged: `Damaged`, never the version before it, because what was
//! promised in the lost one may have been relied on. The caller then treats the disk as wiped. An older version that
//! is damaged beside a good newer one is passed over and removed.
use crate::error::StorageError;
use crate::files::Files;
use crate::frame;
use std::collections::BTreeMap;

/// Largest record, a bound on what a start reads into memory: no part of the control state comes near it.
pub const MOST: usize = 64 << 20;

/// What a folder held.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    /// No record: a new disk, or one whose first save never finished.
    Fresh,
    Existing(BTreeMap<String, Vec<u8>>),
}

#[derive(Debug, Default)]
struct Kept {
    /// Highest number that was ever tried; none is used twice, as a failed save may have written anything under it.
    newest: u64,
    /// The file that lasts.
    good: Option<String>,
    /// What may go: older files, and what failed saves and removals left behind.
    stale: Vec<String>,
}

#[derive(Debug)]
pub struct Store<F: Files> {
    files: F,
    records: BTreeMap<String, Kept>,
}

impl<F: Files> Store<F> {
    /// Errors: `Newer` and `Damaged` by name, `Io` if the folder can't be read or synced. Changes no file.
    pub fn open(mut files: F) -> Result<(Store<F>, Opened), StorageError> {
        let folder = files.folder();
        // A process that died between rename and sync left a name that is seen now and gone after a loss of power:
        // it must last before anybody relies on having read it.
        files
            .sync_folder()
            .map_err(|e| StorageError::of(&folder, "sync", ".", 0, e))?;
        let names = files
            .list()
            .map_err(|e| StorageError::of(&folder, "list", ".", 0, e))?;
        let mut records: BTreeMap<String, Kept> = BTreeMap::new();
        let mut found: BTreeMap<String, u64> = BTreeMap::new();
        for file in names {
            let Some((name, version, aside)) = parse(&file) else {
                continue;
            };
            let kept = records.entry(name.to_owned()).or_default();
            kept.newest = kept.newest.max(version);
            if !aside {
                let newest = found.entry(name.to_owned()).or_default();
                *newest = version.max(*newest);
            }
            kept.stale.push(file);
        }
        let mut values = BTreeMap::new();
        for (name, version) in found {
            let file = format!("{name}.{version}");
            let bytes = files
                .read(&file)
                .map_err(|e| StorageError::of(&folder, "read", &file, 0, e))?;
            match frame::read(version, &bytes) {
                frame::Opened::Good(record) => values.insert(name.clone(), record),
                frame::Opened::Newer(format) => {
                    return Err(StorageError::Newer {
                        name: file,
                        found: format,
                        known: frame::FORMAT,
                    });
                }
                frame::Opened::Damaged => return Err(StorageError::Damaged { name: file }),
            };
            if let Some(kept) = records.get_mut(&name) {
                kept.stale.retain(|f| *f != file);
                kept.good = Some(file);
            }
        }
        let opened = if values.is_empty() {
            Opened::Fresh
        } else {
            Opened::Existing(values)
        };
        Ok((Store { files, records }, opened))
    }

    /// Blocks until the record lasts. After an error the old or the new version may be found at the next start, and a
    /// later save may succeed.
    pub fn save(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        if !fits(name) {
            return Err(StorageError::Name {
                name: name.to_owned(),
            });
        }
        if bytes.len() > MOST {
            return Err(StorageError::TooLarge {
                name: name.to_owned(),
                length: bytes.len(),
                most: MOST,
            });
        }
        let (files, kept) = (
            &mut self.files,
            self.records.entry(name.to_owned()).or_default(),
        );
        // First, since on a full disk the leftovers may be what is in the way.
        sweep(files, &mut kept.stale);
        kept.newest += 1;
        let file = format!("{name}.{}", kept.newest);
        let aside = format!("{file}.tmp");
        let framed = frame::write(kept.newest, bytes);
        let folder = files.folder();
        let fail = |what, file: &str, e| StorageError::of(&folder, what, file, framed.len(), e);
        if let Err(e) = files.write_synced(&aside, &framed) {
            let error = fail("write", &aside, e);
            kept.stale.push(aside);
            sweep(files, &mut kept.stale);
            return Err(error);
        }
        if let Err(e) = files.rename(&aside, &file) {
            // Which of the two names it has now is anyone's guess.
            kept.stale.extend([aside.clone(), file]);
            return Err(fail("rename", &aside, e));
        }
        if let Err(e) = files.sync_folder() {
            let error = fail("sync", &file, e);
            kept.stale.push(file);
            return Err(error);
        }
        kept.stale.extend(kept.good.replace(file));
        sweep(files, &mut kept.stale);
        Ok(())
    }

    /// For tests that go on with the same folder.
    pub fn into_files(self) -> F {
        self.files
    }
}

/// What can't be removed now is tried again at the next save; it harms nothing but room.
fn sweep<F: Files>(files: &mut F, stale: &mut Vec<String>) {
    stale.retain(|file| {
        files
            .remove(file)
            .is_err_and(|e| e.kind() != std::io::ErrorKind::NotFound)
    });
}

fn fits(name: &str) -> bool {
    (1..=64).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_')
}

/// Name, version and whether it was still written aside. Other files in the folder are not ours and stay.
fn parse(file: &str) -> Option<(&str, u64, bool)> {
    let (whole, aside) = file
        .strip_suffix(".tmp")
        .map_or((file, false), |f| (f, true));
    let (name, version) = whole.split_once('.')?;
    let plain = !version.is_empty() && version.bytes().all(|b| b.is_ascii_digit());
    (fits(name) && plain).then_some(())?;
    Some((name, version.parse().ok()?, aside))
}
