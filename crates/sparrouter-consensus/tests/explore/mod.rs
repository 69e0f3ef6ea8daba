//! Exhaustive exploration of small replica groups: runs the real registers through all orders of events up to a depth.
//!
//! | module | job |
//! | --- | --- |
//! | `body` | the replicated value: a byte changed by compare-and-set |
//! | `violation` | the rules and their violations |
//! | `scope` | the events of an exploration, and their maximum numbers |
//! | `node` | a node: its process, its disk, and the store in flight |
//! | `step` | the steps of an exploration |
//! | `system` | one state of the whole system and its possible steps |
//! | `trace` | short summaries of messages |
//! | `votes` | the votes on disk and the chosen votes, counted independently of the code under test |
//! | `history` | calls and answers, checked for linearizability |
//! | `digest` | digests that identify equal states |
//! | `search` | breadth-first search that visits each state once |
//! | `scenarios` | the scenarios that the test and the example explore, and a scenario for each injected defect |
//!
//! Sources: Lamport, "Specifying systems", 2002 (TLC: breadth-first search that visits each state once and reports a
//! shortest trace); Killian et al., "Life, death, and the critical transition", NSDI 2007 (explores the real code
//! instead of a model).
#![allow(
    dead_code,
    reason = "the test and the example each use only some of the items"
)]
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
