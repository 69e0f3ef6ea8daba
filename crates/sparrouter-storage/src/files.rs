//! The operations on a directory that a [`crate::Store`] needs, as a trait, so that tests can simulate a disk.
use std::io;

/// A directory without subdirectories. When a call returns, its effect is known to the operating system; it survives a
/// power loss only where that is stated.
pub trait Files {
    /// Name of the directory, for messages only.
    fn folder(&self) -> String;

    /// Creates the file or empties it, writes all bytes and syncs them to disk. The name itself may not survive yet.
    ///
    /// # Errors
    ///
    /// What the operating system reports. The file may then have any content, or not exist.
    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file, replacing any that has the new name.
    ///
    /// # Errors
    ///
    /// What the operating system reports. The file may then have either name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none, and what the operating system reports.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Names of all files, in ascending order.
    ///
    /// # Errors
    ///
    /// What the operating system reports.
    fn list(&self) -> io::Result<Vec<String>>;

    /// All bytes of a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none, and what the operating system reports.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Syncs the directory: names created, renamed and removed before this call survive a power loss once it returns.
    ///
    /// # Errors
    ///
    /// What the operating system reports. Some of the names may survive then.
    fn sync_folder(&mut self) -> io::Result<()>;
}
