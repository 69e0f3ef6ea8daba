//! The index of cached prompts: which prefix blocks ("parts" on the wire) are cached at which server or store.
//!
//! | module | its one job |
//! | --- | --- |
//! | `source` | what one server or store has cached, as its follower reads it from the source's events |
//! | `index` | where a block is cached, at the block's owner, and what a request about to be sent should fetch and save |
//! | `block_entry` | what the index knows of one block |
//!
//! Each server and store (a *source*) is followed by one node, and each block has one owner among the nodes; both are
//! looked up in a table of slots made by rendezvous hashing. A follower notifies the owners of changes, and where the set
//! of owners changes, of what moved. A node that is about to send a prompt queries the owner of its deepest shared block,
//! and if that is cached nowhere, the owner of the block before.
//!
//! Why updates are not sent to all nodes: the selection of a server needs no index (rendezvous hashing sends a prefix to
//! the same server from every node); only what is fetched and saved does, and that can be queried while a connection is
//! set up. Cost: one query per request and one update per event; state: one bounded entry per block.
//!
//! The index may be outdated: a source that no longer has a block cached costs the server that fetches from it about a
//! millisecond, a missing one a block that is computed again. No I/O, no clock. Source for dividing an index among owners
//! of its keys: Karger et al., "Consistent hashing and random trees", STOC 1997.
mod block_entry;
mod index;
mod source;

pub use index::{IndexSettings, PrefixIndex, PrefixLocation, PrefixQuery};
pub use source::{BlockChange, EventPage, Source};

/// Nanoseconds: a duration, or a moment on a monotonic clock.
pub type Nanos = u64;
