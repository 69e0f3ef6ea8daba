//! The router fleet: one process of it, and the operators' client. `docs/architecture.md` shows how the modules work
//! together; `docs/design/system.md` says what was weighed.
//!
//! Each folder answers one question of an engineer; a folder uses those below it:
//!
//! | folder | its job |
//! | --- | --- |
//! | [`process`] | a process: settings, start, signals, shutdown, log |
//! | [`client`] | the operators' command line |
//! | [`api`] | control endpoints for operators and servers; answers to other nodes; status |
//! | [`proxy`] | one client request from accept to the last byte |
//! | [`rollout`] | new weights, brought to servers a few at a time |
//! | [`prefix_cache`] | who has which prompt in its cache |
//! | [`membership`] | heartbeats of servers, long polls between nodes, liveness |
//! | [`control`] | configuration and leases by quorum; what is on disk |
//! | [`node`] | what the folders above share: the state of one process |
//! | [`peer`] | messages and connections between nodes |
//! | [`platform`] | network, HTTP messages, connections to servers, log, injected defects |
//! | [`settings`] | the settings file of a process |
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
pub mod rollout;
pub mod settings;
