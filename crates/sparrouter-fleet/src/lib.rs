//! The router fleet: one process of it, and the operators' client. `docs/design/system.md` has the whole.
//!
//! | file | its one job |
//! | --- | --- |
//! | `boot`, `log_buffer` | settings read and checked; the log |
//! | `node` | what one process knows; tables swapped whole (`node/config`, `node/updates`, `node/ownership`, `node/live_nodes`: what is in force, what is heard and sent on, what falls to it, the snapshot of all node rows) |
//! | `net`, `wire`, `links`, `polls` | the way to other machines, words between nodes, their connections, who asks whom for what is new |
//! | `control`, `disk`, `statute` | the control state: registers carried out, kept, and what a change means |
//! | `registry`, `doors`, `calls` | servers' beats; the tree of calls of servers and operators |
//! | `answers` | what other nodes are answered |
//! | `http`, `front`, `exchange`, `upstream`, `events` | clients, one request, servers' connections, streams |
//! | `weights` | servers brought to the version of weights that was named |
//! | `following` | what servers and stores keep of prompts, told to the owners of the parts |
//! | `departure` | which requests a process that was told to end still takes |
//! | `run`, `status` | a process from start to end; what it says of itself |
//! | `planted` | mistakes made on purpose, under a feature for tests |
//! | `client` | what operators ask of a running fleet |
pub mod boot;
pub mod client;
pub mod configuration_state;
pub mod control;
pub mod control_api;
pub mod departure;
pub mod disk;
pub mod endpoint;
pub mod event_follower;
pub mod events;
pub mod exchange;
pub mod front;
pub mod http;
pub mod links;
pub mod log_buffer;
pub mod net;
pub mod node;
pub mod peer_api;
pub mod planted;
pub mod polls;
pub mod registry;
pub mod run;
pub mod status;

pub mod upstream;
pub mod weights;
pub mod wire;
