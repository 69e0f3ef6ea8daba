//! Membership of the fleet: records of servers and nodes. Records converge regardless of the order in which they are merged,
//! and polling nodes receive the records that changed since a revision.
//!
//! Every node has a [`MembershipTable`]. The node that observes a change (a heartbeat, or polls that stopped) updates the
//! record, and other nodes learn of it by long polls: each node asks a few sources for the records that changed since its last
//! known revision. Sources are selected by rendezvous hashing, so that each source serves and monitors its share of the
//! nodes.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `table` | the membership table of one node: merging and lookup of all records |
//! | `server`, `node`, `directive` | the three kinds of record, each with its merge rule |
//! | `record_table` | the records of one kind: bounded in number, with revisions and tombstones |
//! | `changes` | the change log, ordered by revision |
//! | `delta` | the changes between two revisions |
//! | `pack`, `unpack` | encode and decode a delta |
//! | `publish_schedule` | when changes are published to polling nodes |
//! | `sources` | selects the nodes that a node polls |
//!
//! The crate uses no I/O and no clock: the current time is passed as `now`. Sources: Das, Gupta and Motivala, "SWIM", DSN 2002 (suspicion refuted by a
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

/// Nanoseconds of a monotonic clock: a point in time relative to an arbitrary origin, or a duration.
pub type Nanos = u64;
