//! Which servers and nodes exist: rows that converge in whatever order they are merged, and are sent by revision to
//! the nodes that poll.
//!
//! Every node holds a [`Rows`]. A row is changed where the change is observed (a heartbeat, a poll that stopped) and
//! reaches the other nodes by long polls: a node asks a few sources for what changed since the revision it has. Its
//! sources are chosen by rendezvous hashing, so that each source is polled by, and watches, its share of all nodes.
//!
//! | module | its one job |
//! | --- | --- |
//! | `rows` | the rows, how two of one name merge, and the changes since a revision |
//! | `directives` | what the holder of a rollout lease announces about a server |
//! | `packed` | rows as bytes |
//! | `pace` | when changed rows are published |
//! | `sources` | which nodes a node polls |
//!
//! No I/O, no clock: `now` is handed in. Sources: Das, Gupta and Motivala, "SWIM", DSN 2002 (suspicion refuted by a
//! higher incarnation); Shapiro et al., "Conflict-free replicated data types", 2011.
#![deny(missing_docs)]

mod directive;
mod publish_schedule;
mod pack;
mod table;
mod sources;

pub use directive::ServerDirective;
pub use publish_schedule::PublishSchedule;
pub use table::{
    ChangedRecord, LifecycleState, LoadedModel, MembershipDelta, MembershipTable, NodeRecord,
    ServerRecord,
};
pub use sources::{SOURCE_COUNT, sources};

/// Nanoseconds of a monotonic clock.
pub type Nanos = u64;
