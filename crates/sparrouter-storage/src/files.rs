//! The operations on a directory that a [`crate::Store`] needs, as a trait, so that tests can simulate a disk.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A directory without subdirectories. When a call returns, its effect is known to the operating system; it survives a
/// power loss only where that is said.
pub trait Files {
    /// Name of the directory, for messages only.
    fn folder(&self) -> String;
    /// Creates the file or empties it, writes all bytes and syncs them to disk. The name itself may not survive yet.
    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file, replacing any that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Names of all files, in ascending order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Syncs the directory: names created, renamed and removed before this call survive a power loss once it returns.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A directory of the operating system.
#[derive(Debug)]
pub struct RealFiles {
    folder: PathBuf,
}

impl RealFiles {
    /// Opens a directory. One that is missing is created, and its name synced.
    pub fn open(folder: impl AsRef<Path>) -> io::Result<RealFiles> {
        let folder = folder.as_ref().to_path_buf();
        if !folder.is_dir() {
            fs::create_dir_all(&folder)?;
            if let Some(parent) = folder.parent().filter(|p| !p.as_os_str().is_empty()) {
                File::open(parent)?.sync_all()?;
            }
        }
        Ok(RealFiles { folder })
    }
}

impl Files for RealFiles {
    fn folder(&self) -> String {
        self.folder.display().to_string()
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.folder.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            // This package writes no name that is not UTF-8.
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
