//! The fleet's own code in one process, many nodes of it, in virtual time: over a network in memory and disks that lie,
//! with stand-ins for servers, clients and the operator, and the rules judged as things happen. Same seed, same run.
//!
//! | file | its one job |
//! | --- | --- |
//! | `fabric`, `line`, `net` | machines and what lies between them; one connection; a machine's way to others |
//! | `pot`, `shelf` | a process that may freeze or end between any two steps; its disk |
//! | `server`, `client`, `operator`, `platform` | who stands outside, by their page |
//! | `plan`, `speech` | configurations; HTTP as stand-ins speak it |
//! | `judge` | the rules |
//! | `weather` | days by seed |
//! | `world`, `story`, `load` | one deployment and its troubles; how a story is told; clients that ask on and on |
//!
//! Sources: FoundationDB's simulation (Zhou et al., SIGMOD 2021): the real code, faults by seed, a failure comes back
//! from one number.
pub mod client;
pub mod fabric;
pub mod judge;
pub mod line;
pub mod load;
pub mod net;
pub mod operator;
pub mod plan;
pub mod platform;
pub mod pot;
pub mod server;
pub mod shelf;
pub mod speech;
pub mod story;
pub mod weather;
pub mod world;
