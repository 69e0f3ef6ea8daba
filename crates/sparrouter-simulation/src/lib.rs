//! The fleet's own code in one process, many nodes of it, in virtual time: over a network in memory and disks that lie,
//! with stand-ins for servers, clients and the operator, and the rules judged as things happen. Same seed, same run.
//!
//! | file | its one job |
//! | --- | --- |
//! | `fabric`, `line`, `net` | machines and what lies between them; one connection; a machine's way to others |
//! | `process`, `disk` | a process that may freeze or end between any two steps; its disk |
//! | `server`, `client`, `operator`, `platform` | who stands outside, by their page |
//! | `copies` | what is left of the control state after any further loss |
//! | `plan`, `speech` | configurations; HTTP as stand-ins speak it |
//! | `judge` | the rules |
//! | `linearizability`, `order_history` | whether calls and answers have an order that a register allows; the calls |
//! | `weather` | days by seed |
//! | `order_storm` | operators at once over a core in trouble, by seed |
//! | `world`, `story`, `load` | one deployment and its troubles; how a story is told; clients that ask on and on |
//!
//! Sources: FoundationDB's simulation (Zhou et al., SIGMOD 2021): the real code, faults by seed, a failure comes back
//! from one number.
pub mod client;
pub mod connection;
pub mod copies;
pub mod contact_watch;
pub mod disk;
pub mod fabric;
pub mod faults;
pub mod http_messages;
pub mod judge;
pub mod linearizability;
pub mod load;
pub mod net;
pub mod operator;
pub mod order_history;
pub mod order_storm;
pub mod plan;
pub mod platform;
pub mod process;
pub mod scenario;
pub mod server;
pub mod world;
