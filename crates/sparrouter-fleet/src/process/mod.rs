//! One process from start to end: its tasks, its signals, and the drain period in which it ends.
//!
//! Owns nothing that outlives a start. It wires the other modules together, so it may use all of them.
pub mod run;

pub use crate::platform::log_buffer;
pub use crate::settings;
