//! Files that survive: one file a version, written aside, synced, renamed, its folder synced.
//!
//! By file: `files` (what is asked of a folder, and the real one), `frame` (bytes of one file), `sparrouter-storage` (records by
//! name), `error` (what went wrong and what to do), `lying` (a folder in memory that loses power, for tests).
//!
//! Calls block until the disk has answered: a caller that must not wait gives them to a thread of its own.
//!
//! Sources: SQLite, "Atomic commit in SQLite" (what a file layer may lose) and its "How SQLite is tested" (every
//! crash point tried); Pillai et al., "All file systems are not created equal", OSDI 2014 (why the folder is synced
//! too, and why nothing is assumed of a rename that was not).
pub mod error;
pub mod files;
pub mod frame;
pub mod lying;
pub mod store;

pub use error::StorageError;
pub use files::{Files, RealFiles};
pub use lying::LyingFiles;
pub use store::{Opened, Store};
