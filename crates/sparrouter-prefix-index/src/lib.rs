//! The index of kept prompts: which parts of prompts (prefix blocks) are kept where, and what to do about it.
//!
//! | file | its one job |
//! | --- | --- |
//! | `source` | what one server or store keeps, as its follower reads it from its events |
//! | `index` | who keeps a part, at the part's owner, and what a prompt about to be sent should fetch and save |
//!
//! Each server and store is followed by one node, each part has one owner, both looked up in a table of slots made by
//! rendezvous hashing. A follower tells owners what changed, and where the set of owners changes what moved; whoever is about to send a prompt asks the owner of its deepest shared part, and where
//! nobody keeps that, the owner of the one before.
//!
//! Why not tell everybody of everything: the choice of the server needs no index (the election sends a prefix to the
//! same server from every node), only what is fetched and saved does, and that can be asked for while the connection
//! is looked for. Cost: one question a request, one word an event; state: one entry a part, bounded.
//!
//! What is told may be late, lost, or wrong: a wrong holder costs the server that asks it a millisecond, a missing one
//! a part that is read anew. No I/O, no clock. Source for the split of an index over its keys' owners: Karger et al.,
//! "Consistent hashing and random trees", STOC 1997.
mod index;
mod source;

pub use index::{Advice, Index, Question, Terms};
pub use source::{Change, Page, Source};

/// Nanoseconds of a clock that only advances.
pub type Nanos = u64;
