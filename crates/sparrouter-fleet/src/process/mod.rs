//! One process from start to end: its settings, its tasks, its signals, its log, and the drain period in which it ends.
//!
//! Owns nothing that outlives a start. It wires the other modules together, so it may use all of them.
pub mod log_buffer;
pub mod run;
pub mod settings;
pub mod shutdown;
