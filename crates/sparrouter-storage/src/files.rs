//! The trait for the directory operations that a [`crate::Store`] needs. Tests implement it with a simulated disk.
use std::io;

/// A directory without subdirectories. When a call returns, its effect is visible to other processes. The effect
/// survives a power loss only if the method's documentation says so.
pub trait Files {
    /// Name of the directory, for messages only.
    fn folder(&self) -> String;

    /// Creates or truncates the file, writes all bytes and syncs them to disk. The bytes survive a power loss, but the
    /// file's name may not.
    ///
    /// # Errors
    ///
    /// The error of the operating system. The file may then have any content, or not exist.
    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file, replacing an existing file with the new name.
    ///
    /// # Errors
    ///
    /// The error of the operating system. The file may then have either name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file doesn't exist, or another error of the operating system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Names of all files, in ascending order.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads all bytes of a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file doesn't exist, or another error of the operating system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Syncs the directory: all earlier creations, renames and removals of files survive a power loss once this call
    /// returns.
    ///
    /// # Errors
    ///
    /// The error of the operating system. Some of these changes may then survive a power loss.
    fn sync_folder(&mut self) -> io::Result<()>;
}
