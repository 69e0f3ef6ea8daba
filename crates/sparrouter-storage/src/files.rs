//! What is asked of a folder: a few whole-file operations, so that one that lies can stand in for the real one.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// One flat folder. Each call has reached the operating system when it returns, and the disk only where it says so.
pub trait Files {
    /// For messages only.
    fn folder(&self) -> String;
    /// Makes the file anew, or empties it, writes all bytes and syncs them.
    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Names made, renamed and removed before this call last from its return on.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Files of the operating system.
#[derive(Debug)]
pub struct RealFiles {
    folder: PathBuf,
}

impl RealFiles {
    /// Makes the folder if it is missing, and its name lasting.
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
            // A name that is not UTF-8 is none of ours.
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
