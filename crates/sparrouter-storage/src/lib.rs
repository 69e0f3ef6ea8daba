//! Records that survive a crash: one file per version, written under a temporary name, synced, renamed, and its
//! directory synced.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`files`] | the operations on a directory as a trait, and the real directory |
//! | [`frame`] | the byte format of one file |
//! | [`store`] | records by name |
//! | [`error`] | what can go wrong, and the remedy |
//! | [`simulated`] | a directory in memory that loses power, for tests |
//!
//! Calls block until the disk has answered. A caller that must not wait runs them on a thread of its own.
//!
//! Sources: SQLite, "Atomic commit in SQLite" (what a file system may lose) and "How SQLite is tested" (every crash
//! point tried); Pillai et al., "All file systems are not created equal", OSDI 2014 (why the directory is synced too, and
//! why nothing is assumed of a rename before that).
#![deny(missing_docs)]

pub mod error;
pub mod files;
pub mod frame;
pub mod simulated;
pub mod store;

pub use error::StorageError;
pub use files::{Files, RealFiles};
pub use simulated::SimulatedFiles;
pub use store::{Opened, Store};
