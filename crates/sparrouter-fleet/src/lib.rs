//! The router fleet: one process of it, and the operators' client. `docs/architecture.md` shows how the modules work
//! together; `docs/design/system.md` says what was weighed.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`boot`], [`log_buffer`] | settings, read and validated; the log |
//! | [`run`], [`departure`] | a process from start to end; which requests a leaving process still takes |
//! | [`node`] | the state of one process: membership rows, the configuration in force, the server table |
//! | [`net`], [`links`], [`wire`] | connections to other machines; calls between nodes; their messages |
//! | [`polls`], [`peer_api`] | long polls of other nodes; the answers to theirs |
//! | [`control`], [`disk`], [`configuration_state`] | replicated registers: carried out, saved, and what a change means |
//! | [`configuration_lease`] | whether the configuration here is fresh enough for requests with API keys |
//! | [`endpoint`], [`control_api`], [`registry`] | HTTP endpoints; calls of servers and operators; heartbeats of servers |
//! | [`front`], [`http`], [`exchange`], [`upstream`], [`events`] | connections of clients, one request, connections to servers, event streams |
//! | [`weights`] | rollout of new weights |
//! | [`event_follower`] | follows which prompts servers and stores keep, and updates the owners of the parts |
//! | [`status`] | what a node reports of itself |
//! | [`client`] | the operators' client |
//! | [`planted`] | mistakes planted for tests, behind a feature |
pub mod boot;
pub mod client;
pub mod configuration_lease;
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
pub mod metrics;
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
