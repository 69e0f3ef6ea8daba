//! The index of kept prompts: which prefix blocks ("parts" of prompts) are cached at which server or store.
//!
//! | module | its one job |
//! | --- | --- |
//! | `source` | what one server or store keeps, as its follower reads it from the source's events |
//! | `index` | who keeps a part, at the part's owner, and what a request about to be sent should fetch and save |
//!
//! Each server and store (a *source*) is followed by one node, and each part has one owner among the nodes; both are
//! looked up in a table of slots made by rendezvous hashing. A follower notifies the owners of changes, and where the set
//! of owners changes, of what moved. A node that is about to send a prompt asks the
//! owner of its deepest shared part, and if nobody keeps that, the owner of the part before.
//!
//! Why updates are not sent to all nodes: the choice of a server needs no index (the election sends a prefix to the same
//! server from every node); only what is fetched and saved does, and that can be asked while a connection is set up.
//! Cost: one question a request and one update an event; state: one bounded entry a part.
//!
//! The index may be late or wrong: a wrong holder costs the server that asks it about a millisecond, a missing one a
//! part that is computed again. No I/O, no clock. Source for dividing an index among owners of its keys: Karger et al.,
//! "Consistent hashing and random trees", STOC 1997.
#![deny(missing_docs)]

mod index;
mod source;

pub use index::{IndexSettings, PrefixIndex, PrefixLocation, PrefixQuery};
pub use source::{BlockChange, EventPage, Source};

/// Nanoseconds of a monotonic clock.
pub type Nanos = u64;
