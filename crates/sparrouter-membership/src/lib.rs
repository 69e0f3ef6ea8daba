//! Which servers and nodes exist: records that converge in whatever order they are merged, and are sent by revision to
//! the nodes that poll.
//!
//! Every node owns a [`MembershipTable`]. A record is changed where the change is observed (a heartbeat, a poll that
//! stopped) and reaches the other nodes by long polls: a node asks a few sources for what changed since the revision that
//! it has. Its sources are chosen by rendezvous hashing, so that each source is polled by, and watches, its share of all
//! nodes.
//!
//! | module | its one job |
//! | --- | --- |
//! | `table` | the table of one node: all records, merged and looked up |
//! | `server`, `node`, `directive` | the three kinds of record, each with its merge rule |
//! | `record_table` | the records of one kind: bounded, with revisions and tombstones |
//! | `changes` | which record changed last at which revision |
//! | `delta` | the changes between two revisions |
//! | `pack`, `unpack` | a delta as bytes |
//! | `publish_schedule` | when changed records are published |
//! | `sources` | which nodes a node polls |
//!
//! No I/O, no clock: `now` is a parameter. Sources: Das, Gupta and Motivala, "SWIM", DSN 2002 (suspicion refuted by a
//! higher incarnation); Shapiro et al., "Conflict-free replicated data types", 2011.

mod changes;
mod delta;
mod directive;
mod node;
mod pack;
mod publish_schedule;
mod record_table;
mod server;
mod sources;
mod table;
mod unpack;

pub use changes::ChangedRecord;
pub use delta::MembershipDelta;
pub use directive::ServerDirective;
pub use node::NodeRecord;
pub use publish_schedule::PublishSchedule;
pub use server::{LifecycleState, LoadedModel, ServerRecord};
pub use sources::{SOURCE_COUNT, sources};
pub use table::MembershipTable;

/// Nanoseconds of a monotonic clock: a moment since an arbitrary origin, or a length of time.
pub type Nanos = u64;
