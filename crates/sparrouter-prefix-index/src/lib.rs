//! The index of cached prompts: which prefix blocks ("parts" in messages) are cached at which server or store.
//!
//! | module | its one job |
//! | --- | --- |
//! | `source` | the cached blocks of one server or store, as its follower derives them from the source's events |
//! | `index` | at a block's owner: where the block is cached, and what a request should fetch and save |
//! | `block_entry` | the index entry of one block |
//!
//! Each server and store (a *source*) is followed by one node, and each block has one owner among the nodes. Both are
//! looked up in a slot table made by rendezvous hashing. A follower notifies the owners of changed blocks and, if the set
//! of owners changes, of the blocks that moved to another owner. A node that is about to send a prompt queries the owner of
//! the prompt's deepest shared block and, if that block is not cached anywhere, the owner of the preceding block.
//!
//! Updates are not sent to all nodes, because the selection of a server needs no index: rendezvous hashing sends a prefix
//! to the same server from every node. The index only decides which blocks are fetched and saved, and it can be queried
//! while a connection is set up. Cost: one query per request and one update per event; state: one bounded entry per block.
//!
//! The index may be outdated. If a source no longer has an indexed block cached, the server that tries to fetch it loses
//! about a millisecond; if a cached block is missing in the index, it is computed again. The crate does no I/O and reads no
//! clock. Source for dividing an index among owners of its keys: Karger et al., "Consistent hashing and random trees",
//! STOC 1997.
mod block_entry;
mod index;
mod source;

pub use index::{IndexSettings, PrefixIndex, PrefixLocation, PrefixQuery};
pub use source::{BlockChange, EventPage, Source};

/// A duration, or a point in time by a monotonic clock, in nanoseconds.
pub type Nanos = u64;
