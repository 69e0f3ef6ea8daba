//! A directory of the operating system.
use crate::files::Files;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A directory of the operating system.
#[derive(Debug)]
pub struct RealFiles {
    folder: PathBuf,
}

impl RealFiles {
    /// Opens a directory. If the directory doesn't exist, it is created and its parent directory is synced.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the directory can't be created or its parent can't be synced.
    pub fn open(folder: impl AsRef<Path>) -> io::Result<RealFiles> {
        let folder = folder.as_ref().to_path_buf();
        if !folder.is_dir() {
            fs::create_dir_all(&folder)?;
            let parent = folder.parent().filter(|path| !path.as_os_str().is_empty());
            if let Some(parent) = parent {
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
            // Files whose names are not UTF-8 are ignored, because this package did not write them.
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
