//! The decisions of sparrouter. `types` is the door (events in, actions out), `policy` decides.
pub mod gossip;
pub mod policy;
mod records;
pub mod types;
