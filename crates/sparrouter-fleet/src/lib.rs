//! The router fleet: one process of the fleet, and the operators' client. `docs/architecture.md` shows how the modules
//! work together; `docs/design/system.md` describes the alternatives that were considered.
//!
//! Each folder has one responsibility. A folder depends only on folders below it in this table:
//!
//! | folder | responsibility |
//! | --- | --- |
//! | [`process`] | the life cycle of a process: start, signals, periodic work, shutdown |
//! | [`client`] | the operators' command line |
//! | [`api`] | endpoints for operators, servers, metrics scrapers and other nodes; status and metrics |
//! | [`proxy`] | proxying of client requests, from accepting the connection to the last byte of the response |
//! | `quota` | tenant quotas, enforced over all nodes together |
//! | `rollout` | rolling updates of model weights, a few servers at a time |
//! | [`prefix_cache`] | the index of prompts cached by servers and stores |
//! | [`membership`] | heartbeats of servers, long polls between nodes, liveness, outlier detection |
//! | [`control`] | configuration and leases replicated by quorum; data on disk |
//! | [`node`] | the state of one process, shared by the folders above |
//! | [`peer`] | messages and connections between nodes |
//! | [`platform`] | network, HTTP messages, connections to servers, log, injected defects |
//! | [`settings`] | the settings file of a process |
//!
//! A process runs on one thread: tasks are spawned on its `LocalSet`, share state by `Rc` and `RefCell`, and hold no
//! borrow across an `await`. Where the order of `select!` arms matters, the `select!` is `biased`, so that a simulation
//! with the same seed gives the same run. Some items are public only for the tests and the simulation.
pub mod api;
pub mod client;
pub mod control;
pub mod membership;
pub mod node;
pub mod peer;
pub mod platform;
pub mod prefix_cache;
pub mod process;
pub mod proxy;
pub(crate) mod quota;
pub(crate) mod rollout;
pub mod settings;
