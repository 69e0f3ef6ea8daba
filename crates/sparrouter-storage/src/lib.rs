//! Crash-safe storage of records. Each version of a record is a file, which is written under a temporary name, synced
//! and renamed; then the directory is synced.
//!
//! | module | job |
//! | --- | --- |
//! | [`files`] | the operations on a directory, as a trait |
//! | `real_files` | a directory of the operating system |
//! | [`frame`] | the byte format of one file |
//! | `file_name` | names of files: record, version, suffix |
//! | [`store`] | saving and opening records by name |
//! | [`error`] | errors and their remedies |
//! | [`simulated`] | a directory in memory that simulates failures of disks, for tests |
//!
//! Calls block until the disk operations have completed. A caller that must not block uses a separate thread.
//!
//! Sources: SQLite, "Atomic commit in SQLite" (which data a file system may lose) and "How SQLite is tested" (tests
//! every crash point); Pillai et al., "All file systems are not created equal", OSDI 2014 (why the directory is synced
//! too, and why a rename may be lost before that).

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
