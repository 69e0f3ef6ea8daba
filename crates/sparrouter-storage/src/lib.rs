//! Records that survive a crash: one file per version, written under a temporary name, synced, renamed, and its
//! directory synced.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`files`] | the operations on a directory, as a trait |
//! | `real_files` | a directory of the operating system |
//! | [`frame`] | the byte format of one file |
//! | `file_name` | names of files: record, version, suffix |
//! | [`store`] | records by name |
//! | [`error`] | what can go wrong, and the remedy |
//! | [`simulated`] | a directory in memory that fails as disks do, for tests |
//!
//! Calls block until the disk has answered. A caller that must not wait runs them on a thread of its own.
//!
//! Sources: SQLite, "Atomic commit in SQLite" (what a file system may lose) and "How SQLite is tested" (every crash
//! point tried); Pillai et al., "All file systems are not created equal", OSDI 2014 (why the directory is synced too, and
//! why nothing is assumed of a rename before that).

pub mod error;
mod file_name;
pub mod files;
pub mod frame;
mod real_files;
pub mod simulated;
pub mod store;

pub use error::{Operation, StorageError};
pub use files::Files;
pub use real_files::RealFiles;
pub use simulated::SimulatedFiles;
pub use store::{Opened, Store};
