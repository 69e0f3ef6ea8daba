//! Which servers and nodes exist: rows that merge in any order to the same, told by version to whoever asks.
//!
//! Every node holds a `Rows`. A row is changed where it is heard (a beat, a poll that stopped) and reaches the others
//! by long polls: a node asks a few sources for what changed since the revision that it has. Which sources those are
//! is named by rendezvous hashing, so that each source is asked by, and watches, its part of all nodes.
//!
//! No I/O, no clock: `now` is in nanoseconds of a clock that only advances. Sources: Das, Gupta and Motivala, "SWIM",
//! DSN 2002 (suspicion refuted by a higher incarnation); Shapiro et al., "Conflict-free replicated data types", 2011.
mod directives;
mod pace;
mod packed;
mod rows;
mod sources;

pub use directives::Note;
pub use pace::Pace;
pub use rows::{ChangedRow, Delta, ModelAt, NodeRow, Rows, ServerRow, Standing};
pub use sources::{SOURCES, sources};

pub type Nanos = u64;
