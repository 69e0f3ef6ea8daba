//! Exhaustive exploration of small replica groups: the real registers, every order of events up to a depth.
//!
//! | module | its one job |
//! | --- | --- |
//! | `body` | the replicated value: a byte changed by compare-and-set |
//! | `violation` | the rules that can be broken |
//! | `scope` | what may happen in an exploration, and how often |
//! | `node` | a node: its register, its disk, and the store between them |
//! | `step` | the steps of an exploration |
//! | `system` | one state of the whole system and the steps out of it |
//! | `trace` | short summaries of messages |
//! | `votes` | which votes are on disk, and so which are chosen, counted apart from the code under test |
//! | `history` | calls and answers, checked for linearizability |
//! | `digest` | which states are the same |
//! | `search` | breadth-first search over states, each visited once |
//! | `scenarios` | the scopes that the test and the example explore, and those that find each injected defect |
//!
//! Sources: Lamport, "Specifying systems", 2002 (TLC: states visited once, breadth first, a shortest trace); Killian et
//! al., "Life, death, and the critical transition", NSDI 2007 (the real code in place of a model of it).
#![allow(dead_code, reason = "the test and the example each use a part")]
pub mod body;
pub mod digest;
pub mod history;
pub mod node;
pub mod scenarios;
pub mod scope;
pub mod search;
pub mod step;
pub mod system;
pub mod trace;
pub mod violation;
pub mod votes;
