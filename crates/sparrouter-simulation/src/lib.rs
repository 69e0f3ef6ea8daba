//! The fleet's own code in one process, many nodes of it, in virtual time: over a network in memory and disks that lie,
//! with stand-ins for servers, clients and the operator, and the rules judged as things happen. Same seed, same run.
//!
//! | file | its one job |
//! | --- | --- |
//! | `network`, `line`, `net` | machines and what lies between them; one connection; a machine's way to others |
//! | `process`, `disk` | a process that may freeze or end between any two steps; its disk |
//! | `server`, `client`, `operator`, `load_balancer` | who stands outside, by their page |
//! | `copies` | what is left of the control state after any further loss |
//! | `configuration`, `speech` | configurations; HTTP as stand-ins speak it |
//! | `monitor` | the rules |
//! | `linearizability`, `order_history` | whether calls and answers have an order that a register allows; the calls |
//! | `node_work` | what one node of a large fleet does for an event, a request, a poll |
//! | `weather` | days by seed |
//! | `order_load` | operators at once over a core in trouble, by seed |
//! | `cluster`, `story`, `load` | one deployment and its troubles; how a story is told; clients that ask on and on |
//!
//! Sources: FoundationDB's simulation (Zhou et al., SIGMOD 2021): the real code, faults by seed, a failure comes back
//! from one number.
pub mod checkers;
pub mod client;
pub mod cluster;
pub mod configuration;
pub mod contact_watch;
pub mod disk;
pub mod durability;
pub mod faults;
pub mod history;
pub mod http_messages;
pub mod linearizability;
pub mod load;
pub mod load_balancer;
pub mod network;
pub mod node_work;
pub mod operator;
pub mod order_load;
pub mod process;
pub mod runtime;
pub mod server;
